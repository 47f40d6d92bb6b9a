"""Tests that a change in the store is in force in time although the store rejects its readers."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

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
