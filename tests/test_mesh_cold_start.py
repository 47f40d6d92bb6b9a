"""Cold targets: the limit at their gate, what is known of their coldness, and small fleets."""

import asyncio
import itertools
import random
import time
import unittest
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.client import Response
from beryldrum.mesh.cold_start import HEARTBEAT_DELAY_S, ColdLimit, ColdPolicy, ColdRate
from beryldrum.mesh.cold_watch import ColdWatch
from beryldrum.mesh.document import Service
from beryldrum.mesh.frames import Load
from beryldrum.mesh.gate import Admission, Gate, RunRequest
from beryldrum.mesh.settings import MeshSettings
from beryldrum.platform.conventions import PlatformAdapter
from beryldrum.standin.endpoint import HEALTH_PATH

from .mesh_fleet import Fleet, call, config, until

COLD_SHOP = ({"name": "shop", "cold_start_s": 9, "cold_per_s": 14, "health_path": HEALTH_PATH},)
SERVICES = (*COLD_SHOP, {"name": "stock"})
MOST = 29
"""Requests that a cold target of the fleet tests may get in any second: 14 x 1.5 + 8."""
BURST = 14 * 0.25
"""Requests that it may get at once after an idle period."""
BOUNDS = {"cold_rate_overshoot": 1.5, "cold_rate_slack": 8.0}


def most_in_a_second(times):
    """Return the largest number of times within any second."""
    times = sorted(times)
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


def write_times(rate, seconds, seed, restarts=()):
    """Return when a greedy sender that obeys the limit writes, in virtual time.

    A request is written up to a second after its start, as when connections open slowly,
    and some are not written. The process is replaced at the times in ``restarts``.
    """
    clock, rng, restarts = ManualClock(), random.Random(seed), list(restarts)

    def limit():
        made = ColdLimit(clock)
        made.configure(rate)
        made.state(2 * seconds)
        return made

    current, unsent, written = limit(), [], []
    while clock.now() < seconds:
        clock.advance(0.005)
        if restarts and clock.now() >= restarts[0]:
            restarts.pop(0)
            current, unsent = limit(), []
        while not current.delay_s():
            current.take()
            held_s = rng.choice((0.0, 0.0, rng.random()))
            unsent.append((clock.now() + held_s, rng.random() < 0.9, current.sending()))
        for entry in [e for e in unsent if e[0] <= clock.now()]:
            unsent.remove(entry)
            if entry[1]:
                written.append(clock.now())
                entry[2]()
            entry[2].close()
    return written


class ColdLimitTest(TestCase):
    """A cold target gets no more than the bound in any second, and little less than its rate."""

    @parameterized.expand(
        [
            # rate, most in a second, share of the rate that is used at least
            ("as in the example", 14.0, 29, 0.85),
            ("with no margin", 14.0, 14, 0.5),
            ("bound below the rate", 20.0, 10, 0.3),
            ("one at a time", 1.0, 1, 0.2),
        ]
    )
    def test_no_second_has_more_than_the_bound(self, _, per_s, most, least):
        for seed in range(8):
            restarts = [] if seed % 2 else [3.3, 3.6, 7.1]
            written = write_times(ColdRate(per_s, most), 12.0, seed, restarts)
            self.assertLessEqual(most_in_a_second(written), most)
            if not restarts:
                self.assertGreater(len(written), least * per_s * 12.0)

    def test_the_first_second_is_no_burst(self):
        written = write_times(ColdRate(14.0, 29), 1.0, 1)
        self.assertLessEqual(len(written), 15)

    @parameterized.expand([("leaves room", 29, 0.0, 0.1), ("does not", 14, 1.0, 1.1)])
    def test_a_new_process_waits_if_the_bound_leaves_no_room_for_what_the_last_one_sent(
        self, _, most, least, longest
    ):
        limit = ColdLimit(ManualClock())
        limit.configure(ColdRate(14.0, most))
        limit.state(5.0)
        self.assertTrue(least < limit.delay_s() < longest, limit.delay_s())

    def test_nothing_starts_while_the_rate_is_not_known(self):
        limit = ColdLimit(ManualClock())
        limit.configure(ColdRate(0.0, 0))
        limit.state(5.0)
        self.assertGreaterEqual(limit.delay_s(), 1.0)

    def test_what_was_sent_while_warm_counts(self):
        clock = ManualClock()
        limit = ColdLimit(clock)
        limit.configure(ColdRate(14.0, 29))
        for _ in range(200):
            clock.advance(0.004)
            limit.take()
            limit.sent()
        limit.state(5.0)
        self.assertGreater(limit.delay_s(), 0.9)
        self.assertFalse(limit.has_room())


class KnowledgeTest(TestCase):
    """How long a target counts as cold: late and early heartbeats, and the health page."""

    @parameterized.expand(
        [
            # events as (time, kind, value), when asked, whether it is cold then
            ("as the heartbeat says", [(0.0, "state", 2.0)], 1.9, True),
            ("the time is over", [(0.0, "state", 2.0)], 2.1, False),
            ("cold again", [(0.0, "state", 0.0), (1.0, "state", 3.0)], 3.9, True),
            ("a later heartbeat ends it", [(0.0, "state", 9.0), (1.0, "state", 0.0)], 1.1, False),
            ("in doubt", [(0.0, "doubt", 0)], 60.0, True),
            ("a heartbeat from before", [(0.0, "doubt", 0), (1.0, "state", 0.0)], 1.1, True),
            (
                "a heartbeat from after",
                [(0.0, "doubt", 0), (HEARTBEAT_DELAY_S, "state", 0.0)],
                HEARTBEAT_DELAY_S,
                False,
            ),
            ("the health page: warm", [(0.0, "doubt", 0), (0.1, "answer", 0.0)], 0.2, False),
            ("the health page: cold", [(0.0, "doubt", 0), (0.1, "answer", 2.0)], 2.0, True),
            (
                "a late heartbeat does not undo the health page",
                [(0.0, "doubt", 0), (0.1, "answer", 9.0), (0.2, "state", 0.0)],
                5.0,
                True,
            ),
        ]
    )
    def test_cold(self, _, events, asked, expected):
        clock = ManualClock()
        limit = ColdLimit(clock)
        for at, kind, value in events:
            clock.advance(at - clock.now())
            if kind == "doubt":
                limit.doubt()
            elif kind == "answer":
                limit.answer(value, at)
            else:
                limit.state(value)
        clock.advance(asked - clock.now())
        self.assertEqual(expected, limit.cold)

    def test_an_answer_asked_for_before_the_doubt_proves_nothing(self):
        clock = ManualClock()
        limit = ColdLimit(clock)
        clock.advance(1.0)
        limit.doubt()
        limit.answer(0.0, 0.5)
        self.assertTrue(limit.doubted)


class PolicyTest(TestCase):
    """Where the limit is in force at all, and where the health page is read."""

    @parameterized.expand(
        [
            ("no bound is set", 0.0, Service("shop", "", 9.0, 14.0), None),
            ("the service states no rate", 1.5, Service("shop"), None),
            ("the service is not known", 1.5, Service("other", "", 9.0, 14.0), None),
            ("no configuration yet", 1.5, None, ColdRate(0.0, 0)),
            ("both", 1.5, Service("shop", "", 9.0, 14.0), ColdRate(14.0, 29)),
        ]
    )
    def test_rate(self, _, overshoot, row, expected):
        cfg = MeshSettings("", "", "", "", "", "", "", "", "", 0)
        cfg = cfg._replace(cold_rate_overshoot=overshoot, cold_rate_slack=8.0)
        doc = mock.Mock(services={row.name: row}) if row else None
        self.assertEqual(expected, ColdPolicy(lambda: cfg, lambda: doc).rate("shop"))

    @parameterized.expand(
        [
            ("cold", 200, b"i-1", b"2500", ("i-1", 2.5)),
            ("warm", 200, b"i-1", b"0", ("i-1", 0.0)),
            ("of something else", 421, b"i-1", b"0", None),
            ("without an id", 200, b"", b"0", None),
            ("no number", 200, b"i-1", b"soon", None),
            ("a negative number", 200, b"i-1", b"-5", None),
            ("without a time", 200, b"i-1", b"", None),
        ]
    )
    def test_health_page(self, _, status, target_id, cold, expected):
        headers = {b"x-instance-id": target_id, b"x-cold-milliseconds": cold}
        response = Response(status, [], headers, b"")
        self.assertEqual(expected, PlatformAdapter().target_health(response))


class HealthCheckTest(unittest.IsolatedAsyncioTestCase):
    """A health check that waits for room at the limit."""

    async def test_a_target_that_has_told_is_asked_all_the_same(self):
        watch = ColdWatch(ManualClock(), mock.Mock(), mock.Mock(), None, mock.Mock())
        limit, pool = mock.Mock(spec=ColdLimit, doubted=True), mock.AsyncMock()
        looked = itertools.count()

        def has_room():
            # Its heartbeat ends the doubt while the check waits.
            limit.doubted = False
            return next(looked) > 0

        limit.has_room = has_room
        await watch._ask(mock.Mock(address="a:1"), limit, pool, HEALTH_PATH)
        pool.request.assert_not_called()


class ColdGateTest(TestCase):
    """The gate of a cold target: the stricter limit, the reported load, the Retry-After."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.gate = Gate(self.clock, 100)
        self.gate.cold_limit.configure(ColdRate(10.0, 23))
        self.gate.cold_limit.state(5.0)

    def want(self, due_s=9.0):
        due = self.clock.now() + due_s
        return RunRequest("r", "o", 200, due, due + 1.0)

    @parameterized.expand([("cold", 50.0, 0.1), ("stated", 2.0, 0.5)])
    def test_the_stricter_limit_applies(self, _, stated, delay_s):
        self.gate.stated_limit.update(stated, self.clock.now())
        self.assertAlmostEqual(delay_s, self.gate.delay_s())

    def test_requests_wait_or_are_refused_with_the_time_to_wait(self):
        for number in range(10):
            self.assertIs(Admission.WAIT, self.gate.offer(1000 + number, self.want()).unwrap())
        self.assertTrue(self.gate.offer(2000, self.want(0.05)).is_err())
        self.assertAlmostEqual(1.1, self.gate.wait_s())
        self.clock.advance(5.0)
        # It is warm now, which starts all that wait.
        self.assertEqual(10, len(self.gate.dequeue()[0]))

    def test_the_load_shows_the_capacity_of_a_cold_target(self):
        self.clock.advance(0.1)
        self.gate.offer(1000, self.want())
        self.gate.finish("r", 0.25, True)
        self.assertEqual(4, self.gate.load("shop").limit)
        self.clock.advance(5.0)
        self.assertEqual(94, self.gate.load("shop").limit)


class ColdFleetTest(unittest.IsolatedAsyncioTestCase):
    """Real nodes beside cold stand-in targets."""

    @staticmethod
    async def flood(hosts, seconds, each=12):
        """Send requests from all hosts without a pause; returns the statuses."""
        statuses, end = [], time.monotonic() + seconds

        async def ask(host, path):
            while time.monotonic() < end:
                statuses.append((await host.ask(path, left_ms=1000)).status)
                await asyncio.sleep(0.005)

        paths = itertools.cycle(("/list/1", "/inner/1"))
        await asyncio.gather(*(ask(h, p) for h, p in zip(hosts * each, paths)))  # noqa: B905
        return statuses

    async def test_a_cold_target_gets_no_more_than_it_can_take(self):
        async with Fleet("shop", "shop", **BOUNDS) as fleet:
            hosts = await fleet.serve(config(services=SERVICES), slots=20)
            one = hosts[0]
            born = one.node.target.announcements.current.born_ms
            await one.announce(sequence=2, born=born, slots=20, cold_ms=60_000)
            began = time.monotonic()
            statuses = await self.flood(hosts, 2.5)
            paced = COLD_SHOP[0]["cold_per_s"] * (time.monotonic() - began) + BURST
            self.assertLessEqual(most_in_a_second(one.target.arrivals), MOST)
            self.assertGreater(len(one.target.arrivals), 10)
            self.assertLessEqual(len(one.target.arrivals), paced)
            self.assertEqual(set(), set(statuses) - {200, 503})
            self.assertIn("beryldrum_target_cold_seconds", one.node.metrics.text())

    async def test_the_others_take_most_while_a_target_is_cold(self):
        async with Fleet("shop", "shop", **BOUNDS) as fleet:
            hosts = await fleet.serve(config(services=SERVICES), slots=20)
            one, two = hosts
            born = one.node.target.announcements.current.born_ms
            await one.announce(sequence=2, born=born, slots=20, cold_ms=60_000)
            await self.flood(hosts, 2.5)
            self.assertGreater(len(two.target.arrivals), 2 * len(one.target.arrivals))

    @parameterized.expand([("no bound is set", {}, SERVICES), ("no rate", BOUNDS, None)])
    async def test_a_deployment_without_the_settings_is_served_as_before(
        self, _, settings, services
    ):
        async with Fleet("shop", **settings) as fleet:
            text = config(services=services) if services else config()
            (shop,) = await fleet.serve(text, slots=20)
            born = shop.node.target.announcements.current.born_ms
            await shop.announce(sequence=2, born=born, slots=20, cold_ms=60_000)
            answers = await asyncio.gather(*(shop.ask() for _ in range(18)))
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertGreater(most_in_a_second(shop.target.arrivals), 17)

    async def test_a_node_that_is_replaced_beside_a_cold_target(self):
        async with Fleet("shop", "shop", **BOUNDS) as fleet:
            one, two = await fleet.serve(config(services=SERVICES), slots=20)
            born = one.node.target.announcements.current.born_ms
            await one.announce(sequence=2, born=born, slots=20, cold_ms=60_000)
            await self.flood([one, two], 1.0)
            await one.node.close()
            await one.start()
            await until(lambda: one.node.target.departures_known)
            flooding = asyncio.create_task(self.flood([two], 2.0))
            # It announces itself before the new process knows the configuration.
            await one.announce(sequence=3, born=born, slots=20, cold_ms=58_000)
            await flooding
            self.assertLessEqual(most_in_a_second(one.target.arrivals), MOST)


class FakeEvacuations:
    """The evacuations in force, set by a test."""

    def __init__(self, nodes):
        self.on_change = []
        self.names = set()
        for node in nodes:
            node.evacuation_response.follow(self)

    def evacuated(self, data_centre):
        return data_centre in self.names

    def set(self, *names):
        """Put exactly the evacuations of data centres in force."""
        self.names = set(names)
        for callback in self.on_change:
            callback()


class EvacuationFleetTest(unittest.IsolatedAsyncioTestCase):
    """Evacuations in a fleet of real nodes in two data centres."""

    async def test_nothing_new_goes_to_an_evacuated_data_centre(self):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve(slots=2)
            one, two = hosts
            evacuations = FakeEvacuations([host.node for host in hosts])
            # Until all wait at one gate, the other target takes nothing.
            two.node.target.stopping = True
            two.node._broadcast_state()
            await until(lambda: not one.node.directory.serving("shop"))
            one.target.script.extend(["slow"])
            asking = [asyncio.create_task(one.ask("/book/1", "POST", body=b"x")) for _ in range(3)]
            await until(lambda: one.target.runs)
            # Two wait at the gate; they run elsewhere. The running one is completed.
            two.node.target.stopping = False
            two.node._broadcast_state()
            await until(lambda: one.node.directory.serving("shop"))
            evacuations.set("dc0")
            answers = await asyncio.gather(*asking)
            self.assertEqual([200] * 3, [answer.status for answer in answers])
            self.assertEqual((1, 2), (len(one.target.runs), len(two.target.runs)))
            for host in hosts * 5:
                self.assertEqual(200, (await host.ask()).status)
            self.assertEqual(1, len(one.target.runs))
            self.assertTrue(one.node.target.evacuated)
            # An entry that does not know yet is refused by the gate.
            reply = await one.node.target.run(mock.Mock(service="shop", request_id="r"))
            self.assertEqual("data-centre-evacuated", reply.reason)
            evacuations.set()
            await until(lambda: two.node.directory.serving("shop"))
            two.node.target.stopping = True
            two.node._broadcast_state()
            self.assertEqual(200, (await two.ask()).status)
            self.assertEqual(2, len(one.target.runs))

    async def test_all_data_centres_evacuated(self):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            FakeEvacuations([host.node for host in hosts]).set("dc0", "dc1")
            for host in hosts * 3:
                answer = await host.ask()
                self.assertEqual(503, answer.status)
                self.assertGreater(float(answer.header(b"retry-after")), 0.0)
            self.assertEqual([], hosts[0].target.runs + hosts[1].target.runs)

    @parameterized.expand(
        [
            # what health checks get, their number, the time that the target states, whether
            # it is cold afterwards
            ("cold", [], 1, 60_000, True),
            ("warm", [], 1, 0, False),
            ("no answer at first", ["cut"], 2, 0, False),
            ("the answer of another target", ["other"], 1, 0, True),
        ]
    )
    async def test_the_end_of_an_evacuation(self, _, script, checks, cold_ms, cold):
        async with Fleet("shop", **BOUNDS) as fleet:
            (shop,) = await fleet.serve(config(services=SERVICES), slots=20)
            evacuations = FakeEvacuations([shop.node])
            evacuations.set("dc0")
            self.assertEqual([], shop.target.health_checks)
            shop.target.health_script.extend(script)
            shop.target.cold_ms = cold_ms
            evacuations.set()
            # A heartbeat that was sent before the end arrives late.
            born = shop.node.target.announcements.current.born_ms
            await shop.announce(sequence=2, born=born, slots=20)
            self.assertIsNotNone(shop.node.target.cold.cold_s())
            counts = shop.node.target.cold.health_checks
            await until(lambda: sum(counts.values()) == checks)
            self.assertEqual(cold, shop.node.target.cold.cold_s() is not None)
            await asyncio.gather(*(shop.ask(left_ms=1000) for _ in range(60)))
            self.assertEqual(checks, len(shop.target.health_checks))
            if cold:
                self.assertLessEqual(most_in_a_second(shop.target.arrivals), MOST)

    async def test_records_of_the_operator_are_applied(self):
        async with Fleet("shop", "shop", **BOUNDS) as fleet:
            hosts = await fleet.serve(config(services=SERVICES))
            one, two = hosts
            fleet.store.evacuate("dc0")
            await until(lambda: all(h.node.directory.evacuated("dc0") for h in hosts))
            self.assertEqual(Load(), one.node.target.load())
            for host in hosts * 3:
                self.assertEqual(200, (await host.ask()).status)
            self.assertEqual((0, 6), (len(one.target.runs), len(two.target.runs)))
            fleet.store.evacuate("dc0", b"")
            await until(lambda: one.target.health_checks)
            await until(lambda: two.node.directory.serving("shop"))
            self.assertEqual([], two.target.health_checks)

    async def test_without_a_limit_no_health_check_is_paid_for(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve(config(services=SERVICES))
            evacuations = FakeEvacuations([shop.node])
            evacuations.set("dc0")
            evacuations.set()
            self.assertEqual(200, (await shop.ask()).status)
            self.assertEqual(1, len(shop.target.arrivals))
            await call(shop.cfg.target, "GET", HEALTH_PATH)
            self.assertEqual(1, len(shop.target.health_checks))
