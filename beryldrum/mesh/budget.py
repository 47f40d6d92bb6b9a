"""Retry budget of a service: which attempts are repeated, and how many.

Targets may refuse or fail a large share of their requests, and a request that makes
several calls is lost with any of them. Spread evenly, the few retries that are allowed
would save hardly any request completely. So the most important requests are retried
first, and among equals the same ones at every hop. When targets begin to fail, requests
end early and make fewer calls, so the budget is also computed from the calls of the
preceding period.
"""

from collections import deque

from ..clock import Clock

__all__ = ["ORDER_COUNT", "RetryBudget"]

ORDER_COUNT = 1024
"""Number of retry orders; requests of order 0 are retried first."""

INTERVAL_S = 0.25
"""Interval in which requests and retries are counted together."""

WINDOW_INTERVALS = 40
"""Intervals of the window in which retries are bounded: ten seconds."""

SPEND_INTERVALS = 12
"""Intervals over which the rest of the window's budget is spent: three seconds, since a
failure that needs retries is recent and may be short."""

SUSTAIN_INTERVALS = 20
"""Intervals over which the rest of the budget has to last where admission depends on it:
five seconds. This is less demand than the budget would serve, since a node's need varies."""

MIN_SUSTAINED_SHARE = 0.1
"""Minimum of the sustained retries, as a share of those with an unused budget."""

OVERSUBSCRIPTION = 1.5
"""Demand admitted below the cutoff, as a multiple of the retries available. Demand is
uneven, and retries that are not used in an interval are lost."""

DECAY = 0.8
"""Weight that the demand of past intervals keeps: half after 0.8 s."""

MAX_CARRY = 3.0
"""Retries carried over to a later interval, so that a single failure is retried at once."""

CARRY_INTERVALS = 4
"""Intervals whose retries may be carried over. A node makes few calls, so that its need
varies between intervals; a request that lacks one retry has wasted those before it."""


class _WindowCounts:
    """Counts of the last one and a half windows, and their sums."""

    def __init__(self) -> None:
        self._counts: deque[int] = deque([0] * (WINDOW_INTERVALS + WINDOW_INTERVALS // 2))
        self.current = 0
        self.window = 0
        """The sum of the last window without the current interval."""
        self.earlier_window = 0
        """The sum of the window that ended half a window ago."""

    def advance(self) -> None:
        counts = self._counts
        self.window += self.current - counts[WINDOW_INTERVALS // 2]
        self.earlier_window += counts[WINDOW_INTERVALS] - counts[0]
        counts.popleft()
        counts.append(self.current)
        self.current = 0

    def maximum(self) -> int:
        return max(self.window + self.current, self.earlier_window)


class RetryBudget:
    """A node's part in the retries of one service.

    In any window it allows ``ratio`` retries per request, counting the requests of that
    window or of the one that began half a window earlier, plus ``slack`` retries.
    """

    def __init__(self, clock: Clock, ratio: float, slack: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self.slack = slack
        """Retries allowed in any window regardless of requests; depends on the size of
        the fleet."""
        self._requests = _WindowCounts()
        self._retries = _WindowCounts()
        self._order_demand = [0.0] * ORDER_COUNT
        self._cutoff = ORDER_COUNT
        """Requests of this order and above are not retried."""
        self._demanded = False
        self._available = MAX_CARRY
        """Retries that are left for this interval."""
        self._interval_start = clock.now()
        self._start_interval()

    def deposit(self) -> None:
        """Count a first attempt."""
        self._advance()
        self._requests.current += 1

    def charge(self) -> None:
        """Count an attempt that was not requested from this budget as a retry."""
        self._advance()
        self._retries.current += 1
        self._available -= 1.0

    def spend(self, order: int) -> bool:
        """Take one retry for a request of ``order``; False when none is available to it."""
        self._advance()
        self._order_demand[order] += 1.0
        self._demanded = True
        if order >= self._cutoff or self._available < 1.0 or self._remaining() < 1.0:
            return False
        self._retries.current += 1
        self._available -= 1.0
        return True

    def allowed_per_s(self) -> float:
        """Return the retries per second that can be sustained.

        This is the window's budget spread over the window, or less when little of it is
        left; a share of it comes free again soon even when nothing is left.
        """
        self._advance()
        sustained = self._allowed() / (WINDOW_INTERVALS * INTERVAL_S)
        left = self._remaining() / (SUSTAIN_INTERVALS * INTERVAL_S)
        return min(sustained, max(MIN_SUSTAINED_SHARE * sustained, left))

    def _allowed(self) -> float:
        return self._ratio * self._requests.maximum() + self.slack

    def _remaining(self) -> float:
        return self._allowed() - self._retries.window - self._retries.current

    def _advance(self) -> None:
        passed = int((self._clock.now() - self._interval_start) / INTERVAL_S)
        if not passed:
            return
        self._interval_start += passed * INTERVAL_S
        for _ in range(min(passed, WINDOW_INTERVALS + WINDOW_INTERVALS // 2)):
            self._requests.advance()
            self._retries.advance()
        self._start_interval()

    def _start_interval(self) -> None:
        """Set the retries of this interval, and the cutoff so that they meet the demand."""
        share = max(0.0, self._remaining()) / SPEND_INTERVALS
        self._available = min(self._available, max(MAX_CARRY, CARRY_INTERVALS * share)) + share
        self._cutoff = ORDER_COUNT
        if not self._demanded:
            return
        self._demanded = False
        left = max(MAX_CARRY, share) * OVERSUBSCRIPTION / (1.0 - DECAY)
        for order, count in enumerate(self._order_demand):
            left -= count
            if left < 0.0:
                self._cutoff = max(1, order)
                break
        self._order_demand = [count * DECAY for count in self._order_demand]
