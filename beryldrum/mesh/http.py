"""Requests, responses, services and memory budgets of the HTTP/1.1 server.

The server consists of ``http_listener`` and ``http_connection``.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from .document import Limits

__all__ = [
    "HEADER_OVERHEAD_BYTES",
    "SINGLETON_HEADERS",
    "Header",
    "HttpRequest",
    "HttpResponse",
    "HttpService",
    "MemoryBudget",
    "report_exception",
    "status_line",
    "write_parts",
]

HEADER_OVERHEAD_BYTES = 512
"""Memory that a header takes in addition to its text: the objects that hold it."""

LARGE_BODY_BYTES = 262_144
"""Size from which a body is written by itself, which saves a copy but costs a call."""

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


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, "Status").encode())


STATUS_LINES = {status: _status_line(status) for status in REASON_PHRASES}


def status_line(status: int) -> bytes:
    """Return the status line of a response, with its CR LF."""
    return STATUS_LINES.get(status) or _status_line(status)


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

    def may_run_ahead(self, http_request: HttpRequest) -> bool:
        """Tell whether a request may run before the requests before it are answered.

        It may then be cancelled and sent again, so it has to be idempotent.
        """
        return False

    def limits(self) -> Limits:
        """Return the current limits on requests."""
        return Limits()

    def closing(self) -> bool:
        """Tell whether connections are to be closed after their next response."""
        return False


class MemoryBudget:
    """Bounds the bytes that other processes make this one hold.

    ``on_shortage`` is called when the limit would be exceeded, with the bytes that are
    missing and the object on whose behalf they are needed. It may release some.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        self.on_shortage: Callable[[int, object], None] = lambda _missing, _requester: None
        self._making_room = False

    def reserve(self, size: int, requester: object = None) -> bool:
        """Reserve ``size`` bytes; returns False if that would exceed the limit."""
        if self.reserved + size > self.limit:
            if size > self.limit:
                return False
            self._make_room(self.reserved + size - self.limit, requester)
            if self.reserved + size > self.limit:
                return False
        self.reserved += size
        return True

    def charge(self, size: int) -> None:
        """Reserve ``size`` bytes that are held already, beyond the limit if need be."""
        self.reserved += size
        if self.reserved > self.limit and size > 0:
            self._make_room(self.reserved - self.limit, None)

    def _make_room(self, missing: int, requester: object) -> None:
        if self._making_room:
            # What is counted while clients are compared is part of the same shortage.
            return
        self._making_room = True
        try:
            self.on_shortage(missing, requester)
        finally:
            self._making_room = False

    @property
    def scarce(self) -> bool:
        """Whether half of the budget is in use."""
        return self.reserved * 2 > self.limit

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
