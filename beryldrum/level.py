"""The admission level of a gate: the priority from which requests are shed.

Priorities join importance and cohort, and a request keeps its own through the
whole call graph; so gates that shed at all shed the same requests, the least
important first. The level travels on replies, so that work is shed before its
first hop.
"""

import random

from .clock import Clock
from .request import NO_LEVEL

__all__ = ["AdmissionLevel", "PathLevels"]

WINDOW_S = 0.1
WINDOW_REQUESTS = 20
FEW_WINDOW_S = 1.0
LEAST_STEP = 4
MOST_STEP = 16
WAIT_BOUND_S = 0.02
DECREASE = 0.9
REFUSED_RATIO = 0.2
INCREASE = 1.03
PATH_LIFE_S = 1.0
PATH_PROBE = 0.02


class AdmissionLevel:
    """Learns the level from the waits in the gate's queue."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen = [0] * NO_LEVEL
        self._admitted = 0
        self._wait_s = 0.0
        self._started = 0
        self._refused = 0
        self._since = clock.now()
        self.value = NO_LEVEL

    def admits(self, priority: int) -> bool:
        """Count a request of ``priority`` and tell whether it is admitted."""
        self._roll()
        self._seen[min(priority, NO_LEVEL - 1)] += 1
        if priority >= self.value:
            return False
        self._admitted += 1
        return True

    def record_start(self, wait_s: float, run_s: float = 0.0) -> None:
        """Note how long a run waited in the queue; runs take ``run_s``.

        A wait of half a run keeps the target busy and is no overload.
        """
        self._wait_s += max(0.0, wait_s - run_s / 2)
        self._started += 1

    def record_refusal(self) -> None:
        """Note that the queue gave up an admitted request."""
        self._refused += 1

    def current(self) -> int:
        """Return the level, moved on with the time."""
        self._roll()
        return self.value

    def _roll(self) -> None:
        elapsed = self._clock.now() - self._since
        if elapsed < WINDOW_S:
            return
        late = self._wait_s > WAIT_BOUND_S * max(1, self._started)
        if late or self._refused > REFUSED_RATIO * max(1, self._started):
            if sum(self._seen) < WINDOW_REQUESTS and elapsed < FEW_WINDOW_S:
                return
            self._lower()
        else:
            self._raise()
        self._seen = [0] * NO_LEVEL
        self._admitted = self._started = self._refused = 0
        self._wait_s = 0.0
        self._since = self._clock.now()

    def _lower(self) -> None:
        wanted = self._admitted * DECREASE
        level = min(self.value, NO_LEVEL)
        count = sum(self._seen[:level])
        while level > 1 and count > wanted:
            level -= 1
            count -= self._seen[level]
        self.value = level

    def _raise(self) -> None:
        # Callers that know the level send little above it, so what was seen there
        # says nothing: the step has a least and a most.
        wanted = self._admitted * INCREASE + 1
        level = min(NO_LEVEL, self.value + LEAST_STEP)
        most = min(NO_LEVEL, self.value + MOST_STEP)
        count = sum(self._seen[:level])
        while level < most and count < wanted:
            count += self._seen[level]
            level += 1
        self.value = level


class PathLevels:
    """The levels learnt from replies, by service and route.

    A request that a gate further down would shed is refused here, before its
    first hop; a few are let through, so that the end of the overload is seen.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._levels: dict[tuple[str, str], tuple[int, float]] = {}

    def learn(self, service: str, route: str, level: int) -> None:
        """Note the level that a reply brought."""
        self._levels[service, route] = (level, self._clock.now())

    def level(self, service: str, route: str) -> int:
        """Return the level in force for a route."""
        level, at = self._levels.get((service, route), (NO_LEVEL, 0.0))
        return level if self._clock.now() - at <= PATH_LIFE_S else NO_LEVEL

    def admits(self, service: str, route: str, priority: int) -> bool:
        """Tell whether a request of ``priority`` is sent on."""
        if priority < self.level(service, route):
            return True
        return self._rng.random() < PATH_PROBE
