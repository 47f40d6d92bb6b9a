"""The filters that learn who asks for what.

Calls from outside and calls of targets differ in the first one: a caller outside
is known by its key, a target by the context of the run that it is working on.
"""

import re
import uuid
from urllib.parse import unquote

from . import request
from .chain import Filter, Step
from .document import Route, ServiceDocument
from .ledger import born_ms
from .request import (
    COHORTS,
    LOWEST,
    NO_LEVEL,
    Headers,
    Outcome,
    Reply,
    Request,
    not_run,
    priority_of,
)
from .shared import Shared
from .target import CONTEXT, TIMEOUT, forwarded

__all__ = ["ContextFilter", "KeyFilter", "RepeatFilter", "RouteFilter", "blank"]

FAR_FUTURE_S = 86_400.0
MAX_DEPTH = 64
AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"


def blank(method: str, path: str, headers: Headers, body: bytes, now: float) -> Request:
    """Return the request that a caller sent to ``/service/rest``, before any filter."""
    service, _, rest = path.lstrip("/").partition("/")
    return Request(
        service=service,
        route="",
        method=method,
        path="/" + rest,
        headers=headers,
        body=body,
        organisation="",
        priority=NO_LEVEL - 1,
        deadline=now + FAR_FUTURE_S,
        allowance=0,
        request_id=uuid.uuid4().hex,
        idempotency_key="",
        idempotent=False,
        depth=0,
    )


def header(headers: Headers, name: str) -> str:
    """Return the first value of a header, empty when absent."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return ""


def climbs(path: str) -> bool:
    """Tell whether a path has dot segments, plain or encoded.

    A target may resolve them, and so be asked for another route than was judged.
    """
    return not {".", ".."}.isdisjoint(re.split(r"[/\\]", unquote(unquote(path))))


class RepeatFilter(Filter):
    """Says *not run* of a request with an idempotency key only where its home did.

    The request may be the repeat of one that ran; who refuses it before its home
    is asked knows nothing of that.
    """

    async def handle(self, req: Request, step: Step) -> Reply:
        reply = await step(req)
        if reply.outcome is not Outcome.NOT_RUN or reply.from_home:
            return reply
        if born_ms(header(req.headers, IDEMPOTENCY_KEY)) is None:
            return reply
        return reply._replace(outcome=Outcome.UNKNOWN)


class KeyFilter(Filter):
    """Learns the organisation of a caller outside from its key, and takes it off."""

    def __init__(self, shared: Shared) -> None:
        self._keyring = shared.keyring

    async def handle(self, req: Request, step: Step) -> Reply:
        scheme, _, key = header(req.headers, AUTHORIZATION).partition(" ")
        found = self._keyring.authenticate(key.strip() if scheme.lower() == "bearer" else "")
        if found.is_err():
            return not_run(found.unwrap_err())
        kept = tuple((k, v) for k, v in req.headers if k.lower() != AUTHORIZATION)
        return await step(req._replace(organisation=found.unwrap(), headers=kept))


class ContextFilter(Filter):
    """Gives the call of a target the context of the run that it belongs to.

    A call without one is background work: of no organisation, shed first, with
    no retries.
    """

    def __init__(self, shared: Shared) -> None:
        self._runs = shared.runs

    async def handle(self, req: Request, step: Step) -> Reply:
        run = self._runs.get(header(req.headers, CONTEXT.lower()))
        if run is None:
            return await step(req._replace(depth=1))
        parent = run.request
        part = run.allowance.allocate()
        run.call_started()
        reply = not_run(request.STOPPING, allowance=part)
        try:
            reply = await step(
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
    """Finds the document and the route, and sets what they state for the request."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared

    async def handle(self, req: Request, step: Step) -> Reply:
        doc = self._shared.news.fleet.documents.get(req.service)
        path = req.path.partition("?")[0]
        route = doc.route(req.method, path) if doc else None
        if doc is None or route is None or climbs(path):
            return not_run(request.NO_ROUTE)
        refusal = self._refusal(req, doc, route)
        if refusal is not None:
            return not_run(refusal)
        try:
            timeout_ms = int(header(req.headers, TIMEOUT.lower()) or route.timeout_ms)
        except ValueError:
            return not_run(request.BAD_HEADER)
        key = "" if route.idempotent else header(req.headers, IDEMPOTENCY_KEY)
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
            cohort_of = key or req.request_id
            routed = routed._replace(
                priority=priority_of(route.importance, cohort_of), allowance=route.retries
            )
        elif not req.organisation:
            routed = routed._replace(priority=LOWEST * COHORTS + COHORTS - 1)
        return await step(routed)

    @staticmethod
    def _refusal(req: Request, doc: ServiceDocument, route: Route) -> request.Reason | None:
        if req.depth > MAX_DEPTH:
            return request.TOO_DEEP
        if req.depth > 0:
            return None
        if not route.open:
            return request.NOT_OPEN
        if req.organisation not in doc.organisations:
            return request.NOT_OWED
        return None
