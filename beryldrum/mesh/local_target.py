"""The target on this host: its state, admission to it, and handing requests over.

This node is the only one that hands requests to the target, so it knows exactly
which were started. Once a request has been handed over, only an answer from the
target makes its outcome certain.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable

from .. import request
from ..clock import Clock
from ..errors import AnswerLostError, TargetUnreachedError
from ..request import Outcome, Reason
from .client import Pool
from .cold_start import ColdPolicy, Sending
from .cold_watch import ColdWatch
from .conventions import Handover, ResponseKind, TargetNotice, WireAdapter
from .exchange import answered, not_run, request_head, unknown
from .explain import Explainer
from .frames import Load, Reply, Run, TargetStatus
from .gate import Admission, Gate, RunRequest, is_call
from .http import MemoryBudget
from .target import DRAINING, READY, Announcement, AnnouncementTracker
from .told_statuses import ToldStatuses

__all__ = ["LocalTarget"]

NON_IDEMPOTENT_MAX_IDLE_S = 1.5
"""Idle time after which a connection is not used for a request that must not run twice:
the target may have closed it, and it would be unknown whether the request ran."""

HEARTBEAT_TIMEOUT_S = 6.0
"""Time without a heartbeat after which the target is treated as gone."""

UNCONFIRMED_S = 2.5
"""Time over which heartbeats must go on before a target is used if it is not known which
targets have left: one that has left sends no more, and late ones arrive together."""

STATEMENT_LOG_S = 1.0
"""Shortest interval between log lines about what the target states in its answers."""

ANSWER_GRACE_S = 0.05
"""Time after a target's deadline in which its own answer about that is still awaited."""

MIN_RETRY_AFTER_MS = 50
"""Lower bound on the Retry-After of a refusal."""

EVACUATED_RETRY_AFTER_MS = 1_000
"""Retry-After where the data centre is evacuated, which lasts for seconds at least."""

Waiter = asyncio.Future[Reason | None]


class LocalTarget:
    """The target on this host, with its gate and its connections.

    ``on_run`` is called with the route of each request that is handed over, ``on_change``
    when peers have to be notified at once. ``memory`` bounds the bytes of the answers
    that are being read. ``cold_policy`` says what a cold target may get; without it there
    is no limit.
    """

    def __init__(
        self,
        clock: Clock,
        adapter: WireAdapter,
        explainer: Explainer,
        on_run: Callable[[str], None],
        memory: MemoryBudget | None = None,
        on_change: Callable[[], None] = lambda: None,
        cold_policy: ColdPolicy | None = None,
    ) -> None:
        self._clock = clock
        self._adapter = adapter
        self._explainer = explainer
        self._on_run = on_run
        self._on_change = on_change
        self._memory = memory
        self.cold = ColdWatch(clock, adapter, explainer, cold_policy, self._on_cold_change)
        self.evacuated = False
        """Whether the operator has asked that no request goes to this data centre."""
        self.announcements = AnnouncementTracker()
        self.departures_known = False
        """Whether it is known which targets had left before this process started."""
        self._held: Announcement | None = None
        """The last announcement that is not used yet because that is not known."""
        self._held_since = 0.0
        self.stopping = False
        self.stop_at = float("inf")
        """When the node stops running requests, in clock seconds; none gets more time."""
        self._last_heartbeat_at = 0.0
        self._pool: Pool | None = None
        self._gate: Gate[Waiter] | None = None
        self._target: Announcement | None = None
        self.running: dict[str, Run] = {}
        """Runs that the target is working on, by request id."""
        self.handed: Counter[str] = Counter()
        """Requests handed over since the start: ``first`` attempts, ``retry`` and ``call``."""
        self.notices_ignored = 0
        """Answers whose statements about the target were malformed or contradictory."""
        self._stated = False
        """Whether the target has ever stated a limit, or in an answer that it leaves."""
        self._statement_logged_at = float("-inf")
        self._told = ToldStatuses()
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Reply]] = set()
        self._handed_before: dict[str, float] = {}
        """Deadlines of the requests that may be handed over again, by request id."""

    # State of the target.

    def heartbeat(self, announcement: Announcement) -> bool:
        """Process a heartbeat; returns whether peers have to be notified at once."""
        if not self.departures_known and self._target is None and self._hold(announcement):
            return False
        old = self._target
        if not self.announcements.heartbeat(announcement):
            return False
        self._last_heartbeat_at = self._clock.now()
        self._target = announcement
        if old is None or not old.same_start(announcement):
            self._replace_target(announcement)
            return True
        assert self._gate is not None
        self._gate.resize(announcement.slots)
        if self.cold.heartbeat(announcement):
            self._on_cold_change()
        return old.state != announcement.state or old.slots != announcement.slots

    def _hold(self, announcement: Announcement) -> bool:
        """Hold a heartbeat that may be a late one of a target that has left."""
        if announcement.state != READY:
            return False
        now, held = self._clock.now(), self._held
        if held is None or not held.same_start(announcement):
            if held is None or announcement.born_ms >= held.born_ms:
                self._held, self._held_since = announcement, now
            return True
        if announcement.sequence <= held.sequence:
            return True
        self._held = announcement
        return now - self._held_since < UNCONFIRMED_S

    def restore_departures(self, departures: dict[str, int]) -> bool:
        """Apply what the store says of targets that have left this host.

        Returns whether peers have to be notified, since a target is in use from now on.
        """
        self.announcements.restore(departures)
        self.departures_known = True
        held, self._held = self._held, None
        target = self._target
        if target is not None and target.born_ms <= departures.get(target.target_id, -1):
            self._leave("store")
        return held is not None and self.heartbeat(held)

    def _replace_target(self, announcement: Announcement) -> None:
        self._refuse_waiting(request.NO_TARGET)
        if self._pool is not None:
            self._pool.close()
        self._cancel_dispatch()
        self._stated = False
        self._pool = Pool(announcement.address, self._adapter.request_id_header, self._memory)
        self._gate = Gate(self._clock, announcement.slots)
        self.cold.adopt(announcement, self._gate.cold_limit, self._pool)
        self._apply_told()

    def deregister(self, target_id: str, born_ms: int = 0) -> bool:
        """Record that a target has deregistered; returns whether peers have to be notified.

        ``born_ms`` is the start that it states, 0 if none.
        """
        left = self.announcements.deregister(target_id, self._clock.wall_ms(), born_ms)
        if left:
            self._target = self.announcements.current
            self._refuse_waiting(request.LEAVING)
        return left

    def evacuate(self, evacuated: bool) -> None:
        """Apply whether this data centre is evacuated; running requests go on."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        if evacuated:
            self.cold.cancel()
            self._refuse_waiting(request.EVACUATED)
        else:
            self.cold.evacuation_ended()
        self._on_change()

    def _refuse_waiting(self, reason: Reason) -> None:
        if self._gate is not None:
            for waiter, refusal in self._gate.drain_queue(reason):
                if not waiter.done():
                    waiter.set_result(refusal)

    @property
    def service(self) -> str:
        """The service of the target, empty before the first heartbeat."""
        return self._target.service if self._target else ""

    def load(self) -> Load:
        """Return the gate's load; its service is empty where no work is accepted."""
        if self._gate is None or self._refusal(self.service) is not None:
            return Load(status=self._status())
        load = self._gate.load(self.service)
        load.status = self._status()
        return load

    @property
    def rate_limit(self) -> float | None:
        """The limit that the target states, in requests per second, None if it states none."""
        return self._gate.stated_limit.rate if self._gate else None

    def _status(self) -> TargetStatus | None:
        leaving = self._target is not None and self._target.state == DRAINING
        if self._target is None or not (self._stated or leaving):
            return None
        return TargetStatus(self._target.incarnation(), self.rate_limit, leaving)

    def load_for(self, service: str) -> Load | None:
        """Return the gate's load, or None where no work of ``service`` is accepted."""
        if self._gate is None or self._refusal(service) is not None:
            return None
        return self._gate.load(service)

    @property
    def in_flight(self) -> int:
        """Number of runs that the target is working on."""
        return self._gate.in_flight if self._gate else 0

    def tick(self) -> bool:
        """Close stale connections; returns whether the heartbeats have just timed out."""
        if self._pool is not None:
            self._pool.sweep()
        self.cold.tick()
        now = self._clock.now()
        self._handed_before = {k: v for k, v in self._handed_before.items() if v > now}
        silent = now - self._last_heartbeat_at > HEARTBEAT_TIMEOUT_S
        if self._target is None or not silent or self._target.state != READY:
            return False
        self._target = self._target._replace(state="silent")
        self._refuse_waiting(request.NO_TARGET)
        return True

    def _refusal(self, service: str) -> Reason | None:
        target = self._target
        if target is None or target.service != service or target.state == "silent":
            return request.NO_TARGET
        if target.state != READY:
            return request.LEAVING
        if self.evacuated:
            return request.EVACUATED
        return request.STOPPING if self.stopping else None

    # Running.

    async def run(self, run: Run) -> Reply:
        """Run or refuse a request and return the outcome.

        A request cancelled before it is handed over has not run. After that, a
        request that is not idempotent runs to its end in spite of the cancellation,
        since its outcome would be unknown otherwise.
        """
        refusal = self._refusal(run.service)
        if refusal is not None:
            reply = not_run(refusal, self._refusal_retry_after_ms(refusal))
        else:
            assert self._gate is not None
            reply = await self._admit(self._gate, run)
        if reply.reason or reply.status >= 500:
            self._log_outcome(run, reply)
        return reply

    async def _admit(self, gate: Gate[Waiter], run: Run) -> Reply:
        now = self._clock.now()
        deadline = min(now + run.left_ms / 1000, self.stop_at)
        due = now + run.due_ms / 1000
        waiter: Waiter = asyncio.get_running_loop().create_future()
        want = RunRequest(run.route, run.organisation, run.priority, due, deadline)
        offered = gate.offer(waiter, want)
        if offered.is_err():
            return not_run(offered.unwrap_err(), self._retry_after_ms(gate))
        if offered.unwrap() is Admission.WAIT:
            self._schedule_dispatch(gate)
            reason = await self._wait(gate, waiter, deadline)
            if reason is not None:
                wait_ms = self._refusal_retry_after_ms(reason) or self._retry_after_ms(gate)
                return not_run(reason, wait_ms)
        if run.idempotent:
            return await self._hand_over(gate, run, deadline)
        task = asyncio.create_task(self._hand_over(gate, run, deadline))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _wait(self, gate: Gate[Waiter], waiter: Waiter, deadline: float) -> Reason | None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, deadline - self._clock.now()), _expire, waiter)
        try:
            reason = await waiter
        except asyncio.CancelledError:
            waiting = gate.withdraw(waiter)
            if not waiting and waiter.done() and not waiter.cancelled() and waiter.result() is None:
                gate.abandon()
                self._dispatch(gate)
            raise
        finally:
            timer.cancel()
        if reason is request.TOO_LATE:
            gate.withdraw(waiter)
        return reason

    async def _hand_over(self, gate: Gate[Waiter], run: Run, deadline: float) -> Reply:
        # The target may have changed since the request was admitted, also before this task ran.
        if gate is not self._gate or self._refusal(run.service) is not None:
            gate.abandon()
            self._dispatch(gate)
            refusal = self._refusal(run.service) or request.NO_TARGET
            return not_run(refusal, self._refusal_retry_after_ms(refusal))
        started = self._clock.now()
        self._on_run(run.route)
        kind = "call" if is_call(run.priority) else "retry" if run.is_retry else "first"
        self.handed[kind] += 1
        self.running[run.request_id] = run
        ok = False
        sending = gate.cold_limit.sending()
        try:
            reply = await self._send(run, deadline, sending)
            ok = reply.outcome == Outcome.ANSWERED and reply.status < 500
            return reply
        finally:
            self.running.pop(run.request_id, None)
            sending.close()
            gate.finish(run.route, self._clock.now() - started, ok)
            self._dispatch(gate)

    async def _send(self, run: Run, deadline: float, sending: Sending) -> Reply:
        assert self._pool is not None and self._target is not None
        target, handed_at = self._target, self._clock.now()
        left_s = deadline - handed_at
        if left_s <= 0:
            return not_run(request.TOO_LATE)
        handover = Handover(target.target_id, max(1, int(left_s * 1000)))
        data = request_head(run, self._adapter.handover_headers(handover))
        idle_s = 60.0 if run.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        handed_before = run.request_id in self._handed_before
        try:
            response = await self._pool.request(
                data,
                left_s + ANSWER_GRACE_S,
                run.request_id.encode("latin-1"),
                idle_s,
                run.method == "HEAD",
                handed_before,
                run.body,
                sending,
            )
        except TargetUnreachedError:
            return not_run(request.TARGET_UNREACHED)
        except AnswerLostError:
            return unknown(request.ANSWER_LOST)
        except TimeoutError:
            return unknown(request.TIMED_OUT)
        self._apply_notice(self._adapter.target_notice(response), target, handed_at)
        kind = self._adapter.classify(response)
        if kind is not ResponseKind.ANSWERED:
            self._handed_before[run.request_id] = deadline
        if kind is ResponseKind.NOT_RUN:
            return not_run(request.SHED, MIN_RETRY_AFTER_MS, handed=True)
        if kind is ResponseKind.UNVERIFIED:
            return unknown(request.ANSWER_LOST)
        if not run.idempotent and response.status in self._adapter.not_run_statuses:
            # The target has not stated that the request has not run, but its status would.
            return unknown(request.UNSTATED_REFUSAL)
        return answered(response.status, self._adapter.response_headers(response), response.body)

    # Statements of the target about itself.

    def _apply_notice(
        self, notice: TargetNotice | None, target: Announcement, handed_at: float
    ) -> None:
        """Apply what the answer to a request that was handed to ``target`` states."""
        current = self._target
        if notice is None or current is None or not current.same_start(target):
            return
        assert self._gate is not None
        if notice.problem:
            self.notices_ignored += 1
            if self._may_log_statement():
                self._explainer.event(
                    "target statement ignored", target=target.target_id, problem=notice.problem
                )
        if notice.limit_readable:
            before = self.rate_limit
            if self._gate.stated_limit.update(notice.rate_limit, handed_at):
                self._limit_changed(before)
        if notice.leaving:
            self._leave("answer")

    def _may_log_statement(self) -> bool:
        now = self._clock.now()
        if now - self._statement_logged_at < STATEMENT_LOG_S:
            return False
        self._statement_logged_at = now
        return True

    def _limit_changed(self, before: float | None) -> None:
        assert self._gate is not None and self._target is not None
        self._stated = True
        rate = self.rate_limit
        started_or_ended = rate is None or before is None
        if self._may_log_statement() or started_or_ended:
            self._explainer.event(
                "target rate limit",
                target=self._target.target_id,
                requests_per_s=rate,
                before=before,
            )
        self._cancel_dispatch()
        self._dispatch(self._gate)
        if started_or_ended:
            self._on_change()

    def _on_cold_change(self) -> None:
        if self._gate is not None:
            self._cancel_dispatch()
            self._dispatch(self._gate)
            self._on_change()

    def _leave(self, source: str) -> None:
        assert self._target is not None
        self._stated = True
        if self._target.state == DRAINING:
            return
        self.announcements.leave()
        self._target = self._target._replace(state=DRAINING)
        self._explainer.event("target leaving", target=self._target.target_id, source=source)
        self._refuse_waiting(request.LEAVING)
        self._on_change()

    def inform(self, status: TargetStatus) -> None:
        """Apply what another node has heard of the target, before this node restarted."""
        self._told.add(status)
        self._apply_told()

    def _apply_told(self) -> None:
        if self._target is None or self._gate is None:
            return
        status = self._told.take(self._target.incarnation())
        if status is None:
            return
        before = self.rate_limit
        if self._gate.stated_limit.inform(status.rate_limit):
            self._limit_changed(before)
        if status.leaving:
            self._leave("peer")

    def _dispatch(self, gate: Gate[Waiter]) -> None:
        abandoned = True
        while abandoned:
            started, refused = gate.dequeue()
            abandoned = False
            for waiter in started:
                if waiter.done():
                    # Its start is free for the next one in the queue.
                    gate.abandon()
                    abandoned = True
                else:
                    waiter.set_result(None)
            for waiter, reason in refused:
                if not waiter.done():
                    waiter.set_result(reason)
        self._schedule_dispatch(gate)

    def _schedule_dispatch(self, gate: Gate[Waiter]) -> None:
        """Wake up when the target's limit allows the next queued request to start."""
        if gate is not self._gate or gate.queue.empty or self._dispatch_timer is not None:
            return
        delay_s = gate.delay_s()
        # The limit may have come to allow a start since the queue was looked at. Where no
        # slot is free, the end of a run wakes the queue.
        if delay_s > 0.0 or gate.in_flight < gate.limit:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(delay_s, self._dispatch_delayed, gate)

    def _cancel_dispatch(self) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None

    def _dispatch_delayed(self, gate: Gate[Waiter]) -> None:
        self._dispatch_timer = None
        self._dispatch(gate)

    @staticmethod
    def _refusal_retry_after_ms(reason: Reason) -> int:
        return EVACUATED_RETRY_AFTER_MS if reason is request.EVACUATED else 0

    @staticmethod
    def _retry_after_ms(gate: Gate[Waiter]) -> int:
        return max(MIN_RETRY_AFTER_MS, int(gate.wait_s() * 1000))

    def _log_outcome(self, run: Run, reply: Reply) -> None:
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
        """Wait for the runs that continue after their callers have gone."""
        with contextlib.suppress(Exception):
            await asyncio.gather(*self._tasks, return_exceptions=True)


def _expire(waiter: Waiter) -> None:
    if not waiter.done():
        waiter.set_result(request.TOO_LATE)
