"""The era of the store, and whether it has again what was written before.

The store may be restored from an older copy. Its number, the era, is then incremented, and
what was written after the copy is missing until its authors write it again.
"""

from collections.abc import Callable

from ..clock import Clock

__all__ = ["StoreEra"]

SETTLE_S = 6.0
"""Time after the start of an era in which the operator and the targets write again what the
store has lost. It is also the longest for which a cancelled evacuation may stay in force, if
it was cancelled in the new era before any node had read that."""


class StoreEra:
    """The highest era that this node knows of, from the store or from other nodes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.number = 0
        self.on_change: list[Callable[[], None]] = []
        """Called when a new era was noticed, other than at the first read of this process."""
        self._known = False
        self._settles_at = float("-inf")
        self._reread_pending = False
        self._began_before = False
        """Whether the era had begun when this process started."""

    @property
    def confirms(self) -> bool:
        """Whether a configuration that the store shows is known to be the newest."""
        return self.confirms_at(self._clock.now())

    def confirms_at(self, asked_at: float) -> bool:
        """Tell whether a configuration read at ``asked_at`` is known to be the newest.

        A process that has just started can't tell whether a newer one was lost.
        """
        return self.settled_at(asked_at) or not self._began_before

    @property
    def settled(self) -> bool:
        """Whether the store has all that the operator has written."""
        return self.settled_at(self._clock.now())

    def settled_at(self, asked_at: float) -> bool:
        """Tell whether it had that for a read that was asked for at ``asked_at``."""
        return asked_at >= self._settles_at

    def observe(self, number: int) -> None:
        """Note the era of an answer of the store.

        For a process that has just started, no era but the first is settled: the store may
        have been restored a moment before.
        """
        first, self._known = not self._known, True
        if number <= self.number:
            return
        self.number = number
        self._settles_at = self._clock.now() + SETTLE_S
        self._reread_pending = True
        self._began_before = first
        if not first:
            for callback in self.on_change:
                callback()

    def settle(self, number: int) -> None:
        """Note that a node has found an era to be settled."""
        if self._known and number == self.number:
            self._settles_at = min(self._settles_at, self._clock.now())

    def settles_in_s(self) -> float:
        """Return the time until the era is settled, 0 if it is."""
        return max(0.0, self._settles_at - self._clock.now())

    def learn(self, number: int) -> None:
        """Note an era that another node has told."""
        if self._known and number > self.number:
            self.observe(number)

    def take_reread(self) -> bool:
        """Tell once whether what the store has is to be read again, now that it is settled."""
        due = self._reread_pending and self.settled
        if due:
            self._reread_pending = False
        return due
