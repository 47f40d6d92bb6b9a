"""A stand-in for a target: slots, work, calls further down, and faults.

It announces itself to the node on its host, works for ``work_ms`` in one of
``slots`` places, then calls each of ``calls`` through that node. ``GET /_seen``
tells what it ran; ``POST /_faults`` sets ``work_ms``, ``cut`` (ends the next n
answers in mid-body), ``state`` and ``shed`` (answers 503 to all).
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

__all__ = ["TargetPlan", "TargetStandin"]

ANNOUNCE_PERIOD_S = 0.5
CALL_TIMEOUT_S = 30.0
MOST_KEPT = 100


class TargetPlan(NamedTuple):
    """What a stand-in target is; ``calls`` are ``METHOD /service/path``."""

    service: str
    address: str
    node: str
    slots: int
    connections: int
    work_ms: float
    calls: tuple[str, ...]
    retries: int = 0


class TargetStandin:
    """A target in this process."""

    def __init__(self, plan: TargetPlan) -> None:
        self.plan = plan
        self.work_s = plan.work_ms / 1000
        self.state = "ready"
        self.shed = False
        self.cut = 0
        self.ran: Counter[str] = Counter()
        self.total = 0
        self.cancelled = 0
        self.keys_seen = 0
        self.timeouts_ms: list[int] = []
        self.organisations: Counter[str] = Counter()
        self._slots = asyncio.Semaphore(plan.slots)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=plan.connections),
        )
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Listen and announce."""
        host, port = split_address(self.plan.address)
        server = web.Server(self._handle, handler_cancellation=True)
        await asyncio.get_running_loop().create_server(server, host, port)
        self._tasks.append(asyncio.create_task(self._announce()))

    async def _announce(self) -> None:
        while True:
            body = {
                "service": self.plan.service,
                "address": self.plan.address,
                "slots": self.plan.slots,
                "connections": self.plan.connections,
                "state": self.state,
            }
            url = f"http://{self.plan.node}/.beryldrum/announce"
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
            return await self._work(req, body)
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

    def _set_faults(self, wanted: dict[str, Any]) -> web.Response:
        self.work_s = wanted.get("work_ms", self.work_s * 1000) / 1000
        self.cut = wanted.get("cut", self.cut)
        self.state = wanted.get("state", self.state)
        self.shed = wanted.get("shed", self.shed)
        return web.json_response({})

    async def _work(self, req: web.BaseRequest, body: bytes) -> web.StreamResponse:
        self.total += 1
        order = req.headers.get("X-Order", "")
        if order:
            self.ran[order] += 1
        self.keys_seen += "Authorization" in req.headers
        self.timeouts_ms.append(int(req.headers.get(TIMEOUT_HEADER, "0")))
        del self.timeouts_ms[:-MOST_KEPT]
        self.organisations[req.headers.get(ORGANISATION_HEADER, "")] += 1
        async with self._slots:
            await asyncio.sleep(self.work_s)
        below = [await self._call(req, call) for call in self.plan.calls]
        answer = {
            "service": self.plan.service,
            "order": order,
            "echo": body.decode(errors="replace"),
            "below": below,
        }
        failed = any(status >= 500 for status in below)
        if self.cut > 0:
            self.cut -= 1
            return await self._cut_answer(req, answer)
        return web.json_response(answer, status=502 if failed else 200)

    async def _cut_answer(self, req: web.BaseRequest, answer: Any) -> web.StreamResponse:
        whole = json.dumps(answer).encode()
        resp = web.StreamResponse(headers={"Content-Length": str(len(whole))})
        await resp.prepare(req)
        await resp.write(whole[: len(whole) // 2])
        if req.transport is not None:
            req.transport.close()
        return resp

    async def _call(self, req: web.BaseRequest, call: str) -> int:
        method, _, path = call.partition(" ")
        headers = {CONTEXT_HEADER: req.headers.get(CONTEXT_HEADER, "")}
        status = 599
        for _ in range(self.plan.retries + 1):
            url = f"http://{self.plan.node}{path}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self._session.request(method, url, headers=headers) as resp:
                    await resp.read()
                    status = resp.status
            if status < 500:
                break
        return status

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()
