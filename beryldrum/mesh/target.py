"""Announcements of a target, and the rules for which of them is current.

Announcements may arrive late and out of order, and targets that replace one another
use the same address. The latest incarnation is current and, within an incarnation,
the highest sequence number.
"""

from typing import NamedTuple

import xxhash

__all__ = ["DRAINING", "READY", "Announcement", "AnnouncementTracker"]

READY = "ready"
DRAINING = "draining"

MAX_ENDED = 256
"""Number of targets that have left that are remembered, so that a late heartbeat is not
taken for a new target."""

MAX_DEPARTURES = 16
"""Number of them that are recorded in the store; heartbeats are late by seconds."""


class Announcement(NamedTuple):
    """A heartbeat of a target.

    ``born_ms`` is the wall-clock time at which the target started, in milliseconds, or
    0 where it is not stated. It identifies the incarnation.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: str
    sequence: int
    cold_s: float
    born_ms: int

    def same_start(self, other: "Announcement") -> bool:
        """Tell whether ``other`` is of the same start of the same target."""
        return (self.target_id, self.born_ms) == (other.target_id, other.born_ms)

    def incarnation(self) -> int:
        """Return a number that identifies this start of the target, for other nodes."""
        return xxhash.xxh32_intdigest(f"{self.target_id} {self.born_ms}".encode())


class AnnouncementTracker:
    """Keeps the current announcement of the target on this host.

    >>> tracker = AnnouncementTracker()
    >>> tracker.current is None
    True
    """

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self._ended: dict[str, int] = {}

    def heartbeat(self, announcement: Announcement) -> bool:
        """Process a heartbeat; returns whether it became the current announcement."""
        ended_ms = self._ended.get(announcement.target_id)
        if ended_ms is not None and announcement.born_ms <= ended_ms:
            return False
        old = self.current
        if old is not None and not self._follows(old, announcement):
            return False
        self.current = announcement
        return True

    @staticmethod
    def _follows(old: Announcement, announcement: Announcement) -> bool:
        if old.same_start(announcement):
            # A target does not return from draining to ready within an incarnation.
            back = old.state == DRAINING and announcement.state == READY
            return announcement.sequence > old.sequence and not back
        if announcement.born_ms == old.born_ms == 0:
            # Neither states its start time: another id means another incarnation.
            return announcement.target_id != old.target_id
        return announcement.born_ms > old.born_ms

    def departures(self) -> dict[str, int]:
        """Return the latest start of each target that has left, in milliseconds, by its id."""
        found = dict(self._ended)
        if self.current is not None and self.current.state == DRAINING:
            known_ms = found.pop(self.current.target_id, 0)
            found[self.current.target_id] = max(known_ms, self.current.born_ms)
        return dict(list(found.items())[-MAX_DEPARTURES:])

    def restore(self, departures: dict[str, int]) -> None:
        """Add the departures that an earlier process of this node has recorded."""
        for target_id, born_ms in departures.items():
            self._ended[target_id] = max(born_ms, self._ended.get(target_id, 0))

    def leave(self) -> None:
        """Record that the current target has stated that it leaves."""
        if self.current is not None:
            self.current = self.current._replace(state=DRAINING)

    def deregister(self, target_id: str, wall_ms: int, born_ms: int = 0) -> bool:
        """Record that a target has deregistered; returns whether it was in use.

        ``born_ms`` is the start that it states, 0 if none: a late message of an earlier
        start does not concern the current one. The start of a target that is not the
        current one is not known here, so unless it is stated, later heartbeats with a
        start up to ``wall_ms`` are ignored.
        """
        old = self.current
        known = old is not None and old.target_id == target_id
        if old is not None and 0 < born_ms < old.born_ms:
            known = False
        ended_ms = born_ms or (old.born_ms if old is not None and known else wall_ms)
        self._ended[target_id] = max(ended_ms, self._ended.get(target_id, 0))
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        if old is None or not known:
            return False
        self.current = old._replace(state=DRAINING)
        return old.state != DRAINING
