"""Filters that authenticate a request and resolve its route.

Requests of external callers and calls made by targets differ in how the organisation
is determined: an external caller is identified by its API key, a target's call by the
context token of the run that it belongs to.
"""

import re
import uuid
from urllib.parse import unquote

from . import request
from .chain import Filter, Handler
from .document import Route, ServiceDocument
from .ledger import born_ms
from .request import (
    ADMIT_ALL_LEVEL,
    COHORTS,
    LOWEST_IMPORTANCE,
    Headers,
    Outcome,
    Reply,
    Request,
    not_run,
    priority_of,
)
from .shared import SharedState
from .target import CONTEXT_HEADER, TIMEOUT_HEADER, forwarded

__all__ = ["ApiKeyFilter", "ContextFilter", "OutcomeFilter", "RouteFilter", "new_request"]

UNROUTED_TIMEOUT_S = 86_400.0
MAX_CALL_DEPTH = 64
AUTHORIZATION_HEADER = "authorization"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"


def new_request(method: str, path: str, headers: Headers, body: bytes, now: float) -> Request:
    """Return an unfiltered request for ``/service/rest``; ``now`` is in seconds."""
    service, _, rest = path.lstrip("/").partition("/")
    return Request(
        service=service,
        route="",
        method=method,
        path="/" + rest,
        headers=headers,
        body=body,
        organisation="",
        priority=ADMIT_ALL_LEVEL - 1,
        deadline=now + UNROUTED_TIMEOUT_S,
        allowance=0,
        request_id=uuid.uuid4().hex,
        idempotency_key="",
        idempotent=False,
        depth=0,
    )


def header(headers: Headers, name: str) -> str:
    """Return the first value of the header ``name`` (lower case), or an empty string."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return ""


def has_dot_segments(path: str) -> bool:
    """Return whether a path has dot segments, plain or percent-encoded up to twice.

    A target may resolve them and so serve a route other than the one authorised here.
    """
    return not {".", ".."}.isdisjoint(re.split(r"[/\\]", unquote(unquote(path))))


class OutcomeFilter(Filter):
    """Reports *not run* for a request with an idempotency key only if its home did.

    The request may be a retry of one that has run. A node that refuses it before
    asking the home cannot know that, so the outcome is reported as *unknown*.
    """

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        reply = await next_handler(req)
        if reply.outcome is not Outcome.NOT_RUN or reply.from_home:
            return reply
        if born_ms(header(req.headers, IDEMPOTENCY_KEY_HEADER)) is None:
            return reply
        return reply._replace(outcome=Outcome.UNKNOWN)


class ApiKeyFilter(Filter):
    """Authenticates an external caller by its API key, which is then removed from the headers."""

    def __init__(self, shared: SharedState) -> None:
        self._keyring = shared.keyring

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        scheme, _, key = header(req.headers, AUTHORIZATION_HEADER).partition(" ")
        result = self._keyring.authenticate(key.strip() if scheme.lower() == "bearer" else "")
        if result.is_err():
            return not_run(result.unwrap_err())
        headers = tuple((k, v) for k, v in req.headers if k.lower() != AUTHORIZATION_HEADER)
        return await next_handler(req._replace(organisation=result.unwrap(), headers=headers))


class ContextFilter(Filter):
    """Adds to a target's call the context of the run that it belongs to.

    A call without a context token is background work: it belongs to no organisation,
    is shed first and is not retried.
    """

    def __init__(self, shared: SharedState) -> None:
        self._runs = shared.runs

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        run = self._runs.get(header(req.headers, CONTEXT_HEADER.lower()))
        if run is None:
            return await next_handler(req._replace(depth=1))
        parent = run.request
        part = run.allowance.allocate()
        run.call_started()
        reply = not_run(request.STOPPING, allowance=part)
        try:
            reply = await next_handler(
                req._replace(
                    organisation=parent.organisation,
                    priority=parent.priority,
                    deadline=parent.deadline,
                    allowance=part,
                    request_id=parent.request_id,
                    depth=parent.depth + 1,
                )
            )
            return reply
        finally:
            run.call_ended()
            run.allowance.give_back_unused(min(part, reply.allowance))
            run.path_level = min(run.path_level, reply.path_level)
            failed = reply.outcome is not Outcome.ANSWERED or reply.status >= 500
            run.failed_deeper = run.failed_deeper or failed or reply.deeper


class RouteFilter(Filter):
    """Resolves the service document and the route, and applies their settings to the request."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        doc = self._shared.replica.state.documents.get(req.service)
        path = req.path.partition("?")[0]
        route = doc.route(req.method, path) if doc else None
        if doc is None or route is None or has_dot_segments(path):
            return not_run(request.NO_ROUTE)
        refusal = self._refusal(req, doc, route)
        if refusal is not None:
            return not_run(refusal)
        try:
            timeout_ms = int(header(req.headers, TIMEOUT_HEADER.lower()) or route.timeout_ms)
        except ValueError:
            return not_run(request.BAD_HEADER)
        key = "" if route.idempotent else header(req.headers, IDEMPOTENCY_KEY_HEADER)
        if key and born_ms(key) is None:
            return not_run(request.BAD_HEADER)
        limit_s = max(0, min(timeout_ms, route.timeout_ms)) / 1000
        routed = req._replace(
            route=route.name,
            headers=forwarded(req.headers),
            deadline=min(req.deadline, self._shared.clock.now() + limit_s),
            idempotency_key=key,
            idempotent=route.idempotent,
        )
        if req.depth == 0:
            cohort_id = key or req.request_id
            routed = routed._replace(
                priority=priority_of(route.importance, cohort_id), allowance=route.retries
            )
        elif not req.organisation:
            routed = routed._replace(priority=LOWEST_IMPORTANCE * COHORTS + COHORTS - 1)
        return await next_handler(routed)

    @staticmethod
    def _refusal(req: Request, doc: ServiceDocument, route: Route) -> request.Reason | None:
        if req.depth > MAX_CALL_DEPTH:
            return request.TOO_DEEP
        if req.depth > 0:
            return None
        if not route.open:
            return request.NOT_OPEN
        if req.organisation not in doc.organisations:
            return request.ORGANISATION_UNKNOWN
        return None
