"""Concurrency limits of a target.

:class:`AdaptiveLimit` relies on the run times and failures that this gate
observes. What the target announces about itself only gives the initial value
and the upper bound, since health and load endpoints lag or mislead.
:class:`StaticLimit` is the baseline for comparison.
"""

import math
import statistics
from abc import ABC, abstractmethod
from typing import NamedTuple

from .clock import Clock

__all__ = ["AdaptiveLimit", "Limit", "StaticLimit"]

MIN_WINDOW_S = 0.2
MIN_WINDOW_SAMPLES = 8
SLOWDOWN_RATIO = 2.0
MIN_SLOWDOWN_S = 0.005
MAX_FAILED_RATIO = 0.1
DECREASE_FACTOR = 0.8
PROBE_INTERVAL_WINDOWS = 10
PROBE_FRACTION = 0.25
PROBE_CHANGE_RATIO = 1.2
SPEEDUP_RATIO = 0.93
INITIAL_FRACTION = 0.25
UTILIZED_FRACTION = 0.8


class _Trial(NamedTuple):
    """A decrease under evaluation: the limit and the median run time before it."""

    limit: float
    median: float
    evaluate_after: float


class Limit(ABC):
    """A limit on the runs in flight at a target."""

    @property
    @abstractmethod
    def value(self) -> int:
        """The maximum number of runs in flight."""

    @abstractmethod
    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        """Record the end of a run.

        ``seconds`` is the target's own time, without the calls it waited for;
        ``in_flight`` counts the runs in flight, this one included.
        """


class StaticLimit(Limit):
    """A constant limit."""

    def __init__(self, value: int) -> None:
        self._value = value

    @property
    def value(self) -> int:
        return self._value

    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        pass


class AdaptiveLimit(Limit):
    """A limit that decreases when runs slow down or fail, and increases otherwise.

    It starts at a fraction of the announced slots, since a target starts cold,
    doubles per window up to the announced slots, and then grows slowly, never
    beyond the announced connections.

    A decrease because of slow runs is a trial. If runs get no faster, the target
    has become slower for another reason, and a lower limit would only waste its
    capacity: the decrease is reverted and the new run time becomes the baseline.

    When the limit has changed much since the last probe, it is quartered for two
    windows to measure the run time of an unloaded target again. Otherwise a
    baseline measured under load would remain for good.

    Run times exclude the time that the target waited for calls to others, so
    that a slow downstream service does not lower the limit of this one.
    """

    def __init__(self, clock: Clock, slots: int, connections: int) -> None:
        self._clock = clock
        self._slots = max(1, slots)
        self._max_limit = float(max(1, connections))
        self._limit = min(self._max_limit, max(1.0, self._slots * INITIAL_FRACTION))
        self._slow_start_done = False
        self._baseline_s = 0.0
        self._window_count = 0
        self._probe_windows_left = 0
        self._limit_at_probe = self._limit
        self._trial: _Trial | None = None
        self._durations: list[float] = []
        self._failed = 0
        self._peak_in_flight = 0
        self._window_start = clock.now()

    @property
    def value(self) -> int:
        if self._probe_windows_left:
            return max(1, int(self._limit * PROBE_FRACTION))
        return int(self._limit)

    def record_run(self, seconds: float, ok: bool, in_flight: int) -> None:
        self._durations.append(seconds)
        self._failed += not ok
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        enough = len(self._durations) >= MIN_WINDOW_SAMPLES
        if enough and self._clock.now() - self._window_start >= MIN_WINDOW_S:
            self._close_window()

    def _close_window(self) -> None:
        median = statistics.median(self._durations)
        if self._probe_windows_left:
            self._update_probe(median)
        elif self._trial is not None:
            self._evaluate_trial(self._trial, median)
        else:
            self._update_limit(median)
        self._durations.clear()
        self._failed = self._peak_in_flight = 0
        self._window_start = self._clock.now()

    def _update_probe(self, median: float) -> None:
        # Ignore the first window: it includes runs from before the limit was quartered.
        self._probe_windows_left -= 1
        if not self._probe_windows_left:
            self._baseline_s = median

    def _evaluate_trial(self, trial: "_Trial", median: float) -> None:
        if self._window_start < trial.evaluate_after:
            return
        self._trial = None
        if median > trial.median * SPEEDUP_RATIO:
            self._limit = trial.limit
            self._baseline_s = median

    def _update_limit(self, median: float) -> None:
        failed = self._failed > MAX_FAILED_RATIO * len(self._durations)
        if failed:
            self._decrease()
        elif self._baseline_s > 0 and median > max(
            SLOWDOWN_RATIO * self._baseline_s, self._baseline_s + MIN_SLOWDOWN_S
        ):
            # Evaluate in a window in which all runs that end began after the decrease.
            self._trial = _Trial(self._limit, median, self._clock.now() + median)
            self._decrease()
        elif self._peak_in_flight >= UTILIZED_FRACTION * self.value:
            self._limit = min(self._max_limit, self._increased())
        self._baseline_s = min(self._baseline_s, median) if self._baseline_s else median
        self._window_count += 1
        ratio = self._limit / self._limit_at_probe
        changed = ratio > PROBE_CHANGE_RATIO or ratio < 1 / PROBE_CHANGE_RATIO
        if changed and self._trial is None and self._window_count % PROBE_INTERVAL_WINDOWS == 0:
            self._probe_windows_left = 2
            self._limit_at_probe = self._limit

    def _decrease(self) -> None:
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        self._slow_start_done = True

    def _increased(self) -> float:
        if self._slow_start_done or self._limit >= self._slots:
            self._slow_start_done = True
            return self._limit + max(1.0, math.sqrt(self._limit) / 4)
        return min(float(self._slots), self._limit * 2)
