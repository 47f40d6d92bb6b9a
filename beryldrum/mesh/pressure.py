"""The admission level of a target, for those who admit work at the fleet's entry.

The load it answers: a target deep in the call graph is short of room. Refusing
its calls there would waste what was done above them, so its level tells the
entries to refuse whole requests instead, the least important first. The level is
a priority: requests of that number and above are refused.
"""

from ..clock import Clock
from ..request import COHORTS, NO_LEVEL

__all__ = ["LEAST_LEVEL", "Pressure"]

WINDOW_S = 0.1
"""Period at which the level moves."""

WAIT_BOUND_S = 0.04
"""Mean wait in the queue beyond which the level falls. It stands against objectives
of 150 ms and more, and is met several times on the way through a deep graph."""

FALL = 10
"""Cohorts that the level falls by in a window of overload."""

RISE = 4
"""Cohorts that the level rises by in a window without."""

LEAST_LEVEL = COHORTS
"""Calls of admitted work are never refused by level."""


class Pressure:
    """Moves the level with the waits of the runs that start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since = clock.now()
        self._waited_s = 0.0
        self._started = 0
        self._refused = 0
        self._level = NO_LEVEL

    def started(self, waited_s: float) -> None:
        """Note how long a run that starts has waited."""
        self._waited_s += waited_s
        self._started += 1

    def refused(self) -> None:
        """Note a request that found no room."""
        self._refused += 1

    def level(self) -> int:
        """Return the level, moved on with the time."""
        elapsed = self._clock.now() - self._since
        if elapsed >= WINDOW_S:
            self._move(elapsed)
        return self._level

    def _move(self, elapsed: float) -> None:
        mean_s = self._waited_s / max(1, self._started)
        if self._refused or mean_s > WAIT_BOUND_S:
            excess = min(3.0, max(1.0, mean_s / WAIT_BOUND_S))
            self._level = max(LEAST_LEVEL, self._level - int(FALL * excess))
        else:
            windows = min(20, int(elapsed / WINDOW_S))
            self._level = min(NO_LEVEL, self._level + RISE * windows)
        self._waited_s, self._started, self._refused = 0.0, 0, 0
        self._since = self._clock.now()
