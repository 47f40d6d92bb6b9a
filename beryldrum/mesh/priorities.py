"""Priorities of external requests, and the order in which calls are retried.

Both order requests alike: by the rank of their organisation, of their route, and a cohort
drawn from their id. Requests of equal ranks are of one kind.
"""

from ..request import ADMIT_ALL_LEVEL, COHORTS, LOWEST_IMPORTANCE, priority_of
from .budget import ORDER_COUNT
from .document import Route

__all__ = ["cohort_of", "preferred", "priority_at", "retry_order"]

ROUTE_RANKS = 4
"""Number of route ranks distinguished within one organisation rank."""

KIND_COHORTS = COHORTS // ROUTE_RANKS
"""Number of cohorts of one kind."""

ORDER_STEP = ORDER_COUNT // ADMIT_ALL_LEVEL
"""Number of retry orders of one priority."""


def priority_at(organisation: int | None, route: Route, request_id: str) -> int:
    """Return the priority of an external request; lower values are shed last.

    Calls made by targets have the lowest values. External requests are ordered by the
    rank of their organisation, then of their route, then by a hash of the request id.
    """
    rank = route.priority if organisation is None else organisation
    return (
        min(rank + 1, LOWEST_IMPORTANCE) * COHORTS
        + min(route.priority, ROUTE_RANKS - 1) * KIND_COHORTS
        + cohort_of(request_id)
    )


def cohort_of(request_id: str) -> int:
    """Return the cohort of a request within its kind."""
    return priority_of(0, request_id) % KIND_COHORTS


def preferred(priority: int) -> int:
    """Return a priority in the better half of the cohorts of its kind.

    It keeps the part of the cohort by which calls are ordered, see :func:`retry_order`.
    """
    cohort = priority % KIND_COHORTS
    return priority - cohort + cohort // ORDER_STEP // 2 * ORDER_STEP + cohort % ORDER_STEP


def retry_order(priority: int, root_request_id: str) -> int:
    """Return the order in which a request is retried; see :class:`.RetryBudget`.

    The priority of a call is that of its run divided by ``ORDER_STEP``. With the remainder of
    the cohort in its place, calls are retried in the order in which entries admit.
    """
    return priority * ORDER_STEP + cohort_of(root_request_id) % ORDER_STEP
