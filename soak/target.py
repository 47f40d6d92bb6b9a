"""Targets that execute requests, make calls of their own and inject faults on demand."""

import asyncio
import contextlib
import itertools
import json
import random
import time

import httptools

from beryldrum.standin.endpoint import ParsedRequest

from .caller import Connection, response_body
from .checker import Checker, ReceivedRequest, SentRequest

__all__ = ["COLD_START_S", "HEALTH_PATH", "Target"]

HEARTBEAT_PERIOD_S = 1.5
CONTROL_TIMEOUT_S = 1.0
CALL_TIMEOUT_MS = 700
COLD_START_S = 4.0
HEALTH_PATH = "/_health"
SIGNATURE = "X-Server-Signature: s\r\n"
REFUSED = "X-Not-Executed: 1\r\n"
REFUSAL_WITHOUT_ID = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class Target:
    """The target on one host; executes up to ``slots`` requests at once.

    ``fault_share`` of its requests, between 0 and 1, get the fault ``fault_mode``:

    - ``cut``: close the connection without a response
    - ``head``: stop in the middle of the response's head and close the connection
    - ``stale``: on a used connection, repeat an earlier refusal without an id first
    - ``half``: truncate the response and close the connection
    - ``other``: send the response of another request first
    - ``extra``: send the response of another request afterwards
    - ``full``: refuse with 503, not executed
    - ``hang``: send no response; close when the peer sends data or closes
    - ``fail``: respond with 500
    - ``slow``: respond 0.4 s late

    It is cold until ``cold_until``, which heartbeats and the health page state.

    Each response states ``rate_limit`` (requests per second) if set, and ``leaving``.
    """

    def __init__(
        self,
        checker: Checker,
        rng: random.Random,
        service: str,
        address: str,
        control: str,
        outbound: str,
    ) -> None:
        self._checker = checker
        self._rng = rng
        self.service = service
        self.address = address
        self.host = ""
        self._control = control
        self._outbound = outbound
        self._incarnations = itertools.count(1)
        self._call_numbers = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.fault_mode, self.fault_share = "", 0.0
        self.slots, self.running = 40, 0
        self.rate_limit: float | None = None
        self.leaving = False
        self.cold_until = 0.0

    async def start(self) -> None:
        """Start a new incarnation, with a new target id, on the same address."""
        self.target_id = f"i-{self.address[-5:]}-{next(self._incarnations)}"
        self.born, self.state = int(self._rng.random() * 1000) + _wall_ms(), "ready"
        self.leaving = False
        self.become_cold()
        self.limit_rate(None)
        self._sequence = itertools.count(1)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def become_cold(self) -> None:
        """Be cold from now on, for as long as after a start."""
        self.cold_until = _now() + COLD_START_S

    def _cold_ms(self) -> int:
        return max(0, int((self.cold_until - _now()) * 1000))

    def limit_rate(self, rate: float | None) -> None:
        """State a rate limit in all responses from now on, or none."""
        self.rate_limit = rate
        self._checker.limit_rate(self.target_id, rate)

    async def stop(self, drain_s: float = 0.0, announce: bool = True) -> None:
        """Stop serving.

        With ``drain_s``, first state in all responses that the target leaves, and unless
        ``announce`` is false in heartbeats too; keep serving for that many seconds and
        deregister.
        """
        if drain_s:
            self.leaving = True
        if drain_s and announce:
            self.state = "draining"
            if await self._call_control("instances.heartbeat"):
                self._checker.draining[self.target_id] = self._checker.now()
        if drain_s:
            await asyncio.sleep(drain_s)
            await self._call_control("instances.deregister")
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._call_control("instances.heartbeat")
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _call_control(self, method: str) -> bool:
        info = {"service": self.service, "version": "v1", "zone": "dc", "slots": self.slots}
        status = {
            "state": self.state,
            "sequence": next(self._sequence),
            "cold_remaining_ms": self._cold_ms(),
        }
        report = {"address": self.address, "born": self.born, "information": info, "status": status}
        body = json.dumps(report).encode()
        conn = Connection(self._control)
        head = f"POST /rpc?call={method}&of={self.target_id} HTTP/1.1\r\nHost: control\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                response = await conn.send(data)
        except (OSError, TimeoutError):
            return False
        finally:
            conn.close()
        return response is not None and response.status == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        kept = False
        with contextlib.suppress(OSError, httptools.HttpParserError):
            while not writer.is_closing():
                call = ParsedRequest()
                parser = httptools.HttpRequestParser(call)
                while not call.complete:
                    data = await reader.read(65_536)
                    if not data:
                        return
                    parser.feed_data(data)
                await self._handle(call, reader, writer, kept)
                kept = True
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self,
        call: ParsedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kept: bool,
    ) -> None:
        request_id = call.headers.get("x-request-id", "")
        fault_mode = self.fault_mode if self._rng.random() < self.fault_share else ""
        expected = call.headers.get("x-expected-instance", self.target_id)
        if expected != self.target_id:
            writer.write(_encode_response(421, request_id, b""))
            return
        if _now() < self.cold_until:
            self._checker.check_cold_arrival(self.target_id)
        if call.url == HEALTH_PATH.encode():
            if fault_mode:
                writer.close()
            else:
                headers = f"X-Cold-Milliseconds: {self._cold_ms()}\r\n"
                writer.write(self._encode(200, request_id, b"", headers))
            return
        if fault_mode == "full" or self.running >= self.slots:
            writer.write(self._encode(503, request_id, b"", REFUSED))
            return
        if fault_mode == "stale" and kept:
            writer.write(REFUSAL_WITHOUT_ID)
        received = ReceivedRequest(
            self.target_id,
            self.service,
            call.url.decode(),
            call.headers,
            call.body,
            _now(),
            self.host,
        )
        self._checker.check_received(received)
        self.running += 1
        try:
            succeeded = await self._run_request(call, request_id, fault_mode)
        finally:
            self.running -= 1
        if fault_mode == "unstated":
            status = self._rng.choice((408, 429, 503))
            writer.write(self._encode(status, request_id, b"", SIGNATURE))
        elif fault_mode == "odd":
            status = self._rng.choice((0, 7, 99, 101, 600))
            writer.write(self._encode(status, request_id, b"", SIGNATURE))
        elif fault_mode == "hang":
            await reader.read(1)
            writer.close()
        elif fault_mode == "cut":
            writer.close()
        elif fault_mode == "fail" or not succeeded:
            writer.write(self._encode(500, request_id, b"failed", SIGNATURE))
        else:
            self._write_response(writer, request_id, fault_mode)

    def _encode(self, status: int, request_id: str, body: bytes, headers: str = "") -> bytes:
        """Return a response with what the target states about itself."""
        headers += f"X-Instance-Id: {self.target_id}\r\n"
        if self.rate_limit is not None:
            headers += f"Server-Limit: {self.rate_limit:.2f}\r\n"
        if self.leaving:
            headers += "Server-Leaving: 1\r\n"
        return _encode_response(status, request_id, body, headers)

    def _write_response(
        self, writer: asyncio.StreamWriter, request_id: str, fault_mode: str
    ) -> None:
        response = self._encode(200, request_id, response_body(request_id), SIGNATURE)
        another = _encode_response(200, "another", b"theirs", SIGNATURE)
        if fault_mode == "head":
            writer.write(response[: response.index(b"Content-Length") + 4])
            writer.close()
        elif fault_mode == "half":
            writer.write(response[:-3])
            writer.close()
        else:
            first = another if fault_mode == "other" else b""
            writer.write(first + response + (another if fault_mode == "extra" else b""))

    async def _run_request(self, call: ParsedRequest, request_id: str, fault_mode: str) -> bool:
        await asyncio.sleep(self._rng.uniform(0.005, 0.03) + (0.4 if fault_mode == "slow" else 0.0))
        if not call.url.startswith(b"/sheet/"):
            return True
        # The target acts as a caller here, through the outbound port of the node on its host.
        req = SentRequest(
            f"{request_id}.c{next(self._call_numbers)}",
            self.host,
            self.service,
            "/inner/1",
            "",
            True,
            CALL_TIMEOUT_MS,
            _now(),
        )
        self._checker.record_sent(req)
        conn = Connection(self._outbound)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                response = await conn.send(conn.encode_request(req))
        except (OSError, TimeoutError):
            return False
        finally:
            conn.close()
        if response is not None:
            self._checker.record_statements(req, response.headers)
        return response is not None and response.status == 200


def _encode_response(status: int, request_id: str, body: bytes, extra_headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status:03} Status\r\nX-Request-Id: {request_id}\r\n{extra_headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _now() -> float:
    return Checker.now()


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
