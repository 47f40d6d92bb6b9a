"""Odd data from other writers costs itself: no process, task or connection ends by it.

Entries of the store, check-ins, frames of other nodes, answers of targets and of the store.
"""

import asyncio
import functools
import json
import os
import struct
import time
import unittest
from unittest import mock

import msgspec
from aiohttp import web
from parameterized import parameterized

from beryldrum import logs
from beryldrum.mesh import frames
from beryldrum.mesh import node as node_module
from beryldrum.mesh.frames import Heartbeat, HeartbeatAck, Load, Member, State, TargetStatus
from beryldrum.mesh.lines import LineWriter
from beryldrum.standin.platform import PlatformStandin

from .mesh_fleet import Fleet, call, config, until

MEMBERS_TOPIC = "keyed.beryldrum-nodes"
DEEP_JSON = b"[" * 100_000 + b"]" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000 + b"\xc0"
HUGE = 10**400


def member(address, data_centre="dc0", incarnation=1):
    """Return an entry as a node would write it."""
    return msgspec.msgpack.encode([address, data_centre, incarnation])


ODD_MEMBERS = (
    ("no MessagePack", b"\xc1\xc1"),
    ("empty", b""),
    ("very deep", DEEP_MSGPACK),
    ("very deep in a field that is not known", member("10.9.9.9:1")[:-1] + DEEP_MSGPACK),
    ("very deep in a fourth field", b"\x94" + member("10.9.9.9:1")[1:] + DEEP_MSGPACK),
    ("a port out of range", member("127.0.0.1:99999999")),
    ("a negative port", member("127.0.0.1:-1")),
    ("port 0", member("127.0.0.1:0")),
    ("no port", member("127.0.0.1")),
    ("a port that is no number", member("127.0.0.1:http")),
    ("a port in other digits", member("127.0.0.1:\u0661")),
    ("a name", member("elsewhere.example:80")),
    ("no address", member("")),
    ("a very long address", member("1" * 100_000 + ":1")),
    ("a null byte", member("127.0.0.1\0:80")),
    ("a start too large", member("127.0.0.1:81", "dc0", 2**64 - 1)),
    ("a negative start", member("127.0.0.1:81", "dc0", -(2**63))),
    ("a number for the data centre", msgspec.msgpack.encode(["127.0.0.1:81", 7, 1])),
    ("a map", msgspec.msgpack.encode({"address": "127.0.0.1:81"})),
)


class NoExit:
    """Fails if a task of a node ends the process, or ends at all."""

    def __enter__(self):
        self._raised = mock.patch.object(node_module.signal, "raise_signal")
        self.raise_signal = self._raised.__enter__()
        return self

    def check(self, test, fleet):
        """Check that all nodes still run with all their tasks."""
        test.assertFalse(self.raise_signal.called)
        for host in fleet.hosts:
            test.assertFalse([task for task in host.node._tasks if task.done()])

    def __exit__(self, *exc):
        self._raised.__exit__(*exc)


class StoreEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Entries among those of the nodes, also of a node that starts while they are there."""

    @parameterized.expand(ODD_MEMBERS)
    async def test_an_odd_entry_ends_the_nodes_that_read_it(self, _, value):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                topic = fleet.store.topic(MEMBERS_TOPIC)
                for key in (b"!first", b"127.0.0.1:1", b"zlast"):
                    topic.add(bytes((len(key),)) + key + value, keyed=True)
                shop, stock = await fleet.serve()
                # Members are read again, and by a node that starts.
                born = shop.node.clock.wall_ms()
                await shop.node.close()
                await shop.start()
                await until(lambda: shop.node.configuration.document is not None)
                await shop.announce(sequence=1, born=born)
                await until(lambda: stock.node.directory.serving("shop"))
                for host in (shop, stock):
                    self.assertEqual(200, (await host.ask()).status)
                no_exit.check(self, fleet)
                expected = {shop.cfg.nodes, stock.cfg.nodes}
                known = {*shop.node.directory.peers, shop.cfg.nodes}
                self.assertEqual(expected, known)

    @parameterized.expand(
        [
            ("spaces", "0 %d x"),
            ("separators", "0&topic=x&after=%d"),
            ("line ends", "0\r\n\r\n%d"),
            ("letters beyond ASCII", "0\u00e9\U0001f600%d"),
            ("percent signs", "0%%20%d"),
        ]
    )
    async def test_a_page_that_ends_with_an_odd_key_is_the_last(self, _, pattern):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                topic = fleet.store.topic(MEMBERS_TOPIC)
                for number in range(1200):
                    key = (pattern % number).encode()
                    topic.add(bytes((len(key),)) + key + b"x", keyed=True)
                shop, stock = await fleet.serve()
                registry = await shop.store.registry()
                self.assertEqual(1200, len(registry.unreadable))
                expected = {shop.cfg.nodes, stock.cfg.nodes}
                self.assertEqual(expected, {member.address for member in registry.members})
                self.assertEqual(200, (await stock.ask()).status)
                no_exit.check(self, fleet)

    @parameterized.expand(
        [
            ("very deep", DEEP_JSON),
            ("very deep in a field that is not known", b'{"version": 9, "x": ' + DEEP_JSON + b"}"),
            ("no JSON", b"\xff\xfe"),
            ("empty", b" "),
            ("another type", b"[]"),
            ("a version too large", config(2).replace(b'"version": 2', b'"version": %d' % HUGE)),
            ("a version of 70 bits", config(2).replace(b'"version": 2', b'"version": %d' % 2**70)),
            ("a version that is no number", config(2).replace(b'"version": 2', b'"version": "2"')),
            (
                "a priority too large",
                config(2).replace(b'"priority"', b'"priority"').replace(b" 2, ", b" %d, " % HUGE),
            ),
        ]
    )
    async def test_an_odd_configuration_ends_the_nodes_that_read_it(self, _, text):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                fleet.store.publish(text)
                await asyncio.sleep(0.3)
                self.assertEqual(200, (await stock.ask()).status)
                self.assertEqual(1, stock.node.configuration.version)
                # A node that starts while it is there gets the last one from another.
                born = shop.node.clock.wall_ms()
                await shop.node.close()
                await shop.start()
                await until(lambda: shop.node.directory.peers)
                await asyncio.sleep(0.3)
                fleet.store.publish(config(version=5))
                for host in (shop, stock):
                    await until(lambda host=host: host.node.configuration.version == 5)
                await shop.announce(sequence=1, born=born)
                await until(lambda: stock.node.directory.serving("shop"))
                self.assertEqual(200, (await stock.ask()).status)
                no_exit.check(self, fleet)


class OddStore(PlatformStandin):
    """Gives the bodies in ``odd``, by path, instead of its own answers."""

    def __init__(self):
        super().__init__()
        self.odd = {}

    async def _apply_faults(self):
        await super()._apply_faults()

    def app(self):
        app = super().app()

        @web.middleware
        async def spoil(req, handler):
            body = self.odd.get(req.path)
            if body is not None:
                await asyncio.sleep(0.02)
                return web.Response(body=body)
            return await handler(req)

        app.middlewares.append(spoil)
        return app


def page(value):
    """Return a page of newest records with one item."""
    return json.dumps({"items": [value], "has_more": False, "end_offset": 1}).encode()


class StoreAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the store that are no answers; the next sound ones count."""

    @parameterized.expand(
        [
            ("no page", "/log-newest", b"\xff"),
            ("a very deep page", "/log-newest", DEEP_JSON),
            ("a page that is very deep in a field", "/log-newest", b'{"x":' + DEEP_JSON + b"}"),
            ("a value in no base64", "/log-newest", page({"key": "config", "value": "\u00e9!"})),
            ("a value of another type", "/log-newest", page({"key": "config", "value": 7})),
            (
                "always one more page",
                "/log-newest",
                b'{"items":[{"key":"z","value":"eA=="}],"has_more":true,"end_offset":1}',
            ),
            (
                "an offset too large",
                "/log-newest",
                b'{"items":[],"has_more":false,"end_offset":%d}' % HUGE,
            ),
            ("a read without its offsets", "/log-read", b""),
            ("a read cut in its offsets", "/log-read", bytes(11)),
            ("a read cut in a length", "/log-read", bytes(18)),
            ("a record longer than the read", "/log-read", bytes(16) + b"\xff\xff\xff\xff\x01x"),
            (
                "a configuration in no UTF-8",
                "/log-read",
                struct.pack(">QQI", 9, 0, 9) + b"\x06config\xff\xff",
            ),
            ("an append without an answer", "/log-append", b""),
        ]
    )
    async def test_an_odd_answer_of_the_store_ends_the_node(self, _, path, body):
        with NoExit() as no_exit:
            fleet = Fleet("shop", "stock")
            fleet.store = OddStore()
            async with fleet:
                shop, stock = await fleet.serve()
                fleet.store.odd = {path: body}
                # The nodes that start while it lasts, and the one that goes on.
                born = shop.node.clock.wall_ms()
                await shop.node.close()
                await shop.start()
                await asyncio.sleep(1.0)
                no_exit.check(self, fleet)
                fleet.store.odd = {}
                fleet.store.publish(config(version=5))
                for host in (shop, stock):
                    await until(lambda host=host: host.node.configuration.version == 5)
                await until(lambda: shop.node.target.departures_known)
                await shop.announce(sequence=1, born=born)
                await until(lambda: stock.node.directory.serving("shop"))
                self.assertEqual(200, (await stock.ask()).status)
                no_exit.check(self, fleet)


class CheckInsTest(unittest.IsolatedAsyncioTestCase):
    """Check-ins that no sound target sends; what it has said itself stays in force."""

    @parameterized.expand(
        [
            ("very deep", DEEP_JSON),
            ("very deep in a field", {"extra": "@deep"}),
            ("a number of slots too large", {"information": {"slots": HUGE}}),
            ("slots of 70 bits", {"information": {"slots": 2**70}}),
            ("no slots", {"information": {"slots": 0}}),
            ("slots below 0", {"information": {"slots": -5}}),
            ("slots that are no number", {"information": {"slots": "4"}}),
            ("a sequence too large", {"status": {"sequence": HUGE}}),
            ("a sequence of 64 bits", {"status": {"sequence": 2**64 - 1}}),
            ("a sequence below 0", {"status": {"sequence": -1}}),
            ("a start too large", {"born": HUGE}),
            ("a start of 70 bits", {"born": 2**70}),
            ("a start in the far future", {"born": 2**50}),
            ("a start below 0", {"born": -1}),
            ("a start with a fraction", {"born": 1.5}),
            ("a cold time too large", {"status": {"cold_remaining_ms": HUGE}}),
            ("a state not named", {"status": {"state": "resting"}}),
            ("a service not named", {"information": {"service": "elsewhere"}}),
            ("a service of another type", {"information": {"service": ["shop"]}}),
            ("no service", {"information": {"service": ""}}),
            ("an address of another", {"address": "127.0.0.1:1"}),
            ("a port out of range", {"address": "127.0.0.1:99999999"}),
            ("no information", {"information": None}),
        ]
    )
    async def test_an_odd_check_in_takes_a_sound_target_out(self, _, changes):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                born = shop.node.target.announcements.current.born_ms
                for target_id in (shop.target.target_id, "i-other"):
                    path = f"/rpc?call=instances.heartbeat&of={target_id}"
                    body = self.body(shop, born, changes)
                    answer = await call(shop.cfg.control, "POST", path, body=body)
                    self.assertEqual(400, answer.status)
                await asyncio.sleep(0.8)
                self.assertEqual(shop.target.target_id, shop.node.target._target.target_id)
                for host in (shop, stock):
                    self.assertEqual(200, (await host.ask()).status)
                self.assertEqual(200, await shop.announce(sequence=2, born=born, slots=9))
                self.assertEqual(9, shop.node.target._target.slots)
                no_exit.check(self, fleet)

    @staticmethod
    def body(host, born, changes):
        """Return a check-in of a host's target with changes."""
        if isinstance(changes, bytes):
            return changes
        beat = {
            "address": host.cfg.target,
            "information": {"service": "shop", "zone": "dc0", "slots": 4},
            "status": {"state": "ready", "sequence": 7, "cold_remaining_ms": 0},
            "born": born,
        }
        for name, value in changes.items():
            beat[name] = beat[name] | value if isinstance(value, dict) else value
        return json.dumps(beat).encode().replace(b'"@deep"', DEEP_JSON)

    @parameterized.expand(
        [
            ("very deep", DEEP_JSON, 200),
            ("a start too large", b'{"born":%d}' % HUGE, 200),
            ("a start of 70 bits", b'{"born":%d}' % 2**70, 200),
        ]
    )
    async def test_an_odd_deregistration_ends_the_node(self, _, body, status):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                # A target that is not known here leaves.
                path = "/rpc?call=instances.deregister&of=i-9"
                answer = await call(shop.cfg.control, "POST", path, body=body)
                self.assertEqual(status, answer.status)
                self.assertEqual(200, (await stock.ask()).status)
                await asyncio.sleep(0.5)
                no_exit.check(self, fleet)


class FramesTest(unittest.IsolatedAsyncioTestCase):
    """Frames that no sound node sends, on a connection that goes on."""

    @parameterized.expand(
        [
            ("no MessagePack", b"\xc1"),
            ("empty", b""),
            ("very deep", DEEP_MSGPACK),
            ("very deep behind a known message", b"\x93\x08\x01" + DEEP_MSGPACK),
            ("a message not known", msgspec.msgpack.encode([99, 1])),
            ("another type", msgspec.msgpack.encode([4, "x"])),
            ("a port out of range", Heartbeat(1, Member("127.0.0.1:99999999", "dc0", 1))),
            ("a start too large", Heartbeat(1, Member("127.0.0.1:81", "dc0", 2**64 - 1))),
            ("a limit that is no number", Heartbeat(1, None, False, TargetStatus(1, "nan", False))),
            ("a limit below 0", Heartbeat(1, None, False, TargetStatus(1, -1.0, False))),
        ]
    )
    async def test_an_odd_frame_ends_its_connection(self, _, message):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                host, _, port = shop.cfg.nodes.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                body = message if isinstance(message, bytes) else frames.encode(message)[4:]
                writer.write(struct.pack(">I", len(body)) + body + frames.encode(Heartbeat(77)))
                async with asyncio.timeout(5.0):
                    while True:
                        (length,) = struct.unpack(">I", await reader.readexactly(4))
                        answer = frames.decode(await reader.readexactly(length))
                        if isinstance(answer, HeartbeatAck) and answer.sequence == 77:
                            break
                writer.close()
                self.assertEqual(200, (await stock.ask()).status)
                self.assertEqual({stock.cfg.nodes}, set(shop.node.directory.peers))
                no_exit.check(self, fleet)

    @parameterized.expand(
        [
            ("no number", {"run_ms": float("nan"), "full": float("nan")}),
            ("without end", {"run_ms": float("inf"), "full": float("inf")}),
            ("below 0", {"busy": -(2**63), "limit": -5, "full": -1.0}),
            ("too large", {"busy": 2**64 - 1, "limit": 2**64 - 1, "queued": 2**64 - 1}),
        ]
    )
    async def test_an_odd_load_of_a_sound_node_counts(self, _, load):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                own, peer = shop.node.member, stock.node.directory.peers[shop.cfg.nodes]
                limit = peer.load.limit
                odd = State(own, Load("shop", **{"limit": 4} | load), 1, 5, {}, {})
                host, _, port = stock.cfg.nodes.rpartition(":")
                _reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(frames.encode(odd))
                await asyncio.sleep(0.05)
                self.assertEqual(limit, peer.load.limit)
                self.assertLess(peer.load.full, 1.0)
                self.assertEqual(200, (await stock.ask()).status)
                writer.close()
                no_exit.check(self, fleet)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Header values in answers and requests that nobody can use."""

    @parameterized.expand(
        [
            ("a time of 400 digits", f"Keep-Alive: timeout={HUGE}"),
            ("a time of 5,000 digits", "Keep-Alive: timeout=" + "9" * 5_000),
            ("a time below 0", "Keep-Alive: timeout=-5"),
            ("a limit of 400 digits", f"Server-Limit: {HUGE}"),
            ("a limit of 5,000 digits", "Server-Limit: " + "9" * 5_000),
            ("a limit that is long text", "Server-Limit: " + "x" * 9_000),
            ("bytes that are no text", "X-Odd: \u00ff\u00fe"),
            ("leaving in other digits", "Server-Leaving: \u0661"),
        ]
    )
    async def test_an_answer_with_an_odd_header_is_lost(self, _, line):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                shop.target.notices = line + "\r\n"
                for path, method in (("/list/1", "GET"), ("/book/1", "POST")) * 2:
                    answer = await stock.ask(path, method, body=b"x" if method == "POST" else b"")
                    self.assertEqual((200, b"done"), (answer.status, answer.body))
                self.assertEqual(4, len(shop.target.runs))
                await asyncio.sleep(0.5)
                no_exit.check(self, fleet)

    @parameterized.expand([("400 digits", 400), ("5,000 digits", 5_000), ("20 digits", 20)])
    async def test_a_deadline_of_many_digits_is_answered_500(self, _, digits):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            answer = await stock.ask(**{"X-Deadline-Milliseconds": "9" * digits})
            self.assertEqual(200, answer.status)
            # The route's timeout bounds it.
            left_ms = int(shop.target.runs[0]["x-deadline-milliseconds"])
            self.assertLessEqual(left_ms, 5_000)


class TasksTest(unittest.IsolatedAsyncioTestCase):
    """The long tasks of a node go on after an error that nobody expected."""

    async def test_an_unexpected_error_ends_a_task(self):
        with NoExit() as no_exit:
            async with Fleet("shop", "stock") as fleet:
                shop, stock = await fleet.serve()
                calls = []

                def fail(*_args, **_more):
                    calls.append(time.monotonic())
                    raise ZeroDivisionError

                with (
                    mock.patch.object(shop.node.quotas, "tick", fail),
                    mock.patch.object(shop.store, "watch", fail),
                    mock.patch.object(shop.store, "configuration", fail),
                    mock.patch.object(shop.store, "registry", fail),
                    mock.patch.object(shop.node, "_send_heartbeats", fail),
                    mock.patch.object(shop.node.explainer, "flush", fail),
                ):
                    await until(lambda: len(calls) > 10)
                self.assertEqual(200, (await stock.ask()).status)
                fleet.store.publish(config(version=5))
                await until(lambda: shop.node.configuration.version == 5)
                no_exit.check(self, fleet)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A connection to another node is kept after an error that nobody expected."""

    async def test_an_unexpected_error_ends_a_link(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            peer = stock.node.directory.peers[shop.cfg.nodes]
            with mock.patch.object(stock.node, "_on_disconnect", side_effect=ZeroDivisionError):
                stock.node._links[shop.cfg.nodes].abort()
                await until(lambda: not stock.node._links[shop.cfg.nodes].open)
                await asyncio.sleep(0.1)
            await until(lambda: peer.connected and stock.node._links[shop.cfg.nodes].open)
            self.assertEqual(200, (await stock.ask()).status)


class LogTest(unittest.TestCase):
    """Lines of the log about odd values, and a log that nobody reads any more."""

    @parameterized.expand(
        [
            ("a large number", HUGE),
            ("70 bits", 2**70),
            ("very deep", functools.reduce(lambda value, _: [value], range(100_000), 1)),
            ("half a surrogate pair", "\ud800"),
            ("a set of a list", {1, 2}),
            ("bytes that are no text", b"\xff"),
        ]
    )
    def test_an_odd_value_ends_the_log(self, _, value):
        line = logs._to_json({"event": "target", "value": value, "other": 1})
        self.assertIn("target", json.loads(line)["event"])

    def test_a_reader_that_has_gone_ends_the_log(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        self.addCleanup(os.close, write_end)
        lines = LineWriter(write_end)
        lines.write("one\ntwo\n")
        lines.emit()
        lines.emit()
        self.assertEqual(2, lines.dropped)
