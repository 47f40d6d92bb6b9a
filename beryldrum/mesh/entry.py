"""Entry point for requests from callers and from the target on this host.

A request passes a chain of checks, each of which may refuse it, and is then sent
to targets in one or more attempts. A request that a check refuses has reached no
target.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

from .. import request
from ..clock import Clock
from ..errors import PeerLostError
from ..request import ADMIT_ALL_LEVEL, COHORTS, Outcome, Reason
from .admission import AdmissionController
from .budget import RetryBudget
from .configuration import ConfigurationState
from .conventions import RequestMetadata, WireAdapter
from .directory import Directory, Peer
from .document import FleetDocument, Limits, Organisation, Route
from .exchange import AdmittedRequest, not_run, reason_of, unknown
from .explain import Explainer
from .frames import Load, Reply, Run
from .gate import is_call
from .graph import CallGraph
from .homes import RateHomes
from .http import SINGLETON_HEADERS, HttpRequest, HttpResponse, HttpService
from .load_balancer import LoadBalancer
from .priorities import preferred, priority_at, retry_order
from .residency import ANY_REGION, Regions, Residency, allowed_regions
from .returns import Returns, Shortage
from .split import Splitter

__all__ = [
    "AdmissionCheck",
    "AttemptRunner",
    "CallOrigin",
    "Check",
    "Entry",
    "KeyCheck",
    "PendingRequest",
]

NEGATIVE_LOOKUP_MAX_AGE_S = 2.0
"""Age of the last confirmation of the configuration up to which a key or route missing
from it is refused as unknown; after that, a newer version may contain it."""

MAX_ATTEMPTS = 8
"""Attempts for one request; most end in a refusal at a gate, which costs targets nothing."""

MIN_ATTEMPT_MS = 15
"""Remaining time below which an attempt is not made: it could not reach a target and
return."""

SHORT_RETRY_AFTER_MS = 200
"""Retry-After for causes that are expected to pass within a few hundred milliseconds."""

NO_TARGET_RETRY_AFTER_MS = 1_000
"""Minimum Retry-After where a service that the request needs has no target: this lasts
for seconds, and most callers retry only once."""

MAX_RETRY_AFTER_MS = 2_000
"""Upper bound on Retry-After."""

STOP_RUN_OBJECTIVES = 2.0
MAX_STOP_RUN_S = 2.0
"""Time that must be left before a stop for a request to be accepted: a multiple of the
latency objective of its route, which a slow target exceeds, up to a bound in seconds."""


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


class CallOrigin(NamedTuple):
    """The priority of a call that a target makes, and what it inherits from its run.

    ``organisation`` is the name of the run's organisation, empty if it is not known.
    """

    priority: int
    is_retry: bool
    organisation: str = ""


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
        if self._returns.is_returning(route, left_ms):
            pending = pending._replace(priority=preferred(pending.priority))
        services, called = self._services(route), self._called(route)
        if self._admission.admits(pending.priority, services, called):
            return pending
        if all(self._admission.has_target(name) for name in services):
            shortage = Shortage(
                self._admission.least_admitted(services, called), self._run_s(route)
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


class Hop(NamedTuple):
    """A node that a request was sent to, and why it left its data centre, or empty."""

    address: str
    left: str


class _AttemptHistory:
    """The attempts of one request so far; ``reply`` is the latest reply that counts."""

    def __init__(self, no_target: Reply) -> None:
        self.refused: set[str] = set()
        """Addresses of the nodes that did not hand the request to their target."""
        self.targets: set[str] = set()
        """Addresses of the nodes that handed the request to their target."""
        self.failures = 0
        """Number of 5xx answers from targets."""
        self.reply = no_target
        self._failure_reply: Reply | None = None
        self._maybe_ran = False

    def record(self, address: str, reply: Reply) -> None:
        """Record the reply of the node at ``address``."""
        (self.targets if reply.handed else self.refused).add(address)
        if reply.reason == request.NO_TARGET.type and self.reply.reason:
            # An earlier reply gave a more specific reason.
            return
        self.reply = reply
        self._maybe_ran = self._maybe_ran or reply.outcome != Outcome.NOT_RUN
        if reply.outcome == Outcome.ANSWERED and reply.status >= 500:
            self._failure_reply = reply
            self.failures += 1

    def result(self) -> Reply:
        """Return the outcome of the request over all attempts."""
        if self.reply.outcome != Outcome.ANSWERED and self._failure_reply is not None:
            # No retry succeeded, so the failure that a target answered is returned.
            return self._failure_reply
        if self._maybe_ran and self.reply.outcome == Outcome.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            return unknown(request.ANSWER_LOST)
        return self.reply


class AttemptRunner:
    """Sends a request to a node, and retries it on others where that is allowed.

    ``local_load`` returns the load of the target on this host, or None if it accepts no
    work of the service. ``send`` sends a run to a peer, or to this host if the peer is
    None. ``retryable`` tells whether a 5xx answer on a route may be retried, ``budget``
    returns the retry budget of a service. ``on_call`` is called for each attempt of a call
    that a target got, with the service, whether it is a retry, and whether another one is
    needed.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        load_balancer: LoadBalancer,
        residency: Residency,
        local_load: Callable[[str], Load | None],
        send: Callable[[Peer | None, Run, float], "asyncio.Future[Reply]"],
        retryable: Callable[[Route], bool],
        budget: Callable[[str], RetryBudget],
        root_request_id: Callable[[str], str],
        on_call: Callable[[str, bool, bool], None],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._load_balancer = load_balancer
        self._residency = residency
        self._local_load = local_load
        self._send = send
        self._retryable = retryable
        self._budget = budget
        self._root_request_id = root_request_id
        self._on_call = on_call
        self._local_peer = Peer(directory.own, clock.now())

    async def run(self, req: AdmittedRequest, hops: list[Hop]) -> Reply:
        """Return the outcome of the request over all its attempts.

        A hop for each node that the request was sent to is appended to ``hops``.
        """
        budget = self._budget(req.service)
        if req.is_retry:
            budget.charge()
        else:
            budget.deposit()
        if req.regions is None:
            history = _AttemptHistory(not_run(request.NO_TARGET, SHORT_RETRY_AFTER_MS))
        else:
            history = _AttemptHistory(not_run(request.NO_REGION, NO_TARGET_RETRY_AFTER_MS))
        for _ in range(MAX_ATTEMPTS):
            peer = self._choose(req, history)
            if peer is None:
                break
            address = peer.member.address
            hops.append(Hop(address, self._load_balancer.left))
            is_retry = bool(history.targets)
            history.record(address, await self._attempt(peer, req, is_retry))
            should_retry = self._should_retry(req, history)
            if history.reply.handed and is_call(req.priority):
                self._on_call(req.service, is_retry, should_retry)
            if not should_retry:
                break
            root_id = self._root_request_id(req.request_id)
            if history.reply.handed and not budget.spend(retry_order(req.priority, root_id)):
                break
        return history.result()

    def _choose(self, req: AdmittedRequest, history: "_AttemptHistory") -> Peer | None:
        route, refused, targets = req.route, history.refused, history.targets
        candidates = self._residency.permitted(self._candidates(req.service), req.regions)
        if len(targets) >= route.attempts:
            # The limit of distinct targets is reached; only these may be tried again.
            candidates = [p for p in candidates if p.member.address in targets]
        limit_s = min(route.latency_objective_s, route.timeout_s)
        choose = self._load_balancer.choose
        if targets:
            tried = refused | targets
            other = choose(candidates, route.name, limit_s, tried, req.regions, False)
            if other is not None:
                return other
        return choose(candidates, route.name, limit_s, refused, req.regions, not targets)

    def _candidates(self, service: str) -> Sequence[Peer]:
        peers = self._directory.serving(service)
        load = self._local_load(service)
        if load is None:
            return peers
        self._local_peer.load = load
        self._local_peer.sent = 0
        return [self._local_peer, *peers]

    def _should_retry(self, req: AdmittedRequest, history: "_AttemptHistory") -> bool:
        reply = history.reply
        if (req.deadline - self._clock.now()) * 1000 < MIN_ATTEMPT_MS:
            return False
        if reply.outcome == Outcome.NOT_RUN:
            return reply.reason != request.TOO_LATE.type
        if not req.route.idempotent:
            return False
        if reply.outcome == Outcome.ANSWERED:
            attempts_left = history.failures < req.route.attempts
            return reply.status >= 500 and attempts_left and self._retryable(req.route)
        return reply.reason == request.ANSWER_LOST.type

    async def _attempt(self, peer: Peer, req: AdmittedRequest, is_retry: bool) -> Reply:
        now = self._clock.now()
        left_s = req.deadline - now
        if left_s * 1000 < MIN_ATTEMPT_MS:
            return not_run(request.TOO_LATE)
        peer.sent += 1
        target = None if peer is self._local_peer else peer
        try:
            reply = await self._send(target, req.to_run(now, is_retry), left_s)
        except PeerLostError as exc:
            return unknown(request.ANSWER_LOST) if exc.sent else not_run(request.TARGET_UNREACHED)
        except TimeoutError:
            peer.record_latency(req.route.name, left_s, now + left_s)
            return unknown(request.TIMED_OUT)
        if reply.load is not None and target is not None:
            self._directory.update_load(peer, reply.load)
        size = len(req.head) + len(req.body) + len(reply.head) + len(reply.body)
        if reply.handed:
            self._load_balancer.record_bytes(req.route.name, size)
            ended = self._clock.now()
            good = reply.outcome == Outcome.ANSWERED and reply.status < 500
            peer.record_latency(req.route.name, ended - now, ended, good)
        return reply


class Entry(HttpService):
    """HTTP service that callers and the target on this host send their requests to.

    ``caller_service`` returns the service name reported to targets as the caller,
    ``on_outcome`` receives the outcome and duration in seconds of each request, and
    ``call_origin`` returns what is known of the run that makes a call on an open route.
    """

    def __init__(
        self,
        clock: Clock,
        adapter: WireAdapter,
        configuration: ConfigurationState,
        checks: Sequence[Check],
        attempts: AttemptRunner,
        rates: RateHomes,
        caller_service: Callable[[], str],
        explainer: Explainer,
        on_outcome: Callable[[str, float], None],
        rng: random.Random,
        call_origin: Callable[[Route, str], CallOrigin],
    ) -> None:
        self._call_origin = call_origin
        self._clock = clock
        self._adapter = adapter
        self._configuration = configuration
        self._checks = checks
        self._attempts = attempts
        self._rates = rates
        self._caller_service = caller_service
        self._explainer = explainer
        self._on_outcome = on_outcome
        self._split = Splitter(rng)
        self.singleton_headers = SINGLETON_HEADERS | {adapter.request_id_header}
        self.stopping = False
        self.refuses_new = False
        """Whether only requests on open routes are accepted: calls of work in progress."""
        self.stop_at = float("inf")
        """When the node stops waiting for answers, in clock seconds."""
        self.runs_end_at = float("inf")
        """When targets must have ended the runs that this node has asked for."""
        self._tasks: set[asyncio.Task[Any]] = set()
        """The tasks of the requests in progress."""
        self._ending = False

    def may_run_ahead(self, http_request: HttpRequest) -> bool:
        doc, metadata = self._configuration.document, self._adapter.parse_request(http_request)
        route = doc.route(metadata.host, metadata.path) if doc and metadata else None
        return route is not None and route.idempotent

    def limits(self) -> Limits:
        return self._configuration.document.limits if self._configuration.document else Limits()

    def closing(self) -> bool:
        return self.stopping

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._tasks)

    async def end_requests(self) -> None:
        """Answer the requests in progress, whose outcome is unknown, and accept no more."""
        self._ending = True
        self.stop_at = self.runs_end_at = self._clock.now()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        now = self._clock.now()
        metadata = self._adapter.parse_request(http_request)
        if metadata is None:
            return self._refuse("", request.BAD_HEADER, 0)
        admitted = self._admit(metadata, now)
        if isinstance(admitted, Refusal):
            self._log_refusal(metadata, admitted)
            return self._refuse(metadata.request_id, admitted.reason, admitted.retry_after_ms)
        req = self._admitted_request(http_request, admitted)
        hops: list[Hop] = []
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            refused = await self._check_rate(admitted)
            reply = await self._attempts.run(req, hops) if refused is None else refused
        except asyncio.CancelledError:
            if self._ending:
                return self._finish(metadata, req, unknown(request.CANCELLED), now, hops)
            self._log_outcome(metadata, req, now, "caller-left", 0, hops)
            self._on_outcome("caller-left", 0.0)
            raise
        finally:
            self._tasks.discard(task)
        if isinstance(reply, Refusal):
            self._log_refusal(metadata, reply)
            return self._refuse(metadata.request_id, reply.reason, reply.retry_after_ms)
        return self._finish(metadata, req, reply, now, hops)

    async def _check_rate(self, pending: PendingRequest) -> Refusal | None:
        if pending.organisation is None:
            return None
        wait_ms = await self._rates.take(pending.organisation.name)
        if not wait_ms:
            return None
        return Refusal(request.OVER_RATE, min(MAX_RETRY_AFTER_MS, wait_ms), pending)

    def _admit(self, metadata: RequestMetadata, now: float) -> PendingRequest | Refusal:
        doc = self._configuration.document
        if doc is None:
            return Refusal(request.NO_CONFIG, SHORT_RETRY_AFTER_MS)
        route = doc.route(metadata.host, metadata.path)
        if route is None:
            stale = self._configuration.age_s() > NEGATIVE_LOOKUP_MAX_AGE_S
            return (
                Refusal(request.NO_CONFIG, SHORT_RETRY_AFTER_MS)
                if stale
                else Refusal(request.NO_ROUTE)
            )
        is_retry, organisation = False, ""
        run_s = min(route.latency_objective_s * STOP_RUN_OBJECTIVES, MAX_STOP_RUN_S)
        if (self.refuses_new and not route.open) or now + run_s > self.runs_end_at:
            return Refusal(request.STOPPING, SHORT_RETRY_AFTER_MS)
        # Requests on an open route need no key; they are calls made by targets, or
        # treated as such.
        if route.open:
            priority, is_retry, organisation = self._call_origin(route, metadata.request_id)
        elif doc.requires_keys:
            # The key check sets the priority from the organisation.
            priority = ADMIT_ALL_LEVEL - 1
        else:
            priority = priority_at(None, route, metadata.request_id)
        pending = PendingRequest(metadata, route, priority, None, now, is_retry)
        for check in self._checks:
            checked = check.check(pending, doc)
            if isinstance(checked, Refusal):
                return checked._replace(pending=pending)
            pending = checked
        org = pending.organisation
        inherited = doc.regions_by_organisation.get(organisation, frozenset())
        regions = allowed_regions(route.regions, org.regions if org else inherited)
        return pending._replace(regions=regions)

    def _admitted_request(
        self, http_request: HttpRequest, pending: PendingRequest
    ) -> AdmittedRequest:
        metadata, route, now = pending.metadata, pending.route, pending.now
        name = pending.organisation.name if pending.organisation else ""
        left_s = route.timeout_s if metadata.left_ms < 0 else metadata.left_ms / 1000
        deadline = now + min(left_s, route.timeout_s)
        return AdmittedRequest(
            route,
            self._split.service(route),
            http_request.method,
            http_request.target,
            self._adapter.forwarded_headers(http_request.raw_headers, name, self._caller_service()),
            http_request.body,
            name,
            pending.priority,
            now + route.latency_objective_s,
            min(deadline, self.runs_end_at),
            min(deadline, self.stop_at),
            metadata.request_id,
            pending.is_retry,
            pending.regions,
        )

    def _finish(
        self,
        metadata: RequestMetadata,
        req: AdmittedRequest,
        reply: Reply,
        started_at: float,
        hops: list[Hop],
    ) -> HttpResponse:
        reason = reason_of(reply)
        if reply.outcome == Outcome.NOT_RUN and req.organisation:
            self._rates.give_back(req.organisation)
        if reason is None:
            self._log_outcome(metadata, req, started_at, "answered", reply.status, hops)
            self._on_outcome("answered", self._clock.now() - started_at)
            return HttpResponse(reply.status, reply.head, reply.body)
        self._log_outcome(metadata, req, started_at, reason.type, reason.status, hops)
        return self._refuse(metadata.request_id, reason, reply.retry_after_ms)

    def _refuse(self, request_id: str, reason: Reason, retry_after_ms: int) -> HttpResponse:
        self._on_outcome(reason.type, 0.0)
        # Only requests that have not run may be sent again.
        retry_after_ms = (
            min(MAX_RETRY_AFTER_MS, retry_after_ms) if reason.status in (429, 503) else 0
        )
        head = self._adapter.refusal_headers(request_id, retry_after_ms / 1000)
        problem = {"type": "urn:beryldrum:problem:" + reason.type, "title": reason.title}
        body = msgspec.json.encode(problem)
        return HttpResponse(
            reason.status, head + b"Content-Type: application/problem+json\r\n", body
        )

    def _log_refusal(self, metadata: RequestMetadata, refused: Refusal) -> None:
        pending = refused.pending
        org = pending.organisation if pending else None
        self._explainer.request(
            "entry",
            metadata.request_id,
            refused.reason.type,
            status=refused.reason.status,
            route=pending.route.name if pending else "",
            organisation=org.name if org else "",
            priority=pending.priority if pending else -1,
            left_ms=metadata.left_ms,
            retry_after_ms=refused.retry_after_ms,
            version=self._configuration.version,
            proof_ms=self._configuration.age_ms(),
        )

    def _log_outcome(
        self,
        metadata: RequestMetadata,
        req: AdmittedRequest,
        started_at: float,
        outcome: str,
        status: int,
        hops: list[Hop],
    ) -> None:
        good = outcome == "answered" and status < 500
        if good and not self._explainer.should_sample():
            return
        note = self._explainer.sample if good else self._explainer.request
        note(
            "entry",
            metadata.request_id,
            outcome,
            status=status,
            route=req.route.name,
            service=req.service,
            organisation=req.organisation,
            nodes=[hop.address for hop in hops],
            left_zone=[hop.left for hop in hops if hop.left],
            priority=req.priority,
            left_ms=metadata.left_ms,
            took_ms=round((self._clock.now() - started_at) * 1000, 1),
            version=self._configuration.version,
            proof_ms=self._configuration.age_ms(),
        )
