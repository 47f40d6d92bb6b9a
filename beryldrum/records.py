"""Records of the platform's log, and their encoding.

A record is a JSON object whose ``kind`` names one of the types below. Its author
chooses a unique ``id``. If an append gets no answer, the author reads the log to its
end, and appends the record again under the same id unless it finds it there.
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
    """A record as read from the log; ``time_ms`` is the time by the log's clock."""

    offset: int
    time_ms: int
    data: bytes


class Publish(NamedTuple):
    """A proposed document; accepted only if ``base_version`` is the current version."""

    id: str
    service: str
    base_version: int
    document: str
    author: str


class KeyGive(NamedTuple):
    """A new API key of an organisation; ``digest`` is the key's SHA-256 in hex."""

    id: str
    key_id: str
    digest: str
    organisation: str


class KeyWithdraw(NamedTuple):
    """Permanent withdrawal of an API key."""

    id: str
    key_id: str


class SeatClaim(NamedTuple):
    """A node claims a seat of a service.

    ``hold_ms`` is the time for which the holder may use the seat without contact to the
    log, and therefore the time that an eviction takes.
    """

    id: str
    service: str
    seat: int
    node: str
    incarnation: str
    hold_ms: int


class SeatRelease(NamedTuple):
    """A node releases a seat, which it has already stopped using."""

    id: str
    service: str
    seat: int
    node: str
    incarnation: str


class Evict(NamedTuple):
    """Frees the seats of ``node`` after their hold time, or at once if ``forced``.

    Operators force an eviction when they know that the host is switched off.
    """

    id: str
    node: str
    forced: bool


class Snapshot(NamedTuple):
    """The complete state as of offset ``as_of``."""

    id: str
    as_of: int
    state: str


Record = Publish | KeyGive | KeyWithdraw | SeatClaim | SeatRelease | Evict | Snapshot

RECORD_TYPES: dict[str, type[Any]] = {
    "publish": Publish,
    "key-give": KeyGive,
    "key-withdraw": KeyWithdraw,
    "seat-claim": SeatClaim,
    "seat-release": SeatRelease,
    "evict": Evict,
    "snapshot": Snapshot,
}
KIND_NAMES = {cls: kind for kind, cls in RECORD_TYPES.items()}

T = TypeVar("T")


def encode(record: Record) -> bytes:
    """Return the JSON of ``record``."""
    return msgspec.json.encode({"kind": KIND_NAMES[type(record)], **record._asdict()})


def from_fields(cls: type[T], fields: dict[str, Any]) -> T:
    """Build the NamedTuple ``cls`` from its fields by name and check their types.

    Raises RecordError if a field is missing, unknown or of the wrong type.
    """
    names: tuple[str, ...] = cls._fields  # type: ignore[attr-defined]
    if set(names) != set(fields):
        raise RecordError(f"{cls.__name__} requires exactly the fields {', '.join(names)}")
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
    cls = RECORD_TYPES.get(str(fields.pop("kind", "")))
    if cls is None:
        raise RecordError("unknown record kind")
    record: Record = from_fields(cls, fields)
    return record
