"""The last step before a target: who runs, who waits and who is refused.

A :class:`Gate` decides and holds no socket. The task that owns the target's
connections asks :meth:`Gate.offer`, tells it of each end, and starts what
:meth:`Gate.ready` hands out.
"""

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from . import request
from .clock import Clock
from .level import AdmissionLevel
from .limit import Limit
from .queue import FairQueue, Waiting
from .request import Reason, Request

__all__ = ["Admission", "Gate", "Load"]

QUEUE_PER_SLOT = 4
QUEUE_FLOOR = 16
SMOOTHING = 0.1

T = TypeVar("T")


class Admission(Enum):
    """What becomes of a request that is not refused."""

    START = "start"
    WAIT = "wait"


class Load(NamedTuple):
    """The state of a gate, for replies and for operators."""

    in_flight: int
    limit: int
    queued: int
    level: int


class Gate(Generic[T]):
    """Admission to one target. ``T`` is the caller's handle of a request."""

    def __init__(self, clock: Clock, limit: Limit) -> None:
        self._clock = clock
        self.limit = limit
        self.level = AdmissionLevel(clock)
        self.queue: FairQueue[T] = FairQueue()
        self.in_flight = 0
        self._run_s = 0.0
        self._refused: list[tuple[T, Reason]] = []

    def offer(self, item: T, req: Request) -> Result[Admission, Reason]:
        """Decide on a request that has just come."""
        now = self._clock.now()
        if not self._finishes(now, req.deadline):
            return Err(request.TOO_LATE)
        if not self.level.admits(req.priority):
            return Err(request.SHED)
        entry = Waiting(item, req.organisation, req.priority, now, req.deadline)
        if self.in_flight < self.limit.value and not len(self.queue):
            self._start(entry, now)
            return Ok(Admission.START)
        wait_s = self._run_s * (self.queue.ahead(req.priority) + 1) / self.limit.value
        if not self._finishes(now + wait_s, req.deadline):
            self.level.refused()
            return Err(request.TOO_LATE)
        if not self._make_room(entry):
            self.level.refused()
            return Err(request.SHED)
        self.queue.push(entry)
        return Ok(Admission.WAIT)

    def _finishes(self, start: float, deadline: float) -> bool:
        # With nothing in flight one run is let through, or a run time learnt in
        # a bad spell would never be learnt anew.
        if not self.in_flight:
            return start < deadline
        return start + self._run_s < deadline

    def _make_room(self, entry: Waiting[T]) -> bool:
        if len(self.queue) < QUEUE_FLOOR + QUEUE_PER_SLOT * self.limit.value:
            return True
        evicted = self.queue.evict_below(entry.priority)
        if evicted is None:
            evicted = self.queue.evict_greedy(entry.organisation, entry.level)
        if evicted is None:
            return False
        self.level.refused()
        self._refused.append((evicted.item, request.SHED))
        return True

    def _start(self, entry: Waiting[T], now: float) -> None:
        self.in_flight += 1
        self.level.started(now - entry.since, self._run_s)

    def finish(self, seconds: float, own_s: float, ok: bool) -> None:
        """Note the end of a run that took ``seconds``, ``own_s`` at the target itself."""
        self.limit.finished(own_s, ok, self.in_flight)
        self.in_flight -= 1
        weight = SMOOTHING if self._run_s else 1.0
        self._run_s += weight * (seconds - self._run_s)

    def withdraw(self, item: T) -> bool:
        """Take a waiting request out; returns False when it is not waiting."""
        for entry in self.queue.entries():
            if entry.item is item:
                return self.queue.remove(entry)
        return False

    def ready(self) -> tuple[list[T], list[tuple[T, Reason]]]:
        """Return the requests to start now and those refused meanwhile."""
        started: list[T] = []
        refused, self._refused = self._refused, []
        now = self._clock.now()
        while self.in_flight < self.limit.value:
            entry = self.queue.pop()
            if entry is None:
                break
            if not self._finishes(now, entry.deadline):
                self.level.refused()
                refused.append((entry.item, request.TOO_LATE))
                continue
            self._start(entry, now)
            started.append(entry.item)
        return started, refused

    def load(self) -> Load:
        """Return the gate's state."""
        return Load(self.in_flight, self.limit.value, len(self.queue), self.level.current())
