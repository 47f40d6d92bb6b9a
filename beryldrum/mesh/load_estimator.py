"""Estimated load of a target, by which entries admit requests.

When a target deep in the call graph is overloaded, refusing its calls there would waste
the work done above them. The gate publishes the load instead, and the entries admit
fewer or more whole requests.
"""

from ..clock import Clock

__all__ = ["LoadEstimator"]

WINDOW_S = 0.2
"""Time over which the load is averaged; about half of the time until a change of
admission at the entries takes effect at the gate, by way of the call graph."""


QUEUE_DRAIN_S = 0.3
"""Time in which a queue should drain."""

MIN_ARRIVAL_SHARE = 0.3
"""Minimum share of a target's throughput that is left for new arrivals while a queue
drains."""


class LoadEstimator:
    """The load of a target, as a fraction of its capacity.

    While there is no queue it is the mean number of requests in flight divided by the
    limit. The length of a queue says nothing about the load, so while there is one the
    rate of arrivals is divided by the rate of completions.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = self._changed_at = clock.now()
        self._busy = 0
        self._busy_seconds = 0.0
        self._arrived = 0
        self._completed = 0
        self._load = 0.0

    def record_arrival(self) -> None:
        """Count a request that arrives, refused or not."""
        self._arrived += 1

    def record_completion(self) -> None:
        """Count a run that ends."""
        self._completed += 1

    def update(self, busy: int, limit: int) -> None:
        """Record that ``busy`` requests are running or queued from now on."""
        now = self._clock.now()
        self._busy_seconds += self._busy * (now - self._changed_at)
        self._busy, self._changed_at = busy, now
        elapsed = now - self._window_start
        if elapsed < WINDOW_S:
            return
        mean = self._busy_seconds / elapsed / limit
        self._load = mean if mean <= 1.0 else self._overload(max(0, busy - limit), elapsed)
        self._window_start, self._busy_seconds, self._arrived, self._completed = now, 0.0, 0, 0

    def _overload(self, queued: int, elapsed: float) -> float:
        completed = max(1, self._completed)
        wait_s = queued * elapsed / completed
        left = max(MIN_ARRIVAL_SHARE, 1.0 - wait_s / QUEUE_DRAIN_S)
        return max(1.0, self._arrived / completed) / left

    def load(self) -> float:
        """Return the load of the last window; above 1, more arrived than was completed."""
        return self._load
