"""How many runs a target is given at once.

:class:`LearntLimit` rests on this gate's own observations: what the target
announces of itself is only the place to start and the bound, since health and
load endpoints lag or mislead. :class:`StaticLimit` is the baseline.
"""

import math
import statistics
from abc import ABC, abstractmethod
from typing import NamedTuple

from .clock import Clock

__all__ = ["LearntLimit", "Limit", "StaticLimit"]

WINDOW_S = 0.2
WINDOW_SAMPLES = 8
SLOW_RATIO = 2.0
SLOW_LEAST_S = 0.005
FAILED_RATIO = 0.1
DECREASE = 0.8
PROBE_WINDOWS = 10
PROBE_FRACTION = 0.25
MOVED_RATIO = 1.2
FASTER_RATIO = 0.93
COLD_FRACTION = 0.25
BUSY_FRACTION = 0.8


class _Trial(NamedTuple):
    """A fall that is to be judged: the limit and the run time before it."""

    limit: float
    median: float
    judged_from: float


class Limit(ABC):
    """A bound on runs in flight."""

    @property
    @abstractmethod
    def value(self) -> int:
        """The number of runs that may be in flight."""

    @abstractmethod
    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        """Learn from a run that took ``seconds`` of the target's own time."""


class StaticLimit(Limit):
    """A bound that never moves."""

    def __init__(self, value: int) -> None:
        self._value = value

    @property
    def value(self) -> int:
        return self._value

    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        pass


class LearntLimit(Limit):
    """A bound that falls when runs slow down or fail and grows while they do not.

    It starts at a fraction of the announced slots, as a target is cold at first,
    doubles up to them and then creeps, never past the announced connections.

    A fall is a trial: where runs get no faster by it, the target has become
    slower by itself, and fewer at once would only waste it. Then the fall is
    taken back and the new speed is the baseline. When the bound has moved far, it
    is quartered for two windows to learn the speed of an unhurried run anew, or a
    baseline taken under load would hold for good.

    ``seconds`` leaves out what the target waited for others, so that a slow
    service further down does not shut this one.
    """

    def __init__(self, clock: Clock, slots: int, connections: int) -> None:
        self._clock = clock
        self._slots = max(1, slots)
        self._most = float(max(1, connections))
        self._limit = min(self._most, max(1.0, self._slots * COLD_FRACTION))
        self._warm = False
        self._best = 0.0
        self._windows = 0
        self._probing = 0
        self._probed = self._limit
        self._trial: _Trial | None = None
        self._samples: list[float] = []
        self._failed = 0
        self._peak = 0
        self._since = clock.now()

    @property
    def value(self) -> int:
        if self._probing:
            return max(1, int(self._limit * PROBE_FRACTION))
        return int(self._limit)

    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        self._samples.append(seconds)
        self._failed += not ok
        self._peak = max(self._peak, in_flight)
        enough = len(self._samples) >= WINDOW_SAMPLES
        if enough and self._clock.now() - self._since >= WINDOW_S:
            self._close_window()

    def _close_window(self) -> None:
        median = statistics.median(self._samples)
        if self._probing:
            self._probe(median)
        elif self._trial is not None:
            self._judge(self._trial, median)
        else:
            self._adjust(median)
        self._samples.clear()
        self._failed = self._peak = 0
        self._since = self._clock.now()

    def _probe(self, median: float) -> None:
        # The first window still holds runs that started before the quartering.
        self._probing -= 1
        if not self._probing:
            self._best = median

    def _judge(self, trial: "_Trial", median: float) -> None:
        if self._since < trial.judged_from:
            return
        self._trial = None
        if median > trial.median * FASTER_RATIO:
            self._limit = trial.limit
            self._best = median

    def _adjust(self, median: float) -> None:
        failed = self._failed > FAILED_RATIO * len(self._samples)
        if failed:
            self._fall()
        elif self._best > 0 and median > max(SLOW_RATIO * self._best, self._best + SLOW_LEAST_S):
            # Judged by a window in which every run that ends began after the fall.
            self._trial = _Trial(self._limit, median, self._clock.now() + median)
            self._fall()
        elif self._peak >= BUSY_FRACTION * self.value:
            self._limit = min(self._most, self._grown())
        self._best = min(self._best, median) if self._best else median
        self._windows += 1
        ratio = self._limit / self._probed
        moved = ratio > MOVED_RATIO or ratio < 1 / MOVED_RATIO
        if moved and self._trial is None and self._windows % PROBE_WINDOWS == 0:
            self._probing = 2
            self._probed = self._limit

    def _fall(self) -> None:
        self._limit = max(1.0, self._limit * DECREASE)
        self._warm = True

    def _grown(self) -> float:
        if self._warm or self._limit >= self._slots:
            self._warm = True
            return self._limit + max(1.0, math.sqrt(self._limit) / 4)
        return min(float(self._slots), self._limit * 2)
