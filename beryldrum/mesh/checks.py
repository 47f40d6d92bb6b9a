"""Checks that a request passes before its first attempt.

Each may refuse it. A request that a check refuses has reached no target.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from .. import request
from ..request import COHORTS, Reason
from .admission import AdmissionController
from .configuration import ConfigurationState
from .conventions import RequestMetadata
from .document import FleetDocument, Organisation, Route
from .graph import CallGraph
from .priorities import preferred, priority_at
from .residency import ANY_REGION, Regions
from .returns import Returns, Shortage

__all__ = [
    "NEGATIVE_LOOKUP_MAX_AGE_S",
    "NO_TARGET_RETRY_AFTER_MS",
    "SHORT_RETRY_AFTER_MS",
    "AdmissionCheck",
    "Check",
    "KeyCheck",
    "PendingRequest",
    "Refusal",
]

NEGATIVE_LOOKUP_MAX_AGE_S = 2.0
"""Age of the last confirmation of the configuration up to which a key or route missing
from it is refused as unknown; after that, a newer version may contain it."""

SHORT_RETRY_AFTER_MS = 200
"""Retry-After for causes that are expected to pass within a few hundred milliseconds."""

NO_TARGET_RETRY_AFTER_MS = 1_000
"""Minimum Retry-After where a service that the request needs has no target: this lasts
for seconds, and most callers retry only once."""


class PendingRequest(NamedTuple):
    """A request under check; ``organisation`` is None until its key has been checked."""

    metadata: RequestMetadata
    route: Route
    priority: int
    organisation: Organisation | None
    now: float
    is_retry: bool
    """Whether it is a call made by a run that is a retry."""
    regions: Regions = ANY_REGION
    """Set after the checks, which determine the organisation."""


class Refusal(NamedTuple):
    """The reason for which a check refuses a request, and the Retry-After for its caller.

    ``pending`` is the request as far as it was known at that point.
    """

    reason: Reason
    retry_after_ms: int = 0
    pending: PendingRequest | None = None


class Check(ABC):
    """A step that admits or refuses a request before its first attempt."""

    @abstractmethod
    def check(self, pending: PendingRequest, doc: FleetDocument) -> PendingRequest | Refusal:
        """Return the request, possibly changed, or a refusal."""


class KeyCheck(Check):
    """Determines the organisation from the API key, where the route requires one.

    A withdrawn key must stop working on every node, so requests are refused once the
    last confirmation of the configuration is older than ``max_confirmation_age_s``.
    """

    def __init__(self, configuration: ConfigurationState, max_confirmation_age_s: float) -> None:
        self._configuration = configuration
        self._max_confirmation_age_s = max_confirmation_age_s

    def check(self, pending: PendingRequest, doc: FleetDocument) -> PendingRequest | Refusal:
        if pending.route.open or not doc.requires_keys:
            return pending
        age_s = self._configuration.age_s()
        if age_s > self._max_confirmation_age_s:
            return Refusal(request.KEYS_STALE, SHORT_RETRY_AFTER_MS)
        org = doc.organisations.get(pending.metadata.key)
        if org is None:
            if age_s > NEGATIVE_LOOKUP_MAX_AGE_S:
                return Refusal(request.KEYS_STALE, SHORT_RETRY_AFTER_MS)
            return Refusal(request.BAD_KEY if pending.metadata.key else request.NO_KEY)
        priority = priority_at(org.priority, pending.route, pending.metadata.request_id)
        return PendingRequest(pending.metadata, pending.route, priority, org, pending.now, False)


class AdmissionCheck(Check):
    """Refuses requests for which a service in their call graph lacks capacity.

    A request is refused as a whole, before its first hop. Callers that return after a
    refusal are preferred to others of the same ranks. ``run_s`` returns the time that a run
    of a route takes.

    For lack of retries, a request is refused only if its caller can still return in time:
    otherwise it may complete by chance, and refused it never will.
    """

    def __init__(
        self,
        admission: AdmissionController,
        graph: CallGraph,
        returns: Returns,
        run_s: Callable[[Route], float],
    ) -> None:
        self._admission = admission
        self._graph = graph
        self._returns = returns
        self._run_s = run_s

    def check(self, pending: PendingRequest, doc: FleetDocument) -> PendingRequest | Refusal:
        if pending.priority < COHORTS:
            return pending
        route, left_ms = pending.route, pending.metadata.left_ms
        services, called = self._services(route), self._called(route)
        if self._returns.is_returning(route, left_ms):
            pending = pending._replace(priority=preferred(pending.priority))
            # Most callers return only once.
            called = ()
        elif called and not self._returns.has_room(route, left_ms, self._run_s(route)):
            called = ()
        if self._admission.admits(pending.priority, services, called):
            return pending
        if all(self._admission.has_target(name) for name in services):
            shortage = Shortage(
                self._admission.min_admitted_share(services, called), self._run_s(route)
            )
            delay_ms = self._returns.delay_ms(route, pending.priority, left_ms, shortage)
            return Refusal(request.SHED, delay_ms)
        delay_ms = NO_TARGET_RETRY_AFTER_MS + self._returns.default_delay_ms(0)
        return Refusal(request.NO_TARGET, delay_ms)

    def _services(self, route: Route) -> Iterable[str]:
        reached = self._graph.reachable_services(route)
        if self._graph.has_calls:
            return reached
        # Until the call graph is learnt, a service without targets may not be needed.
        own = {backend.service for backend in route.service_weights}
        return [name for name in reached if name in own or self._admission.has_target(name)]

    def _called(self, route: Route) -> Collection[str]:
        """Return the services that requests of ``route`` are known to reach through calls."""
        if not self._graph.has_calls or self._graph.is_leaf(route):
            return ()
        own = {backend.service for backend in route.service_weights}
        return self._graph.reachable_services(route) - own
