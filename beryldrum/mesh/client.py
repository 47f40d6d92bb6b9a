"""HTTP/1.1 client connections to targets and to the store.

A proxy that reports requests as *not run* must not deliver an answer that belongs to
another request or was truncated, and must not send a request twice, so the client
checks for these and never resends.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from ..errors import AnswerLostError, TargetUnreachedError
from .deadlines import Deadlines
from .http import HEADER_OVERHEAD_BYTES, LARGE_BODY_BYTES, Header, MemoryBudget, write_parts

__all__ = ["Pool", "Response"]

CONNECT_TIMEOUT_S = 1.0
"""A target on this host or a store in this region accepts within a few milliseconds."""

MAX_IDLE_S = 4.0
"""Time for which an idle connection is reused; a keep-alive time that the peer states can
only shorten it."""

MAX_HEAD_BYTES = 64 * 2**10
"""Bytes that may come before the body of the answer, interim and late answers included."""

MAX_RESPONSE_BYTES = 16 * 2**20
"""Bytes that may come in answer to one request; a faulty target may send without end."""

MAX_INTERIM_RESPONSES = 16
"""Interim responses (1xx) that may come before the answer to one request."""

SWITCHING_PROTOCOLS = 101

KEEP_ALIVE_MARGIN_S = 1.0
"""Margin subtracted from the keep-alive time of a peer, which is in whole seconds."""


class Response(NamedTuple):
    """A complete answer of a target or of the store."""

    status: int
    raw_headers: list[Header]
    headers: dict[bytes, bytes]
    """The last value of each header, by lower-case name."""
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or an empty string."""
        return self.headers.get(name, b"")


class _MemoryExhaustedError(Exception):
    """The headers of an answer need more memory than there is."""


class _InvalidStatusError(Exception):
    """The status of an answer is none, or is one that no request asks for."""


class ClientConnection(asyncio.Protocol):
    """A connection to a target or to the store that carries one request at a time.

    ``request_id_header`` and ``memory`` are those of :class:`Pool`.
    """

    def __init__(self, request_id_header: bytes, memory: MemoryBudget | None) -> None:
        self._id_header = request_id_header
        self._memory = memory
        self._reserved = 0
        """Bytes reserved in the memory budget for the answer to the current request."""
        self._received = 0
        """Bytes received for the current request."""
        self._head_bytes = 0
        self._in_body = False
        self._interim_responses = 0
        self._request_id = b""
        self._head_only = False
        self._requests = 0
        """Requests sent on this connection."""
        self.used_at = time.monotonic()
        self.idle_s = MAX_IDLE_S
        self.reusable = True
        self._keep_alive = b""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[Response] | None = None
        self._reset()

    def _reset(self) -> None:
        self._raw_headers: list[Header] = []
        self._headers: dict[bytes, bytes] = {}
        # One buffer, since a list of pieces can take many times the bytes received.
        self._body = bytearray()
        self._framed = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    @property
    def open(self) -> bool:
        """Whether the connection can take a request."""
        return self._transport is not None and not self._transport.is_closing()

    def send(
        self, data: bytes, request_id: bytes, head_only: bool, body: bytes = b""
    ) -> "asyncio.Future[Response]":
        """Send a request, with ``body`` behind ``data``, and return the future of its answer.

        An answer that names another request than ``request_id`` is skipped, and so is
        one that names none on a connection that carried an earlier request: a target may
        repeat its answer to that. With an empty ``request_id`` any answer is taken.
        """
        assert self._transport is not None
        self._request_id = request_id
        self._requests += 1
        self._received = 0
        self._head_bytes = 0
        self._in_body = False
        self._interim_responses = 0
        self._head_only = head_only
        self._fut = asyncio.get_running_loop().create_future()
        write_parts(self._transport, data, body)
        return self._fut

    def data_received(self, data: bytes) -> None:
        if self._fut is None:
            # Without a request pending, the next answer might not match its request.
            self.abort()
            return
        if not self._count(len(data)):
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("unexpected protocol upgrade")
        except httptools.HttpParserError as exc:
            self._fail(type(exc).__name__)

    def _count(self, size: int) -> bool:
        """Count ``size`` more bytes of an answer; on False the request has failed."""
        if self._received + size > MAX_RESPONSE_BYTES:
            self._fail("response too long")
        elif not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            # The bytes received so far do not contain the end of the headers.
            self._fail("response headers too long")
        elif not self._reserve(size):
            self._fail("response memory exhausted")
        else:
            self._received += size
            if not self._in_body:
                self._head_bytes += size
            return True
        return False

    def _reserve(self, size: int) -> bool:
        # A buffer that grows reserves an eighth in advance.
        size = size * 9 // 8
        if self._memory is not None and not self._memory.reserve(size):
            return False
        self._reserved += size
        return True

    def _release(self) -> None:
        if self._memory is not None:
            self._memory.release(self._reserved)
        self._reserved = 0

    def eof_received(self) -> None:
        if self._fut is not None and self._headers and not self._framed:
            self._deliver_last()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail("connection closed" if exc is None else type(exc).__name__)

    def _fail(self, reason: str) -> None:
        self.reusable = False
        self._release()
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(AnswerLostError(reason))
        # The connection and its parser form a reference cycle.
        self._reset()
        self.abort()

    def on_message_begin(self) -> None:
        if self._fut is None:
            self.reusable = False
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._reserve(HEADER_OVERHEAD_BYTES):
            raise _MemoryExhaustedError
        low = name.lower()
        self._raw_headers.append((low, name, value))
        self._headers[low] = value

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 100 or status == SWITCHING_PROTOCOLS:
            raise _InvalidStatusError(status)
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise _InvalidStatusError(status)
        self._in_body = status >= 200
        sized = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        # Other bodies end with the connection.
        self._framed = sized or status < 200 or status in (204, 304)
        if self._head_only and status >= 200 and self._fut is not None:
            self._deliver_last()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self._fut is None:
            return
        if not self._matches_request():
            # A late second answer to an earlier request; the awaited one follows it.
            self.reusable = False
            self._in_body = False
            return
        self.reusable = self.reusable and self._parser.should_keep_alive()
        self._deliver()

    def _matches_request(self) -> bool:
        if not self._request_id:
            return True
        named = self._headers.get(self._id_header)
        return named == self._request_id or (named is None and self._requests == 1)

    def _deliver_last(self) -> None:
        """Deliver an answer after which no other can be read on this connection."""
        self.reusable = False
        if self._matches_request():
            self._deliver()
        else:
            self._fail("answer to another request")

    def _deliver(self) -> None:
        self._release()
        fut, self._fut = self._fut, None
        keep_alive = self._headers.get(b"keep-alive")
        if keep_alive is not None and keep_alive != self._keep_alive:
            self._keep_alive = keep_alive
            self.idle_s = _keep_alive_s(keep_alive)
        self.used_at = time.monotonic()
        if fut is not None and not fut.done():
            status = self._parser.get_status_code()
            # A large body is not copied; nothing changes it any more.
            large = len(self._body) >= LARGE_BODY_BYTES
            body = cast(bytes, self._body) if large else bytes(self._body)
            fut.set_result(Response(status, self._raw_headers, self._headers, body))
        self._reset()

    def abort(self) -> None:
        """Close the connection without flushing its buffer."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after its buffer has been flushed."""
        if self._transport is not None:
            self._transport.close()


def _keep_alive_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, min(MAX_IDLE_S, float(number) - KEEP_ALIVE_MARGIN_S))
    return MAX_IDLE_S


class Pool:
    """The connections to one ``host:port`` address.

    ``request_id_header`` is the lower-case name of the header in which an answer names
    the request that it belongs to; empty if answers have none. ``memory`` bounds the
    bytes of all answers that are being read.
    """

    def __init__(
        self, address: str, request_id_header: bytes = b"", memory: MemoryBudget | None = None
    ) -> None:
        self.address = address
        self._memory = memory
        self._id_header = request_id_header
        self._deadlines = Deadlines()
        self._idle: list[ClientConnection] = []

    async def request(
        self,
        data: bytes,
        timeout_s: float,
        request_id: bytes = b"",
        max_idle_s: float = MAX_IDLE_S,
        head_only: bool = False,
        new_connection: bool = False,
        body: bytes = b"",
        on_send: Callable[[], None] | None = None,
    ) -> Response:
        """Send a request, with ``body`` behind ``data``, and return its complete answer.

        ``on_send`` is called when the request is written. A connection that has been
        idle for longer than ``max_idle_s`` seconds is not reused. Set ``head_only`` for a
        HEAD request, whose answer has no body, and ``new_connection`` if the same request
        was sent before: a repeated answer to the first attempt could not be told from the
        awaited one.

        Raises TargetUnreachedError if no connection could be opened, so nothing was
        sent; AnswerLostError if the request may have been sent and no complete answer
        came; TimeoutError if none came within ``timeout_s`` seconds. On cancellation
        the connection is closed, which lets the target stop.
        """
        conn = None if new_connection else self._take_idle(max_idle_s)
        if conn is None:
            conn = await self._connect(min(timeout_s, CONNECT_TIMEOUT_S))
        if on_send is not None:
            on_send()
        fut = conn.send(data, request_id, head_only, body)
        deadline = self._deadlines.schedule(timeout_s, fut)
        try:
            response = await fut
        except BaseException:
            conn.abort()
            raise
        finally:
            deadline.clear()
            # An exception refers to this frame, and the future to the exception; the body
            # would stay in memory until the collector runs.
            del fut
        if conn.reusable and conn.open:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def _take_idle(self, max_idle_s: float) -> ClientConnection | None:
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if conn.open and now - conn.used_at <= min(max_idle_s, conn.idle_s):
                return conn
            conn.close()
        return None

    async def _connect(self, timeout_s: float) -> ClientConnection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        conn = ClientConnection(self._id_header, self._memory)
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: conn, host, int(port))
        except (OSError, TimeoutError) as exc:
            raise TargetUnreachedError(self.address) from exc
        return conn

    def sweep(self) -> None:
        """Close the connections whose idle time is over."""
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
