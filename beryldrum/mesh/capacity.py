"""The capacity of services as one node knows it, and the retries that it may send to them."""

from collections.abc import Callable

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


class ServiceCapacity:
    """Combines the loads that this node knows of.

    ``own_load`` returns the load of the target on this host, and ``settings`` the current
    settings.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        graph: CallGraph,
        own_load: Callable[[], Load],
        settings: Callable[[], MeshSettings],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._graph = graph
        self._own_load = own_load
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def utilisation(self, service: str) -> float | None:
        """Return the mean utilisation of a service's targets, None if it has no target."""
        loads = [p.load for p in self._directory.serving(service)]
        own = self._own_load()
        if own.service == service:
            loads.append(own)
        total = sum(load.limit for load in loads)
        return sum(load.full * load.limit for load in loads) / total if total else None

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
