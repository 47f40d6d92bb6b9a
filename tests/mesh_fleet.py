"""A small fleet on loopback, in one process: nodes, stand-in targets and store."""

import asyncio
import itertools
import json
import time

import structlog
from aiohttp import web

from beryldrum.mesh.client import Pool
from beryldrum.mesh.node import MeshNode
from beryldrum.mesh.settings import MeshSettings
from beryldrum.platform.conventions import PlatformAdapter
from beryldrum.platform.store import PlatformStore
from beryldrum.standin.endpoint import EndpointStandin
from beryldrum.standin.platform import PlatformStandin
from harness.ports import free_port

HOST = "shop.example"
KEY = "k-1"
REQUEST_TIMEOUT_S = 60.0
"""Longer than any route's timeout, so that the node answers first."""
REQUEST_IDS = itertools.count(1)


def table(*rows):
    """Return rows in the platform's format: columns, and values in that order."""
    columns = sorted({name for row in rows for name in row})
    return {"columns": columns, "rows": [[row.get(name) for name in columns] for row in rows]}


def route(name, prefix, service, **more):
    """Return a route as a row of the configuration."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 5000,
        "target_latency_ms": 1000,
        "priority": 2,
        "attempts": 2,
        "public": False,
        "service": service,
    }
    return row | more


ROUTES = (
    route("list", "/list/", "shop"),
    route("book", "/book/", "shop", kind="unsafe"),
    route("inner", "/inner/", "stock", public=True),
)


SERVICES = ({"name": "shop"}, {"name": "stock"})


def config(version=1, routes=ROUTES, keys=(KEY,), rate=0, burst=0, services=SERVICES, **limits):
    """Return a configuration in the operator's format, as JSON."""
    return json.dumps(
        {
            "version": version,
            "routes": table(*routes),
            "services": table(*services),
            "tenants": table(
                {
                    "name": "mart",
                    "api_keys": list(keys),
                    "priority": 1,
                    "requests_per_s": rate,
                    "burst": burst,
                }
            ),
            "limits": limits,
        }
    ).encode()


class Host:
    """A node and its target."""

    def __init__(self, cfg, target):
        self.cfg = cfg
        self.target = target
        self.node = None
        self.store = None

    async def start(self):
        self.store = PlatformStore(self.cfg.store)
        self.node = MeshNode(self.cfg, PlatformAdapter(), self.store, structlog.get_logger())
        await self.node.start()

    async def announce(self, sequence=1, state="ready", born=1, slots=4, cold_ms=0, **changes):
        """Send a heartbeat of the target and return the status of the answer."""
        information = {"service": self.cfg.service, "zone": self.cfg.data_centre, "slots": slots}
        beat = {
            "address": self.cfg.target,
            "information": information,
            "status": {"state": state, "sequence": sequence, "cold_remaining_ms": cold_ms},
            "born": born,
        }
        body = json.dumps(beat | changes).encode()
        path = f"/rpc?call=instances.heartbeat&of={self.target.target_id}"
        return (await call(self.cfg.control, "POST", path, body=body)).status

    async def keep_announcing(self, slots=4):
        """Send heartbeats of the target until cancelled, as real targets do."""
        born = self.node.target.announcements.current.born_ms
        for sequence in itertools.count(2):
            await asyncio.sleep(1.0)
            await self.announce(sequence=sequence, born=born, slots=slots)

    async def ask(self, path="/list/1", method="GET", key=KEY, left_ms=3000, body=b"", **headers):
        """Send a request to the node, as a caller on this host would."""
        more = {"X-Deadline-Milliseconds": str(left_ms)} if left_ms else {}
        if key:
            more["Authorization"] = f"Bearer {key}"
        return await call(self.cfg.outbound, method, path, body, more | headers)


async def call(address, method, path, body=b"", headers=()):
    """Send a request on a new connection and return its answer."""
    lines = {"Host": HOST, "X-Request-Id": f"r{next(REQUEST_IDS)}"} | dict(headers)
    if body:
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value is not None)
    pool = Pool(address)
    try:
        data = f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        return await pool.request(data, REQUEST_TIMEOUT_S)
    finally:
        pool.close()


async def until(condition, seconds=10.0):
    """Wait until ``condition()`` is true; raises TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class Fleet:
    """Nodes, their targets and a store, one host for each service name given.

    Use as ``async with Fleet("shop", "stock") as fleet``.
    """

    def __init__(self, *services, **settings):
        self._services = services
        self._settings = settings
        self.store = PlatformStandin()
        self.hosts = []

    async def __aenter__(self):
        store = f"127.0.0.1:{free_port()}"
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", int(store.rpartition(":")[2])).start()
        for number, service in enumerate(self._services):
            ports = [f"127.0.0.1:{free_port()}" for _ in range(5)]
            cfg = MeshSettings(f"h{number}", f"dc{number % 2}", service, *ports, store, 64)
            host = Host(cfg._replace(**self._settings), EndpointStandin(f"i-{number}"))
            await host.target.start(cfg.target)
            await host.start()
            self.hosts.append(host)
        return self

    async def serve(self, text=None, slots=4):
        """Publish a configuration, announce all targets and return the hosts.

        Waits until each node is connected to all others and knows their targets.
        """
        self.store.publish(text or config())
        born = time.time_ns() // 1_000_000
        for host in self.hosts:
            await until(lambda host=host: host.node.configuration.document is not None)
            await host.announce(born=born, slots=slots)
        others = len(self.hosts) - 1
        for host in self.hosts:
            peers = host.node.directory.peers
            await until(
                lambda peers=peers: (
                    sum(p.connected and bool(p.load.service) for p in peers.values()) == others
                )
            )
        return self.hosts

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.target.stop()
            await host.node.close()
        await self._runner.cleanup()
