"""The asking side of HTTP/1.1: connections to targets and to the store.

Strict where a proxy that promises *not run* has to be: no answer that belongs to
another request, none that ended early, and nothing sent twice.
"""

import asyncio
import time
from typing import NamedTuple, cast

import httptools

from ..errors import TargetLostError, TargetUnreachedError
from .deadlines import Deadlines
from .http import BodyMemory, Header

__all__ = ["Pool", "Response"]

CONNECT_TIMEOUT_S = 1.0
"""A target on this host or a store in this region accepts within some ms."""

IDLE_MOST_S = 4.0
"""Idle connections to a target that states no keep-alive time are used this long."""

HEAD_MOST_BYTES = 64 * 2**10
"""Bytes of an answer before its body, interim and late answers included."""

ANSWER_MOST_BYTES = 16 * 2**20
"""Bytes that may come for one request; a target in trouble may send without end."""

KEEP_ALIVE_MARGIN_S = 1.0
"""Taken off the keep-alive time that a peer states in whole seconds."""


class Response(NamedTuple):
    """A whole answer of a target or of the store."""

    status: int
    lines: list[Header]
    headers: dict[bytes, bytes]
    """The last value of each lower-case name."""
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the value of the header with a lower-case ``name``, or empty."""
        return self.headers.get(name, b"")


class ClientConnection(asyncio.Protocol):
    """A connection to a target or to the store, with one request at a time."""

    def __init__(self, echo: bytes, memory: BodyMemory | None) -> None:
        self._echo = echo
        self._memory = memory
        self._held = 0
        """Bytes reserved for the answer that is being read."""
        self._head_bytes = 0
        self._in_body = False
        self._request_id = b""
        self._head_only = False
        self.used_at = time.monotonic()
        self.idle_s = IDLE_MOST_S
        self.reusable = True
        self._keep_alive = b""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[Response] | None = None
        self._begin()

    def _begin(self) -> None:
        self._lines: list[Header] = []
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._framed = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def open(self) -> bool:
        """Whether the connection can take a request."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes, request_id: bytes, head_only: bool) -> "asyncio.Future[Response]":
        """Send a request and return the future of its answer.

        ``request_id`` is what the answer has to echo if it echoes anything; empty
        to take any answer.
        """
        assert self._transport is not None
        self._request_id = request_id
        self._head_bytes = 0
        self._in_body = False
        self._head_only = head_only
        self._fut = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._fut

    def data_received(self, data: bytes) -> None:
        if self._fut is None:
            # Bytes that nobody asked for: the next answer here could be another's.
            self.abort()
            return
        if not self._admits(len(data)):
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._lose("upgrade")
        except httptools.HttpParserError as exc:
            self._lose(type(exc).__name__)

    def _admits(self, size: int) -> bool:
        """Tell whether ``size`` bytes more of an answer are read; else give it up."""
        if self._held + size > ANSWER_MOST_BYTES:
            self._lose("answer too long")
        elif not self._in_body and self._head_bytes > HEAD_MOST_BYTES:
            # What has come before this has no end of the head in it.
            self._lose("head too long")
        elif self._memory is not None and not self._memory.take(size):
            self._lose("no memory for the answer")
        else:
            self._held += size
            if not self._in_body:
                self._head_bytes += size
            return True
        return False

    def _free(self) -> None:
        if self._memory is not None:
            self._memory.give_back(self._held)
        self._held = 0

    def eof_received(self) -> None:
        if self._fut is not None and self._headers and not self._framed:
            self.reusable = False
            self._deliver()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._lose("closed" if exc is None else type(exc).__name__)

    def _lose(self, why: str) -> None:
        self.reusable = False
        self._free()
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(TargetLostError(why))
        self.abort()

    def on_message_begin(self) -> None:
        if self._fut is None:
            self.reusable = False
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        self._lines.append((low, name, value))
        self._headers[low] = value

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        self._in_body = status >= 200
        sized = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        self._framed = sized or status < 200 or status in (204, 304)
        if self._head_only and status >= 200 and self._fut is not None:
            self.reusable = False
            self._deliver()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self._fut is None:
            return
        if not self._own():
            # A late second answer to an earlier request; ours is yet to come.
            self.reusable = False
            self._in_body = False
            return
        self.reusable = self.reusable and self._parser.should_keep_alive()
        self._deliver()

    def _own(self) -> bool:
        if not self._request_id:
            return True
        return self._headers.get(self._echo, self._request_id) == self._request_id

    def _deliver(self) -> None:
        self._free()
        fut, self._fut = self._fut, None
        keep_alive = self._headers.get(b"keep-alive")
        if keep_alive is not None and keep_alive != self._keep_alive:
            self._keep_alive = keep_alive
            self.idle_s = _keep_alive_s(keep_alive)
        self.used_at = time.monotonic()
        if fut is not None and not fut.done():
            status = self._parser.get_status_code()
            body = b"".join(self._body)
            fut.set_result(Response(status, self._lines, self._headers, body))

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


def _keep_alive_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, min(IDLE_MOST_S, int(number) - KEEP_ALIVE_MARGIN_S))
    return IDLE_MOST_S


class Pool:
    """The connections to one address.

    ``echo`` is the lower-case name of the header in which answers name the request
    that they belong to, empty where they do not. ``memory`` bounds what all answers
    that are being read take at once.
    """

    def __init__(self, address: str, echo: bytes = b"", memory: BodyMemory | None = None) -> None:
        self.address = address
        self._memory = memory
        self._echo = echo
        self._deadlines = Deadlines()
        self._idle: list[ClientConnection] = []

    async def request(
        self,
        data: bytes,
        timeout_s: float,
        request_id: bytes = b"",
        idle_most_s: float = IDLE_MOST_S,
        head: bool = False,
    ) -> Response:
        """Send a request and return its whole answer.

        A connection that was idle for over ``idle_most_s`` is not used. Raises
        TargetUnreachedError when nothing can have been sent, TargetLostError when
        something may have and no whole answer came, TimeoutError when none came in
        time. When cancelled, the connection is closed, so that the target can stop.
        """
        conn = self._take(idle_most_s) or await self._open(min(timeout_s, CONNECT_TIMEOUT_S))
        fut = conn.send(data, request_id, head)
        deadline = self._deadlines.schedule(timeout_s, fut)
        try:
            response = await fut
        except BaseException:
            conn.abort()
            raise
        finally:
            deadline.clear()
        if conn.reusable and conn.open:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def _take(self, idle_most_s: float) -> ClientConnection | None:
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if conn.open and now - conn.used_at <= min(idle_most_s, conn.idle_s):
                return conn
            conn.close()
        return None

    async def _open(self, timeout_s: float) -> ClientConnection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        conn = ClientConnection(self._echo, self._memory)
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: conn, host, int(port))
        except (OSError, TimeoutError) as exc:
            raise TargetUnreachedError(self.address) from exc
        return conn

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        stale = [c for c in self._idle if not c.open or now - c.used_at > c.idle_s]
        for conn in stale:
            self._idle.remove(conn)
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
