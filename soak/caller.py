"""Callers: HTTP clients that send requests over persistent connections and record the outcome."""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import httptools

from .checker import Checker, SentRequest

__all__ = ["Caller", "Connection", "Response", "response_body"]

VIRTUAL_HOST = "shop.example"
TIMEOUT_MS = 3_000
REQUEST_NUMBERS = itertools.count(1)
TRAFFIC_MIX = ((0.45, "GET", "/list/"), (0.3, "POST", "/book/"), (0.15, "GET", "/sheet/"))
DEFAULT_REQUEST = ("GET", "/move/")
PIPELINE_LENGTH = 3
"""Safe requests that a pipelining caller sends at once."""


def response_body(request_id: str) -> bytes:
    """Return the response body of a request; it differs for every request id."""
    return request_id.encode() + b" " + hashlib.sha256(request_id.encode()).digest() * 40


class Response(NamedTuple):
    """A response as received, with header names in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class Connection:
    """A persistent connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, data: bytes) -> Response | None:
        """Send an encoded request and read the response.

        Returns None if the connection closes before the response is complete. Raises
        `OSError` if it cannot be opened.
        """
        responses = await self.send_all(data, 1)
        return responses[0] if responses else None

    async def send_all(self, data: bytes, count: int) -> list[Response]:
        """Send ``count`` encoded requests at once and read their responses.

        There are fewer if a response closes the connection, which is then the last one, or
        if the connection closes. Raises `OSError` if it cannot be opened.
        """
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        assert self._reader is not None
        self._responses: list[Response] = []
        self._parser = httptools.HttpResponseParser(self)
        self.on_message_begin()
        try:
            self._writer.write(data)
            while len(self._responses) < count:
                chunk = await self._reader.read(65_536)
                if not chunk:
                    self.close()
                    break
                self._parser.feed_data(chunk)
                if self._responses and not self._responses[-1].keep_alive:
                    self.close()
                    break
        except ConnectionError:
            self.close()
        return self._responses

    def on_message_begin(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._responses.append(
            Response(
                self._parser.get_status_code(),
                self._headers,
                self._body,
                self._parser.should_keep_alive(),
            )
        )

    @staticmethod
    def encode_request(req: SentRequest, method: str = "GET", body: bytes = b"") -> bytes:
        """Return a request in HTTP/1.1 wire format."""
        authorization = f"Authorization: Bearer {req.key}\r\n" if req.key else ""
        size = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {req.path} HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n"
            f"X-Request-Id: {req.request_id}\r\n"
            f"X-Deadline-Milliseconds: {req.timeout_ms}\r\n{authorization}{size}\r\n"
        )
        return head.encode() + body

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Caller:
    """Sends requests through the node of one host until cancelled.

    It sends one request at a time, or with ``pipelines`` several safe ones.
    """

    def __init__(
        self,
        checker: Checker,
        rng: random.Random,
        host: str,
        service: str,
        address: str,
        choose_key: Callable[[], str],
        mean_pause_s: Callable[[], float],
        was_killed: Callable[[str, float], bool],
        is_ready: Callable[[str], bool],
        pipelines: bool = False,
    ) -> None:
        self._checker, self._rng = checker, rng
        self._host, self._service, self._address = host, service, address
        self._choose_key, self._mean_pause_s = choose_key, mean_pause_s
        self._was_killed, self._is_ready = was_killed, is_ready
        self._pipelines = pipelines

    async def run(self) -> None:
        """Send requests after random pauses; skip them while the node is not ready."""
        conn = Connection(self._address)
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * self._mean_pause_s())
            if not self._is_ready(self._host):
                conn.close()
                continue
            backoff_s = await self._send(conn)
            if backoff_s:
                await asyncio.sleep(backoff_s)

    async def _send(self, conn: Connection) -> float:
        drawn = [self._draw_request() for _ in range(PIPELINE_LENGTH if self._pipelines else 1)]
        requests, data = [], b""
        for method, path in drawn:
            req = SentRequest(
                f"s{next(REQUEST_NUMBERS):07d}",
                self._host,
                self._service,
                path + "1",
                self._choose_key(),
                method == "GET",
                TIMEOUT_MS,
                self._checker.now(),
            )
            self._checker.record_sent(req)
            requests.append(req)
            data += conn.encode_request(req, method, b"b" * 500 if method == "POST" else b"")
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 1.0):
                responses = await conn.send_all(data, len(requests))
        except TimeoutError:
            self._checker.outcome_counts["no answer"] += len(requests)
            conn.close()
            return 0.0
        except OSError:
            self._checker.outcome_counts["not connected"] += len(requests)
            conn.close()
            return 0.2
        except httptools.HttpParserError as exc:
            self._checker.add_finding("response unreadable", id=requests[0].request_id, exc=exc)
            conn.close()
            return 0.0
        return self._record(requests, responses)

    def _record(self, requests: list[SentRequest], responses: list[Response]) -> float:
        """Report the outcome of requests sent at once; returns the seconds to wait."""
        wait_s = 0.0
        for req, response in zip(requests, responses, strict=False):
            self._checker.record_statements(req, response.headers)
            self._checker.check_order(req, response.headers)
            complete = response.body == response_body(req.request_id)
            signed = b"x-server-signature" in response.headers
            self._checker.check_response(req, response.status, signed, complete)
            if response.status >= 400:
                wait_s = min(1.0, float(response.headers.get(b"retry-after", b"0.05")))
        unanswered = requests[len(responses) :]
        if responses and not responses[-1].keep_alive:
            # They count as not sent.
            self._checker.outcome_counts["behind a close"] += len(unanswered)
            return wait_s
        for req in unanswered:
            self._checker.record_lost(req, self._was_killed(self._host, req.sent_at))
        return 0.1 if unanswered else wait_s

    def _draw_request(self) -> tuple[str, str]:
        while True:
            method, path = self._draw_any_request()
            if method == "GET" or not self._pipelines:
                return method, path

    def _draw_any_request(self) -> tuple[str, str]:
        remaining = self._rng.random()
        for share, method, path in TRAFFIC_MIX:
            remaining -= share
            if remaining < 0:
                return method, path
        return DEFAULT_REQUEST
