"""A small fleet of processes on loopback: a log, nodes and targets.

Processes are signalled and stopped by process id, never by name.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

from .ports import free_address

__all__ = ["Answer", "Fleet", "Host"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class Host(NamedTuple):
    """The addresses of a host's node and target; ``target`` is empty if it has none."""

    name: str
    data_centre: str
    node: str
    callers: str
    egress: str
    target: str


class Answer(NamedTuple):
    """A response; ``status`` is 0 and ``outcome`` empty when the request failed."""

    status: int
    outcome: str
    body: bytes
    seconds: float
    headers: dict[str, str]


class Fleet:
    """Starts and stops the processes, and sends requests to them."""

    def __init__(self, node_command: tuple[str, ...] = ("beryldrum", "node"), **settings: Any):
        self._node_command = node_command
        self.log = free_address()
        self.hosts: dict[str, Host] = {}
        self._settings = settings
        self._directory = Path(tempfile.mkdtemp(prefix="beryldrum-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def log_url(self) -> str:
        """The base URL of the log."""
        return f"http://{self.log}"

    @property
    def session(self) -> aiohttp.ClientSession:
        """The HTTP session of all requests, created on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=2_000))
        return self._session

    # Processes

    def spawn(self, name: str, *args: str) -> subprocess.Popen[bytes]:
        """Start ``python -m ARGS`` under ``name``, with its output appended to a file."""
        with open(self._directory / f"{name}.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", *args], stdout=out, stderr=out, cwd=os.getcwd()
            )
        self._processes[name] = process
        return process

    def output(self, name: str) -> str:
        """Return the output of the named process, of all its runs."""
        return (self._directory / f"{name}.log").read_text(errors="replace")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the named process."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id of the named process."""
        return self._processes[name].pid

    async def wait_exit(self, name: str) -> int:
        """Wait for the named process to end and return its exit code."""
        process = self._processes.pop(name)
        return await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)

    def start_log(self, *args: str) -> None:
        """Start the stand-in log."""
        self.spawn("log", "beryldrum.standin", "log", "--listen", self.log, *args)

    def add_host(self, name: str, data_centre: str, with_target: bool = True) -> Host:
        """Add a host with free addresses; starts no process."""
        host = Host(
            name,
            data_centre,
            free_address(),
            free_address(),
            free_address(),
            free_address() if with_target else "",
        )
        self.hosts[name] = host
        return host

    def write_settings(self, name: str, **changes: Any) -> Path:
        """Write the settings file of a host's node and return its path."""
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
        path = self._directory / f"{name}.yaml"
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

    async def run_command(self, *args: str) -> tuple[int, str, str]:
        """Run ``beryldrum ARGS`` and return its exit code, standard output and errors."""
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
        """Issue an API key to an organisation; returns the id and the key."""
        code, out, err = await self.run_command(
            "key", "give", organisation, "--log", self.log_url, "--json"
        )
        if code:
            raise RuntimeError(err)
        issued = json.loads(out)
        return issued["id"], issued["key"]

    async def apply(self, path: str) -> int:
        """Publish the service document at ``path`` and return its version."""
        code, out, err = await self.run_command("apply", path, "--log", self.log_url, "--json")
        if code:
            raise RuntimeError(err)
        version: int = json.loads(out)["version"]
        return version

    # Requests

    async def send_request(
        self,
        url: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a request; a failed connection or a timeout gives status 0."""
        started_at = time.perf_counter()
        try:
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                data = await resp.read()
                duration_s = time.perf_counter() - started_at
                outcome = resp.headers.get("Beryldrum-Outcome", "")
                return Answer(resp.status, outcome, data, duration_s, dict(resp.headers))
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Answer(0, "", b"", time.perf_counter() - started_at, {})

    async def call(self, host: str, path: str, key: str, **kwargs: Any) -> Answer:
        """Send a request with an API key to a host's node, as an external caller."""
        headers = {"Authorization": f"Bearer {key}", **kwargs.pop("headers", {})}
        return await self.send_request(
            f"http://{self.hosts[host].callers}{path}", headers=headers, **kwargs
        )

    async def status(self, host: str) -> dict[str, Any]:
        """Return a node's status document; empty when it does not answer within 3 s."""
        url = f"http://{self.hosts[host].egress}/.beryldrum/status"
        answer = await self.send_request(url, timeout_s=3.0)
        result: dict[str, Any] = json.loads(answer.body) if answer.status == 200 else {}
        return result

    async def target_counters(self, host: str) -> dict[str, Any]:
        """Return the counters of the requests that a host's target has received."""
        answer = await self.send_request(f"http://{self.hosts[host].target}/_seen")
        result: dict[str, Any] = json.loads(answer.body)
        return result

    async def set_target_faults(self, host: str, **faults: Any) -> None:
        """Configure the faults that a host's target injects."""
        body = json.dumps(faults).encode()
        await self.send_request(f"http://{self.hosts[host].target}/_faults", "POST", body=body)

    async def set_log_faults(self, **faults: Any) -> None:
        """Configure the faults that the log injects."""
        await self.send_request(f"{self.log_url}/faults", "POST", body=json.dumps(faults).encode())

    async def wait_until(
        self, description: str, check: Any, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Wait until ``await check()`` is true; returns the time taken in seconds.

        Raises TimeoutError after ``timeout_s``.
        """
        started_at = time.perf_counter()
        while not await check():
            if time.perf_counter() - started_at > timeout_s:
                raise TimeoutError(f"timed out after {timeout_s} s: {description}")
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.perf_counter() - started_at

    async def wait_for_log(self) -> None:
        """Wait until the log answers."""

        async def check() -> bool:
            return (await self.send_request(f"{self.log_url}/records?after=0")).status == 200

        await self.wait_until("log", check)

    async def wait_until_settled(self, services: dict[str, int], seats: bool = True) -> None:
        """Wait until every node knows ``services[name]`` ready targets of each service.

        With ``seats``, also wait until the seats of each service are divided evenly between
        its nodes and new idempotency keys can run at all of them: not while a seat moves.
        """

        async def check() -> bool:
            states = [await self.status(name) for name in self.hosts]
            known = all(_knows_targets(state, services) for state in states)
            return known and (not seats or _seats_are_settled(states, services))

        await self.wait_until("fleet settled", check, 60.0)

    async def close(self) -> None:
        """Close the session and kill all processes, also paused ones."""
        if self._session is not None:
            await self._session.close()
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            await asyncio.to_thread(process.wait)
        self._processes.clear()


def _knows_targets(state: dict[str, Any], services: dict[str, int]) -> bool:
    if not state or state["offset"] == 0:
        return False
    ready = [m["service"] for m in state["members"] if m["state"] == "ready"]
    return all(
        ready.count(service) == count and service in state["versions"]
        for service, count in services.items()
    )


def _seats_are_settled(states: list[dict[str, Any]], services: Iterable[str]) -> bool:
    if any(state["seats_settling"] for state in states):
        return False
    if any(state["seats_vacant"][name] for state in states for name in services):
        return False
    counts: dict[str, list[int]] = {}
    for state in states:
        if state["gate"]:
            counts.setdefault(state["gate"]["service"], []).append(len(state["seats"]))
    return all(min(held) > 0 and max(held) - min(held) <= 1 for held in counts.values())
