"""Targets of the soak: they run requests, make calls and misbehave as told."""

import asyncio
import contextlib
import itertools
import json
import random
import time

import httptools

from beryldrum.standin.endpoint import Call

from .caller import Connection, body_of
from .checker import Arrival, Asked, Book

__all__ = ["Target"]

HEARTBEAT_S = 1.5
ACKNOWLEDGED_S = 1.0
CALL_MS = 700


class Target:
    """The target on one host, with ``slots`` runs at once.

    ``mood`` is what a share of its requests meets: cut, half, other, extra, full, hang,
    fail or slow.
    """

    def __init__(
        self, book: Book, rng: random.Random, service: str, address: str, control: str, out: str
    ) -> None:
        self._book = book
        self._rng = rng
        self.service = service
        self.address = address
        self.host = ""
        self._control = control
        self._out = out
        self._numbers = itertools.count(1)
        self._calls = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self.mood, self.share = "", 0.0
        self.slots, self.running = 40, 0

    async def start(self) -> None:
        """Begin a new incarnation on the same address."""
        self.target_id = f"i-{self.address[-5:]}-{next(self._numbers)}"
        self.born, self.state = int(self._rng.random() * 1000) + _wall_ms(), "ready"
        self._sequence = itertools.count(1)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beating = asyncio.create_task(self._beat())

    async def stop(self, drain_s: float = 0.0) -> None:
        """End; with ``drain_s`` it says so first, and serves on for that long."""
        if drain_s:
            self.state = "draining"
            if await self._say("instances.heartbeat"):
                self._book.left[self.target_id] = self._book.now()
            await asyncio.sleep(drain_s)
            await self._say("instances.deregister")
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await self._say("instances.heartbeat")
            await asyncio.sleep(HEARTBEAT_S)

    async def _say(self, call: str) -> bool:
        info = {"service": self.service, "version": "v1", "zone": "dc", "slots": self.slots}
        status = {"state": self.state, "sequence": next(self._sequence), "cold_remaining_ms": 0}
        beat = {"address": self.address, "born": self.born, "information": info, "status": status}
        body = json.dumps(beat).encode()
        conn = Connection(self._control)
        head = f"POST /rpc?call={call}&of={self.target_id} HTTP/1.1\r\nHost: control\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        try:
            async with asyncio.timeout(ACKNOWLEDGED_S):
                answer = await conn.ask(data)
        except (OSError, TimeoutError):
            return False
        finally:
            conn.close()
        return answer is not None and answer.status == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, httptools.HttpParserError):
            while not writer.is_closing():
                call = Call()
                parser = httptools.HttpRequestParser(call)
                while not call.whole:
                    data = await reader.read(65_536)
                    if not data:
                        return
                    parser.feed_data(data)
                await self._answer(call, reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = call.headers.get("x-request-id", "")
        mood = self.mood if self._rng.random() < self.share else ""
        expected = call.headers.get("x-expected-instance", self.target_id)
        if expected != self.target_id:
            writer.write(_head(421, request_id, b""))
            return
        if mood == "full" or self.running >= self.slots:
            writer.write(_head(503, request_id, b"", "X-Not-Executed: 1\r\n"))
            return
        arrival = Arrival(
            self.target_id, self.service, call.url.decode(), call.headers, call.body, _now()
        )
        self._book.arrived(arrival)
        self.running += 1
        try:
            ok = await self._run(call, request_id, mood)
        finally:
            self.running -= 1
        if mood == "hang":
            await reader.read(1)
            writer.close()
        elif mood == "cut":
            writer.close()
        elif mood == "fail" or not ok:
            writer.write(_head(500, request_id, b"failed", "X-Server-Signature: s\r\n"))
        else:
            self._write(writer, request_id, mood)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, request_id: str, mood: str) -> None:
        signed = "X-Server-Signature: s\r\n"
        whole = _head(200, request_id, body_of(request_id), signed)
        another = _head(200, "another", b"theirs", signed)
        if mood == "half":
            writer.write(whole[:-3])
            writer.close()
        else:
            first = another if mood == "other" else b""
            writer.write(first + whole + (another if mood == "extra" else b""))

    async def _run(self, call: Call, request_id: str, mood: str) -> bool:
        await asyncio.sleep(self._rng.uniform(0.005, 0.03) + (0.4 if mood == "slow" else 0.0))
        if not call.url.startswith(b"/sheet/"):
            return True
        # A call of its own, by way of the node on its host.
        asked = Asked(
            f"{request_id}.c{next(self._calls)}",
            self.host,
            self.service,
            "/inner/1",
            "",
            True,
            CALL_MS,
            _now(),
        )
        self._book.sent(asked)
        conn = Connection(self._out)
        try:
            async with asyncio.timeout(CALL_MS / 1000):
                answer = await conn.ask(conn.request(asked))
        except (OSError, TimeoutError):
            return False
        finally:
            conn.close()
        return answer is not None and answer.status == 200


def _head(status: int, request_id: str, body: bytes, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _now() -> float:
    return Book.now()


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
