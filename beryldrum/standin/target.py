"""A stand-in for a target with a limited concurrency, calls to other services and faults.

It announces itself to the node on its host. A request occupies one of ``slots`` for
``work_ms`` milliseconds, then each of ``calls`` is made through that node.
``GET /_seen`` returns counters of what it ran. ``POST /_faults`` sets ``work_ms``,
``cut`` (the next n answers end in the middle of the body), ``state`` and ``shed``
(every request is answered 503).
"""

import asyncio
import contextlib
import json
from collections import Counter
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from ..peer import split_address
from ..target import CONTEXT_HEADER, ORGANISATION_HEADER, TIMEOUT_HEADER

__all__ = ["TargetConfig", "TargetStandin"]

ANNOUNCE_PERIOD_S = 0.5
CALL_TIMEOUT_S = 30.0
MAX_RECORDED_TIMEOUTS = 100


class TargetConfig(NamedTuple):
    """Configuration of a stand-in target.

    ``address`` is its own and ``node`` the node's egress address, both ``ip:port``. Each of
    ``calls`` has the form ``METHOD /service/path``. ``connections`` limits the connections
    to the node, and ``retries`` is the number of further attempts of each call.
    """

    service: str
    address: str
    node: str
    slots: int
    connections: int
    work_ms: float
    calls: tuple[str, ...]
    retries: int = 0


class TargetStandin:
    """A target that runs on the current event loop."""

    def __init__(self, cfg: TargetConfig) -> None:
        self.cfg = cfg
        self.work_s = cfg.work_ms / 1000
        self.state = "ready"
        self.shed = False
        self.cut = 0
        self.ran: Counter[str] = Counter()
        self.total = 0
        self.cancelled = 0
        self.keys_seen = 0
        self.timeouts_ms: list[int] = []
        self.organisations: Counter[str] = Counter()
        self._slots = asyncio.Semaphore(cfg.slots)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=cfg.connections),
        )
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Start to listen and to announce itself to the node."""
        host, port = split_address(self.cfg.address)
        server = web.Server(self._handle, handler_cancellation=True)
        await asyncio.get_running_loop().create_server(server, host, port)
        self._tasks.append(asyncio.create_task(self._announce()))

    async def _announce(self) -> None:
        while True:
            body = {
                "service": self.cfg.service,
                "address": self.cfg.address,
                "slots": self.cfg.slots,
                "connections": self.cfg.connections,
                "state": self.state,
            }
            url = f"http://{self.cfg.node}/.beryldrum/announce"
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.post(url, json=body) as resp:
                    await resp.read()
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = await req.read()
        if req.path == "/_seen":
            return web.json_response(self._seen())
        if req.path == "/_faults":
            return self._set_faults(json.loads(body))
        if self.shed:
            return web.json_response({"error": "shed"}, status=503)
        try:
            return await self._run(req, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _seen(self) -> dict[str, Any]:
        return {
            "total": self.total,
            "ran": self.ran,
            "cancelled": self.cancelled,
            "keys_seen": self.keys_seen,
            "timeouts_ms": self.timeouts_ms,
            "organisations": self.organisations,
        }

    def _set_faults(self, fields: dict[str, Any]) -> web.Response:
        self.work_s = fields.get("work_ms", self.work_s * 1000) / 1000
        self.cut = fields.get("cut", self.cut)
        self.state = fields.get("state", self.state)
        self.shed = fields.get("shed", self.shed)
        return web.json_response({})

    async def _run(self, req: web.BaseRequest, body: bytes) -> web.StreamResponse:
        self.total += 1
        order = req.headers.get("X-Order", "")
        if order:
            self.ran[order] += 1
        self.keys_seen += "Authorization" in req.headers
        self.timeouts_ms.append(int(req.headers.get(TIMEOUT_HEADER, "0")))
        del self.timeouts_ms[:-MAX_RECORDED_TIMEOUTS]
        self.organisations[req.headers.get(ORGANISATION_HEADER, "")] += 1
        async with self._slots:
            await asyncio.sleep(self.work_s)
        statuses = [await self._call(req, call) for call in self.cfg.calls]
        answer = {
            "service": self.cfg.service,
            "order": order,
            "echo": body.decode(errors="replace"),
            "below": statuses,
        }
        failed = any(status >= 500 for status in statuses)
        if self.cut > 0:
            self.cut -= 1
            return await self._send_truncated(req, answer)
        return web.json_response(answer, status=502 if failed else 200)

    async def _send_truncated(self, req: web.BaseRequest, answer: Any) -> web.StreamResponse:
        payload = json.dumps(answer).encode()
        resp = web.StreamResponse(headers={"Content-Length": str(len(payload))})
        await resp.prepare(req)
        await resp.write(payload[: len(payload) // 2])
        if req.transport is not None:
            req.transport.close()
        return resp

    async def _call(self, req: web.BaseRequest, call: str) -> int:
        method, _, path = call.partition(" ")
        headers = {CONTEXT_HEADER: req.headers.get(CONTEXT_HEADER, "")}
        status = 599
        for _ in range(self.cfg.retries + 1):
            url = f"http://{self.cfg.node}{path}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self._session.request(method, url, headers=headers) as resp:
                    await resp.read()
                    status = resp.status
            if status < 500:
                break
        return status

    async def close(self) -> None:
        """Stop announcing itself and close the connections to the node."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()
