"""A client's connection to the HTTP/1.1 server, with the parser of httptools.

It adds the checks that a proxy needs: requests with ambiguous lengths or repeated
singleton headers are rejected, headers and bodies are bounded, and the requests of a
connection are answered in the order in which they arrive.

Pipelined requests run concurrently as far as the service allows. The responses of those
that end early are held back until the responses before them have been written.
"""

import asyncio
import time
from collections import deque
from typing import cast

import httptools

from .http import (
    HEADER_OVERHEAD_BYTES,
    LARGE_BODY_BYTES,
    Header,
    HttpRequest,
    HttpResponse,
    HttpService,
    MemoryBudget,
    report_exception,
    status_line,
    write_parts,
)
from .shedding import Client, Clients, Standing

__all__ = ["ServerConnection"]

SWEEP_INTERVAL_S = 1.0
"""Interval between checks for idle connections."""

MAX_PIPELINED = 16
"""Pipelined requests queued on one connection before reading from it is paused."""

HEAD_SLACK_BYTES = 1_024
"""Bytes of a head in addition to those that count towards its limit: the method, the version
and line ends."""

CONNECTION_BYTES = 4_096
"""Memory that a connection takes without a request. Some 2 to 3 KB were measured."""

REQUEST_BYTES = 4_096
"""Memory that a request takes in addition to its headers and body: its task and what the
entry and the gate keep of it. 3 to 9 KB in all were measured with three headers."""

QUEUED_REQUEST_BYTES = 1_536
"""Memory of a queued request, which may have no headers."""

MAX_UNCOUNTED_BYTES = 4_096
"""Size of the write buffer up to which it does not count as memory."""

MAX_CONCURRENT = 16
"""Requests of one connection that run or whose responses are held back. Each may hold a
complete response, which is why there is a bound."""


class _RefusalError(Exception):
    """A request is refused while it is being read."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _Exchange:
    """A complete request and, when that is known, its response."""

    __slots__ = (
        "held",
        "http_request",
        "keep_alive",
        "reserved",
        "response",
        "runs_ahead",
        "task",
    )

    def __init__(self, http_request: HttpRequest, keep_alive: bool, reserved: int) -> None:
        self.http_request = http_request
        self.keep_alive = keep_alive
        self.reserved = reserved
        """Bytes reserved in the memory budget for the request or its response."""
        self.response: HttpResponse | None = None
        self.held = 0
        """Bytes of a response that is held back."""
        self.runs_ahead = False
        """Whether it was started before the requests before it were answered."""
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol, Client):
    """A client's connection. Its requests are answered in order.

    Requests run concurrently only if the service allows it for all of them, so one that may
    run only once is not started while a response before it might close the connection.
    """

    def __init__(
        self, service: HttpService, memory: MemoryBudget, clients: "Clients[ServerConnection]"
    ) -> None:
        self._service = service
        self._memory = memory
        self._clients = clients
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[_Exchange] = deque()
        """Requests that have not been started."""
        self._started: deque[_Exchange] = deque()
        """Requests that run, or whose responses are held back."""
        self._refused = 0
        self._paused = False
        self._reserved = 0
        """Bytes reserved in the memory budget for all requests of the connection."""
        self._unsent = 0
        """Bytes of responses in the write buffer when it was last looked at."""
        self._backlog = 0
        """Bytes of the responses since the client last kept up with them."""
        self._counted = 0
        """Bytes of the memory budget in use for the write buffer."""
        self._held = 0
        """Bytes of responses that are held back."""
        self._write_paused = False
        """Whether the client takes responses more slowly than they come."""
        self._taken_at = 0.0
        """When the client last took bytes of the write buffer."""
        self._used = False
        """Whether the client has sent a complete request."""
        self.active_at = time.monotonic()
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._raw_headers: list[Header] = []
        self._headers: dict[bytes, bytes] = {}
        self._head_bytes = 0
        self._limits = self._service.limits()
        self._silent_bytes = 0
        """Bytes received since the last part of a request that was complete. The parser keeps
        a header, and drops empty lines, without telling."""
        # One buffer, since a list of pieces can take many times the bytes received.
        self._body = bytearray()
        self._request_reserved = 0
        """The part of the reserved bytes that belongs to the request that is being read."""
        self._offers_upgrade = False
        self.reading = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._memory.charge(CONNECTION_BYTES)
        if not self._clients.add(self):
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=MAX_UNCOUNTED_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._clients.discard(self)
        self._memory.release(CONNECTION_BYTES + self._counted)
        self._counted = self._unsent = 0
        self._discard_requests()
        # The connection and its parser form a reference cycle, and the parser may hold a
        # header that was not complete.
        del self._parser

    def pause_writing(self) -> None:
        self._write_paused = True
        self._taken_at = time.monotonic()
        self._count_unsent()

    def resume_writing(self) -> None:
        self._write_paused = False
        self._count_unsent()
        if not self._closing():
            self._start_queued()
            self._resume_reading()

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        self.active_at = time.monotonic()
        self._silent_bytes += len(data)
        try:
            while data:
                data = self._parse(data)
            if self._silent_bytes > self._limits.header_bytes + HEAD_SLACK_BYTES:
                raise _RefusalError(431)
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

    def _closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _count_unsent(self) -> None:
        """Count what is in the write buffer towards the memory budget."""
        before, self._unsent = self._unsent, self.unsent_bytes()
        if self._unsent < before:
            self._taken_at = time.monotonic()
        if self._write_paused:
            self._backlog = max(self._backlog, self._unsent)
        else:
            self._backlog = self._unsent
        # The transport keeps a response whole until its last byte is taken, with what a
        # buffer that grew has reserved in advance.
        counted, self._counted = self._counted, self._backlog * 9 // 8
        self._memory.charge(self._counted - counted)

    def _release(self, size: int) -> None:
        self._memory.release(size)
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
        size = len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self._reserve(size if self._raw_headers else size + REQUEST_BYTES)
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
        self._silent_bytes = 0
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
        self._silent_bytes = 0
        # A buffer that grows reserves an eighth in advance.
        self._reserve(len(body) * 9 // 8)
        self._body += body

    def _reserve(self, size: int) -> None:
        if not self._memory.reserve(size, self):
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
            # A large body is not copied; nothing changes it any more.
            bytes(self._body) if len(self._body) < LARGE_BODY_BYTES else cast(bytes, self._body),
        )
        keep_alive, reserved = self._parser.should_keep_alive(), self._request_reserved
        exchange = _Exchange(http_request, keep_alive, reserved)
        self._reset()
        self._used = True
        if not self._started and not self._write_paused:
            self._start(exchange)
            return
        exchange.reserved += QUEUED_REQUEST_BYTES
        self._reserve(QUEUED_REQUEST_BYTES)
        self._request_reserved = 0
        self._queue.append(exchange)
        self._start_queued()
        if len(self._queue) >= MAX_PIPELINED and self._transport:
            self._paused = True
            self._transport.pause_reading()

    # Responses.

    def _start(self, exchange: _Exchange) -> None:
        if self._transport is None:
            return
        self._started.append(exchange)
        exchange.task = asyncio.create_task(self._serve(exchange))

    def _start_queued(self) -> None:
        """Start the queued requests that may run now, in their order."""
        while self._queue and len(self._started) < MAX_CONCURRENT and not self._write_paused:
            if self._started and not self._may_run_ahead(self._queue[0]):
                break
            self._start(self._queue.popleft())

    def _may_run_ahead(self, exchange: _Exchange) -> bool:
        """Tell whether a request may run beside those that are started."""
        last = self._started[-1]
        if not last.keep_alive or self._memory.scarce or self._service.closing():
            return False
        may_run_ahead = self._service.may_run_ahead
        # Those behind the first one were asked about when they were started.
        exchange.runs_ahead = may_run_ahead(exchange.http_request) and (
            last.runs_ahead or may_run_ahead(last.http_request)
        )
        return exchange.runs_ahead

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            response = await self._service.handle(exchange.http_request)
        except asyncio.CancelledError:
            if exchange in self._started:
                # Not by the client's leaving; without an answer no other may follow.
                self.close()
            return
        except Exception as exc:
            # It is not known whether the request has run.
            report_exception(exc, "a request")
            response = HttpResponse(500, close=True)
        self.active_at = time.monotonic()
        if self._transport is None or not self._started:
            # The client has gone, or an earlier response has closed the connection.
            return
        exchange.response = response
        if exchange is self._started[0]:
            self._write_responses()
        else:
            self._hold(exchange, response)

    def _hold(self, exchange: _Exchange, response: HttpResponse) -> None:
        """Keep a response, in memory in place of its request, until those before it end."""
        exchange.http_request = exchange.http_request._replace(headers={}, raw_headers=[], body=b"")
        self._release(exchange.reserved)
        exchange.reserved = len(response.head) + len(response.body)
        exchange.held = exchange.reserved
        self._held += exchange.held
        self._reserved += exchange.reserved
        self._memory.charge(exchange.reserved)

    def _write_responses(self) -> None:
        """Write the responses that come next, as far as they are known, and go on."""
        # A client that does not read may be given up while its responses are written.
        while self._started and self._started[0].response is not None:
            exchange = self._started.popleft()
            response = exchange.response
            assert response is not None
            self._release(exchange.reserved)
            self._held -= exchange.held
            close = response.close or not exchange.keep_alive
            if self._service.closing() and not self._started:
                # Requests that have been passed on are answered before that.
                close = True
            self._write(response, close, exchange.http_request.method == "HEAD")
            if close:
                return
        if self._queue:
            self._start_queued()
            self._resume_reading()
        if self._refused and not self._started and not self._queue:
            self._refuse(self._refused)

    def _resume_reading(self) -> None:
        if self._paused and len(self._queue) < MAX_PIPELINED and self._transport:
            self._paused = False
            self._transport.resume_reading()

    def _write(self, response: HttpResponse, close: bool, head_only: bool = False) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        status = response.status
        head = b"%s%sContent-Length: %d\r\n%s\r\n" % (
            status_line(status),
            response.head,
            len(response.body),
            b"Connection: close\r\n" if close else b"",
        )
        body = b"" if head_only else response.body
        size = len(head) + len(body)
        self._backlog = self._backlog + size if self._write_paused else size
        write_parts(self._transport, head, body)
        if self._write_paused:
            self._count_unsent()
        if close:
            # The client takes the requests behind this response for not read.
            self._transport.close()
            self._discard_requests()

    def _discard_requests(self) -> None:
        """Cancel the requests in progress and release what is held for all requests."""
        self._queue.clear()
        started, self._started = self._started, deque()
        for exchange in started:
            if exchange.task is not None:
                exchange.task.cancel()
        self._release(self._reserved)
        self._held = 0
        self._reset()

    def _refuse(self, status: int) -> None:
        # Complete requests that were read earlier are answered first.
        self._refused = status
        if not self._started and not self._queue and not self._closing():
            head = b"Retry-After: 1\r\n" if status == 503 else b""
            self._write(HttpResponse(status, head), close=True)

    # Time limits.

    def sweep(self, now: float) -> None:
        """Close the connection if its idle time or its time for sending headers is over."""
        limits = self._service.limits()
        if self._unsent or self._closing():
            self._count_unsent()
            moved_at = max(self._taken_at, self.active_at)
            if self.unsent_bytes() and now - moved_at > limits.idle_s + SWEEP_INTERVAL_S:
                # It is not there any more, or will not read.
                self._abort()
        if self._started or self._queue or self._closing():
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
        return not self._started and not self._queue and not self.reading

    # What it is worth to keep the client.

    def standing(self, now: float) -> Standing | None:
        if self._unsent:
            self._count_unsent()
        if self._unsent:
            # The pause of the writes tells that the client does not keep up.
            taken = 1 - self._unsent / max(self._backlog, self._unsent)
            return Standing(self._counted + self._reserved, now - self._taken_at, taken)
        if self._held:
            # It has kept all that it promised, so it is the last to be given up.
            return Standing(self._held, 0.0, 1.0)
        if not self.reading or self._refused or self._closing():
            return None
        promised = self._headers.get(b"content-length", b"")
        expected = int(promised) if promised.isdigit() else self._limits.body_bytes
        kept = len(self._body) / max(1, expected)
        return Standing(self._request_reserved, now - self.active_at, kept)

    def shed(self) -> None:
        if self._unsent or self._held:
            self._abort()
            return
        self._release(self._request_reserved)
        self._reset()
        self._refuse(503)

    def idle_since(self) -> tuple[bool, float] | None:
        if self._started or self._queue:
            return None
        return self._used, self.active_at

    def evict(self) -> None:
        # Nothing looks after the connection any more, so it must not wait for its client.
        if self.unsent_bytes():
            self._abort()
        else:
            self.close()

    def _abort(self) -> None:
        """Close the connection without its unsent responses, and release their memory."""
        if self._transport is not None:
            self._transport.abort()
        self._memory.release(self._counted)
        self._counted = self._unsent = self._backlog = 0
        self._write_paused = False
        self._discard_requests()

    def close(self) -> None:
        """Close the connection after its write buffer has been flushed."""
        if self._transport is not None:
            self._transport.close()


def _refusal_status(exc: Exception) -> int:
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, _RefusalError):
            return cause.status
        cause = cause.__cause__ or cause.__context__
    return 400
