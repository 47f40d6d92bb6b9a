"""How full a target is, for those who admit work at the fleet's entry.

The load it answers: a target deep in the call graph is short of room. Refusing
its calls there would waste what was done above them, so the gate states how full
it is, and the entries admit fewer or more whole requests.
"""

from ..clock import Clock

__all__ = ["Pressure"]

WINDOW_S = 0.2
"""Time over which the fullness is averaged; about half of the time until a change of
what is admitted is felt at the gate, by way of the entries and the graph."""


class Pressure:
    """The mean of what runs and waits, as a part of the limit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since = self._changed_at = clock.now()
        self._busy = 0
        self._sum = 0.0
        self._full = 0.0

    def changed(self, busy: int, limit: int) -> None:
        """Note that ``busy`` requests run and wait now."""
        now = self._clock.now()
        self._sum += self._busy * (now - self._changed_at)
        self._busy, self._changed_at = busy, now
        elapsed = now - self._since
        if elapsed >= WINDOW_S:
            self._full = self._sum / elapsed / limit
            self._since, self._sum = now, 0.0

    def full(self) -> float:
        """Return the mean of the last window; above 1 some waited all the while."""
        return self._full
