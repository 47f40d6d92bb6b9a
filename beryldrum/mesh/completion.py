"""Whether the calls of admitted requests can be carried to completion.

When all targets of a service refuse or fail a share of their calls, a request that makes
several of them completes only if the calls that failed are retried. Retries are bounded
for the fleet, so that most requests would do part of their work and then fail. Each node
reports how many retries its target's calls need and how many its part of the budget
allows. Entries admit only as many of the requests that reach the service through calls as
the retries can carry, see :mod:`.admission`.

Only calls count as needing retries. Their retries go before those of direct requests, so
that direct requests do not compete with them for the budget.
"""

from collections.abc import Callable, Iterable, Mapping
from math import exp

from ..clock import Clock
from .budget import RetryBudget
from .frames import RetryDemand

__all__ = ["CallCompletion", "total_demands"]

MEAN_AGE_S = 0.35
"""Mean age of the first attempts that count. A caller has only a few calls in that time; the
sum over nodes is what counts. With 0.5, admission rises half a second later after a fault."""

RETRY_MEAN_AGE_S = 2.0
"""Mean age of the retries that count: there are fewer of them."""

PRIOR_ATTEMPTS = 4.0
"""Weight, in retries, of the assumption that retries fail as often as first attempts, and in
first attempts of the assumption that these succeed."""

MAX_FAILING_RETRIES = 0.75
"""Bound on the share of retries that fail, so that the number needed stays finite."""

MAX_RATIO = 4.0
"""Bound on the retries that a node reports as needed, as a multiple of those it may send. All
calls of a node fail when its host is cut off from the targets, and other nodes' retries cannot
help it."""

FEW_FAILURES = 0.04
"""Share of first attempts that may fail without counting as a need for retries: a request
with six such calls still completes in three of four cases without any retry."""

MIN_RETRIES_PER_S = 15.0
"""Retries per second of the fleet that always count as allowed, so that chance failures at
a single node do not reduce admission. The budget's slack, of which nodes that report nothing
have most, is some 10 per second."""

REPORTED_RATIO = 0.3
"""Retries needed, as a share of those allowed, above which a node reports its own."""

MIN_NODE_RETRIES_PER_S = 8.0
"""Retries per second that count as allowed in that comparison, so that a single failed call of
a node with few calls is not reported."""


class _DecayingCount:
    """A count of events, where older ones have less weight."""

    def __init__(self, clock: Clock, mean_age_s: float) -> None:
        self._clock = clock
        self._mean_age_s = mean_age_s
        self._count = 0.0
        self._at = clock.now()

    def add(self) -> None:
        self._count = self.value() + 1.0
        self._at = self._clock.now()

    def value(self) -> float:
        return self._count * exp((self._at - self._clock.now()) / self._mean_age_s)


class _Calls:
    """The recent calls of this node's target to one service."""

    def __init__(self, clock: Clock) -> None:
        self.first = _DecayingCount(clock, MEAN_AGE_S)
        self.first_failed = _DecayingCount(clock, MEAN_AGE_S)
        self.retries = _DecayingCount(clock, RETRY_MEAN_AGE_S)
        self.retries_failed = _DecayingCount(clock, RETRY_MEAN_AGE_S)

    def needed_per_s(self) -> float:
        """Return the retries per second with which all calls would succeed.

        Retries go to other targets, so that only one failing target needs no more than one
        retry for each call that it fails.
        """
        first, failed = self.first.value(), self.first_failed.value()
        counted = failed - first * FEW_FAILURES
        if counted <= 0.0:
            return 0.0
        expected = PRIOR_ATTEMPTS * failed / (first + PRIOR_ATTEMPTS)
        failing = (self.retries_failed.value() + expected) / (self.retries.value() + PRIOR_ATTEMPTS)
        return counted / MEAN_AGE_S / (1.0 - min(MAX_FAILING_RETRIES, failing))


class CallCompletion:
    """The retries that calls need and those that are allowed, by service.

    ``budget`` returns this node's part in the retry budget of a service, ``others`` what
    other nodes and data centres have reported.
    """

    def __init__(
        self,
        clock: Clock,
        budget: Callable[[str], RetryBudget],
        others: Callable[[], Iterable[Mapping[str, RetryDemand]]],
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._others = others
        self._calls: dict[str, _Calls] = {}

    def record(self, service: str, is_retry: bool, failed: bool) -> None:
        """Record an attempt of a call that a target of the service got."""
        calls = self._calls.get(service)
        if calls is None:
            calls = self._calls[service] = _Calls(self._clock)
        (calls.retries if is_retry else calls.first).add()
        if failed:
            (calls.retries_failed if is_retry else calls.first_failed).add()

    def demands(self) -> dict[str, RetryDemand]:
        """Return this node's demands that other nodes need to know of.

        A node reports while its own retries are short, or those in the report of another node
        or data centre: otherwise the sum would hold only nodes where more calls fail than
        elsewhere.
        """
        short = {
            service
            for report in self._others()
            for service, demand in report.items()
            if _is_short(demand)
        }
        own = self._own()
        return {name: own[name] for name in own if name in short or _is_short(own[name])}

    def ratio(self, service: str) -> float:
        """Return the retries needed by the fleet's calls, as a share of those allowed."""
        return _ratio(self.totals().get(service))

    def totals(self) -> dict[str, RetryDemand]:
        """Return the demands reported by all nodes, this one included."""
        return total_demands([self.demands(), *self._others()])

    def _own(self) -> dict[str, RetryDemand]:
        found = {}
        for service, calls in self._calls.items():
            allowed = self._budget(service).allowed_per_s()
            needed = min(calls.needed_per_s(), MAX_RATIO * allowed)
            found[service] = RetryDemand(round(needed, 2), round(allowed, 2))
        return found


def total_demands(reports: Iterable[Mapping[str, RetryDemand]]) -> dict[str, RetryDemand]:
    """Return the sums of ``reports`` by service."""
    sums: dict[str, RetryDemand] = {}
    for report in reports:
        for service, demand in report.items():
            old = sums.get(service)
            sums[service] = (
                demand
                if old is None
                else RetryDemand(
                    old.needed_per_s + demand.needed_per_s,
                    old.allowed_per_s + demand.allowed_per_s,
                )
            )
    return sums


def _is_short(demand: RetryDemand) -> bool:
    allowed = demand.allowed_per_s + MIN_NODE_RETRIES_PER_S
    return demand.needed_per_s > REPORTED_RATIO * allowed


def _ratio(demand: RetryDemand | None) -> float:
    if demand is None:
        return 0.0
    return demand.needed_per_s / (demand.allowed_per_s + MIN_RETRIES_PER_S)
