"""A small fleet of separate processes on loopback.

Each process is started and ended here by its own id. Ports are drawn anew each time.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

__all__ = ["Answer", "Fleet", "Host", "free_port"]

PORTS = (12_000, 32_000)
DRAW = random.SystemRandom()
START_S = 20.0
STOP_S = 20.0
POLL_S = 0.05

_given: set[int] = set()


def free_port() -> int:
    """Return a port that is free now.

    It lies below those that the kernel draws for outgoing connections: one of
    these could take the port before the process that it is meant for does.
    """
    while True:
        port = DRAW.randrange(*PORTS)
        if port in _given:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _given.add(port)
            return port


def address() -> str:
    """Return a free address on loopback."""
    return f"127.0.0.1:{free_port()}"


class Host(NamedTuple):
    """A host's addresses; ``target`` is empty without one."""

    name: str
    data_centre: str
    node: str
    callers: str
    egress: str
    target: str


class Answer(NamedTuple):
    """What a caller got; ``outcome`` is empty when the connection failed."""

    status: int
    outcome: str
    body: bytes
    seconds: float
    headers: dict[str, str]


class Fleet:
    """The log, the nodes and the targets, as processes."""

    def __init__(self, node_command: tuple[str, ...] = ("beryldrum", "node"), **settings: Any):
        self._node_command = node_command
        self.log = address()
        self.hosts: dict[str, Host] = {}
        self._settings = settings
        self._dir = Path(tempfile.mkdtemp(prefix="beryldrum-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def log_url(self) -> str:
        """The URL of the log."""
        return f"http://{self.log}"

    @property
    def session(self) -> aiohttp.ClientSession:
        """A session for callers."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=2_000))
        return self._session

    # Processes.

    def spawn(self, name: str, *args: str) -> subprocess.Popen[bytes]:
        """Start ``python -m ARGS`` under a name; its output goes to a file."""
        with open(self._dir / f"{name}.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", *args], stdout=out, stderr=out, cwd=os.getcwd()
            )
        self._processes[name] = process
        return process

    def output(self, name: str) -> str:
        """Return what the process of a name has printed."""
        return (self._dir / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a name."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end and return its exit code."""
        process = self._processes.pop(name)
        return await asyncio.to_thread(process.wait, STOP_S)

    def start_log(self, *args: str) -> None:
        """Start the log."""
        self.spawn("log", "beryldrum.standin", "log", "--listen", self.log, *args)

    def add_host(self, name: str, data_centre: str, with_target: bool = True) -> Host:
        """Choose the addresses of a host."""
        host = Host(
            name,
            data_centre,
            address(),
            address(),
            address(),
            address() if with_target else "",
        )
        self.hosts[name] = host
        return host

    def write_settings(self, name: str, **changes: Any) -> Path:
        """Write the settings of a host's node and return the file."""
        host = self.hosts[name]
        cfg = {
            "node": host.node,
            "data_centre": host.data_centre,
            "callers": host.callers,
            "egress": host.egress,
            "log_url": self.log_url,
            "seeds": [h.node for h in self.hosts.values()],
            **self._settings,
            **changes,
        }
        path = self._dir / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg))
        return path

    def start_node(self, name: str, **changes: Any) -> None:
        """Start the node of a host."""
        path = self.write_settings(name, **changes)
        self.spawn(f"node-{name}", *self._node_command, "--settings", str(path))

    def start_target(self, name: str, service: str, *args: str) -> None:
        """Start the target of a host."""
        host = self.hosts[name]
        self.spawn(
            f"target-{name}",
            "beryldrum.standin",
            "target",
            "--listen",
            host.target,
            "--node",
            host.egress,
            "--service",
            service,
            *args,
        )

    async def command(self, *args: str) -> tuple[int, str, str]:
        """Run ``beryldrum ARGS`` and return exit code, output and errors."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beryldrum",
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def give_key(self, organisation: str) -> tuple[str, str]:
        """Give a key to an organisation and return its id and the key."""
        code, out, err = await self.command(
            "key", "give", organisation, "--log", self.log_url, "--json"
        )
        if code:
            raise RuntimeError(err)
        given = json.loads(out)
        return given["id"], given["key"]

    async def apply(self, path: str) -> int:
        """Publish a document and return the version."""
        code, out, err = await self.command("apply", path, "--log", self.log_url, "--json")
        if code:
            raise RuntimeError(err)
        version: int = json.loads(out)["version"]
        return version

    # Asking.

    async def ask(
        self,
        url: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a request; a failed connection is an answer with status 0."""
        since = time.perf_counter()
        try:
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                data = await resp.read()
                taken = time.perf_counter() - since
                outcome = resp.headers.get("Beryldrum-Outcome", "")
                return Answer(resp.status, outcome, data, taken, dict(resp.headers))
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Answer(0, "", b"", time.perf_counter() - since, {})

    async def call(self, host: str, path: str, key: str, **kwargs: Any) -> Answer:
        """Send a request with a key to a host's node, as a caller outside."""
        headers = {"Authorization": f"Bearer {key}", **kwargs.pop("headers", {})}
        return await self.ask(f"http://{self.hosts[host].callers}{path}", headers=headers, **kwargs)

    async def status(self, host: str) -> dict[str, Any]:
        """Return a node's status, empty when it does not answer."""
        url = f"http://{self.hosts[host].egress}/.beryldrum/status"
        answer = await self.ask(url, timeout_s=3.0)
        found: dict[str, Any] = json.loads(answer.body) if answer.status == 200 else {}
        return found

    async def seen(self, host: str) -> dict[str, Any]:
        """Return what a host's target has run."""
        answer = await self.ask(f"http://{self.hosts[host].target}/_seen")
        found: dict[str, Any] = json.loads(answer.body)
        return found

    async def fault(self, host: str, **faults: Any) -> None:
        """Set the faults of a host's target."""
        body = json.dumps(faults).encode()
        await self.ask(f"http://{self.hosts[host].target}/_faults", "POST", body=body)

    async def log_fault(self, **faults: Any) -> None:
        """Set the faults of the log."""
        await self.ask(f"{self.log_url}/faults", "POST", body=json.dumps(faults).encode())

    async def until(self, what: str, check: Any, seconds: float = START_S) -> float:
        """Wait until ``await check()`` holds; returns the seconds it took."""
        since = time.perf_counter()
        while not await check():
            if time.perf_counter() - since > seconds:
                raise TimeoutError(f"not within {seconds} s: {what}")
            await asyncio.sleep(POLL_S)
        return time.perf_counter() - since

    async def log_up(self) -> None:
        """Wait until the log answers."""

        async def check() -> bool:
            return (await self.ask(f"{self.log_url}/records?after=0")).status == 200

        await self.until("log", check)

    async def settled(self, services: dict[str, int], seats: bool = True) -> None:
        """Wait until every node knows so many targets of each service.

        With ``seats``, also until each node with a target holds one.
        """

        async def check() -> bool:
            for name in self.hosts:
                state = await self.status(name)
                if not _settled(state, services, seats):
                    return False
            return True

        await self.until("fleet settled", check, 60.0)

    async def close(self) -> None:
        """End every process that was started here."""
        if self._session is not None:
            await self._session.close()
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            await asyncio.to_thread(process.wait)
        self._processes.clear()


def _settled(state: dict[str, Any], services: dict[str, int], seats: bool) -> bool:
    if not state or state["offset"] == 0:
        return False
    ready = [m["service"] for m in state["members"] if m["state"] == "ready"]
    return all(
        ready.count(service) == count and service in state["versions"]
        for service, count in services.items()
    ) and bool(state["seats"] or not state["gate"] or not seats)
