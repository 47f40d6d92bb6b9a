"""Entry point for requests from callers and from the target on this host.

A request passes a chain of checks, each of which may refuse it, and is then sent
to targets in one or more attempts. A request that a check refuses has reached no
target.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgspec

from .. import request
from ..clock import Clock
from ..request import ADMIT_ALL_LEVEL, Outcome, Reason
from .attempts import AttemptRunner, Hop
from .checks import NEGATIVE_LOOKUP_MAX_AGE_S, SHORT_RETRY_AFTER_MS, Check, PendingRequest, Refusal
from .configuration import ConfigurationState
from .conventions import RequestMetadata, WireAdapter
from .document import Limits, Route
from .exchange import AdmittedRequest, reason_of, unknown
from .explain import Explainer
from .frames import Reply
from .homes import RateHomes
from .http import SINGLETON_HEADERS, HttpRequest, HttpResponse, HttpService
from .priorities import priority_at
from .residency import allowed_regions
from .split import Splitter

__all__ = ["CallOrigin", "Entry"]

MAX_RETRY_AFTER_MS = 2_000
"""Upper bound on Retry-After."""

STOP_RUN_OBJECTIVES = 2.0
MAX_STOP_RUN_S = 2.0
"""Time that must be left before a stop for a request to be accepted: a multiple of the
latency objective of its route, which a slow target exceeds, up to a bound in seconds."""


class CallOrigin(NamedTuple):
    """The priority of a call that a target makes, and what it inherits from its run.

    ``organisation`` is the name of the run's organisation, empty if it is not known.
    """

    priority: int
    is_retry: bool
    organisation: str = ""


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
