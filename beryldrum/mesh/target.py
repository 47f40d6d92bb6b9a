"""What a target says of itself, and which of its statements holds.

Statements arrive late and out of order, and an address outlives the targets that
use it. The newer incarnation holds; within one, the higher sequence.
"""

from typing import NamedTuple

__all__ = ["DRAINING", "READY", "Announced", "Announcement"]

READY = "ready"
DRAINING = "draining"

MOST_ENDED = 256
"""Ended targets that are remembered, so that a late statement does not revive one."""


class Announcement(NamedTuple):
    """A heartbeat of a target. ``born_ms`` is the wall-clock time of its start."""

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: str
    sequence: int
    cold_s: float
    born_ms: int


class Announced:
    """The target beside this node, by what was announced.

    >>> announced = Announced()
    >>> announced.current is None
    True
    """

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self._ended: dict[str, int] = {}

    def heartbeat(self, news: Announcement) -> bool:
        """Take up a heartbeat; returns whether it is news and holds."""
        ended_ms = self._ended.get(news.target_id)
        if ended_ms is not None and news.born_ms <= ended_ms:
            return False
        old = self.current
        if old is not None and not self._follows(old, news):
            return False
        self.current = news
        return True

    @staticmethod
    def _follows(old: Announcement, news: Announcement) -> bool:
        if (news.target_id, news.born_ms) == (old.target_id, old.born_ms):
            # Draining is not taken back within one incarnation.
            back = old.state == DRAINING and news.state == READY
            return news.sequence > old.sequence and not back
        if news.born_ms == old.born_ms == 0:
            # Targets that do not state their start: a new name is a new start.
            return news.target_id != old.target_id
        return news.born_ms > old.born_ms

    def leave(self, target_id: str, wall_ms: int) -> bool:
        """Note that a target leaves for good; returns whether it was in use.

        Of a target that has not been heard of nobody here knows the start: whatever
        it says that it started before ``wall_ms`` is late.
        """
        old = self.current
        known = old is not None and old.target_id == target_id
        self._ended[target_id] = old.born_ms if old is not None and known else wall_ms
        while len(self._ended) > MOST_ENDED:
            del self._ended[next(iter(self._ended))]
        if old is None or not known:
            return False
        self.current = old._replace(state=DRAINING)
        return old.state != DRAINING
