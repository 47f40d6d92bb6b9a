"""The last steps before the target on this host: state, admission, hand-over.

Only this node hands requests to the target, so it alone knows exactly what was
started. From the hand-over on only an answer is certain.
"""

import asyncio
import contextlib
from collections.abc import Callable

from .. import request
from ..clock import Clock
from ..errors import TargetLostError, TargetUnreachedError
from ..request import Outcome, Reason
from .client import Pool
from .conventions import Conventions, Handover, Judgement
from .explain import Explainer
from .frames import Load, Reply, Run
from .gate import Admission, Gate, RunRequest
from .http import BodyMemory
from .target import READY, Announced, Announcement
from .work import answered, not_run, unknown

__all__ = ["TargetSide"]

FRESH_S = 1.5
"""A connection that was idle for longer may have been closed by the target
meanwhile; what may run only once is then sent on a new one."""

SILENT_S = 6.0
"""A target that has not been heard of for this long has ended."""

PAUSE_LEAST_MS = 50
"""Least pause that a refused caller is told."""

Slot = asyncio.Future[Reason | None]


class TargetSide:
    """The target beside this node, its gate and its connections."""

    def __init__(
        self,
        clock: Clock,
        conventions: Conventions,
        explainer: Explainer,
        ran: Callable[[str], None],
        memory: BodyMemory | None = None,
    ) -> None:
        self._clock = clock
        self._conventions = conventions
        self._explainer = explainer
        self._ran = ran
        self._memory = memory
        self.announced = Announced()
        self.stopping = False
        self._heard_at = 0.0
        self._pool: Pool | None = None
        self._gate: Gate[Slot] | None = None
        self._target: Announcement | None = None
        self.running: dict[str, Run] = {}
        """The runs that the target has, by request id."""
        self._tasks: set[asyncio.Task[Reply]] = set()

    # What the target states.

    def heartbeat(self, news: Announcement) -> bool:
        """Take up a heartbeat; returns whether others have to know at once."""
        old = self._target
        if not self.announced.heartbeat(news):
            return False
        self._heard_at = self._clock.now()
        self._target = news
        if old is None or (old.target_id, old.born_ms) != (news.target_id, news.born_ms):
            self._replace(news)
            return True
        assert self._gate is not None
        self._gate.resize(news.slots)
        return old.state != news.state or old.slots != news.slots

    def _replace(self, news: Announcement) -> None:
        self._end_waiting(request.NO_TARGET)
        if self._pool is not None:
            self._pool.close()
        self._pool = Pool(news.address, self._conventions.echo, self._memory)
        self._gate = Gate(self._clock, news.slots)

    def leave(self, target_id: str) -> bool:
        """Note that a target leaves; returns whether others have to know."""
        left = self.announced.leave(target_id, self._clock.wall_ms())
        if left:
            self._target = self.announced.current
            self._end_waiting(request.LEAVING)
        return left

    def _end_waiting(self, reason: Reason) -> None:
        if self._gate is not None:
            for slot, why in self._gate.drain_queue(reason):
                if not slot.done():
                    slot.set_result(why)

    @property
    def service(self) -> str:
        """The service of the target, empty before it has announced itself."""
        return self._target.service if self._target else ""

    def load(self) -> Load:
        """Return the gate's state, without a service where it takes no work."""
        if self._gate is None or self._refusal(self.service) is not None:
            return Load()
        return self._gate.load(self.service)

    def load_for(self, service: str) -> Load | None:
        """Return the gate's state, None where it takes no work of a service."""
        if self._gate is None or self._refusal(service) is not None:
            return None
        return self._gate.load(service)

    @property
    def in_flight(self) -> int:
        """How many runs the target has."""
        return self._gate.in_flight if self._gate else 0

    def tick(self) -> bool:
        """Do the housekeeping; returns whether the target has just gone silent."""
        if self._pool is not None:
            self._pool.sweep()
        silent = self._clock.now() - self._heard_at > SILENT_S
        if self._target is None or not silent or self._target.state != READY:
            return False
        self._target = self._target._replace(state="silent")
        self._end_waiting(request.NO_TARGET)
        return True

    def _refusal(self, service: str) -> Reason | None:
        target = self._target
        if target is None or target.service != service or target.state == "silent":
            return request.NO_TARGET
        if target.state != READY:
            return request.LEAVING
        return request.STOPPING if self.stopping else None

    # Running.

    async def run(self, run: Run) -> Reply:
        """Run a request, or refuse it, and return the outcome.

        When cancelled before the hand-over nothing has run. Afterwards, what may
        run only once is let finish: cut off, nobody could tell what became of it.
        """
        refusal = self._refusal(run.service)
        if refusal is not None:
            reply = not_run(refusal)
        else:
            assert self._gate is not None
            reply = await self._admit(self._gate, run)
        if reply.reason or reply.status >= 500:
            self._explain(run, reply)
        return reply

    async def _admit(self, gate: Gate[Slot], run: Run) -> Reply:
        now = self._clock.now()
        deadline = now + run.left_ms / 1000
        due = now + run.due_ms / 1000
        slot: Slot = asyncio.get_running_loop().create_future()
        want = RunRequest(run.route, run.organisation, run.priority, due, deadline)
        offered = gate.offer(slot, want)
        if offered.is_err():
            return not_run(offered.unwrap_err(), self._pause_ms(gate))
        if offered.unwrap() is Admission.WAIT:
            reason = await self._wait(gate, slot, deadline)
            if reason is not None:
                return not_run(reason, self._pause_ms(gate))
        if gate is not self._gate or self._refusal(run.service) is not None:
            gate.abandon()
            self._pump(gate)
            return not_run(self._refusal(run.service) or request.NO_TARGET)
        if run.idempotent:
            return await self._hand_over(gate, run, deadline)
        task = asyncio.create_task(self._hand_over(gate, run, deadline))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _wait(self, gate: Gate[Slot], slot: Slot, deadline: float) -> Reason | None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, deadline - self._clock.now()), _expire, slot)
        try:
            reason = await slot
        except asyncio.CancelledError:
            waiting = gate.withdraw(slot)
            if not waiting and slot.done() and not slot.cancelled() and slot.result() is None:
                gate.abandon()
                self._pump(gate)
            raise
        finally:
            timer.cancel()
        if reason is request.TOO_LATE:
            gate.withdraw(slot)
        return reason

    async def _hand_over(self, gate: Gate[Slot], run: Run, deadline: float) -> Reply:
        started = self._clock.now()
        self._ran(run.route)
        self.running[run.request_id] = run
        ok = False
        try:
            reply = await self._send(run, deadline)
            ok = reply.outcome == Outcome.ANSWERED and reply.status < 500
            return reply
        finally:
            self.running.pop(run.request_id, None)
            gate.finish(run.route, self._clock.now() - started, ok)
            self._pump(gate)

    async def _send(self, run: Run, deadline: float) -> Reply:
        assert self._pool is not None and self._target is not None
        left_s = deadline - self._clock.now()
        if left_s <= 0:
            return not_run(request.TOO_LATE)
        told = Handover(self._target.target_id, max(1, int(left_s * 1000)))
        size = b"Content-Length: %d\r\n" % len(run.body) if _has_body(run) else b""
        data = b"%s %s HTTP/1.1\r\n%s%s%s\r\n%s" % (
            run.method.encode("latin-1"),
            run.path.encode("latin-1"),
            run.head,
            self._conventions.handover(told),
            size,
            run.body,
        )
        idle_s = 60.0 if run.idempotent else FRESH_S
        try:
            response = await self._pool.request(
                data, left_s, run.request_id.encode("latin-1"), idle_s, run.method == "HEAD"
            )
        except TargetUnreachedError:
            return not_run(request.UNREACHED)
        except TargetLostError:
            return unknown(request.LOST)
        except TimeoutError:
            return unknown(request.TIMED_OUT)
        judgement = self._conventions.judge(response)
        if judgement is Judgement.NOT_RUN:
            return not_run(request.SHED, PAUSE_LEAST_MS, handed=True)
        if judgement is Judgement.NOT_ITS_OWN:
            return unknown(request.LOST)
        return answered(response.status, self._conventions.returned(response), response.body)

    @staticmethod
    def _pump(gate: Gate[Slot]) -> None:
        started, refused = gate.dequeue()
        for slot in started:
            if slot.done():
                gate.abandon()
            else:
                slot.set_result(None)
        for slot, reason in refused:
            if not slot.done():
                slot.set_result(reason)

    @staticmethod
    def _pause_ms(gate: Gate[Slot]) -> int:
        return max(PAUSE_LEAST_MS, int(gate.wait_s() * 1000))

    def _explain(self, run: Run, reply: Reply) -> None:
        load = self.load()
        self._explainer.request(
            "gate",
            run.request_id,
            reply.reason or "target-failed",
            service=run.service,
            organisation=run.organisation,
            status=reply.status,
            handed=reply.handed,
            left_ms=run.left_ms,
            priority=run.priority,
            busy=load.busy,
            queued=load.queued,
            limit=load.limit,
            run_ms=round(load.run_ms, 1),
            target=self._target.target_id if self._target else "",
        )

    async def finish(self) -> None:
        """Wait for the runs that outlive their callers."""
        with contextlib.suppress(Exception):
            await asyncio.gather(*self._tasks, return_exceptions=True)


def _expire(slot: Slot) -> None:
    if not slot.done():
        slot.set_result(request.TOO_LATE)


def _has_body(run: Run) -> bool:
    return bool(run.body) or run.method in ("POST", "PUT", "PATCH")
