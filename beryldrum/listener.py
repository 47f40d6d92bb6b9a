"""HTTP listeners for external callers and for the target on this host.

Request and response bodies are buffered, not streamed. A reply that is not the target's
answer is sent as problem details (RFC 9457), with the outcome in a separate header.
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

OUTCOME_HEADER = "Beryldrum-Outcome"
REQUEST_ID_HEADER = "Beryldrum-Request-Id"
ADMIN_PREFIX = "/.beryldrum/"
MAX_HEADER_BYTES = 16_384
BODY_TIMEOUT_S = 30.0
OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}

AdminHandler = Callable[[web.BaseRequest, bytes], Awaitable[web.Response]]


def problem_response(reply: Reply, request_id: str) -> web.Response:
    """Return the problem details that tell why a request was not answered."""
    reason = reply.reason
    assert reason is not None, "a reply that is not an answer must have a reason"
    body = {
        "type": f"urn:beryldrum:problem:{reason.type}",
        "title": reason.title,
        "status": reason.status,
        "outcome": OUTCOME_NAMES[reply.outcome],
        "request_id": request_id,
    }
    headers = {OUTCOME_HEADER: OUTCOME_NAMES[reply.outcome], REQUEST_ID_HEADER: request_id}
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
    response.headers[OUTCOME_HEADER] = OUTCOME_NAMES[reply.outcome]
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


class Listener:
    """An HTTP listener whose requests are processed by ``handler``.

    ``admin`` handles the paths below ``/.beryldrum/``; None passes them to ``handler``.
    ``on_reply`` is called with each request, its reply and the time it took in seconds.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        max_body_bytes: int,
        admin: AdminHandler | None,
        on_reply: Callable[[Request, Reply, float], None],
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._admin = admin
        self._on_reply = on_reply
        self._http_server = web.Server(
            self._handle,
            handler_cancellation=True,
            max_field_size=MAX_HEADER_BYTES,
            access_log=None,
        )
        self._socket_server: asyncio.Server | None = None
        self.in_flight = 0

    async def start(self, address: str, tls: ssl.SSLContext | None) -> None:
        """Listen on ``address`` (``ip:port``); raises OSError when it is in use."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._socket_server = await loop.create_server(self._http_server, host, port, ssl=tls)

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
        received_at = self._clock.now()
        req = new_request(raw.method, raw.raw_path, headers, body, received_at)
        try:
            reply = await self._handler(req)
        except Exception:
            logger.critical("unexpected error while handling a request", exc_info=True)
            reply = unknown(request.INTERNAL_ERROR)
        self._on_reply(req, reply, self._clock.now() - received_at)
        return _response(reply, req.request_id)

    async def _body(self, raw: web.BaseRequest) -> bytes | None:
        if (raw.content_length or 0) > self._max_body_bytes:
            return None
        if not raw.can_read_body:
            return b""
        parts: list[bytes] = []
        size = 0
        async for part in raw.content.iter_any():
            size += len(part)
            if size > self._max_body_bytes:
                return None
            parts.append(part)
        return b"".join(parts)

    def stop_accepting(self) -> None:
        """Close the listening socket; established connections stay open."""
        if self._socket_server is not None:
            self._socket_server.close()

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_accepting()
        await self._http_server.shutdown(1.0)
