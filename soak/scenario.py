"""The fleet of a soak: processes, proxies, a store, and the faults that strike them."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import yaml
from aiohttp import web

from beryldrum.standin.platform import PlatformStandin, StoreFaults
from harness.fleet import free_port

from .caller import HOST, Caller, Connection
from .checker import Book
from .proxy import Fault, Proxy
from .target import Target

__all__ = ["World"]

RATE, BURST = 40.0, 40.0
STOP_S = 6.0
SERVICES = ("shop", "stock", "shop")
MOODS = ("cut", "half", "other", "extra", "full", "hang", "fail", "slow")
BACK_S = 15.0
"""Time after the last fault within which everything is served again."""


def _address() -> str:
    return f"127.0.0.1:{free_port()}"


class Host:
    """A host: its node's process, its target and its proxies."""

    def __init__(self, name: str, service: str, folder: Path) -> None:
        self.name, self.service = name, service
        self.folder = folder
        self.cfg = {field: _address() for field in ("outbound", "nodes", "ready", "control")}
        self.cfg |= {"target": _address(), "advertised": _address(), "store": _address()}
        self.process: subprocess.Popen[bytes] | None = None
        self.killed: list[float] = []
        self.up = False
        """Whether the process has been ready since it was started."""
        self.ready = False
        self.misses = 0

    def start(self, clock_ms: int) -> None:
        """Start the node's process, its time of day ``clock_ms`` off."""
        self.up = False
        path = self.folder / f"{self.name}.yaml"
        more = {"name": self.name, "data_centre": "dc" + self.name[-1], "service": self.service}
        path.write_text(yaml.safe_dump(self.cfg | more | {"memory_mb": 200, "stop_s": STOP_S}))
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.node", str(clock_ms)],
                stdout=log,
                stderr=log,
                env=os.environ | {"BERYLDRUM_NODE_FILE": str(path)},
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class World:
    """Everything that one seed plays."""

    def __init__(self, seed: int, hosts: int, folder: str = "") -> None:
        self.rng = random.Random(f"traffic {seed}")
        self._plan = random.Random(f"plan {seed}")
        """Draws the faults apart from the traffic, so that a seed's plan stays the same."""
        self.folder = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.book = Book(RATE, BURST)
        self.store = PlatformStandin()
        self.hosts = [
            Host(f"h{number}", SERVICES[number % len(SERVICES)], self.folder)
            for number in range(hosts)
        ]
        self.faults = {host.name: Fault() for host in self.hosts}
        self._version = 0
        self._keys = {f"k-{number}": "mart" for number in range(6)} | {"k-hot": "hot"}
        self._moves = "shop"
        self._hot = 1.0
        self._busy: set[str] = set()
        self._tasks: list[asyncio.Task[Any]] = []
        self.book.owners = dict(self._keys)
        self.book.moved.append((float("-inf"), self._moves))

    # The parts.

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        store = _address()
        await web.TCPSite(self._runner, "127.0.0.1", int(store.rpartition(":")[2])).start()
        self.publish()
        names = {host.cfg["advertised"]: host.name for host in self.hosts}
        self.targets: dict[str, Target] = {}
        self.proxies: dict[str, list[Proxy]] = {}
        for host in self.hosts:
            between = Proxy(host.cfg["nodes"], self.faults, owner=host.name)
            between.names = names
            to_store = Proxy(store, self.faults, owner="store", source=host.name)
            await between.start(host.cfg["advertised"])
            await to_store.start(host.cfg["store"])
            self.proxies[host.name] = [between, to_store]
            target = Target(
                self.book,
                self.rng,
                host.service,
                host.cfg["target"],
                host.cfg["control"],
                host.cfg["outbound"],
            )
            target.host = host.name
            self.targets[host.name] = target
            host.start(self.rng.randrange(-2000, 2000))
            await target.start()
        self._spawn(self._watch())
        async with asyncio.timeout(30.0):
            while not all(host.ready for host in self.hosts):
                await asyncio.sleep(0.1)
        for host in self.hosts:
            for number in range(5):
                hot = number == 4
                caller = Caller(
                    self.book,
                    self.rng,
                    host.name,
                    host.service,
                    host.cfg["outbound"],
                    (lambda: "k-hot") if hot else self._key,
                    (lambda: 0.1 / self._hot) if hot else (lambda: 0.08),
                    self._killed,
                    self._is_ready,
                )
                self._spawn(caller.run())

    def _spawn(self, coro: Any) -> None:
        self._tasks.append(asyncio.create_task(coro))

    def _key(self) -> str:
        return self.rng.choice([key for key, name in self._keys.items() if name == "mart"])

    def _killed(self, name: str, since: float) -> bool:
        host = next(host for host in self.hosts if host.name == name)
        return any(at >= since for at in host.killed)

    def _is_ready(self, name: str) -> bool:
        return next(host for host in self.hosts if host.name == name).ready

    async def _watch(self) -> None:
        """Ask each node whether it is ready, as the platform does, and mind the processes."""
        while True:
            await asyncio.gather(*(self._probe(host) for host in self.hosts))
            for host in self.hosts:
                process = host.process
                if process is None or process.poll() is None or host.name in self._busy:
                    continue
                self.book.finding("a process ended", host=host.name, code=process.returncode)
                host.start(0)
            await asyncio.sleep(0.5)

    async def _probe(self, host: Host) -> None:
        conn = Connection(host.cfg["ready"])
        try:
            async with asyncio.timeout(0.5):
                answer = await conn.ask(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        except (OSError, TimeoutError):
            answer = None
        finally:
            conn.close()
        host.up = host.up or (answer is not None and answer.status == 200)
        host.misses = 0 if answer is not None and answer.status == 200 else host.misses + 1
        host.ready = host.misses == 0 or (host.ready and host.misses < 2)

    def publish(self) -> None:
        """Write the configuration as it is to be now."""
        self._version += self.rng.randrange(1, 5)
        columns = ["name", "host", "path_prefix", "kind", "service", "timeout_ms",
                   "target_latency_ms", "attempts", "priority", "public"]  # fmt: skip
        rows = [
            ["list", HOST, "/list/", "safe", "shop", 2500, 800, 2, 2, False],
            ["book", HOST, "/book/", "unsafe", "shop", 2500, 800, 2, 0, False],
            ["sheet", HOST, "/sheet/", "safe", "shop", 2500, 800, 2, 1, False],
            ["move", HOST, "/move/", "safe", self._moves, 2500, 800, 2, 2, False],
            ["inner", HOST, "/inner/", "safe", "stock", 700, 300, 2, 2, True],
        ]
        keys = [key for key, name in self._keys.items() if name == "mart"]
        orgs = [["mart", keys, 1, 0, 0], ["hot", ["k-hot"], 2, RATE, BURST]]
        document = {
            "version": self._version,
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name"], "rows": [["shop"], ["stock"]]},
            "tenants": {
                "columns": ["name", "api_keys", "priority", "requests_per_s", "burst"],
                "rows": orgs,
            },
            "limits": {},
        }
        self.store.publish(json.dumps(document).encode())

    # The faults. Each strikes, lasts and is mended.

    def _unwell(self, name: str, seconds: float) -> None:
        until = self.book.now() + seconds
        self.book.unwell[name] = max(until, self.book.unwell.get(name, until))

    async def freeze(self, host: Host, seconds: float) -> None:
        """Pause a node's process."""
        self._unwell(host.name, seconds)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.signal(signal.SIGCONT)

    async def kill(self, host: Host, seconds: float) -> None:
        """Kill a node's process and start another, its clock elsewhere."""
        if host.name in self._busy or host.process is None:
            return
        self._busy.add(host.name)
        self._unwell(host.name, seconds + 1.0)
        host.killed.append(self.book.now() + 0.5)
        host.signal(signal.SIGKILL)
        host.process.wait()
        await asyncio.sleep(min(seconds, 2.0))
        host.start(self.rng.randrange(-3000, 3000))
        self._busy.discard(host.name)

    async def stop(self, host: Host, seconds: float) -> None:
        """Stop a node as planned and start another."""
        process = host.process
        if host.name in self._busy or process is None:
            return
        self._busy.add(host.name)
        self._unwell(host.name, STOP_S + 1.0)
        frozen = self.book.unwell[host.name]
        host.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(asyncio.to_thread(process.wait), STOP_S)
            # Signalled while the interpreter starts, it ends before it has begun.
            if code != 0 and (host.up or code != -signal.SIGTERM):
                self.book.finding("a planned stop fails", host=host.name, code=code)
        except TimeoutError:
            host.signal(signal.SIGCONT)
            host.killed.append(self.book.now() + 0.5)
            host.signal(signal.SIGKILL)
            process.wait()
            if frozen <= self.book.now():
                self.book.finding("a planned stop does not end", host=host.name)
        host.start(self.rng.randrange(-1000, 1000))
        self._busy.discard(host.name)

    async def link(self, host: Host, seconds: float) -> None:
        """Cut a host off from the others and the store, one way or both, or slow it."""
        self._unwell(host.name, seconds)
        fault = self.faults[host.name]
        how = self.rng.choice(("in", "out", "both", "delay", "reset"))
        fault.mute_in = how in ("in", "both")
        fault.mute_out = how in ("out", "both")
        fault.delay_s = self.rng.uniform(0.02, 0.2) if how == "delay" else 0.0
        if how == "reset":
            for proxy in self.proxies[host.name]:
                proxy.reset()
        await asyncio.sleep(seconds)
        fault.mute_in = fault.mute_out = False
        fault.delay_s = 0.0

    async def store_fault(self, host: Host, seconds: float) -> None:
        """Make the store misbehave."""
        self._unwell("store", seconds)
        self.store.faults = self.rng.choice(
            (
                StoreFaults(down=True),
                StoreFaults(silent=True),
                StoreFaults(delay_s=0.3),
                StoreFaults(lost=3),
            )
        )
        if self.rng.random() < 0.3:
            self.store.forget("keyed.op")
        await asyncio.sleep(seconds)
        self.store.faults = StoreFaults()

    async def mood(self, host: Host, seconds: float) -> None:
        """Let a target spoil a share of what it gets."""
        target = self.targets[host.name]
        target.mood, target.share = self.rng.choice(MOODS), self.rng.uniform(0.05, 0.5)
        await asyncio.sleep(seconds)
        target.mood = ""

    async def replace(self, host: Host, seconds: float) -> None:
        """Replace a target, with notice or without."""
        name = "target " + host.name
        if name in self._busy:
            return
        self._busy.add(name)
        target = self.targets[host.name]
        await target.stop(drain_s=self.rng.choice((0.0, 2.5)))
        await asyncio.sleep(min(1.0, seconds))
        await target.start()
        self._busy.discard(name)

    async def withdraw(self, host: Host, seconds: float) -> None:
        """Withdraw a key that is in use, and give a new one."""
        key, fresh = self._key(), f"k-{self._version}x"
        del self._keys[key]
        self._keys[fresh] = self.book.owners[fresh] = "mart"
        self.publish()
        self.book.withdrawn[key] = self.book.given[fresh] = self.book.now()

    async def move(self, host: Host, seconds: float) -> None:
        """Move a route to the other service."""
        self._moves = "stock" if self._moves == "shop" else "shop"
        self.publish()
        self.book.moved.append((self.book.now(), self._moves))

    async def heat(self, host: Host, seconds: float) -> None:
        """Let an organisation send several times its rate."""
        self._hot = self.rng.uniform(3.0, 8.0)
        await asyncio.sleep(seconds)
        self._hot = 1.0

    # The play.

    async def play(self, seconds: float) -> None:
        """Strike with faults for ``seconds``, several at once, then let all recover."""
        kinds: list[Callable[[Host, float], Awaitable[None]]] = [
            self.freeze, self.kill, self.stop, self.link, self.link, self.store_fault,
            self.mood, self.replace, self.withdraw, self.move, self.heat,
        ]  # fmt: skip
        until = self.book.now() + seconds
        striking: set[asyncio.Task[Any]] = set()
        while self.book.now() < until:
            await asyncio.sleep(self._plan.expovariate(1.0))
            kind, host = self._plan.choice(kinds), self._plan.choice(self.hosts)
            lasts = self._plan.uniform(0.3, 7.0)
            with (self.folder / "plan.log").open("a") as plan:
                plan.write(f"{self.book.now():.2f} {kind.__name__} {host.name} {lasts:.2f}\n")
            task = asyncio.create_task(kind(host, lasts))  # type: ignore[arg-type]
            striking.add(task)
            # Ended with the rest, or a fault could start a process after the end.
            self._tasks.append(task)
        await asyncio.gather(*striking)
        await asyncio.sleep(BACK_S)
        await self._recovered()

    async def _recovered(self) -> None:
        before = dict(self.book.counts)
        await asyncio.sleep(4.0)
        counts = {name: n - before.get(name, 0) for name, n in self.book.counts.items()}
        # What lies beyond the organisation's rate is not owed; notes count besides statuses.
        noted = ("denied", "denied a key just given")
        owed = sum(counts.values()) - counts.get("429", 0)
        owed -= sum(counts.get(name, 0) for name in noted)
        if counts.get("200", 0) < 0.25 * owed or not owed:
            self.book.finding("no recovery", counts=counts)
        away = [host.name for host in self.hosts if not host.ready]
        if away:
            self.book.finding("nodes are not ready after all faults", hosts=away)

    async def stop_all(self) -> None:
        """Let callers finish, end what was started and check what the end tells."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets.values():
            await target.stop()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()
        for proxies in self.proxies.values():
            for proxy in proxies:
                proxy.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                await self._runner.cleanup()
        self.book.close()
