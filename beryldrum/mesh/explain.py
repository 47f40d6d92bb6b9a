"""A rate-limited log of decisions, the input of ``beryldrum explain``.

Logging must not delay requests: lines are queued and written by a task, and lines above
a rate are dropped and counted. Failed and answered requests have separate rate limits,
so that lines of successes cannot displace those of failures.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from ..clock import Clock

__all__ = ["Explainer"]

MAX_QUEUED = 5_000
"""Largest number of queued lines; about 2 MB."""

FAILURES_PER_S = 50.0
"""Lines per second for failed requests; a node handles some 300 requests per second."""

SUCCESSES_PER_S = 2.0
"""Lines per second for answered requests, which are sampled."""

FLUSH_INTERVAL_S = 0.2
FLUSH_BATCH = 20


class _RateLimit:
    def __init__(self, per_s: float, clock: Clock) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._clock = clock
        self._at = clock.now()

    def take(self) -> bool:
        now = self._clock.now()
        self._tokens = min(self._per_s, self._tokens + (now - self._at) * self._per_s)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Explainer:
    """The queue of lines, and the task that writes them to ``logger``.

    ``emit`` is called after each batch.
    """

    def __init__(self, logger: Any, clock: Clock, emit: Callable[[], None] = lambda: None) -> None:
        self._logger = logger
        self._clock = clock
        self._emit = emit
        self._failures = _RateLimit(FAILURES_PER_S, clock)
        self._successes = _RateLimit(SUCCESSES_PER_S, clock)
        self._queue: deque[tuple[str, dict[str, Any]]] = deque()
        self.dropped = 0

    def request(self, step: str, request_id: str, outcome: str, **inputs: Any) -> None:
        """Log what ``step`` decided about a failed or refused request, within the limit."""
        if self._failures.take():
            self._enqueue("request", step=step, request=request_id, outcome=outcome, **inputs)
        else:
            self.dropped += 1

    def should_sample(self) -> bool:
        """Tell whether the request that was just answered is to be logged as a sample."""
        return self._successes.take()

    def sample(self, step: str, request_id: str, outcome: str, **inputs: Any) -> None:
        """Log an answered request for which :meth:`should_sample` returned true."""
        self._enqueue("request", step=step, request=request_id, outcome=outcome, **inputs)

    def event(self, event: str, **inputs: Any) -> None:
        """Log an event that concerns no single request, such as a lost peer."""
        self._enqueue(event, **inputs)

    def _enqueue(self, event: str, **fields: Any) -> None:
        if len(self._queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        # The time of the decision, not of the write.
        fields["timestamp"] = self._clock.wall_ms()
        self._queue.append((event, fields))

    def flush(self, max_lines: int = MAX_QUEUED) -> int:
        """Write up to ``max_lines`` lines and return how many were written."""
        count = min(max_lines, len(self._queue))
        for _ in range(count):
            event, fields = self._queue.popleft()
            self._logger.info(event, **fields)
        if count and self.dropped:
            self._logger.info("lines left out", count=self.dropped)
            self.dropped = 0
        self._emit()
        return count

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            while self.flush(FLUSH_BATCH):
                await asyncio.sleep(0)
