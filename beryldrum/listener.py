"""The HTTP listeners: for callers outside, and for the target on this host.

Bodies are read whole and answers are sent whole. What is not an answer is sent
as problem details (RFC 9457) with the outcome in a header of its own.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web

from . import request
from .chain import Handler
from .clock import Clock
from .entry import new_request
from .peer import split_address
from .request import Headers, Outcome, Reply, Request, not_run, unknown

__all__ = ["Listener", "problem_response"]

logger = structlog.get_logger()

OUTCOME = "Beryldrum-Outcome"
REQUEST_ID = "Beryldrum-Request-Id"
ADMIN_PREFIX = "/.beryldrum/"
MAX_HEADER_BYTES = 16_384
BODY_TIMEOUT_S = 30.0
OUTCOMES = {
    Outcome.ANSWERED: "answered",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}

Admin = Callable[[web.BaseRequest, bytes], Awaitable[web.Response]]


def problem_response(reply: Reply, request_id: str) -> web.Response:
    """Return the response that states why a request got no answer."""
    reason = reply.reason
    assert reason is not None, "only an answer comes without a reason"
    body = {
        "type": f"urn:beryldrum:problem:{reason.type}",
        "title": reason.title,
        "status": reason.status,
        "outcome": OUTCOMES[reply.outcome],
        "request_id": request_id,
    }
    headers = {OUTCOME: OUTCOMES[reply.outcome], REQUEST_ID: request_id}
    if reply.retry_after_ms:
        headers["Retry-After"] = str(-(-reply.retry_after_ms // 1000))
        body["retry_after_ms"] = reply.retry_after_ms
    return web.Response(
        status=reason.status,
        body=msgspec.json.encode(body),
        headers=headers,
        content_type="application/problem+json",
    )


def _response(reply: Reply, request_id: str) -> web.Response:
    if reply.outcome is not Outcome.ANSWERED:
        return problem_response(reply, request_id)
    response = web.Response(status=reply.status, body=reply.body)
    for name, value in reply.headers:
        response.headers.add(name, value)
    response.headers[OUTCOME] = OUTCOMES[reply.outcome]
    response.headers[REQUEST_ID] = request_id
    return response


class Listener:
    """One HTTP listener and the chain that its requests pass."""

    def __init__(
        self,
        step: Handler,
        clock: Clock,
        max_body_bytes: int,
        admin: Admin | None,
        done: Callable[[Request, Reply, float], None],
    ) -> None:
        self._step = step
        self._clock = clock
        self._max_body = max_body_bytes
        self._admin = admin
        self._done = done
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            max_field_size=MAX_HEADER_BYTES,
            access_log=None,
        )
        self._listening: asyncio.Server | None = None
        self.in_flight = 0

    async def start(self, address: str, tls: ssl.SSLContext | None) -> None:
        """Listen on ``address``; raises OSError when it is taken."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(self._server, host, port, ssl=tls)

    async def _handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        try:
            return await self._serve(raw)
        finally:
            self.in_flight -= 1

    async def _serve(self, raw: web.BaseRequest) -> web.StreamResponse:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await self._body(raw)
        except TimeoutError:
            return problem_response(not_run(request.TOO_SLOW), "")
        if body is None:
            return problem_response(not_run(request.TOO_LARGE), "")
        if self._admin is not None and raw.path.startswith(ADMIN_PREFIX):
            return await self._admin(raw, body)
        headers: Headers = tuple((name, value) for name, value in raw.headers.items())
        since = self._clock.now()
        req = new_request(raw.method, raw.raw_path, headers, body, since)
        try:
            reply = await self._step(req)
        except Exception:
            logger.critical("a fault of the node", exc_info=True)
            reply = unknown(request.INTERNAL_ERROR)
        self._done(req, reply, self._clock.now() - since)
        return _response(reply, req.request_id)

    async def _body(self, raw: web.BaseRequest) -> bytes | None:
        if (raw.content_length or 0) > self._max_body:
            return None
        if not raw.can_read_body:
            return b""
        parts: list[bytes] = []
        size = 0
        async for part in raw.content.iter_any():
            size += len(part)
            if size > self._max_body:
                return None
            parts.append(part)
        return b"".join(parts)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._listening is not None:
            self._listening.close()

    async def close(self) -> None:
        """Close every connection."""
        self.stop_accepting()
        await self._server.shutdown(1.0)
