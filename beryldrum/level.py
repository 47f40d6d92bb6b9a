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
WAIT_BOUND_S = 0.02
DECREASE = 0.9
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

    def started(self, wait_s: float) -> None:
        """Note how long a run waited in the queue."""
        self._wait_s += wait_s
        self._started += 1

    def refused(self) -> None:
        """Note that the queue gave up an admitted request."""
        self._refused += 1

    def current(self) -> int:
        """Return the level, moved on with the time."""
        self._roll()
        return self.value

    def _roll(self) -> None:
        elapsed = self._clock.now() - self._since
        total = sum(self._seen) if elapsed >= WINDOW_S else 0
        if elapsed < WINDOW_S or (total < WINDOW_REQUESTS and elapsed < 10 * WINDOW_S):
            return
        late = self._wait_s > WAIT_BOUND_S * max(1, self._started)
        if late or self._refused:
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
        wanted = self._admitted * INCREASE + 1
        level = self.value
        count = sum(self._seen[:level])
        while level < NO_LEVEL and count < wanted:
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
