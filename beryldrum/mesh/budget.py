"""Which attempts are made again, within what the fleet allows a service.

The load it answers: targets refuse or fail a good part of what they get, and a
request that makes several calls is lost with any of them. Spread evenly, the few
retries that are allowed would save hardly one whole request. So they go to the
most important requests, and among equals to the same ones at every hop.
"""

from ..clock import Clock
from ..retry import Budget

__all__ = ["MOST_ORDER", "RetryBudget"]

MOST_ORDER = 1024
"""Orders of requests: 0 is retried first."""

WINDOW_S = 0.25
"""Period at which the bound on orders moves."""

LEEWAY = 1.5
"""What may be wanted beneath the bound, as a part of what can be had: wants come
unevenly, and what is not used in a moment is lost."""

FORGET = 0.8
"""Weight that past windows keep: half after 0.8 s."""


class RetryBudget:
    """A node's part in the retries of one service."""

    def __init__(self, clock: Clock, ratio: float, burst: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._budget = Budget(ratio, burst)
        self._requests = 0.0
        self._wanted = [0.0] * MOST_ORDER
        self._bound = MOST_ORDER
        self._at = clock.now()

    def deposit(self) -> None:
        """Count a first attempt."""
        self._requests += 1.0
        self._budget.deposit()

    def spend(self, order: int) -> bool:
        """Take one retry for a request of ``order``; False when there is none for it."""
        if self._clock.now() - self._at >= WINDOW_S:
            self._move()
        self._wanted[order] += 1.0
        return order < self._bound and self._budget.spend()

    def _move(self) -> None:
        """Set the bound so that what is wanted beneath it can be had."""
        self._at = self._clock.now()
        left = self._requests * self._ratio * LEEWAY
        self._bound = MOST_ORDER
        for order, count in enumerate(self._wanted):
            left -= count
            if left < 0.0:
                self._bound = max(1, order)
                break
        self._wanted = [count * FORGET for count in self._wanted]
        self._requests *= FORGET
