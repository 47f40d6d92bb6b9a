"""The configuration in force, as a pure fold over the log.

Every reader that has applied the records up to an offset has the same
:class:`Fleet`, whether it saw all of them or started from a snapshot. Nothing
here reads a clock: where time matters, it is the log's own.
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

__all__ = ["Fleet", "Key", "Seat", "Verdict", "Version", "start_from"]

HISTORY_LENGTH = 16
TOMBSTONES = 4_096


class Verdict(Enum):
    """What a record did to the state."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REPEATED = "repeated"
    IGNORED = "ignored"


class Version(NamedTuple):
    """An accepted document; ``number`` is the offset of its record.

    ``text`` is empty for all but the version in force.
    """

    number: int
    time_ms: int
    publish_id: str
    author: str
    text: str


class Key(NamedTuple):
    """A key in force."""

    key_id: str
    digest: str
    organisation: str


class Seat(NamedTuple):
    """The holder of a seat, an empty ``node`` for none.

    ``evict_ms`` is 0 unless an eviction runs. ``fresh`` tells that nobody held
    the seat before, so that nothing of an earlier holder can be outstanding.
    """

    node: str
    incarnation: str
    hold_ms: int
    since: int
    evict_ms: int
    fresh: bool


class _Image(NamedTuple):
    """The encoded form of a fleet's state."""

    offset: int
    versions: dict[str, list[Version]]
    keys: list[Key]
    withdrawn: list[str]
    seats: dict[str, dict[str, Seat]]


class Fleet:
    """The state that the log agrees on.

    >>> fleet = Fleet()
    >>> fleet.offset
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

    def apply(self, entry: records.LogRecord) -> Verdict:
        """Apply the next record; one at or below the offset changes nothing."""
        if entry.offset <= self.offset:
            return Verdict.REPEATED
        self.offset = entry.offset
        try:
            record = records.decode(entry.data)
        except RecordError:
            return Verdict.INVALID
        return self._apply(record, entry)

    def _apply(self, record: records.Record, entry: records.LogRecord) -> Verdict:
        match record:
            case records.Publish():
                return self._publish(record, entry)
            case records.KeyGive():
                return self._give(record)
            case records.KeyWithdraw():
                return self._withdraw(record)
            case records.SeatClaim():
                return self._claim(record, entry)
            case records.SeatRelease():
                return self._release(record, entry)
            case records.Evict():
                return self._evict(record, entry)
            case records.Snapshot():
                self.snapshot_offset = entry.offset
                return Verdict.IGNORED

    def _publish(self, record: records.Publish, entry: records.LogRecord) -> Verdict:
        if self.published(record.service, record.id):
            return Verdict.REPEATED
        if record.base_version != self.version(record.service):
            return Verdict.CONFLICT
        doc = self._checked(record)
        if doc is None:
            return Verdict.INVALID
        new = Version(entry.offset, entry.time_ms, record.id, record.author, record.document)
        # Only the text in force is kept; the older ones are in the log.
        kept = [old._replace(text="") for old in self.versions.get(record.service, [])]
        self.versions[record.service] = [*kept, new][-HISTORY_LENGTH:]
        self.documents[record.service] = doc
        return Verdict.ACCEPTED

    def _checked(self, record: records.Publish) -> ServiceDocument | None:
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

    def _give(self, record: records.KeyGive) -> Verdict:
        if record.key_id in self.withdrawn or record.digest in self.keys:
            return Verdict.REPEATED
        if any(key.key_id == record.key_id for key in self.keys.values()):
            return Verdict.CONFLICT
        self.keys[record.digest] = Key(record.key_id, record.digest, record.organisation)
        return Verdict.ACCEPTED

    def _withdraw(self, record: records.KeyWithdraw) -> Verdict:
        if record.key_id in self.withdrawn:
            return Verdict.REPEATED
        self.withdrawn[record.key_id] = None
        if len(self.withdrawn) > TOMBSTONES:
            del self.withdrawn[next(iter(self.withdrawn))]
        self.keys = {d: key for d, key in self.keys.items() if key.key_id != record.key_id}
        return Verdict.ACCEPTED

    def _claim(self, record: records.SeatClaim, entry: records.LogRecord) -> Verdict:
        doc = self.documents.get(record.service)
        if doc is None or not 0 <= record.seat < doc.seats or record.hold_ms < 0:
            return Verdict.INVALID
        seats = self.seats.setdefault(record.service, {})
        old = seats.get(record.seat)
        if old is not None and not _claimable(old, record, entry.time_ms):
            return Verdict.CONFLICT
        same = old is not None and old[:2] == (record.node, record.incarnation)
        since = old.since if old is not None and same else entry.offset
        fresh = old is None or (same and old.fresh)
        holder = (record.node, record.incarnation, record.hold_ms)
        seats[record.seat] = Seat(*holder, since, 0, fresh)
        return Verdict.ACCEPTED

    def _release(self, record: records.SeatRelease, entry: records.LogRecord) -> Verdict:
        seats = self.seats.get(record.service, {})
        old = seats.get(record.seat)
        if old is None or old[:2] != (record.node, record.incarnation):
            return Verdict.CONFLICT
        seats[record.seat] = _vacant(entry.offset)
        return Verdict.ACCEPTED

    def _evict(self, record: records.Evict, entry: records.LogRecord) -> Verdict:
        verdict = Verdict.REPEATED
        for service, number, seat in self.held_by(record.node):
            if record.forced:
                self.seats[service][number] = _vacant(entry.offset)
            elif seat.evict_ms:
                continue
            else:
                self.seats[service][number] = seat._replace(evict_ms=entry.time_ms)
            verdict = Verdict.ACCEPTED
        return verdict

    # Reading the state.

    def version(self, service: str) -> int:
        """Return the version in force of a service's document, 0 for none."""
        kept = self.versions.get(service)
        return kept[-1].number if kept else 0

    def published(self, service: str, publish_id: str) -> Version | None:
        """Return the version that the publication ``publish_id`` became."""
        for version in self.versions.get(service, []):
            if version.publish_id == publish_id:
                return version
        return None

    def held_by(self, node: str) -> list[tuple[str, int, Seat]]:
        """Return the seats that ``node`` holds, as service, number and seat."""
        return [
            (service, number, seat)
            for service, seats in self.seats.items()
            for number, seat in seats.items()
            if seat.node == node
        ]

    # Snapshots.

    def image(self) -> str:
        """Return the whole state as text; equal states give equal texts."""
        seats = {
            s: {str(n): seat for n, seat in sorted(by.items())} for s, by in self.seats.items()
        }
        keys = sorted(self.keys.values())
        image = _Image(self.offset, self.versions, keys, sorted(self.withdrawn), seats)
        return msgspec.json.encode(image, order="sorted").decode()

    def digest(self) -> str:
        """Return a short hash of the state, by which two readers compare."""
        return xxhash.xxh64_hexdigest(self.image().encode())

    @classmethod
    def restore(cls, text: str) -> "Fleet":
        """Return the state in ``text``; raises RecordError."""
        try:
            image = msgspec.json.decode(text, type=_Image)
            documents = {s: parse(kept[-1].text) for s, kept in image.versions.items()}
        except (msgspec.DecodeError, msgspec.ValidationError, DocumentError) as exc:
            raise RecordError(f"snapshot: {exc}") from exc
        fleet = cls()
        fleet.offset = image.offset
        fleet.versions = image.versions
        fleet.documents = documents
        fleet.keys = {key.digest: key for key in image.keys}
        fleet.withdrawn = dict.fromkeys(image.withdrawn)
        fleet.seats = {s: {int(n): seat for n, seat in by.items()} for s, by in image.seats.items()}
        return fleet


def _vacant(since: int) -> Seat:
    return Seat("", "", 0, since, 0, False)


def _claimable(old: Seat, claim: records.SeatClaim, time_ms: int) -> bool:
    if old.node in ("", claim.node):
        return True
    return bool(old.evict_ms) and time_ms >= old.evict_ms + old.hold_ms


def _snapshots(entries: Iterable[records.LogRecord]) -> Iterator[Fleet]:
    """Yield the states of the snapshots; one that cannot be read is passed over."""
    for entry in entries:
        with contextlib.suppress(RecordError):
            record = records.decode(entry.data)
            if isinstance(record, records.Snapshot):
                yield Fleet.restore(record.state)


def start_from(entries: list[records.LogRecord], first: int) -> Fleet | None:
    """Return the state after ``entries``, which begin at the oldest kept offset.

    The fold begins at the start of the log or at a snapshot's own offset, never
    at the first record that happens to be kept: without its past a record would
    be judged differently. Returns None when neither is to be had.
    """
    fleet = Fleet() if first <= 1 else None
    if fleet is None:
        reach_back = [found for found in _snapshots(entries) if found.offset >= first - 1]
        fleet = reach_back[-1] if reach_back else None
    if fleet is None:
        return None
    for entry in entries:
        fleet.apply(entry)
    return fleet
