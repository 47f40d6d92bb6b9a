"""Filters that choose the node for a request and retry failed attempts."""

from collections.abc import Callable

from . import request
from .balance import Candidate, Choice
from .chain import Filter, Handler
from .decisions import Decision
from .ledger import seat_for_key
from .request import ADMIT_ALL_LEVEL, Outcome, Reply, Request, not_run, unknown
from .retry import may_retry
from .shared import SharedState

__all__ = ["HomeFilter", "PathLevelFilter", "RetryFilter"]

MAX_RATE_ATTEMPTS = 2
MAX_ATTEMPTS = 64
SHED_RETRY_AFTER_MS = 500


class PathLevelFilter(Filter):
    """Sheds requests that a downstream gate would shed, by the levels in replies."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        levels = self._shared.levels
        if levels.admits(req.service, req.route, req.priority):
            reply = await next_handler(req)
        else:
            reply = not_run(request.SHED, SHED_RETRY_AFTER_MS, req.allowance)
        candidates = self._shared.membership.candidates(req.service)
        gate_level = self._shared.balancer.admission_level(candidates)
        path_level = min(gate_level, reply.path_level)
        if reply.reason is not request.SHED or reply.path_level < ADMIT_ALL_LEVEL:
            levels.record(req.service, req.route, path_level)
        return reply._replace(path_level=min(path_level, levels.level(req.service, req.route)))


class HomeFilter(Filter):
    """Sends a request with an idempotency key to the key's home node only."""

    def __init__(self, shared: SharedState, to_home: Callable[[str], Handler]) -> None:
        self._shared = shared
        self._to_home = to_home

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        if not req.idempotency_key:
            return await next_handler(req)
        home = self._home(req)
        if not home:
            return unknown(request.HOME_UNREACHABLE)
        self._shared.decisions.record(
            Decision("home", "holds the seat", req.request_id, req.service, req.organisation, home)
        )
        reply = await self._to_home(home)(req)
        if reply.reason is request.NOT_HOME:
            return unknown(request.HOME_UNREACHABLE)
        return reply._replace(from_home=True)

    def _home(self, req: Request) -> str:
        state = self._shared.replica.state
        seats = state.documents[req.service].seats
        number = seat_for_key(req.service, req.idempotency_key, seats)
        seat = state.seats.get(req.service, {}).get(number)
        return seat.node if seat is not None else ""


class RetryFilter(Filter):
    """Sends a request to a node of the service, and to others as retries.

    A refusal for an exceeded rate is tried at one other node without using the
    retry allowance, as each node limits an organisation to its own share.
    """

    def __init__(self, shared: SharedState, to_node: Callable[[str], Handler]) -> None:
        self._shared = shared
        self._to_node = to_node

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        self._shared.budget.deposit()
        tried: frozenset[str] = frozenset()
        allowance = req.allowance
        rate_attempts = 0
        may_have_run = False
        reply = not_run(request.NO_TARGET, allowance=allowance)
        for attempt in range(1, MAX_ATTEMPTS):
            choice = self._choose(req, tried)
            if choice is None:
                break
            self._log_decision(req, choice, attempt)
            tried |= {choice.node}
            attempt_req = req._replace(allowance=allowance)
            reply = await self._to_node(choice.node)(attempt_req)
            allowance = min(allowance, reply.allowance)
            may_have_run = may_have_run or reply.outcome is Outcome.UNKNOWN
            if reply.reason is request.OVER_RATE and req.depth == 0:
                rate_attempts += 1
                if rate_attempts >= MAX_RATE_ATTEMPTS or not self._has_untried(req, tried):
                    break
                continue
            if allowance < 1 or not may_retry(attempt_req, reply) or not self._before_deadline(req):
                break
            if not self._shared.budget.spend():
                break
            allowance -= 1
            self._shared.metrics.count("retries")
        if may_have_run and reply.outcome is Outcome.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            reply = reply._replace(outcome=Outcome.UNKNOWN)
        return reply._replace(allowance=allowance)

    def _candidates(self, req: Request) -> list[Candidate]:
        leaving = self._shared.replica.state.documents[req.service].leaving
        found = self._shared.membership.candidates(req.service)
        if not leaving:
            return found
        return [c for c in found if self._target(c.node) not in leaving]

    def _target(self, node: str) -> str:
        advert = self._shared.membership.get(node)
        return advert.target if advert else ""

    def _choose(self, req: Request, tried: frozenset[str]) -> Choice | None:
        candidates = self._candidates(req)
        return self._shared.balancer.choose(candidates, req.priority, req.organisation, tried)

    def _has_untried(self, req: Request, tried: frozenset[str]) -> bool:
        return any(c.node not in tried for c in self._candidates(req))

    def _before_deadline(self, req: Request) -> bool:
        return self._shared.clock.now() < req.deadline

    def _log_decision(self, req: Request, choice: Choice, attempt: int) -> None:
        self._shared.decisions.record(
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
