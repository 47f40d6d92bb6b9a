"""The replicated state: service documents, API keys and seats.

The state is a deterministic function of the log. Every reader that has applied
the records up to an offset has the same :class:`ClusterState`, whether it read
all of them or started from a snapshot. Nothing here reads a clock; where time
matters, the timestamps of the log records are used.
"""

import contextlib
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

import msgspec
import xxhash

from . import records
from .document import ServiceDocument, parse
from .errors import DocumentError, RecordError

__all__ = ["ApplyResult", "ClusterState", "Key", "Seat", "Version", "rebuild_state"]

MAX_VERSIONS = 16
MAX_WITHDRAWN_KEYS = 4_096


class ApplyResult(Enum):
    """The effect of a record on the state."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REPEATED = "repeated"
    IGNORED = "ignored"


class Version(NamedTuple):
    """An accepted document; ``number`` is the offset of its record.

    ``text`` is empty for all but the current version.
    """

    number: int
    time_ms: int
    publish_id: str
    author: str
    text: str


class Key(NamedTuple):
    """A valid API key."""

    key_id: str
    digest: str
    organisation: str


class Seat(NamedTuple):
    """The holder of a seat; ``node`` is empty while the seat is vacant.

    ``since`` is the log offset at which the seat changed hands, ``hold_ms`` the
    lease duration that the holder claimed it with. ``evict_ms`` is the log time
    at which an eviction began, 0 for none. ``fresh`` is true where nobody held
    the seat before, so that no loans or runs of an earlier holder can be outstanding.
    """

    node: str
    incarnation: str
    hold_ms: int
    since: int
    evict_ms: int
    fresh: bool


class _Image(NamedTuple):
    """The serialized form of the state, as stored in snapshots."""

    offset: int
    versions: dict[str, list[Version]]
    keys: list[Key]
    withdrawn: list[str]
    seats: dict[str, dict[str, Seat]]


class ClusterState:
    """The state after applying the log up to ``offset``.

    >>> state = ClusterState()
    >>> state.offset
    0
    """

    def __init__(self) -> None:
        self.offset = 0
        self.versions: dict[str, list[Version]] = {}
        self.documents: dict[str, ServiceDocument] = {}
        self.keys: dict[str, Key] = {}
        self.withdrawn: dict[str, None] = {}
        self.seats: dict[str, dict[int, Seat]] = {}
        self.snapshot_offset = 0

    # Applying records.

    def apply(self, entry: records.LogRecord) -> ApplyResult:
        """Apply the next record; one at or below the offset changes nothing."""
        if entry.offset <= self.offset:
            return ApplyResult.REPEATED
        self.offset = entry.offset
        try:
            record = records.decode(entry.data)
        except RecordError:
            return ApplyResult.INVALID
        return self._apply(record, entry)

    def _apply(self, record: records.Record, entry: records.LogRecord) -> ApplyResult:
        match record:
            case records.Publish():
                return self._publish(record, entry)
            case records.KeyGive():
                return self._add_key(record)
            case records.KeyWithdraw():
                return self._withdraw_key(record)
            case records.SeatClaim():
                return self._claim_seat(record, entry)
            case records.SeatRelease():
                return self._release_seat(record, entry)
            case records.Evict():
                return self._evict_node(record, entry)
            case records.Snapshot():
                self.snapshot_offset = entry.offset
                return ApplyResult.IGNORED

    def _publish(self, record: records.Publish, entry: records.LogRecord) -> ApplyResult:
        if self.find_publication(record.service, record.id):
            return ApplyResult.REPEATED
        if record.base_version != self.version(record.service):
            return ApplyResult.CONFLICT
        doc = self._validate(record)
        if doc is None:
            return ApplyResult.INVALID
        new = Version(entry.offset, entry.time_ms, record.id, record.author, record.document)
        # Only the current text is kept in memory; older ones are in the log.
        kept = [old._replace(text="") for old in self.versions.get(record.service, [])]
        self.versions[record.service] = [*kept, new][-MAX_VERSIONS:]
        self.documents[record.service] = doc
        return ApplyResult.ACCEPTED

    def _validate(self, record: records.Publish) -> ServiceDocument | None:
        try:
            doc = parse(record.document)
        except DocumentError:
            return None
        old = self.documents.get(record.service)
        if doc.service != record.service:
            return None
        if old is not None and old.seats != doc.seats:
            return None
        return doc

    def _add_key(self, record: records.KeyGive) -> ApplyResult:
        if record.key_id in self.withdrawn or record.digest in self.keys:
            return ApplyResult.REPEATED
        if any(key.key_id == record.key_id for key in self.keys.values()):
            return ApplyResult.CONFLICT
        self.keys[record.digest] = Key(record.key_id, record.digest, record.organisation)
        return ApplyResult.ACCEPTED

    def _withdraw_key(self, record: records.KeyWithdraw) -> ApplyResult:
        if record.key_id in self.withdrawn:
            return ApplyResult.REPEATED
        self.withdrawn[record.key_id] = None
        if len(self.withdrawn) > MAX_WITHDRAWN_KEYS:
            del self.withdrawn[next(iter(self.withdrawn))]
        self.keys = {d: key for d, key in self.keys.items() if key.key_id != record.key_id}
        return ApplyResult.ACCEPTED

    def _claim_seat(self, record: records.SeatClaim, entry: records.LogRecord) -> ApplyResult:
        doc = self.documents.get(record.service)
        if doc is None or not 0 <= record.seat < doc.seats or record.hold_ms < 0:
            return ApplyResult.INVALID
        seats = self.seats.setdefault(record.service, {})
        old = seats.get(record.seat)
        if old is not None and not _may_claim(old, record, entry.time_ms):
            return ApplyResult.CONFLICT
        same_holder = old is not None and old[:2] == (record.node, record.incarnation)
        since = old.since if old is not None and same_holder else entry.offset
        fresh = old is None or (same_holder and old.fresh)
        holder = (record.node, record.incarnation, record.hold_ms)
        seats[record.seat] = Seat(*holder, since, 0, fresh)
        return ApplyResult.ACCEPTED

    def _release_seat(self, record: records.SeatRelease, entry: records.LogRecord) -> ApplyResult:
        seats = self.seats.get(record.service, {})
        old = seats.get(record.seat)
        if old is None or old[:2] != (record.node, record.incarnation):
            return ApplyResult.CONFLICT
        seats[record.seat] = _vacant_seat(entry.offset)
        return ApplyResult.ACCEPTED

    def _evict_node(self, record: records.Evict, entry: records.LogRecord) -> ApplyResult:
        result = ApplyResult.REPEATED
        for service, number, seat in self.seats_held_by(record.node):
            if record.forced:
                self.seats[service][number] = _vacant_seat(entry.offset)
            elif seat.evict_ms:
                continue
            else:
                self.seats[service][number] = seat._replace(evict_ms=entry.time_ms)
            result = ApplyResult.ACCEPTED
        return result

    # Reading the state.

    def version(self, service: str) -> int:
        """Return the current version of a service's document, 0 for none."""
        kept = self.versions.get(service)
        return kept[-1].number if kept else 0

    def find_publication(self, service: str, publish_id: str) -> Version | None:
        """Return the version that the record ``publish_id`` created, if it is still kept."""
        for version in self.versions.get(service, []):
            if version.publish_id == publish_id:
                return version
        return None

    def count_vacant_seats(self, service: str) -> int:
        """Return the number of seats of a service that no node holds."""
        seats = self.seats.get(service, {}).values()
        return self.documents[service].seats - sum(bool(seat.node) for seat in seats)

    def seats_held_by(self, node: str) -> list[tuple[str, int, Seat]]:
        """Return the seats held by ``node`` as (service, number, seat) tuples."""
        return [
            (service, number, seat)
            for service, seats in self.seats.items()
            for number, seat in seats.items()
            if seat.node == node
        ]

    # Snapshots.

    def image(self) -> str:
        """Return the state as canonical JSON: equal states give equal texts."""
        seats = {
            s: {str(n): seat for n, seat in sorted(by.items())} for s, by in self.seats.items()
        }
        keys = sorted(self.keys.values())
        image = _Image(self.offset, self.versions, keys, sorted(self.withdrawn), seats)
        return msgspec.json.encode(image, order="sorted").decode()

    def digest(self) -> str:
        """Return a short hash of the state, for comparing two readers."""
        return xxhash.xxh64_hexdigest(self.image().encode())

    @classmethod
    def restore(cls, text: str) -> "ClusterState":
        """Return the state encoded in ``text``.

        Raises RecordError if it cannot be decoded.
        """
        try:
            image = msgspec.json.decode(text, type=_Image)
            documents = {s: parse(kept[-1].text) for s, kept in image.versions.items()}
        except (msgspec.DecodeError, msgspec.ValidationError, DocumentError) as exc:
            raise RecordError(f"invalid snapshot: {exc}") from exc
        state = cls()
        state.offset = image.offset
        state.versions = image.versions
        state.documents = documents
        state.keys = {key.digest: key for key in image.keys}
        state.withdrawn = dict.fromkeys(image.withdrawn)
        state.seats = {s: {int(n): seat for n, seat in by.items()} for s, by in image.seats.items()}
        return state


def _vacant_seat(since: int) -> Seat:
    return Seat("", "", 0, since, 0, False)


def _may_claim(old: Seat, claim: records.SeatClaim, time_ms: int) -> bool:
    if old.node in ("", claim.node):
        return True
    return bool(old.evict_ms) and time_ms >= old.evict_ms + old.hold_ms


def _snapshot_states(entries: Iterable[records.LogRecord]) -> Iterator[ClusterState]:
    """Yield the states in the snapshots, skipping those that cannot be decoded."""
    for entry in entries:
        with contextlib.suppress(RecordError):
            record = records.decode(entry.data)
            if isinstance(record, records.Snapshot):
                yield ClusterState.restore(record.state)


def rebuild_state(entries: list[records.LogRecord], first: int) -> ClusterState | None:
    """Return the state after ``entries``, which begin at offset ``first``.

    Replay starts at the beginning of the log or at the offset of a snapshot,
    never at the oldest record that happens to be retained: without the records
    before it, a record could get a different result. Returns None when the log
    retains neither its beginning nor a usable snapshot.
    """
    state = ClusterState() if first <= 1 else None
    if state is None:
        usable = [found for found in _snapshot_states(entries) if found.offset >= first - 1]
        state = usable[-1] if usable else None
    if state is None:
        return None
    for entry in entries:
        state.apply(entry)
    return state
