"""Which attempts are made again, within what the fleet allows a service.

The load it answers: targets refuse or fail a good part of what they get, and a
request that makes several calls is lost with any of them. Spread evenly, the few
retries that are allowed would save hardly one whole request. So they go to the
most important requests, and among equals to the same ones at every hop.
"""

from ..clock import Clock
from ..retry import Budget

__all__ = ["MOST_ORDER", "RetryBudget"]

MOST_ORDER = 4096
"""Orders of requests: 0 is retried first."""

WINDOW_S = 0.25
"""Period at which the bound on orders moves."""

FALL, RISE = 0.85, 1.08
"""Factors of that bound in a window in which the budget ran out, or did not."""

LEAST_BOUND = 64
"""Least bound, so that it can rise again."""


class RetryBudget:
    """A node's part in the retries of one service."""

    def __init__(self, clock: Clock, ratio: float, burst: float) -> None:
        self._clock = clock
        self._budget = Budget(ratio, burst)
        self._bound = float(MOST_ORDER)
        self._ran_out = False
        self._at = clock.now()

    def deposit(self) -> None:
        """Count a first attempt."""
        self._budget.deposit()

    def spend(self, order: int) -> bool:
        """Take one retry for a request of ``order``; False when there is none for it."""
        now = self._clock.now()
        if now - self._at >= WINDOW_S:
            factor = FALL if self._ran_out else RISE
            self._bound = min(MOST_ORDER, max(LEAST_BOUND, self._bound * factor))
            self._ran_out = False
            self._at = now
        if order >= self._bound:
            return False
        if self._budget.spend():
            return True
        self._ran_out = True
        return False
