"""How many runs a target is given at once.

:class:`LearntLimit` rests on this gate's own observations: what the target
announces of itself is only the place to start and the bound, since health and
load endpoints lag or mislead. :class:`StaticLimit` is the baseline.
"""

import math
import statistics
from abc import ABC, abstractmethod

from .clock import Clock

__all__ = ["LearntLimit", "Limit", "StaticLimit"]

WINDOW_S = 0.2
WINDOW_SAMPLES = 8
SLOW_RATIO = 2.0
FAILED_RATIO = 0.1
DECREASE = 0.85
BASELINE_DRIFT = 1.01
COLD_FRACTION = 0.25
BUSY_FRACTION = 0.8


class Limit(ABC):
    """A bound on runs in flight."""

    @property
    @abstractmethod
    def value(self) -> int:
        """The number of runs that may be in flight."""

    @abstractmethod
    def finished(self, seconds: float, ok: bool, in_flight: int) -> None:
        """Learn from a run that took ``seconds`` of the target's own time."""


class StaticLimit(Limit):
    """A bound that never moves."""

    def __init__(self, value: int) -> None:
        self._value = value

    @property
    def value(self) -> int:
        return self._value

    def finished(self, seconds: float, ok: bool, in_flight: int) -> None:
        pass


class LearntLimit(Limit):
    """A bound that falls when runs slow down or fail and grows while they do not.

    It starts at a fraction of the announced slots, as a target is cold at first,
    doubles up to them and then creeps, never past the announced connections.
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
        self._samples: list[float] = []
        self._failed = 0
        self._peak = 0
        self._since = clock.now()

    @property
    def value(self) -> int:
        return int(self._limit)

    def finished(self, seconds: float, ok: bool, in_flight: int) -> None:
        self._samples.append(seconds)
        self._failed += not ok
        self._peak = max(self._peak, in_flight)
        enough = len(self._samples) >= WINDOW_SAMPLES
        if enough and self._clock.now() - self._since >= WINDOW_S:
            self._adjust()

    def _adjust(self) -> None:
        median = statistics.median(self._samples)
        failed = self._failed > FAILED_RATIO * len(self._samples)
        slow = self._best > 0 and median > SLOW_RATIO * self._best
        if slow or failed:
            self._limit = max(1.0, self._limit * DECREASE)
            self._warm = True
        elif self._peak >= BUSY_FRACTION * self.value:
            self._limit = min(self._most, self._grown())
        self._best = min(self._best * BASELINE_DRIFT, median) if self._best else median
        self._samples.clear()
        self._failed = self._peak = 0
        self._since = self._clock.now()

    def _grown(self) -> float:
        if self._warm or self._limit >= self._slots:
            self._warm = True
            return self._limit + max(1.0, math.sqrt(self._limit) / 4)
        return min(float(self._slots), self._limit * 2)
