"""Time limits of many requests with a single timer of the event loop.

Nearly all requests end long before their time limit, and a timer for each would cost a
node more than the limit is worth.
"""

import asyncio
import itertools
from heapq import heappop, heappush
from typing import Any

__all__ = ["Deadlines", "Entry"]

Entry = list["asyncio.Future[Any]"]
"""A future with a deadline; its owner clears the list to cancel the deadline."""


class Deadlines:
    """Sets TimeoutError on futures whose deadline has passed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._heap: list[tuple[float, int, Entry]] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, seconds: float, fut: "asyncio.Future[Any]") -> Entry:
        """Give ``fut`` a deadline; the caller clears the returned entry to cancel it."""
        entry = [fut]
        when = self._loop.time() + seconds
        heappush(self._heap, (when, next(self._numbers), entry))
        if self._heap[0][2] is entry:
            self._reset_timer()
        return entry

    def _reset_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._heap[0][0], self._expire)

    def _expire(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._heap:
            when, _, entry = self._heap[0]
            if entry and when > now:
                self._reset_timer()
                return
            heappop(self._heap)
            if entry and not entry[0].done():
                entry[0].set_exception(TimeoutError())
