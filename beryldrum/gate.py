"""Admission control in front of one target: start, queue or refuse a request.

A :class:`Gate` performs no I/O. The caller that owns the connections to the
target passes each request to :meth:`Gate.offer`, reports the end of each run to
:meth:`Gate.finish`, and starts the requests that :meth:`Gate.dispatch` returns.
"""

from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from . import request
from .clock import Clock
from .level import AdmissionLevel
from .limit import Limit
from .queue import FairQueue, QueueEntry
from .request import Reason, Request

__all__ = ["Admission", "Gate", "Load"]

QUEUE_ENTRIES_PER_SLOT = 4
BASE_QUEUE_ENTRIES = 16
RUN_TIME_SMOOTHING = 0.1

T = TypeVar("T")


class Admission(Enum):
    """The decision on a request that is not refused."""

    START = "start"
    WAIT = "wait"


class Load(NamedTuple):
    """The state of a gate, as reported in replies and status output."""

    in_flight: int
    limit: int
    queued: int
    level: int


class Gate(Generic[T]):
    """Admission control for one target. ``T`` is the caller's handle of a request."""

    def __init__(self, clock: Clock, limit: Limit) -> None:
        self._clock = clock
        self.limit = limit
        self.level = AdmissionLevel(clock)
        self.queue: FairQueue[T] = FairQueue()
        self.in_flight = 0
        self._mean_run_s = 0.0
        self._refused: list[tuple[T, Reason]] = []

    def offer(self, item: T, req: Request) -> Result[Admission, Reason]:
        """Decide on a new request: start it, queue it, or return why it is refused."""
        now = self._clock.now()
        if not self._can_finish(now, req.deadline):
            return Err(request.TOO_LATE)
        if not self.level.admits(req.priority):
            return Err(request.SHED)
        entry = QueueEntry(item, req.organisation, req.priority, now, req.deadline)
        if self.in_flight < self.limit.value and not len(self.queue):
            self._record_start(entry, now)
            return Ok(Admission.START)
        wait_s = self._mean_run_s * (self.queue.count_ahead(req.priority) + 1) / self.limit.value
        if not self._can_finish(now + wait_s, req.deadline):
            self.level.record_refusal()
            return Err(request.TOO_LATE)
        if not self._make_room(entry):
            self.level.record_refusal()
            return Err(request.SHED)
        self.queue.push(entry)
        return Ok(Admission.WAIT)

    def _can_finish(self, start: float, deadline: float) -> bool:
        # With nothing in flight, one request is admitted whatever the mean run
        # time: after a slow period the mean could otherwise never be updated.
        if not self.in_flight:
            return start < deadline
        return start + self._mean_run_s < deadline

    def _make_room(self, entry: QueueEntry[T]) -> bool:
        if len(self.queue) < BASE_QUEUE_ENTRIES + QUEUE_ENTRIES_PER_SLOT * self.limit.value:
            return True
        evicted = self.queue.evict_less_important(entry.priority)
        if evicted is None:
            evicted = self.queue.evict_from_largest(entry.organisation, entry.level)
        if evicted is None:
            return False
        self.level.record_refusal()
        self._refused.append((evicted.item, request.SHED))
        return True

    def _record_start(self, entry: QueueEntry[T], now: float) -> None:
        self.in_flight += 1
        self.level.record_start(now - entry.enqueued_at, self._mean_run_s)

    def finish(self, seconds: float, own_s: float, ok: bool) -> None:
        """Record the end of a run.

        ``seconds`` is its total duration, ``own_s`` the part in which the target
        did not wait for calls to other services.
        """
        self.limit.record_run(own_s, ok, self.in_flight)
        self.in_flight -= 1
        weight = RUN_TIME_SMOOTHING if self._mean_run_s else 1.0
        self._mean_run_s += weight * (seconds - self._mean_run_s)

    def remove_waiting(self, item: T) -> bool:
        """Remove a queued request; returns False when it is not queued."""
        for entry in self.queue.entries():
            if entry.item is item:
                return self.queue.remove(entry)
        return False

    def dispatch(self) -> tuple[list[T], list[tuple[T, Reason]]]:
        """Return the requests to start now, and those refused since the last call."""
        started: list[T] = []
        refused, self._refused = self._refused, []
        now = self._clock.now()
        while self.in_flight < self.limit.value:
            entry = self.queue.pop()
            if entry is None:
                break
            if not self._can_finish(now, entry.deadline):
                self.level.record_refusal()
                refused.append((entry.item, request.TOO_LATE))
                continue
            self._record_start(entry, now)
            started.append(entry.item)
        return started, refused

    def load(self) -> Load:
        """Return the current load."""
        return Load(self.in_flight, self.limit.value, len(self.queue), self.level.current())
