"""Idempotency keys: a non-idempotent request runs at most once per key.

Each key has one home node, the holder of the seat that the key hashes to. The
home's :class:`Ledger` keeps the run in flight, then its complete reply, until
the key expires. Keys are version 7 UUIDs; their timestamp shows whether the home
has held the seat for as long as the key exists. Where it has not, a key that is
not in the ledger may have run at an earlier home: its outcome is *unknown* and
the request is not run.
"""

import uuid
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

import xxhash
from result import Err, Ok, Result

from . import request
from .clock import Clock
from .request import Outcome, Reason, Reply, Request

__all__ = [
    "JoinRun",
    "Ledger",
    "StartRun",
    "StoredReply",
    "born_ms",
    "fingerprint",
    "seat_for_key",
]

ENTRY_OVERHEAD_BYTES = 600
MAX_ORGANISATION_SHARE = 0.5

T = TypeVar("T")


class StartRun(NamedTuple):
    """The caller must run the request now, then call :meth:`Ledger.complete`."""


class JoinRun(NamedTuple, Generic[T]):
    """The same request is already running under ``handle``."""

    handle: T


class StoredReply(NamedTuple):
    """The request has already ended with ``reply``."""

    reply: Reply


class _Entry(Generic[T]):
    """The entry of one key; ``reply`` is None while the request runs."""

    __slots__ = ("expires_ms", "handle", "organisation", "reply", "request_hash", "size")

    def __init__(self, request_hash: str, organisation: str, expires_ms: int, handle: T) -> None:
        self.request_hash = request_hash
        self.organisation = organisation
        self.expires_ms = expires_ms
        self.handle = handle
        self.reply: Reply | None = None
        self.size = ENTRY_OVERHEAD_BYTES


class Usage(NamedTuple):
    """The number of entries of an organisation and their size in bytes."""

    entries: int
    size: int


def born_ms(key: str) -> int | None:
    """Return the timestamp of a version 7 UUID in ms since the epoch.

    Returns None for anything else.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def seat_for_key(service: str, key: str, seats: int) -> int:
    """Return the number of the seat whose holder is the home of ``key``."""
    return xxhash.xxh64_intdigest(f"{service}\0{uuid.UUID(key).hex}".encode()) % seats


TAKEOVER_ERRORS = 3
"""Clock errors after a seat was taken over up to which keys may be known to its last home.

That accepted keys from up to one error ahead of its clock, and its clock may differ from
this node's by twice the error.
"""


def fingerprint(req: Request) -> str:
    """Return a hash of the parts of a request that a repeat must match."""
    digest = xxhash.xxh3_128()
    for part in (req.organisation, req.method, req.path):
        digest.update(part.encode() + b"\0")
    digest.update(req.body)
    return digest.hexdigest()


class Ledger(Generic[T]):
    """The idempotency keys of one service at one node.

    ``T`` is the type of run handles. ``held_since_ms`` maps a key to the wall
    clock time since when this node has held the key's seat, or None when it does
    not hold it. ``clock_error_ms`` bounds the error of any node's wall clock.
    One organisation may use at most half of the capacity.
    """

    def __init__(
        self,
        clock: Clock,
        lifetime_ms: int,
        clock_error_ms: int,
        held_since_ms: Callable[[str], int | None],
        max_entries: int,
        max_bytes: int,
    ) -> None:
        self._clock = clock
        self._lifetime_ms = lifetime_ms
        self._error_ms = clock_error_ms
        self._takeover_ms = TAKEOVER_ERRORS * clock_error_ms
        self._held_since_ms = held_since_ms
        self._max_usage = Usage(max_entries, max_bytes)
        self._entries: dict[str, _Entry[T]] = {}
        self._usage: dict[str, Usage] = {}
        self._expired_at_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, req: Request, handle: T) -> Result[StartRun | JoinRun[T] | StoredReply, Reason]:
        """Look up the key of a request and register a run if there is none.

        On :class:`StartRun` the caller must call :meth:`complete`. An Err means
        that neither this nor any earlier attempt has run, or that the request is
        malformed.
        """
        key = req.idempotency_key
        born = born_ms(key)
        now = self._clock.wall_ms()
        self._remove_expired(now)
        if born is None:
            return Err(request.BAD_HEADER)
        entry = self._entries.get(key)
        if entry is not None:
            return self._handle_repeat(entry, req)
        held_ms = self._held_since_ms(key)
        if held_ms is None:
            return Err(request.NOT_HOME)
        if born > now + self._error_ms:
            return Err(request.KEY_EXPIRED)
        if born <= held_ms + self._takeover_ms or born + self._lifetime_ms <= now:
            return Ok(StoredReply(request.unknown(request.OUTCOME_NOT_KEPT)))
        if not self._has_room(req.organisation):
            return Err(request.LEDGER_FULL)
        expires = born + self._lifetime_ms + 2 * self._error_ms
        self._entries[key] = _Entry(fingerprint(req), req.organisation, expires, handle)
        self._add_usage(req.organisation, 1, ENTRY_OVERHEAD_BYTES)
        return Ok(StartRun())

    def _handle_repeat(
        self, entry: _Entry[T], req: Request
    ) -> Result[StartRun | JoinRun[T] | StoredReply, Reason]:
        if entry.request_hash != fingerprint(req):
            return Err(request.KEY_REUSED)
        if entry.reply is None:
            return Ok(JoinRun(entry.handle))
        return Ok(StoredReply(entry.reply))

    def complete(self, key: str, reply: Reply) -> None:
        """Store the outcome of a run; a key whose request did not run is removed."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if reply.outcome is Outcome.NOT_RUN:
            self._remove(key)
            return
        kept = reply._replace(allowance=0)
        added = len(kept.body) + sum(len(name) + len(value) for name, value in kept.headers)
        if self._total_size() + added > self._max_usage.size:
            # Keep the key even when the reply does not fit, so it never runs again.
            kept, added = request.unknown(request.OUTCOME_NOT_KEPT), 0
        entry.reply = kept
        entry.size += added
        self._add_usage(entry.organisation, 0, added)

    def _total_size(self) -> int:
        return sum(usage.size for usage in self._usage.values())

    def _has_room(self, organisation: str) -> bool:
        own = self._usage.get(organisation, Usage(0, 0))
        if own.entries >= self._max_usage.entries * MAX_ORGANISATION_SHARE:
            return False
        if own.size >= self._max_usage.size * MAX_ORGANISATION_SHARE:
            return False
        full = len(self._entries) >= self._max_usage.entries
        return not full and self._total_size() + ENTRY_OVERHEAD_BYTES <= self._max_usage.size

    def _add_usage(self, organisation: str, entries: int, size: int) -> None:
        old = self._usage.get(organisation, Usage(0, 0))
        self._usage[organisation] = Usage(old.entries + entries, old.size + size)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key)
        self._add_usage(entry.organisation, -1, -entry.size)

    def _remove_expired(self, now_ms: int) -> None:
        if now_ms - self._expired_at_ms < 1_000:
            return
        self._expired_at_ms = now_ms
        expired = [
            key
            for key, entry in self._entries.items()
            if entry.expires_ms <= now_ms and entry.reply is not None
        ]
        for key in expired:
            self._remove(key)
