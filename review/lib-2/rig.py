"""Starts real nodes on loopback with stand-ins of the store and of endpoints.

Only the standard library is used, so that a case needs nothing beyond the build of the
deploy file. Each host gets a loopback address of its own, since the deploy file names a
fixed port for the metrics.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "6wsjnbanfqasnmgkcuyj"
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def __call__(self, text):
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


def loopback_ip():
    """Return a random loopback address that no other run is likely to use."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    """Return a free port of ``ip`` below the ephemeral ports."""
    import socket

    while True:
        port = random.randint(12_000, 31_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            return port


def table(*rows):
    """Return rows in the operator's format: columns, and values in that order."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {"columns": columns, "rows": [[row.get(name) for name in columns] for row in rows]}


def route(name, prefix, service, kind="safe", **more):
    """Return a route as a row of the configuration."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 1200,
        "priority": 0,
        "attempts": 2,
        "public": False,
        "service": service,
    }
    return row | more


def configuration(version, routes, services, tenants):
    """Return a configuration as the operator writes it, with the limits of the sites."""
    rows = [
        {
            "name": s,
            "health_path": "/health",
            "max_connections": 1156,
            "protocol": "h1",
            "tls": False,
        }
        for s in services
    ]
    return json.dumps(
        {
            "version": version,
            "routes": table(*routes),
            "services": table(*rows),
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": table(*tenants),
        }
    ).encode()


def tenant(name="pulo780", keys=(KEY,), **more):
    """Return a tenant without a usage cap."""
    return {"name": name, "api_keys": list(keys), "priority": 1} | more


# A small HTTP/1.1 server for the stand-ins.


class HttpRequest:
    """A complete request."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


async def read_head(reader):
    """Return method, target and headers of the next request, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return method, target, headers


async def read_request(reader):
    """Return the next request with its body, or None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    size = int(head[2].get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpRequest(*head, body)


def response(status, body=b"", headers=()):
    """Return a response with a length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in dict(headers).items())
    return f"HTTP/1.1 {status} Status\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """Base of the stand-ins: one coroutine a connection."""

    async def start(self, ip, port):
        """Start, and listen."""
        self.address = f"{ip}:{port}"
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader, writer):
        """Answer the requests of a connection in turn."""
        while (req := await read_request(reader)) is not None:
            writer.write(await self.answer(req))
            await writer.drain()


class Topic:
    """The records of one topic of the store."""

    def __init__(self):
        self.records, self.newest = [], {}
        self.changed = asyncio.Event()

    def add(self, record, keyed):
        """Add one."""
        if keyed:
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (len(self.records), value)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Platform(Server):
    """The platform's store, as far as a node uses it."""

    def __init__(self):
        self.topics = {}
        self.down = False

    def topic(self, name):
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    def publish(self, text):
        """Write the configuration, as the operator does."""
        self.topic("keyed.op").add(b"\x06config" + text, True)

    async def answer(self, req):
        """Return the answer to a request."""
        await asyncio.sleep(0.004)
        if self.down:
            return response(503)
        name = req.query.get("topic", "")
        topic = self.topic(name)
        if req.path == "/log-append":
            position, offset = 0, len(topic.records)
            while position < len(req.body):
                (size,) = LENGTH.unpack_from(req.body, position)
                topic.add(req.body[position + 4 : position + 4 + size], name.startswith("keyed."))
                position += 4 + size
            body = {"offset": offset, "end_offset": len(topic.records)}
            return response(200, json.dumps(body).encode())
        if req.path == "/log-read":
            start = int(req.query["from"])
            if start > len(topic.records):
                return response(410, b'{"first_offset": 0}')
            if start == len(topic.records):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(req.query.get("wait_ms", "0")) / 1000):
                        await topic.changed.wait()
            records = topic.records[start:]
            body = b"".join(LENGTH.pack(len(record)) + record for record in records)
            return response(200, OFFSETS.pack(len(topic.records), 0) + body)
        if req.path == "/log-newest":
            after = req.query.get("after", "")
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(topic.newest.items())
                if key > after
            ]
            body = {"items": items, "has_more": False, "end_offset": len(topic.records)}
            return response(200, json.dumps(body).encode())
        return response(404)


class Endpoint(Server):
    """An application endpoint: runs requests one at a time on a connection."""

    def __init__(self, service, zone, slots=16, work_s=0.02):
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = time.time_ns() // 1_000_000
        self.state, self.sequence = "ready", 0
        self.ran = []
        """Ids of the requests that it has run, in their order."""

    async def beat(self, control, state=None):
        """Send one check-in and return the status of its answer."""
        self.sequence += 1
        self.state = state or self.state
        body = {
            "address": self.address,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_ms": 0},
            "born": self.born,
        }
        path = f"/rpc?call=instances.heartbeat&of={self.id}"
        return await self.post(control, path, json.dumps(body).encode())

    async def deregister(self, control):
        """Say that it leaves and return the status of the answer."""
        path = f"/rpc?call=instances.deregister&of={self.id}"
        return await self.post(control, path, json.dumps({"born": self.born}).encode())

    @staticmethod
    async def post(control, path, body):
        """Send a message to a node and return the status of its answer, 0 without one."""
        head = {"Host": control, "Content-Type": "application/json"}
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                answer = await send(control, "POST", path, head, body)
                return answer.status
        return 0

    async def keep_beating(self, control, period_s=1.5):
        """Send check-ins until cancelled."""
        while True:
            await self.beat(control)
            await asyncio.sleep(period_s)

    async def answer(self, req):
        """Return the answer to a request."""
        if req.path == "/health":
            return response(200, b"", {"X-Instance-Id": self.id})
        request_id = req.headers.get("x-request-id", "")
        if req.headers.get("x-expected-instance", self.id) != self.id:
            return response(421, b"", {"X-Instance-Id": self.id, "X-Request-Id": request_id})
        self.ran.append(request_id)
        await asyncio.sleep(self.work_s)
        return response(
            200, self.body(req), {"X-Request-Id": request_id, "X-Server-Signature": f"s.{self.id}"}
        )

    def body(self, req):
        """Return the body of an answer."""
        return f"{self.id} ran {req.headers.get('x-request-id')}".encode()


class Answer:
    """An answer of a node."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_answer(reader):
    """Return the next answer on a connection, or None if it ends before a whole head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(int(first.split(" ")[1]), headers, b"", False)
    return Answer(int(first.split(" ")[1]), headers, body, True)


async def send(address, method, path, headers, body=b""):
    """Send a request on a new connection and return its answer."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(request_bytes(method, path, headers, body))
        answer = await read_answer(reader)
        if answer is None:
            raise ConnectionResetError("connection ended without an answer")
        return answer
    finally:
        writer.close()


def request_bytes(method, path, headers, body=b""):
    """Return a request with a length if it has a body."""
    lines = dict(headers)
    if body or method == "POST":
        lines["Content-Length"] = len(body)
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def client_headers(request_id, budget_ms=5000, key=KEY):
    """Return the headers that a client sends."""
    return {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": budget_ms,
        "Authorization": f"Bearer {key}",
    }


class Host:
    """A machine: an endpoint, and a node that the platform starts beside it."""

    def __init__(self, rig, name, zone, service, **endpoint):
        self.rig, self.name, self.zone = rig, name, zone
        self.ip = loopback_ip()
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(self.ip))
        self.outbound, self.inbound, self.ready, self.control, self.app = (
            f"{self.ip}:{port}" for port in sorted(ports)
        )
        self.endpoint = rig.endpoint_class(service, zone, **endpoint)
        self.process = None
        self._beats = None
        self.starts = 0

    def settings(self):
        """Return the template of the deploy file, filled in as the platform does."""
        fields = {
            "node": self.name,
            "zone": self.zone,
            "service": self.endpoint.service,
            "ip": self.ip,
            "listen_addresses.outbound": self.outbound,
            "listen_addresses.inbound": self.inbound,
            "listen_addresses.ready": self.ready,
            "listen_addresses.control": self.control,
            "app_address": self.app,
            "platform.address": self.rig.platform.address,
            "limits.memory_mb": 300,
            "limits.file_descriptors": 4100,
            "bounds.revoke_ms": 5000,
            "bounds.grace_period_s": 6,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": 50,
            "bounds.quota_overshoot": 0.1,
            "bounds.quota_slack": 20,
            "bounds.config_deadline_ms": 2000,
            "bootstrap": self.starts == 0,
            "zones": dict.fromkeys(self.rig.zones, "bg-south"),
        }
        text = (ROOT / "deploy" / "settings.yaml").read_text()
        text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", text, flags=re.DOTALL)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(fields[m[1]]), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m[1]]), text)

    def start_node(self):
        """Start the node, as the platform does."""
        path = self.rig.folder / f"{self.name}.yaml"
        path.write_text(self.settings())
        self.starts += 1
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"BERYLDRUM_NODE_FILE": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        log = open(self.rig.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["python3", "-m", "beryldrum.platform"], cwd=ROOT, env=env, stdout=log, stderr=log
        )

    async def start(self):
        """Start, and listen."""
        await self.endpoint.start(self.ip, int(self.app.rpartition(":")[2]))
        self.start_node()
        self._beats = asyncio.create_task(self.endpoint.keep_beating(self.control))

    def stop_beats(self):
        """Make the endpoint send no more check-ins."""
        self._beats.cancel()

    def signal(self, number):
        """Send a signal to the node."""
        self.process.send_signal(number)

    async def exited(self, seconds):
        """Return the exit code within ``seconds``, or None."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.02)
        return self.process.poll()

    def memory_mb(self):
        """Return the resident memory of the node now, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    def log_text(self):
        """Return what the node has logged."""
        return (self.rig.folder / f"{self.name}.log").read_text(errors="replace")


class MemoryLimit:
    """Ends a node whose resident memory exceeds its limit, and starts it again, as DEPLOY says.

    Resident memory leaves out what the kernel holds for the process, so it is a lower bound
    of what the platform counts.
    """

    def __init__(self, hosts, record, limit_mb=300, restart_s=1.0):
        self._hosts, self._record, self._limit_mb = hosts, record, limit_mb
        self._restart_s = restart_s
        self.peak_mb = {host.name: 0.0 for host in hosts}
        self.ends = {host.name: 0 for host in hosts}

    async def watch(self):
        """Watch all nodes until cancelled."""
        await asyncio.gather(*(self._watch(host) for host in self._hosts))

    async def _watch(self, host):
        while True:
            await asyncio.sleep(0.02)
            used_mb = host.memory_mb()
            self.peak_mb[host.name] = max(self.peak_mb[host.name], used_mb)
            over = used_mb > self._limit_mb
            if over:
                host.signal(signal.SIGKILL)
            if over or host.process.poll() is not None:
                host.process.wait()
                self.ends[host.name] += 1
                why = f"over its memory with {used_mb:.0f} MB" if over else "by itself"
                self._record(f"the process of {host.name} ended {why}")
                await asyncio.sleep(self._restart_s)
                host.start_node()


class Rig:
    """The platform and hosts of one case. Use as an asynchronous context manager."""

    def __init__(self, endpoint_class=Endpoint, zones=("bg-south-a", "bg-south-b")):
        self.endpoint_class, self.zones = endpoint_class, zones
        self.platform = Platform()
        self.hosts = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)

    async def __aenter__(self):
        ip = loopback_ip()
        await self.platform.start(ip, free_port(ip))
        return self

    def add(self, name, zone, service, **endpoint):
        """Add one."""
        host = Host(self, name, zone, service, **endpoint)
        self.hosts.append(host)
        return host

    async def settle(self, seconds=15.0):
        """Wait until all nodes are ready and know each other's targets."""
        until = time.monotonic() + seconds
        for host in self.hosts:
            while time.monotonic() < until:
                with contextlib.suppress(OSError):
                    if (await send(host.ready, "GET", "/readiness", {"Host": "x"})).status == 200:
                        break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{host.name} is not ready")
        await asyncio.sleep(3.5)

    async def __aexit__(self, *_):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        self._temporary.cleanup()


def run_case(main):
    """Run a case; exits with what it returns, or 2 if it couldn't run."""
    # Stopped from outside, the case still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as exc:
        print(f"the case couldn't run: {exc!r}", flush=True)
        code = 2
    sys.exit(code)
