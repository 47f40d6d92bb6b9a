"""Tests of evacuations, and of a store that was restored from an older copy."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh import directory as directories
from beryldrum.mesh import node as nodes
from beryldrum.mesh import store_era, summaries
from beryldrum.mesh.client import Pool, Response
from beryldrum.mesh.evacuation import MAX_ENTRIES, EvacuationRead, Evacuations
from beryldrum.mesh.follow import Follower
from beryldrum.mesh.frames import Evacuation
from beryldrum.mesh.store import Watch
from beryldrum.mesh.store_era import SETTLE_S, StoreEra
from beryldrum.platform import store as platform_store
from tests.mesh_fleet import Fleet, config, until
from tests.mesh_store_simulation import SimulatedFleet, run

ON, OFF = True, False


def read(end, records=None, complete=True, era=0):
    """Return a read of a log of length ``end``; records are (evacuated, position) by name."""
    return EvacuationRead(records or {}, end, complete, era)


class EvacuationsTest(TestCase):
    """Which of several reads and messages is believed."""

    @parameterized.expand(
        [
            # reads with whether the era is settled, entries of others, whether dc1 is evacuated
            ("a record", [(read(3, {"dc1": (ON, 3)}), True)], [], True),
            ("cancelled", [(read(3, {"dc1": (ON, 3)}), True), (read(4), True)], [], False),
            (
                "cancelled by a record",
                [(read(3, {"dc1": (ON, 3)}), True), (read(4, {"dc1": (OFF, 4)}, OFF), True)],
                [],
                False,
            ),
            ("an older entry", [(read(9, {"dc1": (ON, 9)}), True)], [(OFF, 0, 8)], True),
            ("a newer entry", [(read(9, {"dc1": (ON, 9)}), True)], [(OFF, 0, 10)], False),
            ("a late entry after a read without it", [(read(9), True)], [(ON, 0, 8)], False),
            ("a newer entry than the read", [(read(9), True)], [(ON, 0, 10)], True),
            (
                "a malformed record proves nothing",
                [(read(9, {"dc1": (None, 9)}), True)],
                [(ON, 0, 8)],
                True,
            ),
            (
                "the copy lacks it",
                [(read(9, {"dc1": (ON, 9)}), True), (read(7, era=1), False)],
                [],
                True,
            ),
            (
                "the copy still lacks it later",
                [(read(9, {"dc1": (ON, 9)}), True), (read(7, era=1), True)],
                [],
                False,
            ),
            (
                "the copy has it though it was cancelled",
                [
                    (read(9, {"dc1": (ON, 5)}), True),
                    (read(12), True),
                    (read(7, {"dc1": (ON, 5)}, era=1), False),
                ],
                [],
                False,
            ),
            (
                "cancelled at another node, and the copy has it",
                [(read(6, {"dc1": (ON, 5)}), True), (read(8, {"dc1": (ON, 8)}, era=1), False)],
                [(OFF, 0, 9)],
                True,
            ),
            (
                "written in the new era",
                [
                    (read(9), True),
                    (read(7, era=1), False),
                    (read(8, {"dc1": (ON, 8)}, OFF, era=1), False),
                ],
                [],
                True,
            ),
            (
                "cancelled in the new era",
                [
                    (read(9, {"dc1": (ON, 9)}), True),
                    (read(7, era=1), False),
                    (read(8, {"dc1": (OFF, 8)}, OFF, era=1), False),
                ],
                [],
                False,
            ),
            (
                "the first read of a process ranks below others",
                [(read(9, {"dc1": (ON, 5)}, era=1), False)],
                [(OFF, 0, 7)],
                False,
            ),
            ("and is believed without them", [(read(9, {"dc1": (ON, 5)}, era=1), False)], [], True),
            (
                "an answer of the era before",
                [(read(2, era=1), True), (read(9, {"dc1": (ON, 9)}), True)],
                [],
                False,
            ),
        ]
    )
    def test_reads_and_entries(self, _, reads, entries, expected):
        evacuations = Evacuations()
        for one, settled in reads:
            evacuations.observe(one, settled)
        evacuations.merge(Evacuation("dc1", *entry) for entry in entries)
        self.assertEqual(expected, evacuations.evacuated("dc1"))

    def test_an_entry_merged_before_the_copy_is_read(self):
        evacuations = Evacuations()
        evacuations.observe(read(6, {"dc1": (ON, 5)}), True)
        evacuations.merge([Evacuation("dc1", False, 0, 9)])
        # Position 8 is beyond what this node has read, but before the cancellation.
        evacuations.observe(read(8, {"dc1": (ON, 8)}, era=1), False)
        self.assertFalse(evacuations.evacuated("dc1"))

    def test_callbacks_only_on_a_change(self):
        evacuations, changes = Evacuations(), []
        evacuations.on_change.append(lambda: changes.append(evacuations.evacuated("dc1")))
        for end in (3, 4, 5):
            evacuations.observe(read(end, {"dc1": (ON, 3)}), True)
        evacuations.observe(read(6), True)
        self.assertEqual([True, False], changes)

    def test_names_without_end_are_bounded(self):
        evacuations = Evacuations()
        for number in range(1, 500):
            evacuations.observe(read(number, {f"x{number}": (ON, number)}), True)
        self.assertLessEqual(len(evacuations.entries()), MAX_ENTRIES)


class RecordsTest(TestCase):
    """Records and headers of the store; a malformed one refers to no data centre and no era."""

    @parameterized.expand(
        [
            # key, value, evacuated data centres
            ("evacuate/dc1", b"{}", ["dc1"]),
            ("evacuate/dc1", b'{"since": 1}', ["dc1"]),
            ("evacuate/dc1", b"[]", []),
            ("evacuate/dc1", b"null", []),
            ("evacuate/dc1", b"\xff", []),
            ("evacuate/dc1", b"[" * 5_000, []),
            ("evacuate/", b"{}", []),
            ("evacuate/" + 200 * "x", b"{}", []),
            ("evacuated/dc1", b"{}", []),
            ("config", b"{}", []),
        ]
    )
    def test_record(self, key, value, expected):
        one, evacuations = read(1), Evacuations()
        platform_store._add_evacuation(key, value, 0, one)
        evacuations.observe(one, True)
        self.assertEqual(expected, [entry.data_centre for entry in evacuations.entries()])

    @parameterized.expand(
        [(b"3", 3), (b" 4 ", 4), (b"", 0), (b"-1", 0), (b"x", 0), (b"9" * 5_000, 0)]
    )
    def test_era(self, value, expected):
        response = Response(200, [], {b"store-era": value}, b"")
        self.assertEqual(expected, platform_store._era(response))


class StoreEraTest(TestCase):
    """When the store is known to have again what was written before."""

    def test_a_running_process(self):
        clock = ManualClock()
        era = StoreEra(clock)
        changes = []
        era.on_change.append(lambda: changes.append(era.number))
        era.observe(0)
        self.assertTrue(era.settled)
        era.observe(1)
        self.assertEqual(([1], False, True), (changes, era.settled, era.confirms))
        clock.advance(SETTLE_S)
        self.assertTrue(era.settled and era.take_reread())
        self.assertFalse(era.take_reread())

    def test_a_process_that_has_just_started(self):
        era = StoreEra(ManualClock())
        era.observe(3)
        self.assertFalse(era.settled or era.confirms)
        era.settle(2)
        self.assertFalse(era.settled)
        era.settle(3)
        self.assertTrue(era.settled and era.confirms)

    @parameterized.expand([("before it was settled", -0.5, True), ("after that", 0.5, False)])
    def test_a_slow_answer_of_a_restored_store_ends_an_evacuation(self, _, asked_s, evacuated):
        clock, evacuations = ManualClock(), Evacuations()
        era = StoreEra(clock)
        era.observe(0)
        evacuations.observe(read(9, {"dc1": (ON, 5)}), True)
        era.observe(1)
        clock.advance(SETTLE_S + 1.0)
        parts = [mock.MagicMock() for _ in range(6)]
        follower = Follower(
            clock, *parts, mock.Mock(), 4.6, lambda: 1.25, evacuations=evacuations, era=era
        )
        # The operator wrote the evacuation again after this was read.
        follower._take(Watch(None, 3, 0.0, read(3, era=1), 1), clock.now() - 1.0 + asked_s)
        self.assertEqual(evacuated, evacuations.evacuated("dc1"))


class RestoredStoreTest(TestCase):
    """A large fleet in virtual time, whose store goes back to an older copy."""

    def play(self, lost, check, rejected=0, restart=False):
        """Write, lose what ``lost`` writes, and call ``check`` for each node at each moment."""

        async def case(clock):
            fleet = SimulatedFleet(clock, 5, hosts=30, data_centres=3)
            store = fleet.store
            store.write("evacuate/dc0", True)
            fleet.start()
            await asyncio.sleep(4.0)
            length = len(store.records)
            lost(store)
            await asyncio.sleep(2.5)
            written = store.records[length:]
            store.restore(length)
            if restart:
                fleet.restart()
            end = clock.now() + 4.0
            while clock.now() < end:
                await asyncio.sleep(0.05)
                for node in fleet.nodes.values():
                    check(node)
            for key, value in written:
                store.write(key, value)
            await asyncio.sleep(SETTLE_S + 2.0)
            for node in fleet.nodes.values():
                check(node)
                self.assertLess(node.configuration.age_s(), 4.0)
                self.assertEqual(1, node.era.number)

        run(case)

    def test_a_lost_configuration_is_kept_and_not_confirmed(self):
        def check(node):
            self.assertEqual(2, node.configuration.version)

        self.play(lambda store: store.write("config", 2), check)

    def test_a_lost_evacuation_is_kept(self):
        def check(node):
            self.assertTrue(node.evacuations.evacuated("dc2"))

        self.play(lambda store: store.write("evacuate/dc2", True), check)

    def test_a_lost_cancellation_is_kept(self):
        def check(node):
            self.assertFalse(node.evacuations.evacuated("dc0"))

        self.play(lambda store: store.write("evacuate/dc0", False), check)

    def test_a_position_of_the_era_before_that_exists_again(self):
        async def case(clock):
            fleet = SimulatedFleet(clock, 5, hosts=1, data_centres=1)
            (node,) = fleet.nodes.values()
            fleet.start()
            fleet.store.write("config", 2)
            await asyncio.sleep(3.0)
            # Another node has told of the era before this one's poll ends.
            node.era.learn(1)
            fleet.store.restore(1)
            fleet.store.write("config", 3)
            late_s = await fleet.until(lambda: node.configuration.version == 3, 5.0)
            self.assertLess(late_s, 2.5)

        run(case)

    def test_processes_that_all_start_then_trust_no_old_configuration(self):
        def check(node):
            configuration = node.configuration
            self.assertTrue(configuration.version == 2 or configuration.age_s() == float("inf"))

        self.play(lambda store: store.write("config", 2), check, restart=True)


def lose_store(host):
    """Make the store unreachable for a node, but for a call that has begun."""
    host.store._pool = Pool("127.0.0.1:9")


class RealNodesTest(unittest.IsolatedAsyncioTestCase):
    """Real nodes and a stand-in store."""

    async def test_an_evacuation_of_a_restarted_fleet_and_of_a_node_without_the_store(self):
        async with Fleet("shop", "stock", "stock") as fleet:
            hosts = await fleet.serve()
            for number in range(600):
                fleet.store.evacuate(f"a{number:04}", b"odd")
            fleet.store.evacuate("dc1")
            for host in hosts:
                await until(lambda host=host: host.node.evacuations.evacuated("dc1"))
            for host in hosts:
                await host.node.close()
            hosts[0].cfg = hosts[0].cfg._replace(store="127.0.0.1:9")
            for host in hosts:
                await host.start()
            for host in hosts:
                await until(lambda host=host: host.node.evacuations.evacuated("dc1"))
            fleet.store.evacuate("dc1", b"[odd")
            await asyncio.sleep(0.3)
            self.assertTrue(all(host.node.evacuations.evacuated("dc1") for host in hosts))
            fleet.store.evacuate("dc1", b"")
            for host in hosts:
                await until(lambda host=host: not host.node.evacuations.evacuated("dc1"))

    async def test_members_and_departures_are_written_again(self):
        async with Fleet("shop", "stock") as fleet:
            snapshot = fleet.store.snapshot()
            hosts = await fleet.serve()
            shop = hosts[0]
            born = shop.node.target.announcements.current.born_ms
            await shop.announce(sequence=3, state="draining", born=born)
            await until(lambda: all(host.node.target.departures_known for host in hosts))
            fleet.store.restore(snapshot)
            fleet.store.publish(config())

            async def registered():
                registry = await shop.store.registry()
                members = {member.address for member in registry.members}
                return members >= {h.cfg.nodes for h in hosts} and registry.departures

            async with asyncio.timeout(5.0):
                while not await registered():
                    await asyncio.sleep(0.1)
            departures = (await shop.store.registry()).departures
            self.assertEqual({shop.target.target_id}, set(departures[shop.cfg.nodes].targets))

    async def test_the_settled_era_is_recorded_for_processes_that_start(self):
        with mock.patch.object(store_era, "SETTLE_S", 0.5):
            async with Fleet("shop", "stock") as fleet:
                hosts = await fleet.serve()
                fleet.store.restore(fleet.store.snapshot())

                async def recorded():
                    return (await hosts[0].store.registry()).settled_era == 1

                async with asyncio.timeout(5.0):
                    while not await recorded():
                        await asyncio.sleep(0.1)
                with mock.patch.object(store_era, "SETTLE_S", 60.0):
                    for host in hosts:
                        await host.node.close()
                    for host in hosts:
                        await host.start()
                    for host in hosts:
                        await until(host.node.ready, 3.0)
                        self.assertTrue(host.node.target.departures_known)

    async def test_nodes_take_over_from_rejected_readers(self):
        async with Fleet("shop", "stock", "shop", "stock", "shop", "stock") as fleet:
            hosts = await fleet.serve()
            readers = [host for host in hosts if host.node.follower.readers.is_reader()]
            self.assertEqual(4, len(readers))
            for host in readers:
                lose_store(host)
            # Polls that have begun are still answered.
            await asyncio.sleep(1.6)
            fleet.store.publish(config(version=2))
            await until(lambda: all(h.node.configuration.version == 2 for h in hosts), 1.0)

    async def test_changes_are_pushed_to_a_data_centre_without_the_store(self):
        small = mock.patch.object(directories, "FULL_MESH_MAX_NODES", 2)
        # Connections that are open for summaries would get the state, too.
        with small, mock.patch.object(nodes, "LINK_IDLE_TIMEOUT_S", 0.1):
            async with Fleet("shop", "stock", "shop", "stock") as fleet:
                fleet.store.publish(config())
                for host in fleet.hosts:
                    await until(lambda host=host: host.node.ready())
                    await until(lambda host=host: host.node.directory.recent_data_centres())
                for host in fleet.hosts[1::2]:
                    lose_store(host)
                with mock.patch.object(summaries, "SUMMARY_PERIOD_S", 30.0):
                    await asyncio.sleep(1.4)
                    fleet.store.evacuate("dc0")
                    fleet.store.publish(config(version=2))
                    for host in fleet.hosts[1::2]:
                        await until(lambda host=host: host.node.configuration.version == 2, 1.0)
                        self.assertTrue(host.node.evacuations.evacuated("dc0"))
