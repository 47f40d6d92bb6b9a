"""Retry policy: which failed attempts are retried, and by whom.

A request carries a retry allowance that covers the whole call graph below it.
Each call is allocated a part of it, never a copy, and unused retries are given
back. Only the node next to a failure retries, and a refusal under overload is
not retried by any node further up. In addition, a retry budget limits the
retries of a node to a fraction of its requests.
"""

from . import request
from .request import Outcome, Reply, Request

__all__ = ["RetryAllowance", "RetryBudget", "may_retry"]

BUDGET_RATIO = 0.1
BUDGET_MAX = 10.0

RETRYABLE_REFUSALS = frozenset(
    reason.type for reason in (request.LEAVING, request.STOPPING, request.TARGET_UNREACHED)
)
"""Refusals that concern one target only, so another one may run the request."""


class RetryAllowance:
    """The retries that a run has left, shared by the calls it makes.

    >>> allowance = RetryAllowance(3)
    >>> allowance.allocate()
    2
    >>> allowance.allocate()
    1
    >>> allowance.give_back_unused(2)
    >>> allowance.remaining
    2
    """

    def __init__(self, retries: int) -> None:
        self.remaining = retries

    def allocate(self) -> int:
        """Remove and return the part of the next call: half, rounded up."""
        part = (self.remaining + 1) // 2
        self.remaining -= part
        return part

    def give_back_unused(self, part: int) -> None:
        """Add the retries that a call did not use."""
        self.remaining += part


class RetryBudget:
    """Limits the retries of a node to a ratio of its requests.

    A token bucket: each first attempt adds ``ratio`` tokens, up to ``burst``,
    and each retry takes one.
    """

    def __init__(self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_MAX) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Add tokens for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a token for one retry; returns False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(req: Request, reply: Reply) -> bool:
    """Return whether an attempt that ended in ``reply`` may be retried.

    The caller must also check the allowance, the budget and the deadline.
    """
    if reply.deeper or reply.outcome is Outcome.ANSWERED or reply.reason is None:
        return False
    if reply.outcome is Outcome.NOT_RUN:
        return reply.reason.type in RETRYABLE_REFUSALS
    return req.idempotent and reply.reason.type == request.ANSWER_LOST.type
