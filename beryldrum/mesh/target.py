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
        if news.born_ms <= self._ended.get(news.target_id, -1):
            return False
        old = self.current
        if old is not None and not self._follows(old, news):
            return False
        self.current = news
        return True

    @staticmethod
    def _follows(old: Announcement, news: Announcement) -> bool:
        if news.target_id == old.target_id and news.born_ms == old.born_ms:
            # Draining is not taken back within one incarnation.
            return news.sequence > old.sequence and not (
                old.state == DRAINING and news.state == READY
            )
        return news.born_ms > old.born_ms

    def leave(self, target_id: str) -> bool:
        """Note that a target leaves for good; returns whether it was in use."""
        old = self.current
        if old is None or old.target_id != target_id:
            # Without a statement of its own its start is not known: any so far.
            self._ended[target_id] = max(self._ended.get(target_id, 0), old.born_ms if old else 0)
            return False
        self._ended[target_id] = old.born_ms
        while len(self._ended) > MOST_ENDED:
            del self._ended[next(iter(self._ended))]
        left = old.state != DRAINING
        self.current = old._replace(state=DRAINING)
        return left
