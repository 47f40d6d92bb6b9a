"""The queue in front of a target: strict importance, then weighted fair shares.

Within an importance level, organisations are served by weighted start-time fair
queueing, so that an organisation that exceeds its share delays only itself.
"""

from collections import deque
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from .request import COHORTS

__all__ = ["FairQueue", "QueueEntry"]

IMPORTANCE_LEVELS = 4

T = TypeVar("T")


class QueueEntry(NamedTuple, Generic[T]):
    """A queued request; ``enqueued_at`` and ``deadline`` are clock seconds."""

    item: T
    organisation: str
    priority: int
    enqueued_at: float
    deadline: float

    @property
    def level(self) -> int:
        """The importance level of the entry, 0 being the most important."""
        return min(self.priority // COHORTS, IMPORTANCE_LEVELS - 1)


class _LevelQueue(Generic[T]):
    """The queues of all organisations at one importance level."""

    def __init__(self) -> None:
        self.queues: dict[str, deque[QueueEntry[T]]] = {}
        self.finish_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.size = 0

    def push(self, entry: QueueEntry[T]) -> None:
        queue = self.queues.setdefault(entry.organisation, deque())
        if not queue:
            last = self.finish_tags.get(entry.organisation, 0.0)
            self.finish_tags[entry.organisation] = max(last, self.virtual_time)
        queue.append(entry)
        self.size += 1

    def pop(self, weights: dict[str, float]) -> QueueEntry[T]:
        org = min(self.queues, key=lambda name: self.finish_tags[name])
        self.virtual_time = self.finish_tags[org]
        self.finish_tags[org] += 1.0 / weights.get(org, 1.0)
        entry = self.queues[org].popleft()
        self._entry_removed(org)
        return entry

    def evict(self, weights: dict[str, float]) -> QueueEntry[T]:
        def weighted_length(org: str) -> float:
            return len(self.queues[org]) / weights.get(org, 1.0)

        org = max(self.queues, key=weighted_length)
        queue = self.queues[org]
        entry = max(queue, key=lambda queued: queued.priority)
        queue.remove(entry)
        self._entry_removed(org)
        return entry

    def remove(self, entry: QueueEntry[T]) -> bool:
        queue = self.queues.get(entry.organisation)
        if queue is None or entry not in queue:
            return False
        queue.remove(entry)
        self._entry_removed(entry.organisation)
        return True

    def _entry_removed(self, org: str) -> None:
        self.size -= 1
        if not self.queues[org]:
            del self.queues[org]
        if not self.size:
            self.finish_tags.clear()
            self.virtual_time = 0.0


class FairQueue(Generic[T]):
    """Requests that wait to run; ``weights`` maps organisations to their weight.

    An organisation without a weight has weight 1.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self._levels: list[_LevelQueue[T]] = [_LevelQueue() for _ in range(IMPORTANCE_LEVELS)]

    def __len__(self) -> int:
        critical, high, normal, low = self._levels
        return critical.size + high.size + normal.size + low.size

    def push(self, entry: QueueEntry[T]) -> None:
        """Add an entry."""
        self._levels[entry.level].push(entry)

    def pop(self) -> QueueEntry[T] | None:
        """Remove and return the entry to run next, or None when empty."""
        for queue in self._levels:
            if queue.size:
                return queue.pop(self.weights)
        return None

    def count_ahead(self, priority: int) -> int:
        """Return how many entries are served before a new one of ``priority``."""
        level = min(priority // COHORTS, IMPORTANCE_LEVELS - 1)
        return sum(queue.size for queue in self._levels[: level + 1])

    def evict_less_important(self, priority: int) -> QueueEntry[T] | None:
        """Remove and return an entry that makes room for one of ``priority``, or None.

        The entry is of the least important level in the queue, and of the
        organisation with the longest queue for its weight. It is always of a
        less important level than ``priority``.
        """
        level = min(priority // COHORTS, IMPORTANCE_LEVELS - 1)
        for number in range(IMPORTANCE_LEVELS - 1, level, -1):
            if self._levels[number].size:
                return self._levels[number].evict(self.weights)
        return None

    def evict_from_largest(self, organisation: str, level: int) -> QueueEntry[T] | None:
        """Remove and return an entry of the organisation with the longest queue.

        Only entries at importance ``level`` count, and lengths are divided by
        weight. Returns None when the queue of ``organisation``, with the new
        entry added, is the longest.
        """
        queue = self._levels[level]
        sizes = {org: len(q) / self.weights.get(org, 1.0) for org, q in queue.queues.items()}
        own = sizes.get(organisation, 0.0) + 1.0 / self.weights.get(organisation, 1.0)
        if not sizes or max(sizes.values()) <= own:
            return None
        return queue.evict(self.weights)

    def remove(self, entry: QueueEntry[T]) -> bool:
        """Remove ``entry``; returns False when it is not in the queue."""
        return self._levels[entry.level].remove(entry)

    def entries(self) -> Iterator[QueueEntry[T]]:
        """Yield all entries, in no particular order."""
        for queue in self._levels:
            for entries in queue.queues.values():
                yield from entries
