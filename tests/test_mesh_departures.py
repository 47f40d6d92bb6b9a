"""A target that has left stays out of use, also after all nodes were killed at once."""

import asyncio
import time
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized
from testtools import TestCase

from beryldrum import request
from beryldrum.clock import ManualClock
from beryldrum.errors import LogDownError
from beryldrum.mesh.frames import Run
from beryldrum.mesh.local_target import UNCONFIRMED_S, LocalTarget
from beryldrum.mesh.store import Departures
from beryldrum.mesh.target import DRAINING, READY, Announcement, AnnouncementTracker
from beryldrum.platform.store import PlatformStore
from beryldrum.standin.platform import StoreFaults

from .mesh_fleet import Fleet, call, until

BEAT = Announcement("i-1", "shop", "127.0.0.1:1", "dc0", 4, READY, 1, 0.0, 100)
DEREGISTER = "/rpc?call=instances.deregister&of="
MEMBERS_TOPIC = "keyed.beryldrum-nodes"


async def leave(host, how, born):
    """Let the target of a host leave; returns the status of the answer."""
    if how == "draining":
        return (await host.announce(sequence=5, state="draining", born=born)) or 0
    body = b"" if how == "gone" else b'{"born":%d}' % born
    target_id = host.target.target_id
    return (await call(host.cfg.control, "POST", DEREGISTER + target_id, body=body)).status


async def kill_all(fleet):
    """End all nodes without a word, as a kill does."""
    for host in fleet.hosts:
        await host.node.close()
    await asyncio.sleep(0.05)


async def start_all(fleet):
    """Start all nodes again and wait until they have their configuration."""
    for host in fleet.hosts:
        await host.start()
    for host in fleet.hosts:
        await until(lambda host=host: host.node.configuration.document is not None)


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    """Several ways of leaving, and what comes late."""

    @parameterized.expand(
        [
            ("it reports that it drains", "draining"),
            ("it deregisters", "gone"),
            ("it deregisters, with its start", "gone, with start"),
        ]
    )
    async def test_a_target_that_left_is_used_again_after_all_nodes_were_killed(self, _, how):
        async with Fleet("shop", "stock", "shop") as fleet:
            one, stock, other = await fleet.serve()
            born = one.node.target.announcements.current.born_ms
            self.assertEqual(200, await leave(one, how, born))
            await kill_all(fleet)
            await start_all(fleet)
            # A heartbeat that was under way, and one that came while the node was starting.
            await one.announce(sequence=3, born=born)
            await one.announce(sequence=4, born=born)
            await other.announce(sequence=9, born=other.node.clock.wall_ms())
            for host in (one, stock):
                await until(lambda host=host: host.node.directory.serving("shop"))
            before = len(one.target.arrivals)
            for host in fleet.hosts:
                self.assertEqual(200, (await host.ask()).status)
            self.assertEqual(0, len(one.target.arrivals) - before)
            # Its successor, under the same id, is in use at once.
            await one.announce(sequence=1, born=time.time_ns() // 1_000_000 + 5_000)
            await until(lambda: len(stock.node.directory.serving("shop")) == 2)

    async def test_a_target_that_left_before_its_node_knew_it_comes_back(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            born = shop.node.target.announcements.current.born_ms
            await kill_all(fleet)
            await start_all(fleet)
            self.assertEqual(200, await leave(shop, "gone", born))
            await kill_all(fleet)
            await start_all(fleet)
            await shop.announce(sequence=8, born=born)
            self.assertEqual(503, (await stock.ask()).status)

    @parameterized.expand([("down", StoreFaults(down=True)), ("silent", StoreFaults(silent=True))])
    async def test_a_leaving_that_could_not_be_recorded_is_confirmed(self, _, faults):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            born = shop.node.target.announcements.current.born_ms
            fleet.store.faults = faults
            began = time.monotonic()
            self.assertEqual(503, await leave(shop, "draining", born))
            self.assertLess(time.monotonic() - began, 1.0)
            # It takes effect all the same.
            self.assertEqual(503, (await stock.ask()).status)
            # What is not about leaving is confirmed.
            self.assertEqual(200, await shop.announce(sequence=6, born=born))
            fleet.store.faults = StoreFaults()
            await until(lambda: shop.node.departures.complete)
            self.assertEqual(200, await shop.announce(sequence=7, state="draining", born=born))

    async def test_each_leaving_costs_one_call(self):
        async with Fleet("shop", "stock") as fleet:
            shop, _stock = await fleet.serve()
            born = shop.node.target.announcements.current.born_ms
            topic = fleet.store.topic(MEMBERS_TOPIC)
            before = topic.end
            for sequence in range(5, 9):
                await shop.announce(sequence=sequence, state="draining", born=born)
            await leave(shop, "gone", born)
            self.assertEqual(1, topic.end - before)

    async def test_departures_of_hosts_that_are_gone_are_removed(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve()
            now_ms = shop.node.clock.wall_ms()
            records = {
                "10.0.0.1:1": now_ms - 3_600_000,
                "10.0.0.2:1": now_ms,
                shop.cfg.nodes: now_ms - 3_600_000,
            }
            for address, recorded_ms in records.items():
                record = Departures({"i-9": 1}, recorded_ms)
                await shop.store.record_departures(address, record)
            await shop.node.membership.remove_old_departures(await shop.store.registry())
            left = (await shop.store.registry()).departures
            self.assertEqual({"10.0.0.2:1", shop.cfg.nodes}, set(left))

    async def test_a_record_hides_that_of_the_process_before(self):
        async with Fleet("shop", "stock") as fleet:
            shop, _stock = await fleet.serve()
            born = shop.node.target.announcements.current.born_ms
            self.assertEqual(200, await leave(shop, "draining", born))
            await shop.node.close()
            # The store can be written again before it has been read.
            with mock.patch.object(PlatformStore, "registry", side_effect=LogDownError("down")):
                await shop.start()
                path = DEREGISTER + "i-other"
                self.assertEqual(503, (await call(shop.cfg.control, "POST", path)).status)
            await until(lambda: shop.node.departures.complete)
            recorded = (await shop.store.registry()).departures[shop.cfg.nodes].targets
            self.assertEqual({shop.target.target_id, "i-other"}, set(recorded))

    async def test_departures_under_odd_keys_are_removed_again_and_again(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve()
            topic = fleet.store.topic(MEMBERS_TOPIC)
            for odd in ("\u00e9" * 100, "x" * 250, "127.0.0.1:99999", ""):
                key = f"left:{odd}".encode()
                value = msgspec.msgpack.encode([{"i-9": 1}, 1])
                topic.add(bytes((len(key),)) + key + value, keyed=True)
            registry = await shop.store.registry()
            self.assertEqual((4, {}), (len(registry.unreadable), registry.departures))
            before = topic.end
            await shop.node.membership.remove_old_departures(registry)
            self.assertEqual(before, topic.end)

    @parameterized.expand(
        [
            ("no record", b"\xc1"),
            ("another type", msgspec.msgpack.encode([[1, 2], 3])),
            ("a start that is no number", msgspec.msgpack.encode([{"i-0": "x"}, 3])),
            ("a start too large", msgspec.msgpack.encode([{"i-0": 2**64 - 1}, 2**64 - 1])),
            ("very deep", b"\x91" * 100_000),
        ]
    )
    async def test_an_odd_record_hides_the_others(self, _, value):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            topic = fleet.store.topic(MEMBERS_TOPIC)
            for key in (b"left:" + shop.cfg.nodes.encode(), b"left:x", b"z", b"10.0.0.1:1"):
                topic.add(bytes((len(key),)) + key + value, keyed=True)
            born = shop.node.target.announcements.current.born_ms
            await shop.node.close()
            await shop.start()
            registry = await shop.store.registry()
            expected = {host.cfg.nodes for host in (shop, stock)}
            self.assertLessEqual(expected, {member.address for member in registry.members})
            self.assertEqual(4, len(registry.unreadable))
            await until(lambda: shop.node.target.departures_known)
            await shop.announce(sequence=4, born=born)


class UnconfirmedTest(unittest.IsolatedAsyncioTestCase):
    """While it is not known which targets have left, only one that goes on is used."""

    def setUp(self):
        self.clock = ManualClock()
        self.target = LocalTarget(self.clock, mock.Mock(), mock.Mock(), mock.Mock())

    def announce(self, sequence, state=READY, born=100, target_id="i-1"):
        beat = Announcement(target_id, "shop", "a:1", "dc0", 4, state, sequence, 0.0, born)
        self.target.heartbeat(beat)

    @property
    def in_use(self):
        return self.target.load().service == "shop"

    @parameterized.expand(
        [
            # arrival times in seconds and sequence numbers, whether it is used in the end
            ("one", [(0.0, 5)], False),
            ("several that come together", [(0.0, 5), (0.1, 6), (0.2, 7)], False),
            ("the same again, later", [(0.0, 5), (UNCONFIRMED_S + 1, 5)], False),
            ("an older one, later", [(0.0, 5), (UNCONFIRMED_S + 1, 4)], False),
            ("it goes on", [(0.0, 5), (1.5, 6), (3.0, 7)], True),
        ]
    )
    async def test_heartbeats_without_the_store(self, _, beats, used):
        for at, sequence in beats:
            self.clock.advance(at - self.clock.now())
            self.announce(sequence)
        self.assertEqual(used, self.in_use)

    async def test_the_store_is_read_then(self):
        self.announce(5)
        self.assertFalse(self.in_use)
        self.assertTrue(self.target.restore_departures({"i-0": 900}))
        self.assertTrue(self.in_use)

    async def test_the_store_says_that_it_has_left(self):
        self.announce(5)
        self.assertFalse(self.target.restore_departures({"i-1": 100}))
        self.assertFalse(self.in_use)
        self.announce(6)
        self.assertFalse(self.in_use)
        self.announce(1, born=101)
        self.assertTrue(self.in_use)

    async def test_the_store_says_so_when_it_is_in_use(self):
        for sequence in (1, 2, 3):
            self.announce(sequence)
            self.clock.advance(1.5)
        self.assertTrue(self.in_use)
        self.target.restore_departures({"i-1": 100})
        self.assertFalse(self.in_use)

    async def test_another_start_begins_its_time_again(self):
        self.announce(5)
        self.clock.advance(UNCONFIRMED_S + 1)
        self.announce(1, born=200)
        self.announce(6)
        self.assertFalse(self.in_use)
        self.clock.advance(UNCONFIRMED_S)
        self.announce(2, born=200)
        self.assertTrue(self.in_use)


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    """The target changes after a request was admitted and before it is handed over."""

    @parameterized.expand(
        [
            ("it leaves", lambda target: target.deregister("i-1"), request.LEAVING),
            ("evacuated", lambda target: target.evacuate(True), request.EVACUATED),
            ("restarted", lambda target: target.heartbeat(BEAT._replace(born_ms=200)), None),
        ]
    )
    async def test_a_request_that_may_run_once_reaches_it_all_the_same(self, _, change, reason):
        adapter = mock.Mock(request_id_header=b"", handover_headers=lambda handover: b"")
        target = LocalTarget(ManualClock(), adapter, mock.Mock(), mock.Mock())
        target.departures_known = True
        target.heartbeat(BEAT)
        gate = target._gate
        run = Run(1, "shop", "POST", "/", b"", b"x", "", 5, 1000, 1000, "r", False, "book")
        running = asyncio.create_task(target.run(run))
        # The request has been admitted, and the task that hands it over has not run yet.
        await asyncio.sleep(0)
        self.assertEqual(1, gate.in_flight)
        change(target)
        reply = await running
        self.assertEqual((reason or request.NO_TARGET).type, reply.reason)
        self.assertEqual((0, 0), (sum(target.handed.values()), gate.in_flight))


class DeparturesTest(TestCase):
    """What is recorded."""

    def test_the_departures_of_a_tracker(self):
        tracker = AnnouncementTracker()
        self.assertEqual({}, tracker.departures())
        for number in range(100):
            tracker.deregister(f"i-{number}", 1_000, number + 1)
        beat = Announcement("i-99", "shop", "a:1", "dc0", 4, DRAINING, 1, 0.0, 500)
        tracker.heartbeat(beat)
        found = tracker.departures()
        self.assertEqual((16, 500), (len(found), found["i-99"]))
        other = AnnouncementTracker()
        other.restore(found)
        self.assertEqual(found, other.departures())
        self.assertFalse(other.heartbeat(beat._replace(state=READY, sequence=2)))
