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


DRAIN_S = 0.3
"""Time in which a queue is to be worked off."""

LEAST_LEFT = 0.3
"""Part of what a target gets done that is left for what comes, at the least, while a
queue is worked off."""


class Pressure:
    """The load of a target: what comes, as a part of what it gets done.

    While there is room that is the mean of what runs against the limit. Once there
    is a queue its length says nothing of that part, and arrivals are compared with
    ends.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since = self._changed_at = clock.now()
        self._busy = 0
        self._sum = 0.0
        self._arrived = 0
        self._ended = 0
        self._full = 0.0

    def arrived(self) -> None:
        """Count a request that comes, refused or not."""
        self._arrived += 1

    def ended(self) -> None:
        """Count a run that ends."""
        self._ended += 1

    def changed(self, busy: int, limit: int) -> None:
        """Note that ``busy`` requests run and wait now."""
        now = self._clock.now()
        self._sum += self._busy * (now - self._changed_at)
        self._busy, self._changed_at = busy, now
        elapsed = now - self._since
        if elapsed < WINDOW_S:
            return
        mean = self._sum / elapsed / limit
        self._full = mean if mean <= 1.0 else self._overload(max(0, busy - limit), elapsed)
        self._since, self._sum, self._arrived, self._ended = now, 0.0, 0, 0

    def _overload(self, queued: int, elapsed: float) -> float:
        done = max(1, self._ended)
        wait_s = queued * elapsed / done
        left = max(LEAST_LEFT, 1.0 - wait_s / DRAIN_S)
        return max(1.0, self._arrived / done) / left

    def full(self) -> float:
        """Return the load of the last window; above 1 more came than was done."""
        return self._full
