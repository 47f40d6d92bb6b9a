"""A stand-in for the platform's metadata store that can show the faults of the real one.

Records are stored in topics with a single partition. A topic whose name begins with
``keyed.`` also retains the newest record of each key. ``faults`` may be changed at any
time.
"""

import asyncio
import base64
import struct
from typing import Any, NamedTuple

from aiohttp import web

__all__ = ["PlatformStandin", "StoreFaults"]

HANG_S = 3_600.0
LENGTH_PREFIX = struct.Struct(">I")
OFFSETS_HEADER = struct.Struct(">QQ")


class StoreFaults(NamedTuple):
    """The faults to simulate.

    ``down`` answers 503 and ``silent`` never answers. The next ``lose_answers`` appends
    take effect but get no answer. ``delay_s`` delays each call by that many seconds.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


class _Topic:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def copy(self) -> "_Topic":
        """Return a copy, as a snapshot of the store has it."""
        topic = _Topic()
        topic.first, topic.records, topic.newest = self.first, [*self.records], {**self.newest}
        return topic

    def add(self, record: bytes, keyed: bool) -> None:
        if keyed:
            key_end = 1 + record[0]
            key, value = record[1:key_end].decode(), record[key_end:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStandin:
    """An in-memory store and its HTTP handlers; ``calls`` counts the calls received."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.era = 0
        self.calls = 0
        self.max_read_records = 1_000
        """Most records in one response; the real store limits the bytes of a response."""
        self._topics: dict[str, _Topic] = {}

    def app(self) -> web.Application:
        """Return the web application that serves the store."""
        app = web.Application(client_max_size=16 * 2**20)
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        app.on_response_prepare.append(self._add_era)
        return app

    async def _add_era(self, req: web.Request, response: web.StreamResponse) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    def topic(self, name: str) -> _Topic:
        """Return the topic called ``name``, creating it on first use."""
        return self._topics.setdefault(name, _Topic())

    def publish(self, config: bytes) -> None:
        """Publish a configuration as the operator does."""
        self.topic("keyed.op").add(b"\x06config" + config, keyed=True)

    def evacuate(self, data_centre: str, value: bytes = b"{}") -> None:
        """Write the record of an evacuation as the operator does; without a value, cancel it."""
        key = f"evacuate/{data_centre}".encode()
        self.topic("keyed.op").add(bytes((len(key),)) + key + value, keyed=True)

    def snapshot(self) -> dict[str, _Topic]:
        """Return a copy of all topics for :meth:`restore`."""
        return {name: topic.copy() for name, topic in self._topics.items()}

    def restore(self, snapshot: dict[str, _Topic]) -> None:
        """Go back to a snapshot, which begins a new era; what was written since is lost."""
        before, self._topics = self._topics, {n: topic.copy() for n, topic in snapshot.items()}
        self.era += 1
        for topic in before.values():
            topic.changed.set()

    def truncate(self, name: str) -> None:
        """Expire the records of a topic; the newest record of each key remains."""
        topic = self.topic(name)
        topic.first, topic.records = topic.end, []

    async def _apply_faults(self) -> None:
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.silent:
            await asyncio.sleep(HANG_S)
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    async def _append(self, req: web.Request) -> web.Response:
        await self._apply_faults()
        name, data = req.query["topic"], await req.read()
        topic, position = self.topic(name), 0
        offset = topic.end
        while position < len(data):
            (length,) = LENGTH_PREFIX.unpack_from(data, position)
            topic.add(data[position + 4 : position + 4 + length], name.startswith("keyed."))
            position += 4 + length
        if self.faults.lose_answers:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            await asyncio.sleep(HANG_S)
        return web.json_response({"offset": offset, "end_offset": topic.end})

    async def _read(self, req: web.Request) -> web.Response:
        await self._apply_faults()
        topic, position = self.topic(req.query["topic"]), int(req.query["from"])
        if not topic.first <= position <= topic.end:
            return web.json_response({"first_offset": topic.first}, status=410)
        if position >= topic.end:
            try:
                async with asyncio.timeout(int(req.query.get("wait_ms", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
            # The store may have been restored meanwhile.
            topic = self.topic(req.query["topic"])
        if position > topic.end:
            return web.json_response({"first_offset": topic.first}, status=410)
        records = topic.records[max(0, position - topic.first) :][: self.max_read_records]
        body = b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)
        return web.Response(body=OFFSETS_HEADER.pack(topic.end, topic.first) + body)

    async def _newest(self, req: web.Request) -> web.Response:
        await self._apply_faults()
        topic, after = self.topic(req.query["topic"]), req.query.get("after", "")
        items: list[dict[str, Any]] = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
            if key > after
        ]
        page = items[:500]
        has_more = len(items) > len(page)
        return web.json_response({"items": page, "has_more": has_more, "end_offset": topic.end})
