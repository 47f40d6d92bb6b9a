"""The filters in front of a target: may it run, within which rate, and when.

These are the last steps before the target, on its own host, so they are exact
where other nodes only advise: leaving, rate and burst, concurrency, and whether
a request was started at all.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from . import request
from .chain import Filter, Step
from .clock import Clock
from .decisions import Decision, DecisionLog
from .errors import TargetLostError, TargetUnreachedError
from .gate import Admission, Gate
from .ledger import JoinRun, Ledger, StoredReply
from .metrics import Metrics
from .request import COHORTS, Outcome, Reason, Reply, Request, not_run, unknown
from .runs import Run, Runs
from .shares import Account
from .target import TargetClient

__all__ = ["AdmitFilter", "Beside", "HomeStep", "RateFilter", "Slot", "StateFilter", "TargetStep"]

Slot = asyncio.Future[Reason | None]
SHEDDING = frozenset((429, 503))
RATE_WAIT_S = 0.05
PAUSE_MS = 100
PAUSE_PER_QUEUED_MS = 20


class Beside(NamedTuple):
    """A target as its gate sees it."""

    client: TargetClient
    gate: Gate[Slot]


class StateFilter(Filter):
    """Refuses new work while the node stops, or its target leaves or is away.

    ``state`` returns the reason to refuse, or None.
    """

    def __init__(self, state: Callable[[str], Reason | None]) -> None:
        self._state = state

    async def handle(self, req: Request, step: Step) -> Reply:
        reason = self._state(req.service)
        if reason is not None:
            return not_run(reason, allowance=req.allowance)
        return await step(req)


class RateFilter(Filter):
    """Holds an organisation to this node's part of its rate and burst.

    Only a call from outside is charged: what targets call among themselves
    belongs to a request that has been. ``borrow`` asks other nodes for a loan
    and returns once it knows.
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

    async def handle(self, req: Request, step: Step) -> Reply:
        if req.depth > 0:
            return await step(req)
        account = self._account(req.service, req.organisation)
        important = req.priority < COHORTS
        if not account.take(important) and not await self._wait(account, req, important):
            wait_ms = round(account.wait_s() * 1000) + 1
            return not_run(request.OVER_RATE, wait_ms, req.allowance)
        reply = await step(req)
        if reply.outcome is Outcome.NOT_RUN:
            account.refund()
        return reply

    async def _wait(self, account: Account, req: Request, important: bool) -> bool:
        fut = self._borrow(req.service, req.organisation)
        left_s = min(RATE_WAIT_S, req.deadline - self._clock.now())
        await asyncio.wait([fut], timeout=max(0.0, left_s))
        return account.take_uncounted(important)


class AdmitFilter(Filter):
    """Waits for the gate's leave to start."""

    def __init__(self, beside: Callable[[], Beside | None], clock: Clock) -> None:
        self._beside = beside
        self._clock = clock

    async def handle(self, req: Request, step: Step) -> Reply:
        beside = self._beside()
        if beside is None:
            return not_run(request.NO_TARGET, allowance=req.allowance)
        gate = beside.gate
        slot: Slot = asyncio.get_running_loop().create_future()
        offered = gate.offer(slot, req)
        pump(gate)
        if offered.is_err():
            return not_run(offered.unwrap_err(), self._pause_ms(gate), req.allowance)
        if offered.unwrap() is Admission.WAIT:
            reason = await self._await(gate, slot, req)
            if reason is not None:
                return not_run(reason, self._pause_ms(gate), req.allowance)
        if self._beside() is not beside:
            # Another target took the place while this request waited.
            gate.finish(0.0, 0.0, True)
            return not_run(request.NO_TARGET, allowance=req.allowance)
        return await step(req)

    async def _await(self, gate: Gate[Slot], slot: Slot, req: Request) -> Reason | None:
        try:
            left_s = max(0.0, req.deadline - self._clock.now())
            await asyncio.wait([slot], timeout=left_s)
        except asyncio.CancelledError:
            if not gate.remove_waiting(slot) and slot.done() and slot.result() is None:
                gate.finish(0.0, 0.0, True)
                pump(gate)
            raise
        if slot.done():
            return slot.result()
        gate.remove_waiting(slot)
        return request.TOO_LATE

    @staticmethod
    def _pause_ms(gate: Gate[Slot]) -> int:
        return PAUSE_MS + PAUSE_PER_QUEUED_MS * len(gate.queue)


def pump(gate: Gate[Slot]) -> None:
    """Wake the requests that the gate starts or gives up now."""
    started, refused = gate.dispatch()
    for slot in started:
        slot.set_result(None)
    for slot, reason in refused:
        slot.set_result(reason)


class TargetStep:
    """The hand-over to the target. From here on, only an answer is certain."""

    def __init__(self, beside: Callable[[], Beside | None], runs: Runs, clock: Clock) -> None:
        self._beside = beside
        self._runs = runs
        self._clock = clock

    async def __call__(self, req: Request) -> Reply:
        """Run an admitted request and return its reply."""
        beside = self._beside()
        assert beside is not None, "the gate admits only where a target is"
        run = self._runs.start(req)
        ok = True
        try:
            reply = await self._run(beside.client, run)
            ok = reply.outcome is Outcome.ANSWERED and reply.status not in SHEDDING
            return reply._replace(
                allowance=run.allowance.remaining,
                deeper=run.failed_deeper,
                path_level=run.path_level,
                target_us=int(run.durations()[0] * 1e6),
            )
        finally:
            self._runs.end(run)
            seconds, own_s = run.durations()
            beside.gate.finish(seconds, own_s, ok or run.failed_deeper)
            pump(beside.gate)

    async def _run(self, client: TargetClient, run: Run) -> Reply:
        req = run.request
        left_s = req.deadline - self._clock.now()
        if left_s <= 0:
            return not_run(request.TOO_LATE)
        try:
            async with asyncio.timeout(left_s):
                answer = await client.run(req, run.token, int(left_s * 1000))
        except TargetUnreachedError:
            return not_run(request.UNREACHED)
        except TargetLostError:
            return unknown(request.LOST)
        except TimeoutError:
            return unknown(request.TIMED_OUT)
        return Reply(Outcome.ANSWERED, answer.status, answer.headers, answer.body)


class HomeStep:
    """Runs a request under its idempotency key, once, and keeps the answer.

    The run goes on when its caller leaves, so that a repeat finds the answer.
    """

    def __init__(
        self,
        ledger: Callable[[str], Ledger["asyncio.Task[Reply]"]],
        run: Step,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._ledger = ledger
        self._run = run
        self._decisions = decisions
        self._metrics = metrics
        self.running: set[asyncio.Task[Reply]] = set()

    async def __call__(self, req: Request) -> Reply:
        """Return the one outcome of the request's key."""
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
                self._note(req, "kept", "a repeat of a finished request")
                return reply
            case JoinRun(handle):
                task.cancel()
                self._note(req, "joined", "a repeat of a request in flight")
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

    def _note(self, req: Request, what: str, why: str) -> None:
        self._metrics.count("ledger." + what)
        self._decisions.note(Decision(what, why, req.request_id, req.service, req.organisation))
