"""When refused callers come back, and their place among the others, in virtual time."""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.admission import AdmissionController
from beryldrum.mesh.checks import AdmissionCheck, PendingRequest, Refusal
from beryldrum.mesh.conventions import RequestMetadata
from beryldrum.mesh.document import Route, WeightedService
from beryldrum.mesh.gate import Admission, Gate, RunRequest
from beryldrum.mesh.graph import CallGraph
from beryldrum.mesh.priorities import preferred, priority_at
from beryldrum.mesh.returns import Returns, Shortage

REPORT_PERIOD_S = 0.3
BURST_START_S = 10.0
SEEDS = (1, 2, 3, 4)
MEAN_ERROR = 0.025
"""Error of a share of one kind with that number of seeds, found with 12 others."""


class Callers(NamedTuple):
    """Callers of one route: latency objective, time that they have, time of a run."""

    objective_s: float
    left_s: float
    run_s: float


CALLERS = (
    Callers(0.4, 1.5, 0.05),
    Callers(0.8, 3.0, 0.1),
    Callers(2.0, 5.0, 0.25),
    Callers(4.0, 5.0, 0.4),
)


def a_route(name="0", callers=CALLERS[3], priority=0):
    """Return a route with the objective of its callers."""
    parts = (WeightedService("s", 1.0),)
    return Route(name, "h", "/", parts, True, 9.0, callers.objective_s, 2, priority, False)


class _Request:
    """A caller's request, compared by identity."""

    def __init__(self, kind, rank, route, born):
        self.kind, self.rank, self.route, self.born = kind, rank, route, born
        self.tries = 0


class Today(Returns):
    """The delays of before, without preference."""

    def is_returning(self, route, left_ms):
        return False

    def delay_ms(self, route, priority, left_ms, shortage):
        return self.default_delay_ms(priority)


class BurstReplay:
    """Callers of four kinds, of which those refused come back once, at any entry."""

    def __init__(self, policy, load, factor, seconds, seed):
        self.clock, self.rng = ManualClock(), random.Random(seed)
        self.gates = [Gate(self.clock, 30) for _ in range(5)]
        run_s = sum(callers.run_s for callers in CALLERS) / len(CALLERS)
        self.per_s = load * sum(gate.limit for gate in self.gates) / run_s * 0.95
        self.factor, self.end_s = factor, BURST_START_S + seconds
        self.full = 0.0
        self.entries = [
            (
                AdmissionController(self.clock, self.rng, lambda service: self.full),
                policy(self.clock, random.Random(seed)),
            )
            for _ in range(4)
        ]
        self.events, self.numbers = [], itertools.count()
        self.offered, self.served, self.in_time, self.refused, self.refused_again = (
            Counter() for _ in range(5)
        )
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)

    def _at(self, delay_s, call, *args):
        at = self.clock.now() + delay_s
        heapq.heappush(self.events, (at, next(self.numbers), call, args))

    def run(self):
        while self.events[0][0] < self.end_s + 8.0:
            at, _, call, args = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            call(*args)
        return self

    def _report(self):
        self.full = sum(gate.load("s").full for gate in self.gates) / len(self.gates)
        self._at(REPORT_PERIOD_S, self._report)

    def _arrive(self):
        now, rng = self.clock.now(), self.rng
        burst = BURST_START_S <= now < self.end_s
        self._at(rng.expovariate(self.per_s * (self.factor if burst else 1.0)), self._arrive)
        kind = rng.randrange(len(CALLERS))
        route = a_route(str(kind), CALLERS[kind], rng.randrange(2))
        req = _Request(kind, rng.choice((0, 1, 1, 2)), route, now)
        self._count(self.offered, req)
        self._send(req)

    def _count(self, counts, req):
        # The burst, and the two seconds after it in which callers still return.
        if BURST_START_S <= req.born < self.end_s + 2.0:
            counts[req.kind] += 1

    def _left_s(self, req):
        return req.born + CALLERS[req.kind].left_s - self.clock.now()

    def _send(self, req):
        now, left_s = self.clock.now(), self._left_s(req)
        admission, returns = self.rng.choice(self.entries)
        priority = priority_at(req.rank, req.route, f"r{next(self.numbers)}")
        if returns.is_returning(req.route, int(left_s * 1000)):
            priority = preferred(priority)
        if not admission.admits(priority, ("s",)):
            shortage = Shortage(admission.min_admitted_share(("s",)), CALLERS[req.kind].run_s)
            delay_ms = returns.delay_ms(req.route, priority, int(left_s * 1000), shortage)
            return self._refuse(req, delay_ms)
        gate = min(self.rng.sample(self.gates, 2), key=lambda gate: gate.load("s").busy)
        due = now + req.route.latency_objective_s
        run = RunRequest(req.route.name, "", priority, due, now + left_s)
        offered = gate.offer(req, run)
        if offered.is_err():
            self._refuse(req, 200)
        elif offered.unwrap() is Admission.START:
            self._start(gate, req)
        return None

    def _refuse(self, req, delay_ms):
        req.tries += 1
        self._count(self.refused if req.tries == 1 else self.refused_again, req)
        if req.tries == 1:
            wait_s = min(delay_ms / 1000, self._left_s(req) / 3)
            self._at(wait_s + self.rng.uniform(0.003, 0.008), self._send, req)

    def _start(self, gate, req):
        run_s = CALLERS[req.kind].run_s * self.rng.uniform(0.6, 1.4)
        self._at(run_s, self._end, gate, req, run_s)

    def _end(self, gate, req, run_s):
        gate.finish(req.route.name, run_s, True)
        started, refused = gate.dequeue()
        for other in started:
            self._start(gate, other)
        for other, _ in refused:
            self._refuse(other, 200)
        if self._left_s(req) >= 0.0:
            self._count(self.served, req)
        if self.clock.now() <= req.born + CALLERS[req.kind].objective_s:
            self._count(self.in_time, req)


def replay(policy, load, factor, seconds):
    """Return the shares served, in time, refused and refused again, and served by kind."""
    runs = [BurstReplay(policy, load, factor, seconds, seed).run() for seed in SEEDS]
    offered = sum((run.offered for run in runs), Counter())

    def share(name, kind=None):
        counts = sum((getattr(run, name) for run in runs), Counter())
        return counts.total() / offered.total() if kind is None else counts[kind] / offered[kind]

    names = ("served", "in_time", "refused", "refused_again")
    kinds = range(len(CALLERS))
    return (
        [share(name) for name in names],
        [share("served", kind) for kind in kinds],
        [share("in_time", kind) for kind in kinds],
    )


class BurstTest(TestCase):
    """Callers that come back within half a second of a long overload are refused again."""

    @parameterized.expand(
        [
            # load before the burst, its factor and seconds, least gain in served
            ("of a low load", 0.55, 2.4, 6.0, 0.0),
            ("of a usual load", 0.75, 2.4, 6.0, 0.015),
            ("of a high load", 0.9, 2.4, 6.0, 0.02),
            ("short", 0.75, 2.4, 2.0, 0.03),
            ("slight", 0.9, 1.3, 6.0, 0.0),
        ]
    )
    def test_burst(self, _, load, factor, seconds, gain):
        before, before_kinds, before_in_time = replay(Today, load, factor, seconds)
        after, kinds, in_time = replay(Returns, load, factor, seconds)
        self.assertGreaterEqual(after[0], before[0] + gain)
        self.assertGreaterEqual(after[1], before[1] - 0.005)
        self.assertLess(after[3], before[3])
        for old, new in zip(before_kinds, kinds, strict=True):
            self.assertGreaterEqual(new, old - MEAN_ERROR)
        # Answers within 400 ms are fewer, by up to 0.02, as other callers return.
        for old, new in zip(before_in_time, in_time, strict=True):
            self.assertGreaterEqual(new, old - 0.02 - MEAN_ERROR)


class ReturnsTest(TestCase):
    """The delays that are stated, and who is taken for a returning caller."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.returns = Returns(self.clock, random.Random(1))

    def delays(self, callers, left_ms, admitted, priority=128):
        route, shortage = a_route(callers=callers), Shortage(admitted, callers.run_s)
        return [self.returns.delay_ms(route, priority, left_ms, shortage) for _ in range(300)]

    @parameterized.expand(
        [
            # callers, time left in ms, share admitted, least and longest delay in ms
            ("objective without room", CALLERS[0], 1500, 0.2, 300, 700),
            ("objective with little room", CALLERS[1], 3000, 0.2, 300, 700),
            ("little time left", CALLERS[3], 2000, 0.2, 300, 700),
            ("no time stated", CALLERS[3], -1, 0.2, 300, 700),
            ("slight overload", CALLERS[3], 5000, 0.99, 185, 395),
            ("deep overload, objective", CALLERS[2], 5000, 0.2, 1300, 1625),
            ("deep overload, a third of the time", CALLERS[3], 5000, 0.2, 1333, 1667),
        ]
    )
    def test_delay(self, _, callers, left_ms, admitted, least, longest):
        delays = self.delays(callers, left_ms, admitted)
        self.assertGreaterEqual(min(delays), least)
        self.assertLessEqual(max(delays), longest)
        self.assertGreater(max(delays) - min(delays), 0.8 * (longest - least))

    def test_callers_are_spread_to_times_at_which_few_return(self):
        drawn = []
        for _ in range(10):
            drawn += self.delays(CALLERS[3], 5000, 0.2)
        counts = Counter(int(delay / 100) for delay in drawn)
        # Random times alone give some 900 in a whole interval, and 600 in those at the ends.
        self.assertEqual({13, 14, 15, 16}, set(counts))
        self.assertLess(max(counts.values()), 800)

    def test_few_expected_times_are_kept(self):
        for _ in range(500):
            self.clock.advance(0.3)
            self.delays(CALLERS[3], 5000, 0.2)
        self.assertLess(len(self.returns._expected), 100)

    def test_who_returns(self):
        route = a_route()
        self.assertFalse(self.returns.is_returning(route, 5000))
        self.delays(CALLERS[3], 5000, 0.2)
        for left_ms, expected in ((5000, False), (4990, False), (4850, True), (-1, False)):
            self.assertEqual(expected, self.returns.is_returning(route, left_ms))
        self.assertFalse(self.returns.is_returning(a_route("other"), 3000))
        self.assertEqual((300, 1), (self.returns.promised, self.returns.seen))

    def test_a_caller_that_states_little_time_gains_only_where_others_were_refused(self):
        route = a_route()
        self.returns.is_returning(route, 5000)
        self.assertFalse(self.returns.is_returning(route, 1000))
        for _ in range(10):
            self.returns.delay_ms(route, 128, 5000, Shortage(0.2, 0.1))
        seen = sum(self.returns.is_returning(route, 1000) for _ in range(100))
        self.assertEqual(20, seen)
        self.returns.delay_ms(route, 128, 5000, Shortage(0.2, 0.1))
        self.clock.advance(10.0)
        self.assertFalse(self.returns.is_returning(route, 1000))

    def test_a_longer_time_that_was_stated_once_is_forgotten(self):
        route = a_route()
        self.returns.is_returning(route, 9000)
        for _ in range(3):
            self.clock.advance(31.0)
            self.returns.is_returning(route, 5000)
        self.returns.delay_ms(route, 128, 5000, Shortage(0.2, 0.1))
        self.assertFalse(self.returns.is_returning(route, 5000))

    def test_the_entry_states_the_delay_and_prefers_the_caller_that_returns(self):
        graph = mock.create_autospec(CallGraph, instance=True)
        graph.has_calls = False
        graph.reachable_services.return_value = frozenset({"s"})
        admission = AdmissionController(self.clock, random.Random(1), lambda service: 4.0)
        check = AdmissionCheck(admission, graph, self.returns, lambda route: 0.4)
        route, refused, seen = a_route(), [], []
        for number in range(2000):
            self.clock.advance(0.005)
            priority = priority_at(1, route, f"r{number}")
            for left_ms in (5000, 3500):
                stated = RequestMetadata("r", "h", "/", left_ms, "")
                checked = check.check(
                    PendingRequest(stated, route, priority, None, 0.0, False), None
                )
                if isinstance(checked, Refusal):
                    refused.append((number, left_ms, checked.retry_after_ms))
                elif left_ms < 5000 and checked.priority == preferred(priority) != priority:
                    seen.append(number)
        late = [(left_ms, ms) for number, left_ms, ms in refused if number > 1000]
        self.assertTrue(all(1333 <= ms <= 1667 for left_ms, ms in late if left_ms == 5000))
        self.assertTrue(all(ms <= 1167 for left_ms, ms in late if left_ms == 3500))
        self.assertGreater(len(seen), 20)

    def test_preferred_to_no_more_important_request(self):
        for priority in range(64, 256):
            better = preferred(priority)
            self.assertLessEqual(better, priority)
            self.assertEqual(priority // 16, better // 16)
            self.assertLess(better % 16, 8)
            # The order of its calls is that of its own cohort.
            self.assertEqual(priority % 4, better % 4)
