"""Callers: they keep their connections open, and say in the book what they see."""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import httptools

from .checker import Asked, Book

__all__ = ["Answer", "Caller", "Connection", "body_of"]

HOST = "shop.example"
LEFT_MS = 3_000
IDS = itertools.count(1)
MIX = ((0.45, "GET", "/list/"), (0.3, "POST", "/book/"), (0.15, "GET", "/sheet/"))
REST = ("GET", "/move/")


def body_of(request_id: str) -> bytes:
    """Return the answer that belongs to a request and to no other."""
    return request_id.encode() + b" " + hashlib.sha256(request_id.encode()).digest() * 40


class Answer(NamedTuple):
    """An answer as it came."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool


class Connection:
    """One connection to a node, used for one request after the other."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self, data: bytes) -> Answer | None:
        """Send a request; returns None where the connection ended without an answer."""
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        assert self._reader is not None
        self._headers: dict[bytes, bytes] = {}
        self._body, self._whole = b"", False
        parser = httptools.HttpResponseParser(self)
        try:
            self._writer.write(data)
            while not self._whole:
                block = await self._reader.read(65_536)
                if not block:
                    self.close()
                    return None
                parser.feed_data(block)
        except ConnectionError:
            self.close()
            return None
        keep = parser.should_keep_alive()
        if not keep:
            self.close()
        return Answer(parser.get_status_code(), self._headers, self._body, keep)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._whole = True

    @staticmethod
    def request(asked: Asked, method: str = "GET", body: bytes = b"") -> bytes:
        """Return the bytes of a request."""
        key = f"Authorization: Bearer {asked.key}\r\n" if asked.key else ""
        size = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {asked.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {asked.request_id}\r\n"
            f"X-Deadline-Milliseconds: {asked.left_ms}\r\n{key}{size}\r\n"
        )
        return head.encode() + body

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Caller:
    """Sends requests on one host, one after the other, for as long as it runs."""

    def __init__(
        self,
        book: Book,
        rng: random.Random,
        host: str,
        service: str,
        address: str,
        key: Callable[[], str],
        pause_s: Callable[[], float],
        killed: Callable[[str, float], bool],
        ready: Callable[[str], bool],
    ) -> None:
        self._book, self._rng = book, rng
        self._host, self._service, self._address = host, service, address
        self._key, self._pause_s = key, pause_s
        self._killed, self._ready = killed, ready

    async def run(self) -> None:
        """Send requests until cancelled."""
        conn = Connection(self._address)
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * self._pause_s())
            if not self._ready(self._host):
                conn.close()
                continue
            after_s = await self._one(conn)
            if after_s:
                await asyncio.sleep(after_s)

    async def _one(self, conn: Connection) -> float:
        method, path = self._draw()
        asked = Asked(
            f"s{next(IDS):07d}",
            self._host,
            self._service,
            path + "1",
            self._key(),
            method == "GET",
            LEFT_MS,
            self._book.now(),
        )
        self._book.sent(asked)
        body = b"b" * 500 if method == "POST" else b""
        try:
            async with asyncio.timeout(LEFT_MS / 1000 + 1.0):
                answer = await conn.ask(conn.request(asked, method, body))
        except TimeoutError:
            self._book.counts["no answer"] += 1
            conn.close()
            return 0.0
        except OSError:
            self._book.counts["not connected"] += 1
            conn.close()
            return 0.2
        if answer is None:
            self._book.lost(asked, self._killed(self._host, asked.sent_at))
            return 0.1
        whole = answer.body == body_of(asked.request_id)
        self._book.answered(asked, answer.status, b"x-server-signature" in answer.headers, whole)
        if answer.status >= 400:
            return min(1.0, float(answer.headers.get(b"retry-after", b"0.05")))
        return 0.0

    def _draw(self) -> tuple[str, str]:
        left = self._rng.random()
        for share, method, path in MIX:
            left -= share
            if left < 0:
                return method, path
        return REST
