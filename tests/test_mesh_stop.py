"""A planned stop, with callers that go on using their open connections to its end."""

import asyncio
import contextlib
import itertools
import socket
import unittest

from parameterized import parameterized

from .mesh_fleet import HOST, KEY, ROUTES, Fleet, config, route, until

NUMBERS = itertools.count(1)
PERIOD_S = 0.05
STOP_S = 4.0
LARGE_BYTES = 15_000_000
"""More than what the buffers of a connection hold."""
READ_S = 4.5
"""Time for which the answer is read, shorter than the node's time for stopping."""
CALLED = route("called", "/called/", "shop", public=True, target_latency_ms=300)


class KeptConnection:
    """A connection that is opened before the stop and carries one request during it."""

    def __init__(self):
        self.request_id = f"k{next(NUMBERS)}"
        self.answer = b""

    async def open(self, address):
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    async def ask(self, path, method, key):
        """Send a request and read until the connection is closed."""
        size = "Content-Length: 1\r\n" if method == "POST" else ""
        key_line = f"Authorization: Bearer {key}\r\n" if key else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {self.request_id}\r\n"
            f"X-Deadline-Milliseconds: 5000\r\n{key_line}{size}\r\n"
        )
        with contextlib.suppress(OSError):
            self._writer.write(head.encode() + (b"x" if size else b""))
            self.answer = await self._reader.read()
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    @property
    def status(self):
        return int(self.answer.split()[1]) if self.answer else 0


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """No request that reached a target is cut off, whenever in the stop it came."""

    @parameterized.expand(
        [
            # path, method, key, route's kind of answer from the target
            ("once only", "/book/1", "POST", KEY, "slow"),
            ("repeatable", "/list/1", "GET", KEY, "slow"),
            ("calls", "/called/1", "GET", "", "slow"),
            ("calls that are never answered", "/called/1", "GET", "", "hang"),
        ]
    )
    async def test_a_request_late_in_a_stop_is_cut(self, _, path, method, key, behaviour):
        async with Fleet("shop", "stock", stop_s=STOP_S) as fleet:
            shop, stock = await fleet.serve(config(routes=(*ROUTES, CALLED)), slots=1000)
            announcing = [asyncio.create_task(h.keep_announcing(1000)) for h in (shop, stock)]
            count = int(STOP_S / PERIOD_S)
            kept = [await KeptConnection().open(stock.cfg.outbound) for _number in range(count)]
            # A request that is not answered keeps the node from ending early.
            shop.target.script.extend(["hang", *[behaviour] * count])
            pending = asyncio.create_task(stock.ask(left_ms=60_000))
            await until(lambda: len(shop.target.runs) == 1)

            async def stop():
                await stock.node.drain()
                announcing[1].cancel()
                await stock.node.close()
                # The end of the process closes all connections at once.
                for listener in stock.node._listeners:
                    for conn in list(listener.connections):
                        conn._transport.abort()
                return asyncio.get_running_loop().time()

            loop = asyncio.get_running_loop()
            began = loop.time()
            stopping = asyncio.create_task(stop())
            asking = []
            for conn in kept:
                asking.append(asyncio.create_task(conn.ask(path, method, key)))
                await asyncio.sleep(PERIOD_S)
                if stopping.done():
                    break
            await asyncio.gather(*asking)
            self.assertLessEqual(await stopping - began, STOP_S)
            announcing[0].cancel()
            await asyncio.gather(pending, *announcing, return_exceptions=True)
            ran = {run["x-request-id"] for run in shop.target.runs}
            cut = [conn.request_id for conn in kept if conn.request_id in ran and not conn.answer]
            self.assertEqual([], cut, "cut")
            untrue = [c.request_id for c in kept if c.status == 503 and c.request_id in ran]
            self.assertEqual([], untrue, "not run, but ran")
            if behaviour == "slow":
                broken_off = [c.request_id for c in kept if c.request_id in ran and c.status != 200]
                self.assertEqual([], broken_off, "broken off")

    async def test_a_route_without_an_objective_is_refused_early_in_a_stop(self):
        async with Fleet("shop", "stock") as fleet:
            slow = route("slow", "/slow/", "shop", target_latency_ms=None, timeout_ms=None)
            _shop, stock = await fleet.serve(config(routes=(slow,)))
            draining = asyncio.create_task(stock.node.drain())
            await asyncio.sleep(1.0)
            self.assertEqual(200, (await stock.ask("/slow/1")).status)
            await draining

    async def test_a_request_taken_before_the_stop_gets_no_answer(self):
        async with Fleet("shop", "stock", stop_s=1.0) as fleet:
            shop, stock = await fleet.serve()
            shop.target.script.append("hang")
            pending = asyncio.create_task(stock.ask("/book/1", "POST", body=b"x", left_ms=60_000))
            await until(lambda: len(shop.target.runs) == 1)
            await stock.node.drain()
            await asyncio.wait([pending], timeout=0.2)
            self.assertTrue(pending.done())
            self.assertEqual(504, (await pending).status)

    @parameterized.expand([("of this host", "/inner/1", 0), ("of another", "/called/1", 1)])
    async def test_a_call_late_in_a_stop_is_answered_before_its_target_is(self, _, path, number):
        async with Fleet("stock", "shop", stop_s=STOP_S) as fleet:
            hosts = await fleet.serve(config(routes=(*ROUTES, CALLED)))
            hosts[number].target.script.append("expire")
            draining = asyncio.create_task(hosts[0].node.drain())
            await asyncio.sleep(1.0)
            response = await hosts[0].ask(path, key="", left_ms=60_000)
            self.assertEqual((504, b"expired"), (response.status, response.body))
            await draining

    @parameterized.expand([("repeatable", "/list/1", "GET"), ("once only", "/book/1", "POST")])
    async def test_a_target_is_given_longer_than_its_node_runs(self, _, path, method):
        async with Fleet("shop", "stock", stop_s=2.0) as fleet:
            shop, stock = await fleet.serve()
            draining = asyncio.create_task(shop.node.drain())
            await asyncio.sleep(0)
            await stock.ask(path, method, left_ms=60_000, body=b"x" if method == "POST" else b"")
            for run in shop.target.runs:
                self.assertLess(int(run["x-deadline-milliseconds"]), 1500)
            await draining

    @parameterized.expand([("of this host", 0), ("of another", 1)])
    async def test_an_answer_that_is_still_being_read_is_cut(self, _, number):
        async with Fleet("shop", "stock", stop_s=6.0, memory_mb=300) as fleet:
            shop, _stock = hosts = await fleet.serve()
            shop.target.body = b"x" * LARGE_BYTES
            node = hosts[number].node
            host, _, port = hosts[number].cfg.outbound.rpartition(":")
            conns = []
            for _number in range(2):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
                reader, writer = await asyncio.open_connection(sock=sock, limit=65_536)
                head = (
                    f"GET /list/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: k{next(NUMBERS)}\r\n"
                    f"X-Deadline-Milliseconds: 9000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
                )
                writer.write(head.encode())
                conns.append((reader, writer))
            await until(lambda: node.entry.in_flight == 0 and node._unsent_bytes() > 0)

            async def stop():
                await node.drain()
                # The end of the process discards what it still holds.
                for listener in node._listeners:
                    for conn in list(listener.connections):
                        conn._transport.abort()

            async def read(reader, writer):
                size = 0
                with contextlib.suppress(ConnectionError):
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
                    while size < LARGE_BYTES and (data := await reader.read(LARGE_BYTES // 80)):
                        size += len(data)
                        await asyncio.sleep(READ_S * len(data) / LARGE_BYTES)
                writer.close()
                return size

            stopping = asyncio.create_task(stop())
            sizes = await asyncio.gather(*(read(*conn) for conn in conns))
            self.assertEqual([LARGE_BYTES] * 2, sizes)
            await stopping
