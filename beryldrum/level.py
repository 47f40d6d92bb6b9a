"""Admission levels: requests with a priority at or above the level are shed.

A priority combines importance and cohort, and a request keeps it through the
whole call graph. All overloaded gates therefore shed the same requests, the
least important first. Replies carry the level upstream, so that a request which
would be shed downstream is refused before its first hop.
"""

import random

from .clock import Clock
from .request import ADMIT_ALL_LEVEL

__all__ = ["AdmissionLevel", "PathLevels"]

MIN_WINDOW_S = 0.1
MIN_WINDOW_REQUESTS = 20
MAX_WINDOW_S = 1.0
MIN_STEP = 4
MAX_STEP = 16
MAX_MEAN_WAIT_S = 0.02
DECREASE_FACTOR = 0.9
MAX_REFUSED_RATIO = 0.2
INCREASE_FACTOR = 1.03
PATH_LEVEL_MAX_AGE_S = 1.0
PATH_PROBE_PROBABILITY = 0.02


class AdmissionLevel:
    """Adapts the level of a gate to the waiting times in its queue.

    A window of at least ``MIN_WINDOW_S`` in which the mean wait or the number of
    refusals is too high lowers the level; any other window raises it. With fewer
    than ``MIN_WINDOW_REQUESTS`` requests, such a window is extended up to
    ``MAX_WINDOW_S`` before the level is lowered.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offered = [0] * ADMIT_ALL_LEVEL
        self._admitted = 0
        self._wait_s = 0.0
        self._started = 0
        self._refused = 0
        self._window_start = clock.now()
        self.value = ADMIT_ALL_LEVEL

    def admits(self, priority: int) -> bool:
        """Count a request of ``priority`` and return whether it is admitted."""
        self._advance()
        self._offered[min(priority, ADMIT_ALL_LEVEL - 1)] += 1
        if priority >= self.value:
            return False
        self._admitted += 1
        return True

    def record_start(self, wait_s: float, run_s: float = 0.0) -> None:
        """Record that a request was started after ``wait_s`` in the queue.

        ``run_s`` is the mean run time. Waiting for up to half of it does not
        count as overload: such a short queue just keeps the target busy.
        """
        self._wait_s += max(0.0, wait_s - run_s / 2)
        self._started += 1

    def record_refusal(self) -> None:
        """Record that an admitted request was refused by the queue."""
        self._refused += 1

    def current(self) -> int:
        """Return the level, after closing a window that is over."""
        self._advance()
        return self.value

    def _advance(self) -> None:
        elapsed = self._clock.now() - self._window_start
        if elapsed < MIN_WINDOW_S:
            return
        waits_too_long = self._wait_s > MAX_MEAN_WAIT_S * max(1, self._started)
        if waits_too_long or self._refused > MAX_REFUSED_RATIO * max(1, self._started):
            if sum(self._offered) < MIN_WINDOW_REQUESTS and elapsed < MAX_WINDOW_S:
                return
            self._lower()
        else:
            self._raise()
        self._offered = [0] * ADMIT_ALL_LEVEL
        self._admitted = self._started = self._refused = 0
        self._wait_s = 0.0
        self._window_start = self._clock.now()

    def _lower(self) -> None:
        target_count = self._admitted * DECREASE_FACTOR
        level = min(self.value, ADMIT_ALL_LEVEL)
        count = sum(self._offered[:level])
        while level > 1 and count > target_count:
            level -= 1
            count -= self._offered[level]
        self.value = level

    def _raise(self) -> None:
        # Callers that know the level send little at or above it, so the requests
        # counted there are no estimate of the demand: bound the step both ways.
        target_count = self._admitted * INCREASE_FACTOR + 1
        level = min(ADMIT_ALL_LEVEL, self.value + MIN_STEP)
        max_level = min(ADMIT_ALL_LEVEL, self.value + MAX_STEP)
        count = sum(self._offered[:level])
        while level < max_level and count < target_count:
            count += self._offered[level]
            level += 1
        self.value = level


class PathLevels:
    """Admission levels reported by replies, by service and route.

    A request that a downstream gate would shed is refused here, before its first
    hop. A small fraction is still sent as probes, to detect the end of the
    overload.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._levels: dict[tuple[str, str], tuple[int, float]] = {}

    def record(self, service: str, route: str, level: int) -> None:
        """Record the level that a reply reported."""
        self._levels[service, route] = (level, self._clock.now())

    def level(self, service: str, route: str) -> int:
        """Return the level of a route, ``ADMIT_ALL_LEVEL`` if none is recent."""
        level, at = self._levels.get((service, route), (ADMIT_ALL_LEVEL, 0.0))
        return level if self._clock.now() - at <= PATH_LEVEL_MAX_AGE_S else ADMIT_ALL_LEVEL

    def admits(self, service: str, route: str, priority: int) -> bool:
        """Return whether a request of ``priority`` is sent on."""
        if priority < self.level(service, route):
            return True
        return self._rng.random() < PATH_PROBE_PROBABILITY
