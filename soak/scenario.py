"""A soak run: node processes, callers, targets, proxies and a store, with injected faults."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import yaml
from aiohttp import web

from beryldrum.standin.platform import PlatformStandin, StoreFaults
from harness.ports import free_address

from .caller import VIRTUAL_HOST, Caller, Connection
from .checker import EVACUATION_S, Checker, data_centre
from .proxy import LinkFault, Proxy
from .target import COLD_START_S, HEALTH_PATH, Target

__all__ = ["Scenario"]

RATE, BURST = 40.0, 40.0
COLD_PER_S, COLD_OVERSHOOT, COLD_SLACK = 10.0, 1.5, 4.0
STOP_TIMEOUT_S = 6.0
SERVICES = ("shop", "stock", "shop")
FAULT_MODES = (
    "cut", "half", "other", "extra", "full", "hang", "fail", "slow", "head", "stale",
    "unstated", "odd",
)  # fmt: skip
LIMITED_S = 8.0
"""Shortest time for which a limit is stated; it binds after three seconds."""

RECOVERY_S = 15.0
"""Time after the last fault by which service must have recovered."""


class Host:
    """The addresses, node process and readiness of one host."""

    def __init__(self, name: str, service: str, folder: Path) -> None:
        self.name, self.service = name, service
        self.folder = folder
        self.cfg = {field: free_address() for field in ("outbound", "nodes", "ready", "control")}
        self.cfg |= {
            "target": free_address(),
            "advertised": free_address(),
            "store": free_address(),
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.killed_at: list[float] = []
        self.was_ready = False
        """Whether the current process has ever been ready."""
        self.ready = False
        self.failed_probes = 0

    def start(self, clock_ms: int) -> None:
        """Start the node process with its wall clock offset by ``clock_ms``."""
        self.was_ready = False
        path = self.folder / f"{self.name}.yaml"
        extra = {"name": self.name, "data_centre": data_centre(self.name)}
        extra["service"] = self.service
        cold = {"cold_rate_overshoot": COLD_OVERSHOOT, "cold_rate_slack": COLD_SLACK}
        path.write_text(
            yaml.safe_dump(self.cfg | extra | cold | {"memory_mb": 200, "stop_s": STOP_TIMEOUT_S})
        )
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.node", str(clock_ms)],
                stdout=log,
                stderr=log,
                env=os.environ | {"BERYLDRUM_NODE_FILE": str(path)},
            )

    def signal(self, number: int) -> None:
        """Send a signal to the node process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Scenario:
    """The fleet, traffic and fault plan of one seed.

    Files of the run (settings and logs of the nodes, ``plan.log`` with the faults) are
    written to ``folder``, by default a new temporary directory.
    """

    def __init__(self, seed: int, hosts: int, folder: str = "") -> None:
        self.rng = random.Random(f"traffic {seed}")
        self._plan_rng = random.Random(f"plan {seed}")
        """Separate from the traffic generator, so that a seed always gives the same fault plan."""
        self.folder = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.checker = Checker(RATE, BURST, COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK)
        self.store = PlatformStandin()
        self.hosts = [
            Host(f"h{number}", SERVICES[number % len(SERVICES)], self.folder)
            for number in range(hosts)
        ]
        self.faults = {host.name: LinkFault() for host in self.hosts}
        self._version = 0
        self._document = b""
        self._key_owners = {f"k-{number}": "mart" for number in range(6)} | {"k-hot": "hot"}
        self._move_service = "shop"
        self._hot_rate_factor = 1.0
        self._restarting: set[str] = set()
        self._tasks: list[asyncio.Task[Any]] = []
        self.checker.key_owners = dict(self._key_owners)
        self.checker.route_changes.append((float("-inf"), self._move_service))

    # Processes and traffic

    async def start(self) -> None:
        """Start the fleet, wait until all nodes are ready and start the callers.

        Raises `TimeoutError` if the nodes are not ready within 30 s.
        """
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        store_address = free_address()
        await web.TCPSite(self._runner, "127.0.0.1", int(store_address.rpartition(":")[2])).start()
        self.publish()
        names = {host.cfg["advertised"]: host.name for host in self.hosts}
        self.targets: dict[str, Target] = {}
        self.proxies: dict[str, list[Proxy]] = {}
        for host in self.hosts:
            node_proxy = Proxy(host.cfg["nodes"], self.faults, owner=host.name)
            node_proxy.host_names = names
            store_proxy = Proxy(store_address, self.faults, owner="store", source=host.name)
            await node_proxy.start(host.cfg["advertised"])
            await store_proxy.start(host.cfg["store"])
            self.proxies[host.name] = [node_proxy, store_proxy]
            target = Target(
                self.checker,
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
            # The first goes on using its connection until the process is gone.
            for number in range(5):
                hot, persistent = number == 4, number == 0
                caller = Caller(
                    self.checker,
                    self.rng,
                    host.name,
                    host.service,
                    host.cfg["outbound"],
                    (lambda: "k-hot") if hot else self._choose_key,
                    (lambda: 0.1 / self._hot_rate_factor) if hot else (lambda: 0.08),
                    self._was_killed,
                    (lambda _: True) if persistent else self._is_ready,
                    pipelines=number == 3,
                )
                self._spawn(caller.run())

    def _spawn(self, coro: Any) -> None:
        self._tasks.append(asyncio.create_task(coro))

    def _choose_key(self) -> str:
        return self.rng.choice([key for key, name in self._key_owners.items() if name == "mart"])

    def _was_killed(self, name: str, since: float) -> bool:
        host = next(host for host in self.hosts if host.name == name)
        return any(at >= since for at in host.killed_at)

    def _is_ready(self, name: str) -> bool:
        return next(host for host in self.hosts if host.name == name).ready

    async def _watch(self) -> None:
        """Probe the readiness of each node, as the platform does.

        A process that exits without a planned stop is a finding and is restarted.
        """
        while True:
            await asyncio.gather(*(self._probe(host) for host in self.hosts))
            for host in self.hosts:
                process = host.process
                if process is None or process.poll() is None or host.name in self._restarting:
                    continue
                self.checker.add_finding(
                    "node process exited unexpectedly", host=host.name, code=process.returncode
                )
                host.start(0)
            await asyncio.sleep(0.5)

    async def _probe(self, host: Host) -> None:
        conn = Connection(host.cfg["ready"])
        try:
            async with asyncio.timeout(0.5):
                response = await conn.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        except (OSError, TimeoutError):
            response = None
        finally:
            conn.close()
        host.was_ready = host.was_ready or (response is not None and response.status == 200)
        host.failed_probes = (
            0 if response is not None and response.status == 200 else host.failed_probes + 1
        )
        host.ready = host.failed_probes == 0 or (host.ready and host.failed_probes < 2)

    def publish(self) -> None:
        """Publish the current routes, keys and limits as a new configuration version."""
        self._version += self.rng.randrange(1, 5)
        columns = ["name", "host", "path_prefix", "kind", "service", "timeout_ms",
                   "target_latency_ms", "attempts", "priority", "public"]  # fmt: skip
        rows = [
            ["list", VIRTUAL_HOST, "/list/", "safe", "shop", 2500, 800, 2, 2, False],
            ["book", VIRTUAL_HOST, "/book/", "unsafe", "shop", 2500, 800, 2, 0, False],
            ["sheet", VIRTUAL_HOST, "/sheet/", "safe", "shop", 2500, 800, 2, 1, False],
            ["move", VIRTUAL_HOST, "/move/", "safe", self._move_service, 2500, 800, 2, 2, False],
            ["inner", VIRTUAL_HOST, "/inner/", "safe", "stock", 700, 300, 2, 2, True],
        ]
        keys = [key for key, name in self._key_owners.items() if name == "mart"]
        organisations = [["mart", keys, 1, 0, 0], ["hot", ["k-hot"], 2, RATE, BURST]]
        document = {
            "version": self._version,
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": ["name", "health_path", "cold_start_s", "cold_per_s"],
                "rows": [[name, HEALTH_PATH, COLD_START_S, COLD_PER_S] for name in set(SERVICES)],
            },
            "tenants": {
                "columns": ["name", "api_keys", "priority", "requests_per_s", "burst"],
                "rows": organisations,
            },
            "limits": {},
        }
        self._document = json.dumps(document).encode()
        self.store.publish(self._document)

    # Faults: each coroutine injects one; temporary ones are removed after ``seconds``

    def _mark_faulty(self, name: str, seconds: float) -> None:
        until = self.checker.now() + seconds
        self.checker.faulty_until[name] = max(until, self.checker.faulty_until.get(name, until))

    async def freeze(self, host: Host, seconds: float) -> None:
        """Suspend a node process."""
        self._mark_faulty(host.name, seconds)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.signal(signal.SIGCONT)

    async def kill(self, host: Host, seconds: float) -> None:
        """Kill a node process and start another with a different clock offset."""
        if host.name in self._restarting or host.process is None:
            return
        self._restarting.add(host.name)
        self._mark_faulty(host.name, seconds + 1.0)
        host.killed_at.append(self.checker.now() + 0.5)
        host.signal(signal.SIGKILL)
        host.process.wait()
        await asyncio.sleep(min(seconds, 2.0))
        host.start(self.rng.randrange(-3000, 3000))
        self._restarting.discard(host.name)

    async def stop(self, host: Host, seconds: float) -> None:
        """Stop a node with SIGTERM and start another."""
        process = host.process
        if host.name in self._restarting or process is None:
            return
        self._restarting.add(host.name)
        self._mark_faulty(host.name, STOP_TIMEOUT_S + 1.0)
        faulty_until = self.checker.faulty_until[host.name]
        host.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(asyncio.to_thread(process.wait), STOP_TIMEOUT_S)
            # SIGTERM during interpreter start-up arrives before the node has its handler.
            if code != 0 and (host.was_ready or code != -signal.SIGTERM):
                self.checker.add_finding("planned stop failed", host=host.name, code=code)
        except TimeoutError:
            host.signal(signal.SIGCONT)
            host.killed_at.append(self.checker.now() + 0.5)
            host.signal(signal.SIGKILL)
            process.wait()
            if faulty_until <= self.checker.now():
                self.checker.add_finding("planned stop timed out", host=host.name)
        host.start(self.rng.randrange(-1000, 1000))
        self._restarting.discard(host.name)

    async def link(self, host: Host, seconds: float) -> None:
        """Disturb the links of a host to the other hosts and the store.

        Blocks one or both directions, adds latency or resets the connections.
        """
        self._mark_faulty(host.name, seconds)
        fault = self.faults[host.name]
        fault_kind = self.rng.choice(("in", "out", "both", "delay", "reset"))
        fault.block_ingress = fault_kind in ("in", "both")
        fault.block_egress = fault_kind in ("out", "both")
        fault.delay_s = self.rng.uniform(0.02, 0.2) if fault_kind == "delay" else 0.0
        if fault_kind == "reset":
            for proxy in self.proxies[host.name]:
                proxy.reset()
        await asyncio.sleep(seconds)
        fault.block_ingress = fault.block_egress = False
        fault.delay_s = 0.0

    async def store_fault(self, host: Host, seconds: float) -> None:
        """Make the store fail, hang, slow down or lose answers.

        At random, also drop the history of topic ``keyed.op``.
        """
        self._mark_faulty("store", seconds)
        self.store.faults = self.rng.choice(
            (
                StoreFaults(down=True),
                StoreFaults(silent=True),
                StoreFaults(delay_s=0.3),
                StoreFaults(lose_answers=3),
            )
        )
        if self.rng.random() < 0.3:
            self.store.truncate("keyed.op")
        await asyncio.sleep(seconds)
        self.store.faults = StoreFaults()

    async def restore_store(self, host: Host, seconds: float) -> None:
        """Restore the store from a snapshot that is some seconds old.

        The operator writes again a little later what was lost: the configuration, with the
        keys withdrawn since, and the evacuations that began or ended since.
        """
        if "store" in self._restarting:
            return
        self._restarting.add("store")
        snapshot, document = self.store.snapshot(), self._document
        evacuated = dict(self.checker.evacuated)
        await asyncio.sleep(min(4.0, seconds))
        outage_s, rewrite_s = self.rng.uniform(0.1, 1.0), self.rng.uniform(0.0, 2.0)
        self._mark_faulty("store", outage_s + rewrite_s)
        self.store.faults = StoreFaults(down=True)
        await asyncio.sleep(outage_s)
        self.store.restore(snapshot)
        self.store.faults = StoreFaults()
        await asyncio.sleep(rewrite_s)
        if self._document != document:
            self.store.publish(self._document)
        now_evacuated = self.checker.evacuated
        for name in evacuated.keys() | now_evacuated.keys():
            if evacuated.get(name) != now_evacuated.get(name):
                self.store.evacuate(name, b"{}" if name in now_evacuated else b"")
                if name in now_evacuated:
                    # A node may not have read the record before it was lost.
                    now_evacuated[name] = self.checker.now()
        self._restarting.discard("store")

    async def mood(self, host: Host, seconds: float) -> None:
        """Inject faults into a share of a target's requests."""
        target = self.targets[host.name]
        target.fault_mode, target.fault_share = (
            self.rng.choice(FAULT_MODES),
            self.rng.uniform(0.05, 0.5),
        )
        await asyncio.sleep(seconds)
        target.fault_mode = ""

    async def replace(self, host: Host, seconds: float) -> None:
        """Restart a target as a new incarnation, with or without draining first."""
        name = "target " + host.name
        if name in self._restarting:
            return
        self._restarting.add(name)
        target = self.targets[host.name]
        drain_s = self.rng.choice((0.0, 2.5, 4.0))
        await target.stop(drain_s, announce=self.rng.random() < 0.5)
        await asyncio.sleep(min(1.0, seconds))
        await target.start()
        self._restarting.discard(name)

    async def limit(self, host: Host, seconds: float) -> None:
        """Make a target state a rate limit, lower it midway and lift it."""
        target = self.targets[host.name]
        target_id, rate = target.target_id, self.rng.uniform(0.0, 8.0)
        for factor in (1.0, 0.7, None):
            if target.target_id == target_id:
                target.limit_rate(factor and rate * factor)
            await asyncio.sleep(LIMITED_S + seconds if factor else 0.0)

    async def withdraw(self, host: Host, seconds: float) -> None:
        """Withdraw a key that is in use and add a new one."""
        key, new_key = self._choose_key(), f"k-{self._version}x"
        del self._key_owners[key]
        self._key_owners[new_key] = self.checker.key_owners[new_key] = "mart"
        self.publish()
        self.checker.withdrawn[key] = self.checker.added[new_key] = self.checker.now()

    async def evacuate(self, host: Host, seconds: float) -> None:
        """Evacuate the data centre of a host for longer than an evacuation takes to bind.

        Its targets are cold afterwards, where nodes know of the evacuation: a node that had
        a fault until now, or could not ask the store, has no reason to expect that.
        """
        name = data_centre(host.name)
        if name in self.checker.evacuated:
            return
        self.store.evacuate(name)
        self.checker.evacuated[name] = self.checker.now()
        await asyncio.sleep(EVACUATION_S)
        if self.checker.is_healthy("store", self.checker.now()):
            self.checker.in_force.add(name)
        await asyncio.sleep(seconds)
        self.checker.in_force.discard(name)
        del self.checker.evacuated[name]
        at = self.checker.now()
        for target in self.targets.values():
            healthy = all(self.checker.is_healthy(n, at) for n in (target.host, "store"))
            if data_centre(target.host) == name and healthy:
                target.become_cold()
        self.store.evacuate(name, b"")

    async def move(self, host: Host, seconds: float) -> None:
        """Switch route ``move`` to the other service."""
        self._move_service = "stock" if self._move_service == "shop" else "shop"
        self.publish()
        self.checker.route_changes.append((self.checker.now(), self._move_service))

    async def heat(self, host: Host, seconds: float) -> None:
        """Raise the request rate of organisation ``hot`` 3 to 8 times, beyond its limit."""
        self._hot_rate_factor = self.rng.uniform(3.0, 8.0)
        await asyncio.sleep(seconds)
        self._hot_rate_factor = 1.0

    # Execution and final checks

    async def run(self, seconds: float) -> None:
        """Inject overlapping faults for ``seconds``, then check that the fleet recovers."""
        kinds: list[Callable[[Host, float], Awaitable[None]]] = [
            self.freeze, self.kill, self.stop, self.link, self.link, self.store_fault,
            self.restore_store, self.mood, self.replace, self.limit, self.limit, self.withdraw,
            self.move, self.heat, self.evacuate, self.evacuate,
        ]  # fmt: skip
        until = self.checker.now() + seconds
        active: set[asyncio.Task[Any]] = set()
        while self.checker.now() < until:
            await asyncio.sleep(self._plan_rng.expovariate(1.0))
            kind, host = self._plan_rng.choice(kinds), self._plan_rng.choice(self.hosts)
            duration_s = self._plan_rng.uniform(0.3, 7.0)
            with (self.folder / "plan.log").open("a") as plan:
                plan.write(
                    f"{self.checker.now():.2f} {kind.__name__} {host.name} {duration_s:.2f}\n"
                )
            task = asyncio.create_task(kind(host, duration_s))  # type: ignore[arg-type]
            active.add(task)
            # stop_all cancels it too; otherwise a fault could start a process afterwards.
            self._tasks.append(task)
        await asyncio.gather(*active)
        await asyncio.sleep(RECOVERY_S)
        await self._check_recovery()

    async def _check_recovery(self) -> None:
        before, runs = dict(self.checker.outcome_counts), Counter(self.checker.host_runs)
        await asyncio.sleep(4.0)
        counts = {name: n - before.get(name, 0) for name, n in self.checker.outcome_counts.items()}
        # Requests over the rate limit need not be served. The denied counters repeat
        # requests that are already counted by status.
        other_counts = ("denied", "denied a key just given")
        expected = sum(counts.values()) - counts.get("429", 0)
        expected -= sum(counts.get(name, 0) for name in other_counts)
        if counts.get("200", 0) < 0.25 * expected or not expected:
            self.checker.add_finding("no recovery after the faults", counts=counts)
        runs = self.checker.host_runs - runs
        unused = [host.name for host in self.hosts if not runs[host.name]]
        if unused:
            # For example, an evacuation that ended is still in force somewhere.
            self.checker.add_finding("targets unused after all faults", hosts=unused)
        not_ready = [host.name for host in self.hosts if not host.ready]
        if not_ready:
            self.checker.add_finding("nodes not ready after all faults", hosts=not_ready)

    async def stop_all(self) -> None:
        """Stop callers, targets, nodes, proxies and the store, then run the final checks."""
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
        self.checker.finish()
