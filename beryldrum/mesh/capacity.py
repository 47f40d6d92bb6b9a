"""The capacity of services as one node knows it, and the retries that it may send to them.

Load pattern of the feed-forward: an evacuation takes a part of a service's targets away
while the rest is almost full, under a burst of more than it could serve before. The rest
would report its overload only after the load has moved. So the load of the evacuated
targets is added at once to what the rest is known to bear, and the entries admit less
before they send there what the evacuated targets took.
"""

from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from .budget import RetryBudget
from .directory import Directory
from .document import Route
from .frames import Load
from .graph import CallGraph
from .settings import MeshSettings

__all__ = ["ServiceCapacity"]

RETRY_SHARE = 0.85
"""Share of the fleet's retry budget that is used. The rest covers the calls of retried
requests, which count as retries at the services that they go to."""


SHIFT_S = 1.5
"""Time for which the expected utilisation after an evacuation holds: loads reported by way
of a summary are up to 1.2 s old, and are means over 0.2 s."""

MIN_ADMITTED_SHARE = 0.01
"""Smallest share of admitted requests from which a utilisation is extrapolated."""


class _Shift(NamedTuple):
    """The utilisation expected when the load of evacuated targets moves to the others.

    ``admitted`` is the share of the requests that was admitted until then.
    """

    utilisation: float
    admitted: float
    at: float


class ServiceCapacity:
    """Combines the loads that this node knows of.

    ``own_load`` returns the load of the target on this host, ``settings`` the current
    settings, and ``admitted_share`` the share of the requests for a service that this
    node's entry has admitted recently.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        graph: CallGraph,
        own_load: Callable[[], Load],
        settings: Callable[[], MeshSettings],
        admitted_share: Callable[[str], float] = lambda service: 1.0,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._graph = graph
        self._own_load = own_load
        self._settings = settings
        self._admitted_share = admitted_share
        self._budgets: dict[str, RetryBudget] = {}
        self._evacuated: set[str] = set()
        self._shifts: dict[str, _Shift] = {}

    def utilisation(self, service: str) -> float | None:
        """Return the mean utilisation of a service's targets, None if it has no target.

        After an evacuation it is at least the expected one, until the targets report what
        they have taken over.
        """
        loads = self._loads(service)
        total = sum(load.limit for load in loads)
        if not total:
            return None
        reported = sum(load.full * load.limit for load in loads) / total
        return max(reported, self._expected(service)) if self._shifts else reported

    def _loads(self, service: str) -> list[Load]:
        loads = [p.load for p in self._directory.serving(service)]
        own = self._own_load()
        if own.service == service and not self._directory.evacuated(
            self._directory.own.data_centre
        ):
            loads.append(own)
        return loads

    def _expected(self, service: str) -> float:
        """Return the utilisation that is expected while load moves, 0 if none does.

        What is admitted less since then will not come, so the admission settles.
        """
        shift = self._shifts.get(service)
        if shift is None:
            return 0.0
        if self._clock.now() - shift.at >= SHIFT_S:
            del self._shifts[service]
            return 0.0
        return shift.utilisation * self._admitted_share(service) / shift.admitted

    def evacuations_changed(self) -> dict[str, float]:
        """Add the load of targets whose evacuation has begun to that of the others.

        Call it after the directory, and before the target on this host, has applied the
        change. Returns the expected utilisation of each service that is concerned.
        """
        evacuated = self._directory.evacuated_data_centres()
        begun, self._evacuated = evacuated - self._evacuated, evacuated
        moving: dict[str, float] = {}
        loads = self._directory.loads_in(begun)
        if self._directory.own.data_centre in begun:
            loads.append(self._own_load())
        for load in loads:
            # It may have been about to take over from targets that were evacuated before.
            used = max(load.full, self._expected(load.service))
            moving[load.service] = moving.get(load.service, 0.0) + used * load.limit
        expected = {}
        for service, moved in moving.items():
            others, total = self.utilisation(service), sum(n.limit for n in self._loads(service))
            if others is None:
                continue
            expected[service] = others + moved / total
            admitted = max(MIN_ADMITTED_SHARE, self._admitted_share(service))
            self._shifts[service] = _Shift(expected[service], admitted, self._clock.now())
        return expected

    def may_retry(self, route: Route) -> bool:
        """Tell whether a request that failed at its target may be retried.

        It may if the targets have spare capacity and the route is not known to make calls.
        With calls the failure may be that of a call, which is retried where it is made,
        and a retry of the request would make all its calls again.
        """
        loads = [self.utilisation(part.service) for part in route.service_weights]
        spare = all(used is not None and used < 1.0 for used in loads)
        return spare and self._graph.is_leaf(route)

    def run_s(self, route: Route) -> float:
        """Return the mean time in seconds of the runs of a route's services, 0 if not known."""
        times = [
            peer.load.run_ms / 1000
            for part in route.service_weights
            for peer in self._directory.serving(part.service)
            if peer.load.run_ms
        ]
        return sum(times) / len(times) if times else 0.0

    def budget(self, service: str) -> RetryBudget:
        """Return this node's part in the retry budget of a service."""
        # The ratio needs no division by nodes, since it applies to this node's requests.
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._settings().retry_ratio * RETRY_SHARE
            budget = self._budgets[service] = RetryBudget(self._clock, ratio, self._slack())
        return budget

    def tick(self) -> None:
        """Update the budgets: the number of known nodes grows after the start."""
        for budget in self._budgets.values():
            budget.slack = self._slack()

    def _slack(self) -> float:
        nodes = len(self._directory.peers) + 1
        return self._settings().retry_slack * RETRY_SHARE / nodes
