"""Limits on what clients make a node hold, without a network."""

import asyncio
import gc
import time
import unittest
import weakref
from unittest import mock

from parameterized import parameterized

from beryldrum.clock import ManualClock
from beryldrum.mesh.document import Limits
from beryldrum.mesh.http import HttpResponse, HttpService, MemoryBudget
from beryldrum.mesh.http_connection import ServerConnection
from beryldrum.mesh.memory import ShortageLog
from beryldrum.mesh.shedding import Client, Clients, Standing

from .mesh_fleet import Fleet, until

HEADER_BYTES = 1_000
POST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Service(HttpService):
    """Answers each request at once."""

    def limits(self):
        return Limits(header_bytes=HEADER_BYTES)

    async def handle(self, http_request):
        return HttpResponse(200)


class HeadLimitTest(unittest.IsolatedAsyncioTestCase):
    """A head counts while its parts are not complete."""

    def setUp(self):
        self.written = []
        transport = mock.Mock(
            spec=asyncio.Transport, write=self.written.append, is_closing=lambda: False
        )
        transport.is_closing.return_value = False
        self.conn = ServerConnection(_Service(), MemoryBudget(10_000_000), Clients())
        self.conn.connection_made(transport)

    async def status_after(self, *pieces):
        for piece in pieces:
            self.conn.data_received(piece)
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        return int(self.written[-1].split()[1]) if self.written else 0

    @parameterized.expand(
        [
            ("a header", b"GET / HTTP/1.1\r\nA: ", b"x"),
            ("a header name", b"GET / HTTP/1.1\r\nA", b"x"),
            ("empty lines", b"", b"\r\n"),
            ("empty lines behind a request", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"\r\n"),
            ("a trailer", POST + b"1\r\na\r\n0\r\nA: ", b"x"),
            ("the parameters of a chunk", POST + b"1;", b"x"),
        ]
    )
    async def test_what_has_no_end_is_read_on(self, _, first, piece):
        pieces = [piece * (100 // len(piece))] * 30
        self.assertEqual(431, await self.status_after(first, *pieces))

    async def test_a_head_just_inside_the_limit_is_refused(self):
        first = b"GET / HTTP/1.1\r\nA: "
        rest = b"x" * (HEADER_BYTES - 10) + b"\r\n\r\n"
        pieces = [rest[start : start + 100] for start in range(0, len(rest), 100)]
        self.assertEqual(200, await self.status_after(first, *pieces))

    async def test_a_lost_connection_stays_in_memory_until_the_collector_runs(self):
        await self.status_after(b"GET / HTTP/1.1\r\nA: " + b"x" * 900)
        gc.disable()
        self.addCleanup(gc.enable)
        gone = weakref.ref(self.conn)
        self.conn.connection_lost(None)
        del self.conn
        self.assertIsNone(gone())

    async def test_a_long_body_counts_as_a_head(self):
        pieces = [b"64\r\n" + b"x" * 100 + b"\r\n"] * 100
        self.assertEqual(200, await self.status_after(POST, *pieces, b"0\r\n\r\n"))


class _Client(Client):
    """A client with a fixed standing."""

    def __init__(self, name, held=50_000, stalled_s=0.0, kept=0.0, idle=None):
        self.name, self._idle = name, idle
        self._standing = Standing(held, stalled_s, kept) if held else None
        self.given_up = False

    def standing(self, now):
        return None if self.given_up else self._standing

    def shed(self):
        self.given_up = True

    evict = shed

    def idle_since(self):
        return self._idle


def clients(*members, limit=None):
    """Return the clients of a listener."""
    group = Clients(limit, clock=lambda: 100.0)
    for member in members:
        group.add(member)
    return group


class SheddingTest(unittest.TestCase):
    """The order in which clients are given up, and how many."""

    @parameterized.expand(
        [
            ("one that progresses before a stalled one", 10_000, "", "stalled longer"),
            ("the one that stalled last first", 60_000, "", "stalled longer"),
            ("one that has sent more first", 2_050_000, "", "stalled longer half"),
            ("more than is needed", 60_000, "most", "stalled longer"),
            ("the one on whose behalf it is", 2_050_000, "half", "stalled longer"),
        ]
    )
    def test_the_wrong_client_is_given_up(self, _, size, requester, given_up):
        members = [
            _Client("most", kept=0.9),
            _Client("half", kept=0.5),
            _Client("stalled", held=2_000_000, stalled_s=2.0, kept=0.999),
            _Client("longer", held=20_000, stalled_s=9.0, kept=0.9),
            _Client("small", held=500, stalled_s=9.0),
        ]
        by_name = {member.name: member for member in members}
        clients(*members).shed(size, by_name.get(requester))
        self.assertEqual(
            set(given_up.split()), {member.name for member in members if member.given_up}
        )

    def test_connections_that_are_in_use_are_closed_for_new_ones(self):
        busy = _Client("busy")
        unused = [_Client(f"unused {n}", idle=(False, 50.0 + n)) for n in range(3)]
        late = _Client("late", idle=(False, 60.0))
        used = _Client("used", idle=(True, 1.0))
        group = clients(used, busy, late, *unused, limit=6)
        expected = [*unused, late, used]
        for number, client in enumerate(expected):
            self.assertTrue(group.add(_Client(f"new {number}")))
            # Those that never sent a request go first, of them the one idle longest.
            self.assertEqual(
                [True] * (number + 1) + [False] * (len(expected) - number),
                [member.given_up for member in (*expected, busy)],
                client.name,
            )
        self.assertFalse(group.add(_Client("one too many")))
        self.assertEqual(6, len(group))


class _Transport(asyncio.Transport):
    """Takes ``room`` bytes of what is written."""

    def __init__(self, conn, room=0):
        super().__init__()
        self.conn, self.room, self.unsent = conn, room, 0
        self.aborted = self.closing = False

    def write(self, data):
        self.unsent += len(data)
        if self.unsent > self.room:
            self.conn.pause_writing()

    def get_write_buffer_size(self):
        return self.unsent

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def is_closing(self):
        return self.closing or self.aborted

    def abort(self):
        self.aborted = True

    def close(self):
        self.closing = True


class HeldMemoryTest(unittest.IsolatedAsyncioTestCase):
    """What a connection holds counts, and is released when it is gone."""

    def setUp(self):
        # Room for two responses; two have to go for a third, as the others hold a bit less.
        self.memory, self.clients = MemoryBudget(100_000), Clients()
        self.memory.on_shortage = self.clients.shed
        self.body = b"y" * 40_000
        self.service = mock.Mock(spec=HttpService, handle=self.handle)
        self.service.configure_mock(
            limits=lambda: Limits(),
            may_run_ahead=lambda _: False,
            closing=lambda: False,
            singleton_headers=frozenset(),
        )
        self.handled = 0

    async def handle(self, _):
        self.handled += 1
        return HttpResponse(200, b"", self.body)

    async def connect(self, data=b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"):
        conn = ServerConnection(self.service, self.memory, self.clients)
        transport = _Transport(conn)
        conn.connection_made(transport)
        conn.data_received(data)
        await asyncio.sleep(0.01)
        return conn, transport

    async def test_responses_that_are_not_read_do_not_count(self):
        conn, transport = await self.connect()
        self.assertGreater(self.memory.reserved, 40_000)
        transport.unsent = 0
        conn.resume_writing()
        self.assertLess(self.memory.reserved, 10_000)
        conn.connection_lost(None)
        self.assertEqual(0, self.memory.reserved)

    async def test_requests_run_while_their_responses_are_not_read(self):
        conn, transport = await self.connect(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 5)
        self.assertEqual(1, self.handled)
        transport.unsent = 0
        conn.resume_writing()
        await asyncio.sleep(0.01)
        self.assertEqual(2, self.handled)

    async def test_more_responses_are_held_than_there_is_memory(self):
        connected = [await self.connect() for _ in range(5)]
        self.assertEqual(4, sum(transport.aborted for _, transport in connected))
        self.assertLess(self.memory.reserved, 100_000)
        for conn, _ in connected:
            conn.connection_lost(None)
        self.assertEqual(0, self.memory.reserved)

    async def test_a_client_that_never_reads_is_kept(self):
        conn, transport = await self.connect()
        conn.sweep(time.monotonic() + 10.0)
        self.assertFalse(transport.aborted)
        conn.sweep(time.monotonic() + 17.0)
        self.assertTrue(transport.aborted)

    async def test_an_evicted_connection_waits_for_its_client(self):
        self.body = b""
        conn, transport = await self.connect()
        transport.unsent = 0
        conn.resume_writing()
        # A few bytes, fewer than those that pause the writes.
        transport.unsent = 100
        conn.evict()
        self.assertTrue(transport.aborted)
        conn.connection_lost(None)
        self.assertEqual(0, self.memory.reserved)

    async def test_a_body_that_stops_short_keeps_ordinary_requests_out(self):
        self.body = b""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 80000\r\n\r\n"
        _, stalled = await self.connect(head + b"b" * 79_000)
        _, ordinary = await self.connect(b"POST / HTTP/1.1\r\nContent-Length: 30000\r\n\r\n")
        self.clients._clock = lambda: time.monotonic() + 2.0
        ordinary.conn.data_received(b"b" * 30_000)
        await asyncio.sleep(0.01)
        self.assertTrue(stalled.is_closing())
        self.assertEqual((1, False), (self.handled, ordinary.is_closing()))


class NodeMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Real nodes: a body for which the target's node has no memory is refused as not run."""

    async def test_a_run_is_accepted_without_memory_for_it(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            shop.node.memory.charge(shop.node.memory.limit - shop.node.memory.reserved - 10_000)
            before = shop.node.memory.reserved
            for size, status in ((8_000, 503), (600_000, 503), (1, 200)):
                response = await stock.ask("/book/1", "POST", body=b"x" * size)
                self.assertEqual(status, response.status, size)
                if status == 503:
                    self.assertIn(b"out-of-memory", response.body)
            self.assertEqual(1, len(shop.target.runs))
            self.assertIn("beryldrum_runs_without_memory_total 2\n", shop.node.metrics.text())
            await until(lambda: shop.node.memory.reserved == before)


class ShortageLogTest(unittest.TestCase):
    """A flood of clients costs one line a second."""

    def test_lines_are_repeated_or_left_out(self):
        clock, explainer, memory = ManualClock(), mock.Mock(), MemoryBudget(1_000)
        log = ShortageLog(clock, explainer, memory)
        log.tick()
        explainer.event.assert_not_called()
        for _ in range(8):
            log.runs_refused += 1
            log.tick()
            clock.advance(0.25)
        log.tick()
        counts = [call.kwargs["runs_refused"] for call in explainer.event.call_args_list]
        self.assertEqual([1, 4, 3], counts)
