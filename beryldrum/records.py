"""Records of the platform's log, and their encoding.

A record is a JSON object whose ``kind`` names one of the types below. Each has
an ``id`` of its author's choice, by which a lost answer is settled: the author
reads on until it meets the id, and appends again with the same one.
"""

from typing import Any, NamedTuple, TypeVar

import msgspec

from .errors import RecordError

__all__ = [
    "Evict",
    "KeyGive",
    "KeyWithdraw",
    "LogRecord",
    "Publish",
    "Record",
    "SeatClaim",
    "SeatRelease",
    "Snapshot",
    "decode",
    "encode",
]


class LogRecord(NamedTuple):
    """A record as the log returns it; ``time_ms`` is the log's own time."""

    offset: int
    time_ms: int
    data: bytes


class Publish(NamedTuple):
    """A proposed document; accepted only on top of ``base_version``."""

    id: str
    service: str
    base_version: int
    document: str
    author: str


class KeyGive(NamedTuple):
    """A key for an organisation; ``digest`` is the SHA-256 of the key, in hex."""

    id: str
    key_id: str
    digest: str
    organisation: str


class KeyWithdraw(NamedTuple):
    """A key that must stop working, for good."""

    id: str
    key_id: str


class SeatClaim(NamedTuple):
    """A node takes a seat of a service.

    ``hold_ms`` is how long the holder may go on without news of the log, and so
    how long an eviction takes.
    """

    id: str
    service: str
    seat: int
    node: str
    incarnation: str
    hold_ms: int


class SeatRelease(NamedTuple):
    """A holder that has already stopped using a seat gives it up."""

    id: str
    service: str
    seat: int
    node: str
    incarnation: str


class Evict(NamedTuple):
    """The seats of ``node`` fall vacant after their hold, at once if ``forced``.

    An operator forces it for a host that is known to be switched off.
    """

    id: str
    node: str
    forced: bool


class Snapshot(NamedTuple):
    """The whole folded state as of offset ``as_of``."""

    id: str
    as_of: int
    state: str


Record = Publish | KeyGive | KeyWithdraw | SeatClaim | SeatRelease | Evict | Snapshot

KINDS: dict[str, type[Any]] = {
    "publish": Publish,
    "key-give": KeyGive,
    "key-withdraw": KeyWithdraw,
    "seat-claim": SeatClaim,
    "seat-release": SeatRelease,
    "evict": Evict,
    "snapshot": Snapshot,
}
NAMES = {cls: kind for kind, cls in KINDS.items()}

T = TypeVar("T")


def encode(record: Record) -> bytes:
    """Return the JSON of ``record``."""
    return msgspec.json.encode({"kind": NAMES[type(record)], **record._asdict()})


def from_fields(cls: type[T], fields: dict[str, Any]) -> T:
    """Build the NamedTuple ``cls`` from named fields, checking their types.

    Raises RecordError when a field is missing, unknown or of a wrong type.
    """
    names: tuple[str, ...] = cls._fields  # type: ignore[attr-defined]
    if set(names) != set(fields):
        raise RecordError(f"{cls.__name__} has the fields {', '.join(names)}")
    try:
        return msgspec.convert([fields[name] for name in names], cls)
    except msgspec.ValidationError as exc:
        raise RecordError(f"{cls.__name__}: {exc}") from exc


def decode(data: bytes) -> Record:
    """Return the record in ``data``; raises RecordError."""
    try:
        fields = msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise RecordError(str(exc)) from exc
    cls = KINDS.get(str(fields.pop("kind", "")))
    if cls is None:
        raise RecordError("unknown kind of record")
    record: Record = from_fields(cls, fields)
    return record
