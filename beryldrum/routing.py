"""The filters that decide where a request goes, and whether it goes again."""

from collections.abc import Callable

from . import request
from .balance import Candidate, Choice
from .chain import Filter, Step
from .decisions import Decision
from .ledger import seat_for_key
from .request import NO_LEVEL, Outcome, Reply, Request, not_run, unknown
from .retry import may_retry
from .shared import Shared

__all__ = ["HomeFilter", "PathFilter", "RetryFilter"]

RATE_TRIES = 2
MOST_ATTEMPTS = 64
SHED_PAUSE_MS = 500


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
        gates = self._shared.balancer.admission_level(candidates)
        path = min(gates, reply.path_level)
        if reply.reason is not request.SHED or reply.path_level < NO_LEVEL:
            levels.record(req.service, req.route, path)
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
        if reply.reason is request.NOT_HOME:
            return unknown(request.HOME_AWAY)
        return reply._replace(from_home=True)

    def _home(self, req: Request) -> str:
        fleet = self._shared.news.fleet
        seats = fleet.documents[req.service].seats
        number = seat_for_key(req.service, req.idempotency_key, seats)
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
        may_have_run = False
        reply = not_run(request.NO_TARGET, allowance=left)
        for attempt in range(1, MOST_ATTEMPTS):
            choice = self._choose(req, tried)
            if choice is None:
                break
            self._note(req, choice, attempt)
            tried |= {choice.node}
            part = req._replace(allowance=left)
            reply = await self._to_node(choice.node)(part)
            left = min(left, reply.allowance)
            may_have_run = may_have_run or reply.outcome is Outcome.UNKNOWN
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
        if may_have_run and reply.outcome is Outcome.NOT_RUN:
            # True of the last attempt, but not of the request.
            reply = reply._replace(outcome=Outcome.UNKNOWN)
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
