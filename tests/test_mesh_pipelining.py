"""Pipelined requests: run together if they may run twice, answered in their order."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized

from beryldrum.mesh import http_connection
from beryldrum.mesh.http import HttpRequest, HttpResponse, HttpService, MemoryBudget
from beryldrum.mesh.http_connection import ServerConnection
from beryldrum.mesh.shedding import Clients

from .mesh_fleet import HOST, KEY, Fleet, until


def message(name, body=b""):
    """Return a request; one whose name begins with ``s`` may run ahead."""
    return b"GET /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (name, len(body), body)


class _Service(HttpService):
    """Answers a request with its name when ``end`` is called for it."""

    def __init__(self):
        self.running, self.started, self.cancelled = {}, [], []
        self.stops = False

    def may_run_ahead(self, http_request):
        return http_request.target.startswith("/s")

    def closing(self):
        return self.stops

    async def handle(self, http_request):
        name = http_request.target[1:]
        fut = self.running[name] = asyncio.get_running_loop().create_future()
        self.started.append(name)
        try:
            return await fut
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    def end(self, name, **more):
        self.running.pop(name).set_result(HttpResponse(200, b"", name.encode(), **more))


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """One connection without a network."""

    def setUp(self):
        self.service, self.memory = _Service(), MemoryBudget(1_000_000)
        self.written = []
        self.transport = mock.Mock(
            spec=asyncio.Transport, write=self.written.append, is_closing=lambda: False
        )
        self.transport.is_closing.return_value = False
        clients = Clients()
        self.memory.on_shortage = clients.shed
        self.conn = ServerConnection(self.service, self.memory, clients)
        self.conn.connection_made(self.transport)
        self.idle_bytes = self.memory.reserved

    async def send(self, *names, body=b""):
        self.conn.data_received(b"".join(message(name.encode(), body) for name in names))
        await self.settle()

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def end(self, *names, **more):
        for name in names:
            self.service.end(name, **more)
            await self.settle()

    def answers(self):
        """Return the names of the answers written so far."""
        return [part.rpartition(b"\r\n\r\n")[2].decode() for part in self.written]

    @parameterized.expand(
        [
            ("all may run twice", "s1 s2 s3", "s1 s2 s3"),
            ("one that may run once behind others", "s1 s2 x3 s4", "s1 s2"),
            ("one that may run once comes first", "x1 s2 s3", "x1"),
        ]
    )
    async def test_what_starts_before_an_answer(self, _, sent, started):
        await self.send(*sent.split())
        self.assertEqual(started.split(), self.service.started)

    async def test_a_request_that_may_run_once_waits_for_all_answers_before_it(self):
        await self.send("s1", "s2", "x3", "s4")
        await self.end("s2")
        self.assertNotIn("x3", self.service.started)
        await self.end("s1")
        self.assertEqual(["s1", "s2", "x3"], self.service.started)
        await self.end("x3")
        self.assertEqual("s4", self.service.started[-1])

    async def test_answers_keep_the_order_of_their_requests(self):
        await self.send("s1", "s2", "s3")
        await self.end("s3", "s2")
        self.assertEqual([], self.written)
        await self.end("s1")
        self.assertEqual(["s1", "s2", "s3"], self.answers())

    async def test_more_than_the_bound_run_at_once(self):
        names = [f"s{number}" for number in range(40)]
        with mock.patch.object(http_connection, "MAX_CONCURRENT", 4):
            await self.send(*names)
            self.assertEqual(names[:4], self.service.started)
            self.transport.pause_reading.assert_called()
            await self.end("s1")
            # Its answer is held back, so that nothing takes its place.
            self.assertEqual(names[:4], self.service.started)
            await self.end("s0")
            self.assertEqual(names[:6], self.service.started)
            for name in names[2:]:
                await self.end(name)
        self.assertEqual(names, self.answers())
        self.transport.resume_reading.assert_called()

    async def test_requests_behind_an_answer_that_closes_run_or_are_answered(self):
        await self.send("s1", "s2", "s3", "x4")
        await self.end("s2")
        await self.end("s1", close=True)
        self.assertEqual(["s1"], self.answers())
        self.assertIn(b"Connection: close", self.written[0])
        self.assertEqual(["s3"], self.service.cancelled)
        self.assertNotIn("x4", self.service.started)
        self.transport.close.assert_called_once()
        self.assertEqual(self.idle_bytes, self.memory.reserved)

    async def test_a_stop_loses_requests_that_have_been_passed_on(self):
        await self.send("s1", "s2", "x3")
        self.service.stops = True
        await self.send("s4")
        await self.end("s1", "s2")
        self.assertEqual(["s1", "s2"], self.answers())
        self.assertNotIn(b"Connection: close", self.written[0])
        self.assertIn(b"Connection: close", self.written[1])
        self.assertEqual((["s1", "s2"], []), (self.service.started, self.service.cancelled))

    async def test_a_refusal_loses_the_requests_before_it(self):
        await self.send("s1", "s2")
        self.conn.data_received(b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000 + b"\r\n\r\n")
        await self.end("s2", "s1")
        self.assertEqual(["s1", "s2"], self.answers()[:2])
        self.assertIn(b" 431 ", self.written[2])

    async def test_requests_go_on_after_the_client_has_closed(self):
        await self.send("s1", "s2", "s3")
        await self.end("s2")
        self.conn.connection_lost(None)
        await self.settle()
        self.assertEqual(["s1", "s3"], self.service.cancelled)
        self.assertEqual(0, self.memory.reserved)

    async def test_answers_that_are_held_back_are_not_counted(self):
        await self.send("s1", "s2", body=b"b" * 5_000)
        self.service.running.pop("s2").set_result(HttpResponse(200, b"", b"a" * 30_000))
        before = self.memory.reserved
        await self.settle()
        # The body of its request is no longer held.
        self.assertLess(before + 15_000, self.memory.reserved)
        self.assertLess(self.memory.reserved, before + 20_000)
        await self.end("s1")
        self.assertEqual(self.idle_bytes, self.memory.reserved)

    async def test_answers_that_are_held_back_take_more_than_there_is(self):
        await self.send("s1", "s2", "s3")
        self.service.running.pop("s3").set_result(HttpResponse(200, b"", b"a" * 900_000))
        await self.settle()
        self.transport.abort.assert_not_called()
        self.service.running.pop("s2").set_result(HttpResponse(200, b"", b"a" * 900_000))
        await self.settle()
        self.transport.abort.assert_called_once()
        self.assertEqual(["s1"], self.service.cancelled)
        self.assertEqual(self.idle_bytes, self.memory.reserved)

    async def test_requests_run_ahead_when_memory_is_scarce(self):
        self.memory.charge(600_000)
        await self.send("s1", "s2")
        self.assertEqual(["s1"], self.service.started)

    async def test_a_head_request_whose_answer_is_held_back_gets_a_body(self):
        self.conn.data_received(message(b"s1") + message(b"s2").replace(b"GET", b"HEAD"))
        await self.settle()
        await self.end("s2", "s1")
        self.assertTrue(self.written[1].endswith(b"Content-Length: 2\r\n\r\n"))


class EntryTest(unittest.IsolatedAsyncioTestCase):
    """Real nodes: the route decides which requests run ahead."""

    async def test_a_route_whose_requests_may_run_once_runs_ahead(self):
        async with Fleet("shop") as fleet:
            (host,) = await fleet.serve()
            ahead = {
                path: host.node.entry.may_run_ahead(
                    HttpRequest(
                        "GET", path, {b"host": HOST.encode(), b"x-request-id": b"r"}, [], b""
                    )
                )
                for path in ("/list/1", "/book/1", "/none/1")
            }
        self.assertEqual({"/list/1": True, "/book/1": False, "/none/1": False}, ahead)

    async def test_pipelined_requests_run_one_after_another(self):
        async with Fleet("shop") as fleet:
            (host,) = await fleet.serve()
            host.target.script.append("hang")
            address, _, port = host.cfg.outbound.rpartition(":")
            reader, writer = await asyncio.open_connection(address, int(port))
            head = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: pipe-"
            data = "".join(f"GET /list/1 HTTP/1.1\r\n{head}{n}\r\n\r\n" for n in range(3))
            writer.write(data.encode())
            await until(lambda: len(host.target.runs) == 3)
            # None is answered before the first one, which hangs until its client has left.
            self.assertEqual(b"", bytes(reader._buffer))
            writer.close()
            await until(lambda: host.target.disconnects == 1)
