"""The configuration as one node knows it, and how old that knowledge is.

:class:`News` is the state behind the configuration controller: it applies what
the log or a peer brings, never goes to a lower offset, and knows when it was
last confirmed that nothing newer exists.
"""

from collections import deque

from reactivex import Observable
from reactivex.subject import BehaviorSubject

from .clock import Clock
from .cluster_state import ClusterState, rebuild_state
from .log import Batch
from .records import LogRecord

__all__ = ["NEVER", "News"]

KEPT_RECORDS = 1_000
NEVER = float("-inf")


class News:
    """A fleet's state, its recent records and its age.

    ``confirmed_at`` is a time before which nothing was accepted that is not in
    the state; ``down_at`` is when the log last began to answer that it is down.
    Both are on this node's clock and are those of the asking, not of the answer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.fleet = ClusterState()
        self.confirmed_at = NEVER
        self.down_at = NEVER
        self._recent: deque[LogRecord] = deque(maxlen=KEPT_RECORDS)
        self._recent_after = 0
        self._changes = BehaviorSubject(self.fleet)

    @property
    def changes(self) -> Observable[ClusterState]:
        """The states as they come into force, beginning with the present one."""
        return self._changes

    def age_s(self) -> float:
        """Return the seconds since the state was known to be current."""
        return self._clock.now() - self.confirmed_at

    def read(self, batch: Batch, asked_at: float) -> bool:
        """Apply what the log returned to a read begun at ``asked_at``."""
        changed = self.apply(batch.entries)
        if self.fleet.offset >= batch.head:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return changed

    def log_down(self, asked_at: float) -> None:
        """Note that the log, asked at ``asked_at``, answered that it is down."""
        self.down_at = max(self.down_at, asked_at)

    def apply(self, entries: list[LogRecord]) -> bool:
        """Apply records in order; those already applied are passed over."""
        changed = False
        for entry in entries:
            if entry.offset <= self.fleet.offset:
                continue
            self.fleet.apply(entry)
            self._keep(entry)
            changed = True
        if changed:
            self._changes.on_next(self.fleet)
        return changed

    def _keep(self, entry: LogRecord) -> None:
        if len(self._recent) == KEPT_RECORDS:
            self._recent_after = self._recent[0].offset
        self._recent.append(entry)

    def restart(self, batch: Batch, asked_at: float) -> bool:
        """Take up a log whose start has expired; returns False when it cannot be.

        That is the case when it keeps no snapshot, or one older than this state.
        """
        fleet = rebuild_state(batch.entries, batch.first)
        if fleet is None or fleet.offset < self.fleet.offset:
            return False
        self._adopt(fleet)
        if fleet.offset >= batch.head:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return True

    def adopt(self, image: str) -> bool:
        """Take up a peer's whole state if it is newer."""
        fleet = ClusterState.restore(image)
        if fleet.offset <= self.fleet.offset:
            return False
        self._adopt(fleet)
        return True

    def _adopt(self, fleet: ClusterState) -> None:
        fleet.snapshot_offset = max(fleet.snapshot_offset, self.fleet.snapshot_offset)
        self.fleet = fleet
        self._recent.clear()
        self._recent_after = fleet.offset
        self._changes.on_next(fleet)

    def confirmed_by_peer(self, offset: int, age_s: float, asked_at: float) -> None:
        """Note a peer's word that ``offset`` was the newest ``age_s`` ago."""
        if age_s >= 0 and self.fleet.offset >= offset:
            self.confirmed_at = max(self.confirmed_at, asked_at - age_s)

    def since(self, after: int) -> list[LogRecord] | None:
        """Return the records after an offset, or None when they are not kept."""
        if after < self._recent_after:
            return None
        return [entry for entry in self._recent if entry.offset > after]
