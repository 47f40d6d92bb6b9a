"""HTTP/1.1 server on asyncio protocols, with the parser of httptools.

It adds the checks that a proxy needs: requests with ambiguous lengths or repeated
singleton headers are rejected, headers and bodies are bounded, and the requests of a
connection are answered in the order in which they arrive.
"""

import asyncio
import time
from abc import ABC, abstractmethod
from collections import deque
from typing import NamedTuple, cast

import httptools

from .document import Limits

__all__ = [
    "HEADER_OVERHEAD_BYTES",
    "SINGLETON_HEADERS",
    "Header",
    "HttpListener",
    "HttpRequest",
    "HttpResponse",
    "HttpService",
    "MemoryBudget",
    "report_exception",
    "write_parts",
]

SWEEP_INTERVAL_S = 1.0
"""Interval between checks for idle connections."""

HEADER_OVERHEAD_BYTES = 512
"""Memory that a header takes in addition to its text: the objects that hold it."""

LARGE_BODY_BYTES = 262_144
"""Size from which a body is written by itself, which saves a copy but costs a call."""

MAX_PIPELINED = 16
"""Pipelined requests queued on one connection before reading from it is paused."""

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> bytes:
    """Return the status line of a response, with its CR LF."""
    return b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, "Status").encode())


STATUS_LINES = {status: status_line(status) for status in REASON_PHRASES}

SINGLETON_HEADERS = frozenset((b"host", b"authorization", b"content-length"))
"""Lower-case names of the headers that a request may have only once; a service may add
to them."""

Header = tuple[bytes, bytes, bytes]
"""A header line: the name in lower case, the name as received, and the value."""


class HttpRequest(NamedTuple):
    """A complete request. ``headers`` has the last value of each lower-case name."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    raw_headers: list[Header]
    body: bytes


class HttpResponse(NamedTuple):
    """A response; ``head`` has all header lines except Content-Length and Connection."""

    status: int
    head: bytes = b""
    body: bytes = b""
    close: bool = False


def report_exception(exc: Exception, activity: str) -> None:
    """Report an unexpected exception to the event loop, which logs it."""
    context = {"message": f"unexpected error while handling {activity}", "exception": exc}
    asyncio.get_running_loop().call_exception_handler(context)


class HttpService(ABC):
    """Handles the requests of a listener."""

    @abstractmethod
    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Return the response; cancelled when the client closes the connection."""

    singleton_headers: frozenset[bytes] = SINGLETON_HEADERS
    """Lower-case names of the headers that a request may have only once."""

    def limits(self) -> Limits:
        """Return the current limits on requests."""
        return Limits()

    def closing(self) -> bool:
        """Tell whether connections are to be closed after their next response."""
        return False


class MemoryBudget:
    """Bounds the bytes of requests, or of answers, that are in memory at once."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; returns False if that would exceed the limit."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.reserved -= size


def write_parts(transport: asyncio.Transport, head: bytes, body: bytes) -> None:
    """Write a head and a body, without copying a large body."""
    if len(body) < LARGE_BODY_BYTES:
        transport.write(head + body)
    else:
        transport.write(head)
        transport.write(body)


class _RefusalError(Exception):
    """A request is refused while it is being read."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _QueuedRequest(NamedTuple):
    """A complete request, whether the connection is kept, and the bytes reserved for it."""

    http_request: HttpRequest
    keep_alive: bool
    reserved: int


class ServerConnection(asyncio.Protocol):
    """A client's connection. Its requests are answered in order, one at a time."""

    def __init__(self, listener: "HttpListener") -> None:
        self._listener = listener
        self._service = listener.service
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[_QueuedRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._refused = 0
        self._paused = False
        self._reserved = 0
        """Bytes reserved in the memory budget for all requests of the connection."""
        self.active_at = time.monotonic()
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._raw_headers: list[Header] = []
        self._headers: dict[bytes, bytes] = {}
        self._head_bytes = 0
        self._limits = self._service.limits()
        # One buffer, since a list of pieces can take many times the bytes received.
        self._body = bytearray()
        self._request_reserved = 0
        """The part of the reserved bytes that belongs to the request that is being read."""
        self._offers_upgrade = False
        self.reading = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._listener.connections.discard(self)
        self._listener.memory.release(self._reserved)
        self._reserved = 0
        self._queue.clear()
        # The connection and its parser form a reference cycle.
        self._reset()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        self.active_at = time.monotonic()
        try:
            while data:
                data = self._parse(data)
        except (httptools.HttpParserError, _RefusalError) as exc:
            self._refuse(_refusal_status(exc))

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes and return those that are still to be parsed.

        The parser stops behind the headers of a request that offers another protocol, even
        if a body follows. They are parsed again without the offer, which is ignored.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            head = self._head_without_upgrade()
            self._release(self._request_reserved)
            self._parser = httptools.HttpRequestParser(self)
            return head + data[exc.args[0] :]
        return b""

    def _head_without_upgrade(self) -> bytes:
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (self._parser.get_method(), self._url, version)]
        for low, name, value in self._raw_headers:
            if low == b"upgrade":
                continue
            if low == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(o for o in options if o.lower() != b"upgrade")
            lines.append(b"%s: %s" % (name, value))
        return b"\r\n".join([*lines, b"", b""])

    def _release(self, size: int) -> None:
        self._listener.memory.release(size)
        self._reserved -= size

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._reset()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + 4)
        self._reserve(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        low = name.lower()
        self._raw_headers.append((low, name, value))
        if low in self._headers and low in self._service.singleton_headers:
            raise _RefusalError(400)
        self._headers[low] = value

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            raise _RefusalError(431)

    def on_headers_complete(self) -> None:
        headers = self._headers
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            if self._parser.get_method() == b"CONNECT":
                raise _RefusalError(400)
            return
        if b"content-length" in headers and b"transfer-encoding" in headers:
            raise _RefusalError(400)
        if headers.get(b"expect", b"").lower() == b"100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self._limits.body_bytes:
            raise _RefusalError(413)
        self._reserve(len(body))
        self._body += body

    def _reserve(self, size: int) -> None:
        if not self._listener.memory.reserve(size):
            raise _RefusalError(503)
        self._reserved += size
        self._request_reserved += size

    def on_message_complete(self) -> None:
        if self._offers_upgrade:
            return
        http_request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            self._headers,
            self._raw_headers,
            bytes(self._body),
        )
        keep_alive, reserved = self._parser.should_keep_alive(), self._request_reserved
        self._queue.append(_QueuedRequest(http_request, keep_alive, reserved))
        self._reset()
        if self._task is None:
            self._serve_next()
        elif len(self._queue) >= MAX_PIPELINED and self._transport:
            self._paused = True
            self._transport.pause_reading()

    # Responses.

    def _serve_next(self) -> None:
        if not self._queue or self._transport is None:
            return
        self._task = asyncio.create_task(self._serve(self._queue.popleft()))

    async def _serve(self, queued: _QueuedRequest) -> None:
        http_request = queued.http_request
        try:
            response = await self._service.handle(http_request)
        except asyncio.CancelledError:
            return
        except Exception as exc:
            # It is not known whether the request has run.
            report_exception(exc, "a request")
            response = HttpResponse(500, close=True)
        finally:
            self._task = None
            if self._transport is not None:
                # Otherwise all was released when the connection was lost.
                self._release(queued.reserved)
        self.active_at = time.monotonic()
        close = response.close or not queued.keep_alive or self._service.closing()
        self._write(response, close, http_request.method == "HEAD")
        if not close and self._transport and self._queue:
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            self._serve_next()
        if self._refused and not self._queue:
            self._refuse(self._refused)

    def _write(self, response: HttpResponse, close: bool, head_only: bool = False) -> None:
        if self._transport is None:
            return
        status = response.status
        head = b"%s%sContent-Length: %d\r\n%s\r\n" % (
            STATUS_LINES.get(status) or status_line(status),
            response.head,
            len(response.body),
            b"Connection: close\r\n" if close else b"",
        )
        write_parts(self._transport, head, b"" if head_only else response.body)
        if close:
            self._queue.clear()
            self._transport.close()

    def _refuse(self, status: int) -> None:
        # Complete requests that were read earlier are answered first.
        self._refused = status
        if self._task is None:
            head = b"Retry-After: 1\r\n" if status == 503 else b""
            self._write(HttpResponse(status, head), close=True)

    # Time limits.

    def sweep(self, now: float) -> None:
        """Close the connection if its idle time or its time for sending headers is over."""
        limits = self._service.limits()
        if self._task is not None or self._queue:
            return
        if (
            self.reading
            and now - self.active_at > limits.header_s + SWEEP_INTERVAL_S
            and not self._body
        ):
            self._refuse(408)
        elif now - self.active_at > limits.idle_s + SWEEP_INTERVAL_S:
            self.close()

    def unsent_bytes(self) -> int:
        """Return the number of bytes of answers that the client has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and not self._queue and not self.reading

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


def _refusal_status(exc: Exception) -> int:
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, _RefusalError):
            return cause.status
        cause = cause.__cause__ or cause.__context__
    return 400


class HttpListener:
    """A listening address and the connections accepted on it."""

    def __init__(self, service: HttpService, memory: MemoryBudget) -> None:
        self.service = service
        self.memory = memory
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``, as ``host:port``; raises OSError if it is in use."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )

    @property
    def address(self) -> str:
        """The ``host:port`` address that the listener is bound to."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def sweep(self) -> None:
        """Close the connections whose time limits are exceeded."""
        now = time.monotonic()
        for conn in list(self.connections):
            conn.sweep(now)

    def unsent_bytes(self) -> int:
        """Return the number of bytes of answers that clients have not taken yet."""
        return sum(conn.unsent_bytes() for conn in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in list(self.connections):
            if conn.idle:
                conn.close()

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
