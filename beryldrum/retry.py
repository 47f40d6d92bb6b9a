"""Which failed attempts are made again, and by whom.

A request brings an allowance of retries that covers all calls beneath it. A
call is given a part of it, never a copy, and what it leaves comes back. Only
the node next to the failure retries, and a refusal under overload is retried by
nobody further up. A budget bounds the retries of a node against its requests.
"""

from . import request
from .request import Outcome, Reply, Request

__all__ = ["Allowance", "Budget", "may_retry"]

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0

ELSEWHERE = frozenset(
    reason.type for reason in (request.LEAVING, request.STOPPING, request.TARGET_UNREACHED)
)
"""Refusals that concern one target, so that another may run the request."""


class Allowance:
    """The retries that a run may still spend, shared by the calls it makes.

    >>> allowance = Allowance(3)
    >>> allowance.lend()
    2
    >>> allowance.lend()
    1
    >>> allowance.give_back(2)
    >>> allowance.left
    2
    """

    def __init__(self, retries: int) -> None:
        self.left = retries

    def lend(self) -> int:
        """Take out the part of the next call: half, rounded up."""
        part = (self.left + 1) // 2
        self.left -= part
        return part

    def give_back(self, part: int) -> None:
        """Take back what a call has not spent."""
        self.left += part


class Budget:
    """Bounds the retries of a node to a part of its requests, with a small burst."""

    def __init__(self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._left = burst

    def deposit(self) -> None:
        """Count a first attempt."""
        self._left = min(self._burst, self._left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; returns False when the budget is used up."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def may_retry(req: Request, reply: Reply) -> bool:
    """Tell whether an attempt that ended in ``reply`` may be made again.

    Whether allowance, budget and time allow it is for the caller to check.
    """
    if reply.deeper or reply.outcome is Outcome.ANSWERED or reply.reason is None:
        return False
    if reply.outcome is Outcome.NOT_RUN:
        return reply.reason.type in ELSEWHERE
    return req.idempotent and reply.reason.type == request.ANSWER_LOST.type
