"""Admission to the target on this host: which requests run, wait or are refused.

More requests may arrive than the target can run in time, and a target that is full may
hang, so it never gets more requests than it has slots, nor more per second than the limit
that it states or, while it is cold, than a cold target takes; of two limits the stricter
one applies. Queued requests run in the order of their latest start. A request that
cannot be answered in time is refused at once, as *not run*, while its caller still has
time left.
"""

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from .. import request
from ..clock import Clock
from ..request import Reason
from .cold_start import ColdLimit
from .frames import Load
from .load_estimator import LoadEstimator
from .queue import SlackQueue
from .stated_limit import StatedLimit

__all__ = ["CALL_PRIORITY", "Admission", "Gate", "RunRequest", "call_priority", "is_call"]

CALL_PRIORITY = 0
"""Priority of a call by a target whose run is not known. Calls are not refused for
being answered after they are due, since the work above them has already been done."""

USABLE_SLOT_SHARE = 0.94
"""Share of the slots that is used; some targets slow down from 95% on."""

EWMA_WEIGHT = 0.1
"""Weight of the newest run in the averages of run time and failures."""

MAX_QUEUED = 2_000
"""Maximum number of queued requests, which bounds memory."""

FAILURE_HALF_LIFE_S = 4.0
"""Time without a run in which the failure share halves, so that a target which gets no
requests any more is tried again."""

MIN_RUN_SHARE = 0.6
"""Share of a route's mean run time that must be left for a run to be started."""

T = TypeVar("T")


def call_priority(run_priority: int) -> int:
    """Return the priority of a call that a run of priority ``run_priority`` makes.

    Calls have the lowest numbers, in the order of the priorities of their runs.
    """
    return (
        run_priority
        if run_priority < request.COHORTS
        else run_priority * request.COHORTS // request.ADMIT_ALL_LEVEL
    )


def is_call(priority: int) -> bool:
    """Tell whether a priority is that of a call by a target."""
    return priority < request.COHORTS


class Admission(Enum):
    """What happens to a request that is not refused."""

    START = "start"
    WAIT = "wait"


STARTED: Result[Admission, Reason] = Ok(Admission.START)


class RunRequest(NamedTuple):
    """A request for a run; ``due`` and ``deadline`` are clock seconds.

    An answer after ``due`` is of little use, one after ``deadline`` of none.
    """

    route: str
    organisation: str
    priority: int
    due: float
    deadline: float


class Gate(Generic[T]):
    """Decides on the runs of one target. ``T`` is the caller's handle of a request."""

    def __init__(self, clock: Clock, slots: int) -> None:
        self._clock = clock
        self._route_run_s: dict[str, float] = {}
        self._run_s = 0.0
        self._success_run_s = 0.0
        """The mean time of successful runs."""
        self._failure_share = 0.0
        self._ended_at = clock.now()
        self._refused: list[tuple[T, Reason]] = []
        self._waiting: dict[int, RunRequest] = {}
        self.queue: SlackQueue[T] = SlackQueue()
        self.load_estimator = LoadEstimator(clock)
        self.stated_limit = StatedLimit(clock)
        self.cold_limit = ColdLimit(clock)
        self.in_flight = 0
        self.limit = 1
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Apply the number of slots that the target announces."""
        self.limit = max(1, int(slots * USABLE_SLOT_SHARE))

    def offer(self, item: T, req: RunRequest) -> Result[Admission, Reason]:
        """Decide on a new request."""
        now = self._clock.now()
        self.load_estimator.record_arrival()
        run_s = self._route_run_s.get(req.route, 0.0)
        if now + run_s * MIN_RUN_SHARE >= req.deadline and (self.in_flight or now >= req.deadline):
            return Err(request.TOO_LATE)
        if self.queue.empty and self._can_start():
            self._start()
            return STARTED
        start_by = req.due - run_s
        wait_s = self._wait_s(self.queue.ahead(start_by) + 1)
        if now + wait_s + run_s > self._answer_by(req) or len(self.queue) >= MAX_QUEUED:
            return Err(request.SHED)
        self._waiting[id(item)] = req
        self.queue.push(item, start_by)
        self._update_load()
        return Ok(Admission.WAIT)

    @staticmethod
    def _answer_by(req: RunRequest) -> float:
        # A late answer to a call is still of use to the run that waits for it.
        return req.deadline if is_call(req.priority) else req.due

    def _can_start(self) -> bool:
        return self.in_flight < self.limit and not self.delay_s()

    def delay_s(self, starts: int = 1) -> float:
        """Return the seconds until the limits allow ``starts`` more requests to have started."""
        return max(self.stated_limit.delay_s(starts), self.cold_limit.delay_s(starts))

    def _wait_s(self, starts: int) -> float:
        return max(self._run_s * starts / self.limit, self.delay_s(starts))

    def _capacity(self) -> int:
        stated = self.stated_limit.capacity(self._success_run_s, self.limit)
        return self.cold_limit.capacity(self._success_run_s, stated)

    def _start(self) -> None:
        self.in_flight += 1
        self.stated_limit.take()
        self.cold_limit.take()
        self._update_load()

    def _update_load(self) -> None:
        busy = self.in_flight if self.queue.empty else self.in_flight + len(self.queue)
        self.load_estimator.update(busy, self._capacity())

    def finish(self, route: str, seconds: float, ok: bool) -> None:
        """Record the end of a run."""
        self.in_flight -= 1
        self.load_estimator.record_completion()
        self._update_load()
        self._failure_share = self._decayed_failure_share()
        self._ended_at = self._clock.now()
        self._failure_share += EWMA_WEIGHT * ((0.0 if ok else 1.0) - self._failure_share)
        weight = EWMA_WEIGHT if self._run_s else 1.0
        self._run_s += weight * (seconds - self._run_s)
        if not ok:
            # A target that fails immediately must not appear to be fast.
            return
        weight = EWMA_WEIGHT if self._success_run_s else 1.0
        self._success_run_s += weight * (seconds - self._success_run_s)
        old = self._route_run_s.get(route)
        self._route_run_s[route] = seconds if old is None else old + EWMA_WEIGHT * (seconds - old)

    def _decayed_failure_share(self) -> float:
        idle_s = self._clock.now() - self._ended_at
        return float(self._failure_share * 0.5 ** (idle_s / FAILURE_HALF_LIFE_S))

    def abandon(self) -> None:
        """Record that a started request was not handed over to the target."""
        self.in_flight -= 1
        self.stated_limit.give_back()
        self.cold_limit.give_back()
        self._update_load()

    def withdraw(self, item: T) -> bool:
        """Remove a queued request; returns False when it is not queued."""
        return self._waiting.pop(id(item), None) is not None and self.queue.remove(item)

    def dequeue(self) -> tuple[list[T], list[tuple[T, Reason]]]:
        """Start queued requests; returns those started and those refused as too late."""
        started: list[T] = []
        refused: list[tuple[T, Reason]] = []
        if self.queue.empty:
            return started, refused
        now = self._clock.now()
        while self._can_start():
            item = self.queue.pop()
            if item is None:
                break
            req = self._waiting.pop(id(item))
            if now + self._route_run_s.get(req.route, 0.0) * MIN_RUN_SHARE >= req.deadline:
                refused.append((item, request.TOO_LATE))
                continue
            self._start()
            started.append(item)
        return started, refused

    def drain_queue(self, reason: Reason) -> list[tuple[T, Reason]]:
        """Remove all queued requests and return them as refused for ``reason``."""
        items = self.queue.items()
        for item in items:
            self.withdraw(item)
        return [(item, reason) for item in items]

    def wait_s(self) -> float:
        """Return the time in seconds that a new request at the end of the queue would wait."""
        return self._wait_s(len(self.queue) + 1)

    def load(self, service: str) -> Load:
        """Return the gate's state."""
        self._update_load()
        queued = len(self.queue)
        return Load(
            service,
            self.in_flight + queued,
            self._capacity(),
            self._success_run_s * 1000,
            self._decayed_failure_share(),
            self.load_estimator.load(),
            queued,
        )
