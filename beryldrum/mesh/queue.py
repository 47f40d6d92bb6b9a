"""The queue in front of a target, in least-slack-first order.

Requests due after 150 ms and calls that may take a second wait for the same target.
Admission control at the entry keeps the queue short; the order of what is queued
determines how many requests are answered in time.
"""

import bisect
from typing import Generic, NamedTuple, TypeVar

__all__ = ["SlackQueue", "Waiting"]

T = TypeVar("T")


class Waiting(NamedTuple, Generic[T]):
    """A queued item; ``start_by`` is the latest start, in clock seconds, to end when due."""

    item: T
    start_by: float


class SlackQueue(Generic[T]):
    """Items ordered by their latest start."""

    def __init__(self) -> None:
        self._entries: list[Waiting[T]] = []
        self.empty = True

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, item: T, start_by: float) -> None:
        """Add an item, after those with an equal ``start_by``."""
        bisect.insort(self._entries, Waiting(item, start_by), key=_start_by)
        self.empty = False

    def ahead(self, start_by: float) -> int:
        """Return the number of items that precede a new one."""
        return bisect.bisect_right(self._entries, start_by, key=_start_by)

    def pop(self) -> T | None:
        """Remove and return the first item, or None."""
        if self.empty:
            return None
        item = self._entries.pop(0).item
        self.empty = not self._entries
        return item

    def remove(self, item: T) -> bool:
        """Remove an item; returns False when it is not queued."""
        for number, entry in enumerate(self._entries):
            if entry.item is item:
                del self._entries[number]
                self.empty = not self._entries
                return True
        return False

    def items(self) -> list[T]:
        """Return all items in order."""
        return [entry.item for entry in self._entries]


def _start_by(entry: Waiting[T]) -> float:
    return entry.start_by
