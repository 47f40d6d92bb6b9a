"""The queue in front of a target: importance first, then fair shares.

Within an importance level, organisations are served by weighted start-time fair
queueing, so that one that sends several times its rate waits behind itself.
"""

from collections import deque
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from .request import COHORTS

__all__ = ["FairQueue", "Waiting"]

LEVELS = 4

T = TypeVar("T")


class Waiting(NamedTuple, Generic[T]):
    """An entry of the queue; ``since`` and ``deadline`` are clock seconds."""

    item: T
    organisation: str
    priority: int
    since: float
    deadline: float

    @property
    def level(self) -> int:
        """The importance level of the entry."""
        return min(self.priority // COHORTS, LEVELS - 1)


class _Line(Generic[T]):
    """The organisations that wait at one importance level."""

    def __init__(self) -> None:
        self.waiting: dict[str, deque[Waiting[T]]] = {}
        self.finish: dict[str, float] = {}
        self.virtual = 0.0
        self.size = 0

    def push(self, entry: Waiting[T]) -> None:
        line = self.waiting.setdefault(entry.organisation, deque())
        if not line:
            last = self.finish.get(entry.organisation, 0.0)
            self.finish[entry.organisation] = max(last, self.virtual)
        line.append(entry)
        self.size += 1

    def pop(self, weights: dict[str, float]) -> Waiting[T]:
        org = min(self.waiting, key=lambda name: self.finish[name])
        self.virtual = self.finish[org]
        self.finish[org] += 1.0 / weights.get(org, 1.0)
        entry = self.waiting[org].popleft()
        self._shrink(org)
        return entry

    def evict(self, weights: dict[str, float]) -> Waiting[T]:
        def claim(org: str) -> float:
            return len(self.waiting[org]) / weights.get(org, 1.0)

        org = max(self.waiting, key=claim)
        line = self.waiting[org]
        entry = max(line, key=lambda waiting: waiting.priority)
        line.remove(entry)
        self._shrink(org)
        return entry

    def remove(self, entry: Waiting[T]) -> bool:
        line = self.waiting.get(entry.organisation)
        if line is None or entry not in line:
            return False
        line.remove(entry)
        self._shrink(entry.organisation)
        return True

    def _shrink(self, org: str) -> None:
        self.size -= 1
        if not self.waiting[org]:
            del self.waiting[org]
        if not self.size:
            self.finish.clear()
            self.virtual = 0.0


class FairQueue(Generic[T]):
    """Entries that wait for a run; ``weights`` are by organisation."""

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self._lines: list[_Line[T]] = [_Line() for _ in range(LEVELS)]

    def __len__(self) -> int:
        one, two, three, four = self._lines
        return one.size + two.size + three.size + four.size

    def push(self, entry: Waiting[T]) -> None:
        """Add an entry."""
        self._lines[entry.level].push(entry)

    def pop(self) -> Waiting[T] | None:
        """Take the entry to run next, or None."""
        for line in self._lines:
            if line.size:
                return line.pop(self.weights)
        return None

    def ahead(self, priority: int) -> int:
        """Return how many entries are served before a new one of ``priority``."""
        level = min(priority // COHORTS, LEVELS - 1)
        return sum(line.size for line in self._lines[: level + 1])

    def evict_below(self, priority: int) -> Waiting[T] | None:
        """Take out the entry to give up for a newcomer of ``priority``, or None.

        It is one of the least important level and of the organisation that waits
        with the most for its weight; it is never of a more important level.
        """
        level = min(priority // COHORTS, LEVELS - 1)
        for number in range(LEVELS - 1, level, -1):
            if self._lines[number].size:
                return self._lines[number].evict(self.weights)
        return None

    def evict_greedy(self, organisation: str, level: int) -> Waiting[T] | None:
        """Take out an entry of a level whose organisation waits with far more.

        Returns None when the newcomer's organisation has the most already.
        """
        line = self._lines[level]
        sizes = {org: len(w) / self.weights.get(org, 1.0) for org, w in line.waiting.items()}
        own = sizes.get(organisation, 0.0) + 1.0 / self.weights.get(organisation, 1.0)
        if not sizes or max(sizes.values()) <= own:
            return None
        return line.evict(self.weights)

    def remove(self, entry: Waiting[T]) -> bool:
        """Take out ``entry``; returns False when it is no longer there."""
        return self._lines[entry.level].remove(entry)

    def entries(self) -> Iterator[Waiting[T]]:
        """Yield all entries, in no order."""
        for line in self._lines:
            for waiting in line.waiting.values():
                yield from waiting
