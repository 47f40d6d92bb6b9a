"""Asynchronous log of routing and placement decisions.

Filters put a :class:`Decision` into a bounded queue and a background task writes the
log lines, so that logging does not delay requests. When the queue is full, further
decisions are dropped and counted: serving requests takes precedence over logging.
"""

import asyncio
from collections import deque
from typing import Any, NamedTuple

__all__ = ["Decision", "DecisionLog"]

MAX_QUEUED = 20_000
BATCH_SIZE = 4
IDLE_SLEEP_S = 0.05


class Decision(NamedTuple):
    """A routing or placement decision: ``what`` was decided, ``why``, and for which request."""

    what: str
    why: str
    request_id: str = ""
    service: str = ""
    organisation: str = ""
    node: str = ""
    attempt: int = 0
    seat: str = ""


class DecisionLog:
    """A bounded queue of decisions; ``dropped`` counts those that did not fit."""

    def __init__(self, logger: Any) -> None:
        self._logger = logger
        self._queue: deque[Decision] = deque()
        self.dropped = 0

    def record(self, decision: Decision) -> None:
        """Queue a decision, or drop it when the queue is full."""
        if len(self._queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        self._queue.append(decision)

    def flush(self, limit: int = MAX_QUEUED) -> int:
        """Write up to ``limit`` queued decisions and return their number."""
        count = min(limit, len(self._queue))
        for _ in range(count):
            decision = self._queue.popleft()
            fields = {name: value for name, value in decision._asdict().items() if value}
            self._logger.info("decision", **fields)
        return count

    async def run(self) -> None:
        """Write queued decisions until cancelled."""
        while True:
            if not self.flush(BATCH_SIZE):
                await asyncio.sleep(IDLE_SLEEP_S)
            await asyncio.sleep(0)
