"""A stand-in for the platform's log that can show the faults of the real one.

``POST /faults`` takes the fields of :class:`Faults` as JSON.
"""

import asyncio
import base64
import contextlib
import time
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from ..records import LogRecord

__all__ = ["Faults", "LogStandin"]

HANG_S = 3_600.0
APPENDS_PER_S = 400
MAX_WAIT_S = 30.0


class Faults(NamedTuple):
    """The faults to simulate.

    ``down`` answers 503, ``silent`` never answers and ``delay_s`` delays each answer by
    that many seconds. The next ``lose_answers`` appends take effect but get no answer,
    and the next ``double`` appends take effect twice.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    double: int = 0


class LogStandin:
    """An in-memory log and its HTTP handlers; keeps the newest ``max_records`` records."""

    def __init__(self, max_records: int = 1_000_000) -> None:
        self.entries: list[LogRecord] = []
        self.faults = Faults()
        self._max_records = max_records
        self._head = 0
        self._appended = asyncio.Event()
        self._window = 0
        self._appends_in_window = 0

    def app(self) -> web.Application:
        """Return the web application that serves the log."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_get("/records", self._read)
        app.router.add_post("/records", self._append)
        app.router.add_post("/faults", self._set_faults)
        return app

    def add(self, data: bytes) -> int:
        """Append a record and return its offset."""
        self._head += 1
        self.entries.append(LogRecord(self._head, time.time_ns() // 1_000_000, data))
        del self.entries[: -self._max_records]
        self._appended.set()
        self._appended = asyncio.Event()
        return self._head

    async def _set_faults(self, req: web.Request) -> web.Response:
        fields = msgspec.json.decode(await req.read(), type=dict[str, Any])
        self.faults = Faults(**fields)
        return web.json_response({})

    async def _apply_faults(self) -> web.Response | None:
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.silent:
            await asyncio.sleep(HANG_S)
        if self.faults.down:
            return web.json_response({"error": "down"}, status=503)
        return None

    async def _read(self, req: web.Request) -> web.Response:
        response = await self._apply_faults()
        if response is not None:
            return response
        after = int(req.query["after"])
        wait_s = min(float(req.query.get("wait_s", "0")), MAX_WAIT_S)
        if after >= self._head and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._appended.wait(), wait_s)
            if self.faults.down:
                return web.json_response({"error": "down"}, status=503)
        first = self.entries[0].offset if self.entries else self._head + 1
        if after + 1 < first:
            return web.json_response({"first": first}, status=410)
        rows = [
            (e.offset, e.time_ms, base64.b64encode(e.data).decode())
            for e in self.entries[after + 1 - first :]
        ]
        return web.json_response({"records": rows, "first": first, "head": self._head})

    def _exceeds_rate(self) -> bool:
        window = int(time.monotonic())
        if window != self._window:
            self._window, self._appends_in_window = window, 0
        self._appends_in_window += 1
        return self._appends_in_window > APPENDS_PER_S

    async def _append(self, req: web.Request) -> web.Response:
        response = await self._apply_faults()
        if response is not None:
            return response
        if self._exceeds_rate():
            return web.json_response({"error": "too many appends"}, status=429)
        data = await req.read()
        offset = self.add(data)
        if self.faults.double:
            self.faults = self.faults._replace(double=self.faults.double - 1)
            self.add(data)
        if self.faults.lose_answers:
            self.faults = self.faults._replace(lose_answers=self.faults.lose_answers - 1)
            if req.transport is not None:
                req.transport.close()
        return web.json_response({"offset": offset})
