"""Clients outside our control, against real node processes on loopback.

Such clients made a node run out of memory and exit. Each test checks what does not depend
on the speed of the machine: the processes live, memory and open descriptors stay under a
bound, and an ordinary request is answered while the crowd is still connected.
"""

import asyncio
import contextlib
import itertools
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import psutil
import yaml
from aiohttp import web
from parameterized import parameterized

from beryldrum.errors import AnswerLostError, TargetUnreachedError
from beryldrum.mesh.settings import MeshSettings
from beryldrum.standin.endpoint import EndpointStandin
from beryldrum.standin.platform import PlatformStandin
from harness.ports import free_address

from .mesh_fleet import HOST, KEY, Host, call, config

MEMORY_MB = 96
MIB = 2**20
FILE_DESCRIPTORS = 400
BODY_BYTES = 4 * MIB
FLOOD_BYTES = 4 * MIB
"""What a client sends that never ends, many times the limit on headers."""
FLOOD_CLIENTS = 24
"""Together they send more than the memory of the host."""
SPARE_DESCRIPTORS = 12
"""Connections to the target, other nodes, the store and of the test's own requests."""
PATIENCE_S = 2.0
"""Time after which a client of the crowd that can send nothing more does only stay open."""
SETTLE_S = 20.0
"""Longest wait for the processes to start, and for connections to be closed."""
ATTEMPTS = 20
"""An ordinary caller may be refused for a moment; it tries again."""
RECEIVE_BYTES = 4_096
"""What the kernel takes for a client that does not read."""

AUTH = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Deadline-Milliseconds: 60000\r\n"
CHUNKED = f"POST /book/1 HTTP/1.1\r\n{AUTH}Transfer-Encoding: chunked\r\nX-Request-Id: c-1\r\n\r\n"
NUMBERS = itertools.count(1)


def message(path, method="GET", size=0):
    """Return the head of a request with a body of ``size`` bytes."""
    length = f"Content-Length: {size}\r\n" if size else ""
    head = f"{method} {path} HTTP/1.1\r\n{AUTH}X-Request-Id: crowd-{next(NUMBERS)}\r\n{length}\r\n"
    return head.encode()


class _NodeProcess(Host):
    """A node process and the largest memory and number of descriptors that were seen."""

    def __init__(self, folder, cfg, announces):
        super().__init__(cfg, EndpointStandin(f"i-{cfg.name}"))
        self._folder = Path(folder)
        self._announces = announces
        self._tasks = []
        self.peak_mb = self.peak_descriptors = 0

    async def start(self):
        path = self._folder / f"{self.cfg.name}.yaml"
        fields = {name: value for name, value in self.cfg._asdict().items() if name != "regions"}
        path.write_text(yaml.safe_dump(fields))
        self.process = self._run(path)
        self._usage = psutil.Process(self.process.pid)
        await self.target.start(self.cfg.target)
        await self._until_answered(self.cfg.ready)
        if self._announces:
            self._tasks.append(asyncio.create_task(self._keep_announcing()))
        self.base_descriptors = self.descriptors()
        self._tasks.append(asyncio.create_task(self._sample()))

    def _run(self, settings):
        env = os.environ | {"BERYLDRUM_NODE_FILE": str(settings)}
        with settings.with_suffix(".log").open("ab") as log:
            command = [sys.executable, "-m", "beryldrum.platform"]
            return subprocess.Popen(command, stdout=log, stderr=log, env=env)

    async def _until_answered(self, address):
        async with asyncio.timeout(SETTLE_S):
            while True:
                with contextlib.suppress(TargetUnreachedError, AnswerLostError):
                    if (await call(address, "GET", "/")).status == 200:
                        return
                await asyncio.sleep(0.05)

    async def _keep_announcing(self):
        born = time.time_ns() // 1_000_000
        for sequence in itertools.count(1):
            with contextlib.suppress(TargetUnreachedError, AnswerLostError):
                await self.announce(sequence=sequence, born=born, slots=64)
            await asyncio.sleep(0.5)

    async def _sample(self):
        with contextlib.suppress(psutil.Error):
            while True:
                self.peak_mb = max(self.peak_mb, self._usage.memory_info().rss / MIB)
                self.peak_descriptors = max(self.peak_descriptors, self.descriptors())
                await asyncio.sleep(0.01)

    def descriptors(self):
        return self._usage.num_fds()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.target.stop()
        self.process.kill()
        self.process.wait()


class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    """One node process, or two, and a crowd of clients in the process of the test."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store, self.nodes, self.crowd = PlatformStandin(), [], []
        self.store_address = free_address()
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = int(self.store_address.rpartition(":")[2])
        await web.TCPSite(runner, "127.0.0.1", port).start()

    async def asyncTearDown(self):
        for sock in self.crowd:
            sock.close()
        for node in self.nodes:
            await node.stop()
            print(
                f"{self.id()} {node.cfg.name} peak {node.peak_mb:.0f} MB of {node.cfg.memory_mb},"
                f" {node.peak_descriptors} descriptors, exit {node.process.returncode}"
            )

    async def start(self, hosts=1, memory_mb=MEMORY_MB, body_bytes=BODY_BYTES):
        """Start the nodes; the target is that of the last one, callers use the first."""
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": body_bytes,
            "header_timeout_ms": 60_000,
            "idle_timeout_ms": 60_000,
        }
        self.store.publish(config(**limits))
        for number in range(hosts):
            ports = [free_address() for _ in range(5)]
            cfg = MeshSettings(
                f"n{number}", "dc0", "shop", *ports, self.store_address, memory_mb
            )._replace(file_descriptors=FILE_DESCRIPTORS)
            node = _NodeProcess(self.folder, cfg, number == hosts - 1)
            self.nodes.append(node)
            await node.start()
        self.entry, self.target = self.nodes[0], self.nodes[-1].target
        await self.check_ordinary_request()

    async def connect(self, node=None):
        """Return a new connection of the crowd, which takes few bytes it has not read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        self.crowd.append(sock)
        host, _, port = (node or self.entry).cfg.outbound.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return sock

    async def send(self, sock, *parts):
        """Send parts until the node closes the connection or takes nothing more."""
        with contextlib.suppress(OSError, TimeoutError):
            for part in parts:
                async with asyncio.timeout(PATIENCE_S):
                    await asyncio.get_running_loop().sock_sendall(sock, part)

    async def await_answer(self, sock):
        """Wait until the first byte of an answer has come, and leave the rest."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                await asyncio.get_running_loop().sock_recv(sock, 1)

    async def check_ordinary_request(self, size=0):
        """Check that an ordinary caller is served, at the latest by a repeat."""
        method, path = ("POST", "/book/1") if size else ("GET", "/list/1")
        response = None
        for _attempt in range(ATTEMPTS):
            with contextlib.suppress(TargetUnreachedError, AnswerLostError):
                response = await self.entry.ask(path, method, left_ms=4_000, body=b"b" * size)
                if response.status == 200:
                    break
            await asyncio.sleep(0.5)
        self.assertIsNotNone(response, "never answered")
        self.assertEqual((200, b"done"), (response.status, response.body[:100]))

    async def check(self, crowd_is_closed=False):
        """Check the processes and their resources, and one ordinary request."""
        await asyncio.sleep(0.5)
        self.target.body = b"done"
        self.target.script.clear()
        faults = []
        try:
            await self.check_ordinary_request()
        except AssertionError as exc:
            faults.append(f"an ordinary request: {exc}")
        limit = self.entry.base_descriptors + SPARE_DESCRIPTORS
        if crowd_is_closed and not await self.until_descriptors(limit):
            faults.append(f"{self.entry.descriptors()} descriptors are open, {limit} expected")
        for node in self.nodes:
            cfg = node.cfg
            if node.process.poll() is not None:
                faults.append(f"{cfg.name} ended with {node.process.returncode}")
            if node.peak_mb >= cfg.memory_mb:
                faults.append(f"{cfg.name} took {node.peak_mb:.0f} MB of {cfg.memory_mb}")
            if node.peak_descriptors > cfg.file_descriptors:
                faults.append(f"{cfg.name} had {node.peak_descriptors} descriptors open")
        self.assertEqual([], faults)

    async def until_descriptors(self, limit):
        """Wait until no more than ``limit`` descriptors are open; returns whether that is so."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while self.entry.descriptors() > limit:
                    await asyncio.sleep(0.1)
        return self.entry.descriptors() <= limit

    @parameterized.expand(
        [
            ("heads over the limit", "GET /list/1 HTTP/1.1\r\n", "a:b\r\n"),
            ("a header without end", "GET /list/1 HTTP/1.1\r\nA: ", "x"),
            ("a header name without end", "GET /list/1 HTTP/1.1\r\nA", "x"),
            ("a request line without end", "GET /", "x"),
            ("empty lines without end", "", "\r\n"),
            ("a trailer of many lines", CHUNKED + "1\r\na\r\n0\r\n", "a:b\r\n"),
            ("a trailer line without end", CHUNKED + "1\r\na\r\n0\r\nA: ", "x"),
        ]
    )
    async def test_a_head_without_end(self, _, first, piece):
        await self.start()
        data = piece.encode() * (65_536 // len(piece))
        parts = [data] * (FLOOD_BYTES // len(data))

        async def flood():
            await self.send(await self.connect(), first.encode(), *parts)

        await asyncio.gather(*(flood() for _ in range(FLOOD_CLIENTS)))
        await self.check(crowd_is_closed=True)

    async def test_slow_readers_of_long_answers(self):
        await self.start()
        self.target.body = b"y" * (8 * MIB)
        for _ in range(16):
            sock = await self.connect()
            await self.send(sock, message("/list/1"))
            await self.await_answer(sock)
        await self.check()

    async def test_pipelined_requests_whose_answers_are_never_read(self):
        await self.start()
        self.target.body = b"y" * MIB
        socks = [await self.connect() for _ in range(6)]
        for _ in range(10):
            for sock in socks:
                await self.send(sock, b"".join(message("/list/1") for _ in range(4)))
            await asyncio.sleep(0.2)
        await self.check()

    @parameterized.expand(
        [
            ("whole, to this host's target", 1, True),
            ("whole, to another node's target", 2, True),
            ("whole, from several nodes to one target", 8, True),
            ("in pieces that stop short of the end", 1, False),
        ]
    )
    async def test_many_large_bodies(self, _, hosts, whole):
        await self.start(hosts)
        self.target.script.extend(["hang"] * 256)
        body = b"b" * BODY_BYTES
        pieces = [body] if whole else [body[:65_536]] * (BODY_BYTES // 65_536)
        if not whole:
            pieces[-1] = pieces[-1][:-1]

        async def upload(node):
            await self.send(
                await self.connect(node), message("/book/1", "POST", BODY_BYTES), *pieces
            )

        entries = self.nodes[:-1] or self.nodes
        await asyncio.gather(*(upload(node) for node in entries for _ in range(32)))
        await self.check()

    async def test_idle_connections_up_to_the_descriptors(self):
        await self.start()
        for _ in range(FILE_DESCRIPTORS + 100):
            await self.connect()
        await self.check()

    @parameterized.expand(
        [
            ("to this host's target", 1, MEMORY_MB, 12 * MIB),
            ("to another node's target", 2, MEMORY_MB, 12 * MIB),
            ("of the largest size to this host's target", 1, 200, 64 * MIB),
            ("of the largest size to another node's target", 2, 200, 64 * MIB),
        ]
    )
    async def test_a_single_large_body_is_refused(self, _, hosts, memory_mb, body_bytes):
        await self.start(hosts, memory_mb, body_bytes)
        await self.check_ordinary_request(body_bytes - 1)
        await self.check()
