"""A node's replica of the fleet configuration, and its age.

:class:`ConfigReplica` holds the state for the configuration controllers. It applies
records from the log and from peers, never moves to a lower offset, and records when it
was last confirmed to be up to date.
"""

from collections import deque

from reactivex import Observable
from reactivex.subject import BehaviorSubject

from .clock import Clock
from .cluster_state import ClusterState, rebuild_state
from .log import Batch
from .records import LogRecord

__all__ = ["NEVER", "ConfigReplica"]

MAX_RECENT_RECORDS = 1_000
NEVER = float("-inf")


class ConfigReplica:
    """The state of the fleet, its most recent records and its age.

    Every record that the log accepted before ``confirmed_at`` is part of the state.
    ``down_at`` is the time of the last request that the log answered with being
    unavailable. Both are in seconds on this node's clock, and are the times when the
    requests were sent, not when the answers arrived.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.state = ClusterState()
        self.confirmed_at = NEVER
        self.down_at = NEVER
        self._recent: deque[LogRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._recent_after = 0
        self._changes = BehaviorSubject(self.state)

    @property
    def changes(self) -> Observable[ClusterState]:
        """Emits the current state on subscription, and then each new one."""
        return self._changes

    def age_s(self) -> float:
        """Return the seconds since the state was last confirmed as current."""
        return self._clock.now() - self.confirmed_at

    def apply_batch(self, batch: Batch, asked_at: float) -> bool:
        """Apply the result of a read of the log that was started at ``asked_at``.

        Returns whether the state has changed.
        """
        changed = self.apply(batch.entries)
        if self.state.offset >= batch.head:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return changed

    def log_down(self, asked_at: float) -> None:
        """Record that the log answered a request of ``asked_at`` with being unavailable."""
        self.down_at = max(self.down_at, asked_at)

    def apply(self, entries: list[LogRecord]) -> bool:
        """Apply records in order and skip those already applied.

        Returns whether the state has changed.
        """
        changed = False
        for entry in entries:
            if entry.offset <= self.state.offset:
                continue
            self.state.apply(entry)
            self._append_recent(entry)
            changed = True
        if changed:
            self._changes.on_next(self.state)
        return changed

    def _append_recent(self, entry: LogRecord) -> None:
        if len(self._recent) == MAX_RECENT_RECORDS:
            self._recent_after = self._recent[0].offset
        self._recent.append(entry)

    def restore_snapshot(self, batch: Batch, asked_at: float) -> bool:
        """Replace the state from a log whose first records have expired.

        Returns False, and changes nothing, when the batch contains no usable snapshot or
        only one older than this state.
        """
        state = rebuild_state(batch.entries, batch.first)
        if state is None or state.offset < self.state.offset:
            return False
        self._replace_state(state)
        if state.offset >= batch.head:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return True

    def adopt(self, image: str) -> bool:
        """Replace the state by the image from a peer; returns False if it is not newer."""
        state = ClusterState.restore(image)
        if state.offset <= self.state.offset:
            return False
        self._replace_state(state)
        return True

    def _replace_state(self, state: ClusterState) -> None:
        state.snapshot_offset = max(state.snapshot_offset, self.state.snapshot_offset)
        self.state = state
        self._recent.clear()
        self._recent_after = state.offset
        self._changes.on_next(state)

    def confirmed_by_peer(self, offset: int, age_s: float, asked_at: float) -> None:
        """Record a peer's report that ``offset`` was the newest ``age_s`` seconds ago."""
        if age_s >= 0 and self.state.offset >= offset:
            self.confirmed_at = max(self.confirmed_at, asked_at - age_s)

    def records_after(self, after: int) -> list[LogRecord] | None:
        """Return the records after an offset, or None if some are no longer kept."""
        if after < self._recent_after:
            return None
        return [entry for entry in self._recent if entry.offset > after]
