"""The ledger that lets a non-idempotent request run at most once.

Each idempotency key has one home, the holder of its seat. The home's
:class:`Ledger` keeps the run in flight or its whole answer for the key's life.
Keys are version 7 UUIDs, whose time tells whether the home held the seat all
the key's life; where it did not, an unfamiliar key is *unknown* and never runs.
"""

import uuid
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

import xxhash
from result import Err, Ok, Result

from . import request
from .clock import Clock
from .request import Outcome, Reason, Reply, Request

__all__ = ["Answer", "Join", "Ledger", "Run", "born_ms", "fingerprint", "seat_of"]

ENTRY_BYTES = 600
SHARE_OF_ONE = 0.5

T = TypeVar("T")


class Run(NamedTuple):
    """The request is to be run now, by the caller of the ledger."""


class Join(NamedTuple, Generic[T]):
    """A run of the same request is in flight; ``handle`` is its."""

    handle: T


class Answer(NamedTuple):
    """The request has an outcome already."""

    reply: Reply


class _Entry(Generic[T]):
    """A key that is kept."""

    __slots__ = ("expires_ms", "handle", "organisation", "print", "reply", "size")

    def __init__(self, print_: str, organisation: str, expires_ms: int, handle: T) -> None:
        self.print = print_
        self.organisation = organisation
        self.expires_ms = expires_ms
        self.handle = handle
        self.reply: Reply | None = None
        self.size = ENTRY_BYTES


class Usage(NamedTuple):
    """What an organisation's keys take up."""

    entries: int
    size: int


def born_ms(key: str) -> int | None:
    """Return the time in a version 7 UUID, in ms since the epoch, or None."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def seat_of(service: str, key: str, seats: int) -> int:
    """Return the seat whose holder is the home of ``key``."""
    return xxhash.xxh64_intdigest(f"{service}\0{uuid.UUID(key).hex}".encode()) % seats


def fingerprint(req: Request) -> str:
    """Return a hash of what makes a repeat the same request."""
    digest = xxhash.xxh3_128()
    for part in (req.organisation, req.method, req.path):
        digest.update(part.encode() + b"\0")
    digest.update(req.body)
    return digest.hexdigest()


class Ledger(Generic[T]):
    """The keys of one service at one home. ``T`` is the handle of a run.

    ``held_since_ms`` tells since when this home has held a seat, or None when it
    does not hold it.
    """

    def __init__(
        self,
        clock: Clock,
        life_ms: int,
        clock_error_ms: int,
        held_since_ms: Callable[[str], int | None],
        most_entries: int,
        most_bytes: int,
    ) -> None:
        self._clock = clock
        self._life_ms = life_ms
        self._error_ms = clock_error_ms
        self._held_since_ms = held_since_ms
        self._most = Usage(most_entries, most_bytes)
        self._entries: dict[str, _Entry[T]] = {}
        self._usage: dict[str, Usage] = {}
        self._swept_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def open(self, req: Request, handle: T) -> Result[Run | Join[T] | Answer, Reason]:
        """Decide on a request with a key; on Run the caller must close it.

        An Err is a proved *not run*, of this and of every earlier attempt, or a
        refusal of a malformed request.
        """
        key = req.idempotency_key
        born = born_ms(key)
        now = self._clock.wall_ms()
        self._sweep(now)
        if born is None:
            return Err(request.BAD_HEADER)
        entry = self._entries.get(key)
        if entry is not None:
            return self._repeat(entry, req)
        held = self._held_since_ms(key)
        if held is None:
            return Err(request.NOT_HOME)
        # The margin is taken twice: the last home's clock and this one's differ.
        if born > now + self._error_ms:
            return Err(request.KEY_EXPIRED)
        if born <= held + 3 * self._error_ms or born + self._life_ms <= now:
            return Ok(Answer(request.unknown(request.OUTCOME_NOT_KEPT)))
        if not self._fits(req.organisation):
            return Err(request.LEDGER_FULL)
        expires = born + self._life_ms + 2 * self._error_ms
        self._entries[key] = _Entry(fingerprint(req), req.organisation, expires, handle)
        self._grow(req.organisation, 1, ENTRY_BYTES)
        return Ok(Run())

    def _repeat(self, entry: _Entry[T], req: Request) -> Result[Run | Join[T] | Answer, Reason]:
        if entry.print != fingerprint(req):
            return Err(request.KEY_REUSED)
        if entry.reply is None:
            return Ok(Join(entry.handle))
        return Ok(Answer(entry.reply))

    def close(self, key: str, reply: Reply) -> None:
        """Keep the outcome of a run; a proved *not run* frees the key."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if reply.outcome is Outcome.NOT_RUN:
            self._drop(key)
            return
        kept = reply._replace(allowance=0)
        grown = len(kept.body) + sum(len(name) + len(value) for name, value in kept.headers)
        if self._size() + grown > self._most.size:
            # The run is remembered even where its answer no longer fits.
            kept, grown = request.unknown(request.OUTCOME_NOT_KEPT), 0
        entry.reply = kept
        entry.size += grown
        self._grow(entry.organisation, 0, grown)

    def _size(self) -> int:
        return sum(usage.size for usage in self._usage.values())

    def _fits(self, organisation: str) -> bool:
        own = self._usage.get(organisation, Usage(0, 0))
        if own.entries >= self._most.entries * SHARE_OF_ONE:
            return False
        if own.size >= self._most.size * SHARE_OF_ONE:
            return False
        full = len(self._entries) >= self._most.entries
        return not full and self._size() + ENTRY_BYTES <= self._most.size

    def _grow(self, organisation: str, entries: int, size: int) -> None:
        old = self._usage.get(organisation, Usage(0, 0))
        self._usage[organisation] = Usage(old.entries + entries, old.size + size)

    def _drop(self, key: str) -> None:
        entry = self._entries.pop(key)
        self._grow(entry.organisation, -1, -entry.size)

    def _sweep(self, now_ms: int) -> None:
        if now_ms - self._swept_ms < 1_000:
            return
        self._swept_ms = now_ms
        dead = [
            key
            for key, entry in self._entries.items()
            if entry.expires_ms <= now_ms and entry.reply is not None
        ]
        for key in dead:
            self._drop(key)
