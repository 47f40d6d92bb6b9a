"""The configuration grows by many routes, whose service makes calls of its own."""

import asyncio
import contextlib
import sys
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.world import HOST, Client, Message, Server, World, read_message, run_case, trouble

FIRST = [{"name": "read", "path_prefix": "/read/", "service": "catalogue"}]
CALLED = [
    {"name": f"stock{n}", "path_prefix": f"/stock{n}/", "service": "stock", "public": True}
    for n in range(4)
]
ADDED = 240
"""Routes that are added; the pages' days add up to 472."""
ROUTE_TIMEOUT_S = 2.0
CLIENTS = 12
RUN_S = 40.0


class CallingServer(Server):
    """A server that makes a call, under an id of its own, for each request that it runs."""

    async def respond(self, req: Message, writer: asyncio.StreamWriter) -> None:
        """Make the call, then answer."""
        if self.service == "catalogue":
            number = len(self.runs) % len(CALLED)
            head = (
                f"GET /stock{number}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {uuid.uuid4().hex[:16]}\r\n"
                f"X-Deadline-Milliseconds: {req.header('x-deadline-milliseconds')}\r\n"
                "Connection: close\r\n\r\n"
            )
            with contextlib.suppress(OSError):
                reader, out = await asyncio.open_connection(
                    "127.0.0.1", self.machine.ports["outbound"]
                )
                out.write(head.encode())
                await read_message(reader)
                out.close()
        await super().respond(req, writer)


async def ask(world: World, number: int, late: list[str], unanswered: list[str]) -> None:
    """Send requests, and note those unanswered at the route's timeout and half a second later."""
    client = Client(world, world.machines["ab"[number % 2]], f"c{number}")
    count = number
    while True:
        count += CLIENTS
        path = f"/more{count % ADDED}/1" if trouble() else "/read/1"
        began = time.monotonic()
        try:
            async with asyncio.timeout(ROUTE_TIMEOUT_S + 3.0):
                request_id, _ = await client.send(path)
        except (ConnectionError, TimeoutError):
            request_id = f"c{number}-{client.sent}"
            client.close()
        took_s = time.monotonic() - began
        if took_s > ROUTE_TIMEOUT_S:
            unanswered.append(request_id)
        if took_s > ROUTE_TIMEOUT_S + 0.5:
            late.append(request_id)
            world.record("late", id=request_id, s=round(took_s, 2))
        await asyncio.sleep(0.05)


async def watch_readiness(world: World, longest: dict[str, float]) -> None:
    """Ask each node once a second whether it is ready, and note how long that takes."""
    while True:
        for name, machine in world.machines.items():
            began = time.monotonic()
            await machine.ready()
            longest[name] = max(longest.get(name, 0.0), time.monotonic() - began)
        await asyncio.sleep(0.5)


async def case(world: World) -> bool:
    """Count requests that have no answer half a second after their route's timeout."""
    machines = {"a": "front", "b": "catalogue", "c": "stock"}
    routes = [route | {"timeout_ms": ROUTE_TIMEOUT_S * 1000} for route in FIRST + CALLED]
    await world.start(machines, routes, CallingServer)
    more = [
        {"name": f"more{n}", "path_prefix": f"/more{n}/", "service": "catalogue"}
        | {"timeout_ms": ROUTE_TIMEOUT_S * 1000}
        for n in range(ADDED)
    ]
    if trouble():
        world.configure(routes + more, ["front", "catalogue", "stock"])
    await asyncio.sleep(3.0)
    late: list[str] = []
    unanswered: list[str] = []
    longest: dict[str, float] = {}
    tasks = [asyncio.create_task(ask(world, n, late, unanswered)) for n in range(CLIENTS)]
    tasks.append(asyncio.create_task(watch_readiness(world, longest)))
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for name, seconds in longest.items():
        world.record("readiness", machine=name, longest_s=round(seconds, 2))
    world.record("total", unanswered=len(unanswered), late=len(late))
    return len(late) >= 8 and len(late) > len(unanswered) / 2


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
