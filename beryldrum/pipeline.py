"""Request processing on a node: its filter chains, and forwarding to other nodes."""

import asyncio
from typing import Any

import structlog

from . import request, wire
from .chain import Handler, chain
from .controllers import LoanController
from .entry import ApiKeyFilter, ContextFilter, OutcomeFilter, RouteFilter
from .errors import PeerLostError
from .idempotency_key import IdempotencyKeyFilter
from .local_target import LocalTarget
from .messages import from_call, from_reply, to_call, to_reply
from .peer import Peers
from .request import Reply, Request, not_run, unknown
from .retry import RETRYABLE_REFUSALS
from .routing import HomeFilter, PathLevelFilter, RetryFilter
from .service_state import ServiceState
from .shared import SharedState
from .target_side import AdmissionFilter, HomeHandler, RateFilter, StateFilter, TargetHandler

__all__ = ["RequestPipeline"]

logger = structlog.get_logger()

SPILL_REASONS = RETRYABLE_REFUSALS | {request.NO_TARGET.type}
MIN_TIMEOUT_S = 0.001
MAX_RATE_EXHAUSTED_MS = 500
"""Longest time for which a node is assumed to have no tokens of an organisation left."""


class RequestPipeline:
    """The filter chains of a node, and the forwarding of requests between nodes.

    ``caller_handler`` processes requests of external callers, ``egress_handler`` calls
    made by the target on this host, and ``home`` requests with an idempotency key whose
    home is this node.
    """

    def __init__(
        self,
        shared: SharedState,
        peers: Peers,
        local_target: LocalTarget,
        service_state: ServiceState,
        loans: LoanController,
    ) -> None:
        self._shared = shared
        self._peers = peers
        self._local_target = local_target
        self._gate_chain = self._make_gate_chain(service_state, loans)
        self.home = HomeHandler(
            service_state.ledger, self._run_at_home, shared.decisions, shared.metrics
        )
        retry = self.make_retry()
        self._retry_elsewhere = chain([retry], _refuse_no_target)
        common = [
            RouteFilter(shared),
            PathLevelFilter(shared),
            HomeFilter(shared, self._to_home),
            retry,
        ]
        entry = [
            OutcomeFilter(),
            StateFilter(local_target.entry_refusal),
            ApiKeyFilter(shared),
            IdempotencyKeyFilter(
                shared.replica, shared.membership, shared.balancer, service_state.holds_seat
            ),
        ]
        self.caller_handler = chain([*entry, *common], _refuse_no_target)
        self.egress_handler = chain(
            [OutcomeFilter(), ContextFilter(shared), *common], _refuse_no_target
        )

    def make_retry(self) -> RetryFilter:
        """Return the retry filter; the benchmark baselines override this method."""
        return RetryFilter(self._shared, self._to_node)

    def _make_gate_chain(self, service_state: ServiceState, loans: LoanController) -> Handler:
        local_target, clock = self._local_target, self._shared.clock
        filters = [
            StateFilter(local_target.refusal),
            RateFilter(service_state.account, loans.borrow, clock),
            AdmissionFilter(lambda: local_target.current, clock),
        ]
        return chain(filters, TargetHandler(lambda: local_target.current, self._shared.runs, clock))

    # Requests sent by this node.

    def _to_node(self, node: str) -> Handler:
        async def send(req: Request) -> Reply:
            if node == self._shared.node:
                reply = await self._handle_locally(req)
            else:
                reply = await self._send(node, req, home=False)
            if reply.reason is request.OVER_RATE:
                exhausted_ms = min(reply.retry_after_ms, MAX_RATE_EXHAUSTED_MS)
                self._shared.balancer.record_rate_exceeded(node, req.organisation, exhausted_ms)
            return reply

        return send

    async def _handle_locally(self, req: Request) -> Reply:
        balancer, node = self._shared.balancer, self._shared.node
        balancer.record_sent(node)
        try:
            reply = self._local_target.with_load(await self._gate_chain(req))
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
            answer = await self._peers[node].ask(call, max(MIN_TIMEOUT_S, left_s))
        except PeerLostError as exc:
            balancer.record_failure(node)
            failure = (
                unknown(request.ANSWER_LOST) if exc.sent else not_run(request.TARGET_UNREACHED)
            )
            return failure._replace(allowance=req.allowance)
        except TimeoutError:
            balancer.record_timeout(node)
            return unknown(request.TIMED_OUT)
        except asyncio.CancelledError:
            balancer.record_failure(node, penalize=False)
            raise
        reply = from_reply(answer.reply)
        balancer.record_reply(node, reply)
        return reply

    def _to_home(self, node: str) -> Handler:
        async def send(req: Request) -> Reply:
            if node == self._shared.node:
                return await self.home(req)
            reply = await self._send(node, req, home=True)
            if reply.reason is request.TARGET_UNREACHED and not reply.load_permille:
                # The home node was not reached, and only it knows whether the request ran.
                return unknown(request.HOME_UNREACHABLE)
            return reply

        return send

    async def _run_at_home(self, req: Request) -> Reply:
        reply = await self._handle_locally(req)
        should_spill = reply.reason is not None and reply.reason.type in SPILL_REASONS
        if should_spill and not self._local_target.draining:
            return await self._retry_elsewhere(req)
        return reply

    # Requests received from other nodes.

    async def serve(self, call: Any) -> Any:
        """Process the call message of another node and return the reply message."""
        req = from_call(call, self._shared.clock.now())
        try:
            reply = await (self.home(req) if call.home else self._gate_chain(req))
        except Exception:
            logger.critical("unexpected error while handling a request", exc_info=True)
            reply = unknown(request.INTERNAL_ERROR)
        return to_reply(self._local_target.with_load(reply))


async def _refuse_no_target(req: Request) -> Reply:
    return not_run(request.NO_TARGET)
