"""Filters in front of a target: availability, rate limit and admission.

They run on the host of the target, right before the request is sent to it. Unlike the
estimates of other nodes, their decisions are exact: whether the target is leaving, rate
and burst, concurrency, and whether a request was started at all.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from . import request
from .chain import Filter, Handler
from .clock import Clock
from .decisions import Decision, DecisionLog
from .errors import AnswerLostError, TargetUnreachedError
from .gate import Admission, Gate
from .ledger import JoinRun, Ledger, StoredReply
from .metrics import Metrics
from .request import COHORTS, Outcome, Reason, Reply, Request, not_run, unknown
from .runs import Run, Runs
from .shares import Account
from .target import TargetClient

__all__ = [
    "AdmissionFilter",
    "GatedTarget",
    "HomeHandler",
    "RateFilter",
    "StateFilter",
    "TargetHandler",
    "Waiter",
]

Waiter = asyncio.Future[Reason | None]
"""Resolved with None when the request may start, or with the reason for its refusal."""

OVERLOAD_STATUSES = frozenset((429, 503))
LOAN_WAIT_S = 0.05
RETRY_AFTER_MS = 100
RETRY_AFTER_PER_QUEUED_MS = 20


class GatedTarget(NamedTuple):
    """A target's client together with its admission gate."""

    client: TargetClient
    gate: Gate[Waiter]


class StateFilter(Filter):
    """Refuses new requests while the node stops or its target is leaving or absent.

    ``refusal`` returns the reason to refuse requests for a service, or None.
    """

    def __init__(self, refusal: Callable[[str], Reason | None]) -> None:
        self._refusal = refusal

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        reason = self._refusal(req.service)
        if reason is not None:
            return not_run(reason, allowance=req.allowance)
        return await next_handler(req)


class RateFilter(Filter):
    """Limits an organisation to this node's part of its rate and burst.

    Only requests of external callers are charged; a call made by a target belongs to a
    request that has been charged already. ``borrow`` asks other nodes for a loan and
    returns a future that completes when the result is known.
    """

    def __init__(
        self,
        account: Callable[[str, str], Account],
        borrow: Callable[[str, str], "asyncio.Future[None]"],
        clock: Clock,
    ) -> None:
        self._account = account
        self._borrow = borrow
        self._clock = clock

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        if req.depth > 0:
            return await next_handler(req)
        account = self._account(req.service, req.organisation)
        important = req.priority < COHORTS
        if not account.take(important) and not await self._wait(account, req, important):
            wait_ms = round(account.wait_s() * 1000) + 1
            return not_run(request.OVER_RATE, wait_ms, req.allowance)
        reply = await next_handler(req)
        if reply.outcome is Outcome.NOT_RUN:
            account.refund()
        return reply

    async def _wait(self, account: Account, req: Request, important: bool) -> bool:
        fut = self._borrow(req.service, req.organisation)
        left_s = min(LOAN_WAIT_S, req.deadline - self._clock.now())
        await asyncio.wait([fut], timeout=max(0.0, left_s))
        return account.take_uncounted(important)


class AdmissionFilter(Filter):
    """Waits until the gate starts or refuses the request.

    ``current`` returns the target on this host, or None.
    """

    def __init__(self, current: Callable[[], GatedTarget | None], clock: Clock) -> None:
        self._current = current
        self._clock = clock

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        target = self._current()
        if target is None:
            return not_run(request.NO_TARGET, allowance=req.allowance)
        gate = target.gate
        waiter: Waiter = asyncio.get_running_loop().create_future()
        offered = gate.offer(waiter, req)
        resolve_waiters(gate)
        if offered.is_err():
            return not_run(offered.unwrap_err(), self._retry_after_ms(gate), req.allowance)
        if offered.unwrap() is Admission.WAIT:
            reason = await self._wait_for_start(gate, waiter, req)
            if reason is not None:
                return not_run(reason, self._retry_after_ms(gate), req.allowance)
        if self._current() is not target:
            # The target was replaced while this request waited.
            gate.finish(0.0, 0.0, True)
            return not_run(request.NO_TARGET, allowance=req.allowance)
        return await next_handler(req)

    async def _wait_for_start(
        self, gate: Gate[Waiter], waiter: Waiter, req: Request
    ) -> Reason | None:
        try:
            left_s = max(0.0, req.deadline - self._clock.now())
            await asyncio.wait([waiter], timeout=left_s)
        except asyncio.CancelledError:
            if not gate.remove_waiting(waiter) and waiter.done() and waiter.result() is None:
                gate.finish(0.0, 0.0, True)
                resolve_waiters(gate)
            raise
        if waiter.done():
            return waiter.result()
        gate.remove_waiting(waiter)
        return request.TOO_LATE

    @staticmethod
    def _retry_after_ms(gate: Gate[Waiter]) -> int:
        return RETRY_AFTER_MS + RETRY_AFTER_PER_QUEUED_MS * len(gate.queue)


def resolve_waiters(gate: Gate[Waiter]) -> None:
    """Resolve the waiters of all requests that the gate starts or refuses now."""
    started, refused = gate.dispatch()
    for waiter in started:
        waiter.set_result(None)
    for waiter, reason in refused:
        waiter.set_result(reason)


class TargetHandler:
    """Sends a request to the target.

    Once the request is sent, only a complete answer proves what became of it.
    """

    def __init__(self, current: Callable[[], GatedTarget | None], runs: Runs, clock: Clock) -> None:
        self._current = current
        self._runs = runs
        self._clock = clock

    async def __call__(self, req: Request) -> Reply:
        """Run an admitted request and return its reply."""
        target = self._current()
        assert target is not None, "a request was admitted without a target"
        run = self._runs.start(req)
        ok = True
        try:
            reply = await self._run(target.client, run)
            ok = reply.outcome is Outcome.ANSWERED and reply.status not in OVERLOAD_STATUSES
            return reply._replace(
                allowance=run.allowance.remaining,
                deeper=run.failed_deeper,
                path_level=run.path_level,
                target_us=int(run.durations()[0] * 1e6),
            )
        finally:
            self._runs.end(run)
            seconds, own_s = run.durations()
            target.gate.finish(seconds, own_s, ok or run.failed_deeper)
            resolve_waiters(target.gate)

    async def _run(self, client: TargetClient, run: Run) -> Reply:
        req = run.request
        left_s = req.deadline - self._clock.now()
        if left_s <= 0:
            return not_run(request.TOO_LATE)
        try:
            async with asyncio.timeout(left_s):
                answer = await client.run(req, run.token, int(left_s * 1000))
        except TargetUnreachedError:
            return not_run(request.TARGET_UNREACHED)
        except AnswerLostError:
            return unknown(request.ANSWER_LOST)
        except TimeoutError:
            return unknown(request.TIMED_OUT)
        return Reply(Outcome.ANSWERED, answer.status, answer.headers, answer.body)


class HomeHandler:
    """Runs a request with an idempotency key at most once and keeps its answer.

    The run continues when its caller disconnects, so that a retry finds the answer.
    """

    def __init__(
        self,
        ledger: Callable[[str], Ledger["asyncio.Task[Reply]"]],
        run: Handler,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._ledger = ledger
        self._run = run
        self._decisions = decisions
        self._metrics = metrics
        self.running: set[asyncio.Task[Reply]] = set()

    async def __call__(self, req: Request) -> Reply:
        """Return the outcome of the request, or of the earlier one with the same key."""
        ledger = self._ledger(req.service)
        start = asyncio.Event()
        task = asyncio.create_task(self._run_once(start, ledger, req))
        opened = ledger.begin(req, task)
        if opened.is_err():
            task.cancel()
            return not_run(opened.unwrap_err(), allowance=req.allowance)
        match opened.unwrap():
            case StoredReply(reply):
                task.cancel()
                self._record(req, "kept", "retry of a finished request")
                return reply
            case JoinRun(handle):
                task.cancel()
                self._record(req, "joined", "retry of a request in flight")
                task = handle
            case _:
                self.running.add(task)
                task.add_done_callback(self.running.discard)
                start.set()
        return await asyncio.shield(task)

    async def _run_once(
        self, start: asyncio.Event, ledger: Ledger["asyncio.Task[Reply]"], req: Request
    ) -> Reply:
        await start.wait()
        reply = unknown(request.CANCELLED)
        try:
            reply = await self._run(req)
            return reply
        finally:
            ledger.complete(req.idempotency_key, reply)

    def _record(self, req: Request, what: str, why: str) -> None:
        self._metrics.count("ledger." + what)
        self._decisions.record(Decision(what, why, req.request_id, req.service, req.organisation))
