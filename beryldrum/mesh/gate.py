"""Admission to the target on this host: who runs, who waits, who is refused.

The load it answers: more requests arrive than the target can run in time. A
target that is full may hang, so never more are handed over than it has slots.
Whoever has least time to spare goes first; what cannot be answered in time is
refused at once, as *not run*, while its caller still has time left.
"""

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from .. import request
from ..clock import Clock
from ..request import Reason
from .frames import Load
from .load_estimator import Pressure
from .queue import SlackQueue

__all__ = ["CALL_PRIORITY", "Admission", "Gate", "Want", "call_priority"]

CALL_PRIORITY = 0
"""Priority of a call that a target makes, where its run is not known. Calls are never
refused for a later answer than wanted: the work above them is already paid for."""

NEARLY_FULL = 0.94
"""Share of the slots that is used; some targets slow down from 95% on."""

SMOOTHING = 0.1
"""Weight of the newest run in the smoothed run time and failure share."""

MOST_QUEUED = 2_000
"""Requests that wait at most, which bounds memory."""

FAILED_HALF_S = 4.0
"""Time without a run in which the failure share halves, so that a target which nobody
sends to any more is tried again."""

LEAST_RUN = 0.6
"""Share of the usual run time that has to be left for a run to be worth a start."""

T = TypeVar("T")


def call_priority(run: int) -> int:
    """Return the priority of a call that a run of priority ``run`` makes.

    Calls have the lowest numbers, in the order of the work that they are made for.
    """
    return run if run < request.COHORTS else run * request.COHORTS // request.NO_LEVEL


class Admission(Enum):
    """What becomes of a request that is not refused."""

    START = "start"
    WAIT = "wait"


STARTED: Result[Admission, Reason] = Ok(Admission.START)


class Want(NamedTuple):
    """A request for a run; ``due`` and ``deadline`` are clock seconds.

    An answer after ``due`` is worth little, one after ``deadline`` nothing.
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
        self._routes: dict[str, float] = {}
        self._run_s = 0.0
        self._good_s = 0.0
        """The smoothed time of the runs that went well."""
        self._failed = 0.0
        self._ended_at = clock.now()
        self._refused: list[tuple[T, Reason]] = []
        self._wants: dict[int, Want] = {}
        self.queue: SlackQueue[T] = SlackQueue()
        self.pressure = Pressure(clock)
        self.in_flight = 0
        self.limit = 1
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Take up the number of slots that the target announces."""
        self.limit = max(1, int(slots * NEARLY_FULL))

    def offer(self, item: T, want: Want) -> Result[Admission, Reason]:
        """Decide on a request that has just come."""
        now = self._clock.now()
        self.pressure.arrived()
        run_s = self._routes.get(want.route, 0.0)
        if now + run_s * LEAST_RUN >= want.deadline and (self.in_flight or now >= want.deadline):
            return Err(request.TOO_LATE)
        if self.in_flight < self.limit and self.queue.empty:
            self._start()
            return STARTED
        start_by = want.due - run_s
        wait_s = self._run_s * (self.queue.ahead(start_by) + 1) / self.limit
        if now + wait_s + run_s > self._latest(want) or len(self.queue) >= MOST_QUEUED:
            return Err(request.SHED)
        self._wants[id(item)] = want
        self.queue.push(item, start_by)
        self._changed()
        return Ok(Admission.WAIT)

    @staticmethod
    def _latest(want: Want) -> float:
        # A call's own worth is that of the work which waits for it.
        return want.deadline if want.priority < request.COHORTS else want.due

    def _start(self) -> None:
        self.in_flight += 1
        self._changed()

    def _changed(self) -> None:
        busy = self.in_flight if self.queue.empty else self.in_flight + len(self.queue)
        self.pressure.changed(busy, self.limit)

    def finish(self, route: str, seconds: float, ok: bool) -> None:
        """Note the end of a run."""
        self.in_flight -= 1
        self.pressure.ended()
        self._changed()
        self._failed = self._failed_share()
        self._ended_at = self._clock.now()
        self._failed += SMOOTHING * ((0.0 if ok else 1.0) - self._failed)
        weight = SMOOTHING if self._run_s else 1.0
        self._run_s += weight * (seconds - self._run_s)
        if not ok:
            # A target that fails at once is not a fast one.
            return
        weight = SMOOTHING if self._good_s else 1.0
        self._good_s += weight * (seconds - self._good_s)
        old = self._routes.get(route)
        self._routes[route] = seconds if old is None else old + SMOOTHING * (seconds - old)

    def _failed_share(self) -> float:
        idle_s = self._clock.now() - self._ended_at
        return float(self._failed * 0.5 ** (idle_s / FAILED_HALF_S))

    def abandon(self) -> None:
        """Note that a run that was let through has not been handed over."""
        self.in_flight -= 1
        self._changed()

    def withdraw(self, item: T) -> bool:
        """Take a waiting request out; returns False when it is not waiting."""
        return self._wants.pop(id(item), None) is not None and self.queue.remove(item)

    def ready(self) -> tuple[list[T], list[tuple[T, Reason]]]:
        """Return the requests to start now and those refused meanwhile."""
        started: list[T] = []
        refused: list[tuple[T, Reason]] = []
        if self.queue.empty:
            return started, refused
        now = self._clock.now()
        while self.in_flight < self.limit:
            item = self.queue.pop()
            if item is None:
                break
            want = self._wants.pop(id(item))
            if now + self._routes.get(want.route, 0.0) * LEAST_RUN >= want.deadline:
                refused.append((item, request.TOO_LATE))
                continue
            self._start()
            started.append(item)
        return started, refused

    def drain_queue(self, reason: Reason) -> list[tuple[T, Reason]]:
        """Take out all that wait, refused for ``reason``."""
        items = self.queue.items()
        for item in items:
            self.withdraw(item)
        return [(item, reason) for item in items]

    def wait_s(self) -> float:
        """Return how long a request of the least importance would wait now."""
        return self._run_s * (len(self.queue) + 1) / self.limit

    def load(self, service: str) -> Load:
        """Return the gate's state."""
        self._changed()
        queued = len(self.queue)
        return Load(
            service,
            self.in_flight + queued,
            self.limit,
            self._good_s * 1000,
            self._failed_share(),
            self.pressure.full(),
            queued,
        )
