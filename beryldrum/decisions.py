"""The log of decisions, kept off the path of requests.

Filters note a :class:`Decision` in a bounded queue; a task renders the lines
later. When the queue is full a line is dropped and counted, as a request is
worth more than its line.
"""

import asyncio
from collections import deque
from typing import Any, NamedTuple

__all__ = ["Decision", "DecisionLog"]

MOST_QUEUED = 20_000
BATCH = 4
PAUSE_S = 0.05


class Decision(NamedTuple):
    """A routing or placement decision; ``what`` was decided and ``why``."""

    what: str
    why: str
    request_id: str = ""
    service: str = ""
    organisation: str = ""
    node: str = ""
    attempt: int = 0
    seat: str = ""


class DecisionLog:
    """The queue of decisions and the task that writes them."""

    def __init__(self, logger: Any) -> None:
        self._logger = logger
        self._queue: deque[Decision] = deque()
        self.dropped = 0

    def record(self, decision: Decision) -> None:
        """Queue a line."""
        if len(self._queue) >= MOST_QUEUED:
            self.dropped += 1
            return
        self._queue.append(decision)

    def flush(self, most: int = MOST_QUEUED) -> int:
        """Write up to ``most`` queued lines and return how many were."""
        count = min(most, len(self._queue))
        for _ in range(count):
            line = self._queue.popleft()
            fields = {name: value for name, value in line._asdict().items() if value}
            self._logger.info("decision", **fields)
        return count

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            if not self.flush(BATCH):
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(0)
