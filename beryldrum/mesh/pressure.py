"""How much of the work that comes to a target its gate can take.

The load it answers: a target deep in the call graph is short of room. Refusing
its calls there would waste what was done above them, so the gate states the share
of all work that it could take, and the entries admit that share of whole requests,
the most important first.
"""

from ..clock import Clock

__all__ = ["WHOLE", "Pressure"]

WHOLE = 1.0
"""The share of a gate that is not short of room."""

WINDOW_S = 0.2
"""Period at which the share moves; about half of the time until a change of it is
felt at the gate, by way of the entries and the graph."""

WANTED = 0.93
"""Runs and queued requests to aim at, as a part of the limit: all but full, with no
queue to speak of."""

GAIN = 0.35
"""Exponent of the correction in a window; below one half it settles in spite of the
delay."""

MOST_RISE = 1.12
"""Factor by which the share rises at most in a window."""

LEAST = 0.05
"""Least share, so that the end of an overload is seen."""


class Pressure:
    """Moves the share with the mean of what runs and waits."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._share = WHOLE
        self._since = self._changed_at = clock.now()
        self._busy = 0
        self._sum = 0.0

    def changed(self, busy: int, limit: int) -> None:
        """Note that ``busy`` requests run and wait now."""
        now = self._clock.now()
        self._sum += self._busy * (now - self._changed_at)
        self._busy, self._changed_at = busy, now
        elapsed = now - self._since
        if elapsed >= WINDOW_S:
            self._move(self._sum / elapsed / limit, elapsed)
            self._since, self._sum = now, 0.0

    def _move(self, full: float, elapsed: float) -> None:
        if full > WANTED:
            self._share = max(LEAST, self._share * (WANTED / full) ** GAIN)
        elif self._share < WHOLE:
            windows = min(10.0, elapsed / WINDOW_S)
            rise = min(MOST_RISE, (WANTED / max(0.01, full)) ** GAIN) ** windows
            self._share = min(WHOLE, self._share * rise)

    def share(self) -> float:
        """Return the share of the work that can be taken."""
        return self._share
