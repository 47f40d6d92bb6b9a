"""The rate limit that a target states in its answers, and the starts that it allows.

The node beside a target hands over all of its requests, so the limit is kept there, for
the whole fleet. Requests wait at the gate for their turn under the limit, like those that
wait for a slot, and the gate reports the capacity that the limit leaves.
"""

import math

from ..clock import Clock

__all__ = ["StatedLimit"]

BURST_S = 0.25
"""Time whose requests may start at once after an idle period."""

MIN_RATE_PER_S = 0.2
"""Rate of requests to a target that takes fewer, or none: only an answer tells when its
limit ends."""


class StatedLimit:
    """The stated rate limit of one target, in requests per second.

    >>> from beryldrum.clock import SystemClock
    >>> limit = StatedLimit(SystemClock())
    >>> limit.delay_s()
    0.0
    >>> limit.update(10.0, limit.stated_at)
    True
    >>> 0.0 < limit.delay_s() <= 0.1
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.rate: float | None = None
        """The limit in force, None if there is none."""
        self.known = False
        """Whether an answer of the target has been seen."""
        self.stated_at = clock.now()
        """When ``rate`` was last stated, in clock seconds."""
        self._available = 0.0
        """Requests that may start now, as of ``_refilled_at``."""
        self._refilled_at = self.stated_at

    def update(self, rate: float | None, handed_at: float) -> bool:
        """Apply the limit in the answer to a request; returns whether it has changed.

        Answers may overtake one another, so a higher limit or none is accepted only if the
        request was handed over, at ``handed_at``, after the present one was last stated.
        """
        now = self._clock.now()
        self.known = True
        looser = self.rate is not None and (rate is None or rate > self.rate)
        if looser and handed_at < self.stated_at:
            return False
        changed = rate != self.rate
        if changed:
            self._refill(now)
            if self.rate is None:
                self._available = 0.0
        self.rate, self.stated_at = rate, now
        return changed

    def inform(self, rate: float | None) -> bool:
        """Apply a limit that another node has heard of; returns whether it has changed.

        It counts until an answer has been seen. Of several, which may be of different age,
        the strictest one counts.
        """
        if self.known or rate is None or (self.rate is not None and rate >= self.rate):
            return False
        self.update(rate, self._clock.now())
        self.known = False
        return True

    def delay_s(self, starts: int = 1) -> float:
        """Return the seconds until ``starts`` more requests may have started."""
        if self.rate is None:
            return 0.0
        self._refill(self._clock.now())
        return max(0.0, (starts - self._available) / self._pace())

    def take(self) -> None:
        """Count the start of a request."""
        if self.rate is not None:
            self._available -= 1.0

    def give_back(self) -> None:
        """Return a start whose request was not handed over."""
        if self.rate is not None:
            self._available += 1.0

    def capacity(self, run_s: float, slots: int) -> int:
        """Return how many of ``slots`` the limit fills, with runs of ``run_s`` seconds.

        One more is counted, for the request that waits for its turn.
        """
        if self.rate is None:
            return slots
        return min(slots, 1 + math.ceil(self.rate * run_s))

    def _pace(self) -> float:
        assert self.rate is not None
        return max(self.rate, MIN_RATE_PER_S)

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            earned = (now - self._refilled_at) * self._pace()
            most = max(1.0, self._pace() * BURST_S)
            self._available = min(most, self._available + earned)
        self._refilled_at = now
