"""The filters between a caller and the nodes: who asks, for what, and where it goes.

Calls from outside and calls of targets pass the same filters from
:class:`RouteFilter` on. They differ in the first one: a caller outside is known
by its key, a target by the context of the run that it is working on.
"""

import uuid
from collections.abc import Callable
from typing import NamedTuple

from . import request
from .balance import Balancer, Candidate, Choice
from .chain import Filter, Step
from .clock import Clock
from .decisions import Decision, DecisionLog
from .document import Route, ServiceDocument
from .keyring import Keyring
from .ledger import born_ms, seat_of
from .level import PathLevels
from .metrics import Metrics
from .news import News
from .request import (
    COHORTS,
    NO_LEVEL,
    Headers,
    Outcome,
    Reply,
    Request,
    not_run,
    priority_of,
    unknown,
)
from .retry import Budget, may_retry
from .roster import Roster
from .runs import Runs
from .target import CONTEXT, TIMEOUT, forwarded

__all__ = [
    "ContextFilter",
    "HomeFilter",
    "KeyFilter",
    "PathFilter",
    "RetryFilter",
    "RouteFilter",
    "Shared",
    "blank",
]

FAR_FUTURE_S = 86_400.0
MAX_DEPTH = 64
LOWEST = 3
RATE_TRIES = 2
SHED_PAUSE_MS = 500
AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"


class Shared(NamedTuple):
    """What the filters of a node share."""

    clock: Clock
    node: str
    news: News
    keyring: Keyring
    roster: Roster
    balancer: Balancer
    levels: PathLevels
    budget: Budget
    runs: Runs
    decisions: DecisionLog
    metrics: Metrics


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


class KeyFilter(Filter):
    """Learns the organisation of a caller outside from its key, and takes it off."""

    def __init__(self, shared: Shared) -> None:
        self._keyring = shared.keyring

    async def handle(self, req: Request, step: Step) -> Reply:
        scheme, _, key = header(req.headers, AUTHORIZATION).partition(" ")
        found = self._keyring.organisation(key.strip() if scheme.lower() == "bearer" else "")
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
        part = run.allowance.lend()
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
            run.allowance.give_back(min(part, reply.allowance))
            run.path_level = min(run.path_level, reply.path_level)
            failed = reply.outcome is not Outcome.ANSWERED or reply.status >= 500
            run.failed_deeper = run.failed_deeper or failed or reply.deeper


class RouteFilter(Filter):
    """Finds the document and the route, and sets what they state for the request."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared

    async def handle(self, req: Request, step: Step) -> Reply:
        doc = self._shared.news.fleet.documents.get(req.service)
        route = doc.route(req.method, req.path.partition("?")[0]) if doc else None
        if doc is None or route is None:
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


class PathFilter(Filter):
    """Sheds what a gate further down would shed, and learns where that is."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared

    async def handle(self, req: Request, step: Step) -> Reply:
        levels = self._shared.levels
        if levels.admits(req.service, req.route, req.priority):
            reply = await step(req)
        else:
            reply = not_run(request.SHED, SHED_PAUSE_MS, req.allowance)
        candidates = self._shared.roster.candidates(req.service)
        gates = self._shared.balancer.shed_level(candidates)
        path = min(gates, reply.path_level)
        if reply.reason is not request.SHED or reply.path_level < NO_LEVEL:
            levels.learn(req.service, req.route, path)
        return reply._replace(path_level=min(path, levels.level(req.service, req.route)))


class HomeFilter(Filter):
    """Sends a request with an idempotency key to the key's home, and only there."""

    def __init__(self, shared: Shared, to_home: Callable[[str], Step]) -> None:
        self._shared = shared
        self._to_home = to_home

    async def handle(self, req: Request, step: Step) -> Reply:
        if not req.idempotency_key:
            return await step(req)
        home = self._home(req)
        if not home:
            return unknown(request.HOME_AWAY)
        self._shared.decisions.note(
            Decision("home", "holds the seat", req.request_id, req.service, req.organisation, home)
        )
        reply = await self._to_home(home)(req)
        # An earlier attempt with the key may have run: this is no "not run".
        return unknown(request.HOME_AWAY) if reply.reason is request.NOT_HOME else reply

    def _home(self, req: Request) -> str:
        fleet = self._shared.news.fleet
        seats = fleet.documents[req.service].seats
        number = seat_of(req.service, req.idempotency_key, seats)
        seat = fleet.seats.get(req.service, {}).get(number)
        return seat.node if seat is not None else ""


class RetryFilter(Filter):
    """Chooses a node for each attempt and makes those that may be made again."""

    def __init__(self, shared: Shared, to_node: Callable[[str], Step]) -> None:
        self._shared = shared
        self._to_node = to_node

    async def handle(self, req: Request, step: Step) -> Reply:
        self._shared.budget.deposit()
        tried: frozenset[str] = frozenset()
        left = req.allowance
        rate_tries = 0
        reply = not_run(request.NO_TARGET, allowance=left)
        for attempt in range(1, MAX_DEPTH):
            choice = self._choose(req, tried)
            if choice is None:
                break
            self._note(req, choice, attempt)
            tried |= {choice.node}
            part = req._replace(allowance=left)
            reply = await self._to_node(choice.node)(part)
            left = min(left, reply.allowance)
            if reply.reason is request.OVER_RATE and req.depth == 0:
                rate_tries += 1
                if rate_tries >= RATE_TRIES or not self._others(req, tried):
                    break
                continue
            if left < 1 or not may_retry(part, reply) or not self._in_time(req):
                break
            if not self._shared.budget.spend():
                break
            left -= 1
            self._shared.metrics.count("retries")
        return reply._replace(allowance=left)

    def _candidates(self, req: Request) -> list[Candidate]:
        leaving = self._shared.news.fleet.documents[req.service].leaving
        found = self._shared.roster.candidates(req.service)
        if not leaving:
            return found
        return [c for c in found if self._target(c.node) not in leaving]

    def _target(self, node: str) -> str:
        advert = self._shared.roster.get(node)
        return advert.target if advert else ""

    def _choose(self, req: Request, tried: frozenset[str]) -> Choice | None:
        candidates = self._candidates(req)
        return self._shared.balancer.choose(candidates, req.priority, req.organisation, tried)

    def _others(self, req: Request, tried: frozenset[str]) -> bool:
        return any(c.node not in tried for c in self._candidates(req))

    def _in_time(self, req: Request) -> bool:
        return self._shared.clock.now() < req.deadline

    def _note(self, req: Request, choice: Choice, attempt: int) -> None:
        self._shared.decisions.note(
            Decision(
                "route",
                choice.why,
                req.request_id,
                req.service,
                req.organisation,
                choice.node,
                attempt,
            )
        )
