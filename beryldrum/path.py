"""The path of a request through this node: its chains, and the way to others."""

import asyncio
from typing import Any

import structlog

from . import request, wire
from .chain import Step, chain
from .controllers import LoanController
from .entry import ContextFilter, KeyFilter, RepeatFilter, RouteFilter
from .errors import PeerLostError
from .mint import MintFilter
from .peer import Peers
from .presence import Presence
from .request import Reply, Request, not_run, unknown
from .retry import RETRYABLE_REFUSALS
from .routing import HomeFilter, PathLevelFilter, RetryFilter
from .service_state import ServiceState
from .shared import Shared
from .target_side import AdmitFilter, HomeStep, RateFilter, StateFilter, TargetStep
from .transit import from_call, from_reply, to_call, to_reply

__all__ = ["RequestPath"]

logger = structlog.get_logger()

SPILL = RETRYABLE_REFUSALS | {request.NO_TARGET.type}
LEAST_WAIT_S = 0.001
RATE_USED_MS = 500


class RequestPath:
    """The filters in their order, and the hand-over between nodes.

    ``outside`` is the step for callers, ``inside`` the one for the own target.
    """

    def __init__(
        self,
        shared: Shared,
        peers: Peers,
        presence: Presence,
        holdings: ServiceState,
        loans: LoanController,
    ) -> None:
        self._shared = shared
        self._peers = peers
        self._presence = presence
        self._gate_chain = self._make_gate_chain(holdings, loans)
        self.home = HomeStep(holdings.ledger, self._run_at_home, shared.decisions, shared.metrics)
        retry = self.make_retry()
        self._spill = chain([retry], _nowhere)
        common = [
            RouteFilter(shared),
            PathLevelFilter(shared),
            HomeFilter(shared, self._to_home),
            retry,
        ]
        entry = [
            RepeatFilter(),
            StateFilter(presence.entry_refusal),
            KeyFilter(shared),
            MintFilter(shared.news, shared.roster, shared.balancer, holdings.holds_seat),
        ]
        self.outside = chain([*entry, *common], _nowhere)
        self.inside = chain([RepeatFilter(), ContextFilter(shared), *common], _nowhere)

    def make_retry(self) -> RetryFilter:
        """Return the filter that makes the attempts; a baseline makes another one."""
        return RetryFilter(self._shared, self._to_node)

    def _make_gate_chain(self, holdings: ServiceState, loans: LoanController) -> Step:
        presence, clock = self._presence, self._shared.clock
        filters = [
            StateFilter(presence.refusal),
            RateFilter(holdings.account, loans.borrow, clock),
            AdmitFilter(lambda: presence.beside, clock),
        ]
        return chain(filters, TargetStep(lambda: presence.beside, self._shared.runs, clock))

    # From this node.

    def _to_node(self, node: str) -> Step:
        async def send(req: Request) -> Reply:
            if node == self._shared.node:
                reply = await self._own_gate(req)
            else:
                reply = await self._send(node, req, home=False)
            if reply.reason is request.OVER_RATE:
                used_ms = min(reply.retry_after_ms, RATE_USED_MS)
                self._shared.balancer.record_rate_exceeded(node, req.organisation, used_ms)
            return reply

        return send

    async def _own_gate(self, req: Request) -> Reply:
        balancer, node = self._shared.balancer, self._shared.node
        balancer.record_sent(node)
        try:
            reply = self._presence.stamped(await self._gate_chain(req))
        except BaseException:
            balancer.record_failure(node, penalize=False)
            raise
        balancer.record_reply(node, reply)
        return reply

    async def _send(self, node: str, req: Request, home: bool) -> Reply:
        balancer = self._shared.balancer
        left_s = req.deadline - self._shared.clock.now()
        call = wire.types.Envelope(call=to_call(req, left_s, home))
        balancer.record_sent(node)
        try:
            answer = await self._peers[node].ask(call, max(LEAST_WAIT_S, left_s))
        except PeerLostError as exc:
            balancer.record_failure(node)
            lost = unknown(request.LOST) if exc.sent else not_run(request.UNREACHED)
            return lost._replace(allowance=req.allowance)
        except TimeoutError:
            balancer.record_timeout(node)
            return unknown(request.TIMED_OUT)
        except asyncio.CancelledError:
            balancer.record_failure(node, penalize=False)
            raise
        reply = from_reply(answer.reply)
        balancer.record_reply(node, reply)
        return reply

    def _to_home(self, node: str) -> Step:
        async def send(req: Request) -> Reply:
            if node == self._shared.node:
                return await self.home(req)
            reply = await self._send(node, req, home=True)
            if reply.reason is request.UNREACHED and not reply.load_permille:
                # The home itself was not reached: what it knows is not known here.
                return unknown(request.HOME_AWAY)
            return reply

        return send

    async def _run_at_home(self, req: Request) -> Reply:
        reply = await self._own_gate(req)
        elsewhere = reply.reason is not None and reply.reason.type in SPILL
        if elsewhere and not self._presence.draining:
            return await self._spill(req)
        return reply

    # From other nodes.

    async def serve(self, call: Any) -> Any:
        """Return the reply, as a message, to a call of another node."""
        req = from_call(call, self._shared.clock.now())
        try:
            reply = await (self.home(req) if call.home else self._gate_chain(req))
        except Exception:
            logger.critical("a fault of the node", exc_info=True)
            reply = unknown(request.FAULT)
        return to_reply(self._presence.stamped(reply))


async def _nowhere(req: Request) -> Reply:
    return not_run(request.NO_TARGET)
