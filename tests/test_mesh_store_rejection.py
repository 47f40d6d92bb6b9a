"""Tests that a change in the store is in force in time although the store rejects its readers."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.directory import Directory
from beryldrum.mesh.frames import Load, Member, NodeLoad, State, Summary
from beryldrum.mesh.readers import Readers
from tests.mesh_store_simulation import SimulatedFleet, run

DEADLINE_S = 2.5
MODES = ("503", "429", "reset", "silent")
REJECTED = 26


def first_of(fleet, data_centres):
    """Return the first nodes of some data centres, which would follow the store next."""
    own = [a for a, n in fleet.nodes.items() if n.member.data_centre in data_centres]
    return sorted(own, key=lambda address: (int(address.split(".")[3][:-2]), address))


def spread(fleet):
    """Return the readers, the next ones of their data centres, and others."""
    others = sorted(fleet.nodes)
    fleet.rng.shuffle(others)
    return [*fleet.readers(), *first_of(fleet, ("dc0", "dc1"))[:10], *others]


def everywhere(fleet):
    """Return the readers, and the first nodes of all data centres."""
    return [*fleet.readers(), *first_of(fleet, ("dc0", "dc1", "dc2", "dc3"))]


def one_data_centre(fleet):
    """Return the readers, and all nodes of the first data centre."""
    return [*fleet.readers(), *first_of(fleet, ("dc0",)), *first_of(fleet, ("dc1", "dc2"))]


CASES = [
    *((mode, spread, seed) for mode in MODES for seed in (0, 2)),
    *(
        (mode, pattern, 2)
        for mode in ("503", "silent")
        for pattern in (everywhere, one_data_centre)
    ),
]


class RejectedReadersTest(TestCase):
    """A withdrawn key stops working, and an evacuation begins, within the deadline."""

    def latest(self, mode, pattern, seed):
        """Return when the last of 75 nodes had both, in seconds after the store had them."""
        found = []

        async def case(clock):
            fleet = SimulatedFleet(clock, seed, deadline_s=DEADLINE_S)
            fleet.start()
            await asyncio.sleep(8.0 + fleet.rng.uniform(0.0, 2.0))
            rejected = list(dict.fromkeys(pattern(fleet)))[:REJECTED]
            fleet.store.mode, fleet.store.rejected = mode, set(rejected)
            await asyncio.sleep(fleet.rng.choice([0.001, fleet.rng.uniform(0.0, 2.0)]))
            fleet.store.write("evacuate/dc2", True)
            fleet.store.write("config", 2)
            nodes = fleet.nodes.values()

            def known():
                return all(
                    n.configuration.version == 2 and n.evacuations.evacuated("dc2") for n in nodes
                )

            found.append(await fleet.until(known, 10.0))

        run(case)
        return found[0]

    @parameterized.expand(
        [(f"{m}_{pattern.__name__}_{n}", m, pattern, n) for m, pattern, n in CASES]
    )
    def test_latest_node(self, _, mode, pattern, seed):
        self.assertLess(self.latest(mode, pattern, seed), DEADLINE_S)


class DeadReadersTest(TestCase):
    """A change is in force in time although the processes that read the store end."""

    def test_both_readers_end_and_the_next_ones_are_rejected(self):
        found = []

        async def case(clock):
            fleet = SimulatedFleet(clock, 1, deadline_s=DEADLINE_S)
            fleet.start()
            await asyncio.sleep(8.0)
            readers = fleet.readers()
            nodes = [node for address, node in fleet.nodes.items() if address not in readers]
            fleet.store.mode = "silent"
            fleet.store.rejected = set(first_of(fleet, ("dc0", "dc1"))[:6])
            for address in readers:
                fleet.nodes[address].stop()
            fleet.store.write("config", 2)
            found.append(
                await fleet.until(lambda: all(n.configuration.version == 2 for n in nodes), 10.0)
            )

        run(case)
        self.assertLess(found[0], DEADLINE_S)


class AnnouncementTest(TestCase):
    """A reader does not wait for the time-out of its call to announce a missing answer."""

    def test_first_announcement(self):
        found = []

        async def case(clock):
            fleet = SimulatedFleet(clock, 1, deadline_s=DEADLINE_S)
            fleet.start()
            await asyncio.sleep(8.0)
            fleet.store.write("config", 2)
            await asyncio.sleep(0.1)
            # The polls of the readers have just begun; one takes half of 1.1 s.
            fleet.store.mode, fleet.store.rejected = "silent", set(fleet.nodes)
            nodes = fleet.nodes.values()
            found.append(
                await fleet.until(lambda: any(n.follower.readers.rejected for n in nodes), 5.0)
            )

        run(case)
        self.assertLess(found[0], 1.1)


class ReadersTest(TestCase):
    """Which nodes read the store, by what they have heard of others."""

    @parameterized.expand(
        [
            # node, its data centre, rejected nodes as (data centre, node), whether it reads
            ("the first of the first data centre", 0, 0, [], True),
            ("the second", 1, 0, [], False),
            ("the first of the third data centre", 0, 2, [], False),
            ("the next one", 1, 0, [(0, 0)], True),
            ("one more", 2, 0, [(0, 0), (0, 1)], True),
            ("a third one", 4, 0, [(0, 0), (0, 1)], True),
            ("not all", 5, 0, [(0, 0), (0, 1)], False),
            ("the next data centre", 0, 2, [(0, 0)], True),
            ("not one more", 0, 3, [(0, 0)], False),
            ("for both", 0, 3, [(0, 0), (1, 0)], True),
            ("when another than the reader is rejected", 1, 0, [(0, 5)], False),
            ("when the store is likely to reject all", 13, 0, [(0, n) for n in range(13)], False),
        ]
    )
    def test_reader(self, _, number, data_centre, rejected, expected):
        clock = ManualClock()
        members = [
            Member(f"10.0.{centre}.{n + 10}:1", f"dc{centre}", 1)
            for centre in range(4)
            for n in range(20)
        ]
        own = members[data_centre * 20 + number]
        directory = Directory(clock, own)
        for member in members:
            directory.add(member)
        for centre in {0, 1, 2, 3} - {data_centre}:
            source = members[centre * 20]
            loads = [NodeLoad(source, Load())]
            directory.apply_summary(Summary(0, source, 0, loads, {}, {}, 1, 0), 0.0)
        for peer in directory.peers.values():
            directory.set_connected(peer, directory.is_local(peer))
        clock.advance(0.1)
        for centre, n in rejected:
            state = State(members[centre * 20 + n], Load(), 1, 0, {}, {}, store_rejected=True)
            directory.apply_state(state, clock.now())
        self.assertEqual(expected, Readers(clock, directory).is_reader())


class CallsTest(TestCase):
    """Each call of the store is charged for."""

    @parameterized.expand(
        [
            # hosts, data centres, deadline, most calls per second; those of a small fleet may
            # rise by a tenth, from 1.25 per data centre with polls of 1.2 to 2 s
            ("large", 75, 4, 2.5, 2.5),
            ("small", 14, 2, 2.5, 2 * 2 / 1.6 * 1.1),
            ("small_short_deadline", 14, 2, 2.0, 2 * 2 / 1.6 * 1.1),
        ]
    )
    def test_calls_per_second(self, _, hosts, data_centres, deadline_s, most):
        found = []

        async def case(clock):
            fleet = SimulatedFleet(clock, 1, hosts, data_centres, deadline_s)
            fleet.start()
            await asyncio.sleep(5.0)
            before = fleet.store.calls
            await asyncio.sleep(20.0)
            found.append((fleet.store.calls - before) / 20.0)

        run(case)
        self.assertLessEqual(found[0], most)

    def test_a_store_that_rejects_all_nodes_is_not_flooded(self):
        found = []

        async def case(clock):
            fleet = SimulatedFleet(clock, 1)
            fleet.start()
            await asyncio.sleep(5.0)
            fleet.store.rejected = set(fleet.nodes)
            before = fleet.store.calls
            await asyncio.sleep(3.0)
            found.append(fleet.store.calls - before)
            fleet.store.rejected = set()
            fleet.store.write("config", 2)
            nodes = fleet.nodes.values()
            known = lambda: all(n.configuration.version == 2 for n in nodes)  # noqa: E731
            found.append(await fleet.until(known, 10.0))

        run(case)
        calls, recovery_s = found
        # Twelve nodes of each data centre once, and two of each again.
        self.assertLessEqual(calls, 4 * (13 + 3) + 4 * 2 * 4)
        self.assertLess(recovery_s, 2.5)
