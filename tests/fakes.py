"""Fakes and builders shared by the tests."""

import random
import uuid

from beryldrum import records
from beryldrum.clock import ManualClock
from beryldrum.errors import AppendUnknownError, LogDownError, LogTruncatedError
from beryldrum.log import Batch, Log
from beryldrum.records import LogRecord
from beryldrum.request import Request

DOCUMENT = """\
service: payments
seats: 4
routes:
  - {name: deposit, path: /deposit, methods: [POST], open: true, idempotent: false}
organisations:
  remenar-01: {rate_per_s: 8, burst: 8}
"""


class MemoryLog(Log):
    """An in-memory log; ``faults`` lists how the next appends fail.

    ``refused``: the log is down. ``dropped``: the record is lost without an
    answer. ``lost``: it is appended, but the answer is lost. ``doubled``: it is
    appended twice.
    """

    def __init__(self):
        self.entries = []
        self.first = 1
        self.time_ms = 1_000
        self.faults = []
        self.down = False

    async def read(self, after, wait_s):
        if self.down:
            raise LogDownError
        if after + 1 < self.first:
            raise LogTruncatedError(self.first)
        found = [entry for entry in self.entries if entry.offset > after]
        return Batch(found, self.first, len(self.entries) + self.first - 1)

    async def append(self, data):
        fault = self.faults.pop(0) if self.faults else ""
        if self.down or fault == "refused":
            raise LogDownError
        if fault == "dropped":
            raise AppendUnknownError
        offset = self.put(data)
        if fault == "doubled":
            self.put(data)
        if fault == "lost":
            raise AppendUnknownError
        return offset

    def put(self, data):
        """Append a record and return its offset."""
        offset = len(self.entries) + self.first
        self.entries.append(LogRecord(offset, self.time_ms, data))
        return offset

    def add(self, record):
        """Append a typed record and return its offset."""
        return self.put(records.encode(record))


def publish(base=0, document=DOCUMENT, author="ann", publish_id=None):
    """Return a record that publishes the payments document."""
    name = publish_id or uuid.uuid4().hex
    return records.Publish(name, "payments", base, document, author)


def claim(seat=0, node="a", incarnation="1", hold_ms=10_000):
    """Return a record that claims a seat."""
    name = uuid.uuid4().hex
    return records.SeatClaim(name, "payments", seat, node, incarnation, hold_ms)


def request(**changes):
    """Return a request with the given fields changed."""
    base = Request(
        service="payments",
        route="deposit",
        method="POST",
        path="/deposit",
        headers=(),
        body=b"5",
        organisation="remenar-01",
        priority=0,
        deadline=1e9,
        allowance=0,
        request_id="r",
        idempotency_key="",
        idempotent=False,
        depth=0,
    )
    return base._replace(**changes)


def uuid7(wall_ms, tail=1):
    """Return a version 7 UUID with the given timestamp."""
    return str(uuid.UUID(int=wall_ms << 80 | 7 << 76 | 2 << 62 | tail))


def rng(seed=1):
    """Return a random source with a fixed seed."""
    return random.Random(seed)


__all__ = ["DOCUMENT", "ManualClock", "MemoryLog", "claim", "publish", "request", "rng", "uuid7"]
