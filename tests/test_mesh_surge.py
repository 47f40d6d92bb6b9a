"""Rates in surges and after all nodes have started anew, with news as old as they are.

Each node asks for states, looks at its buckets and is asked for summaries at times of its
own, and frames are sent again for as long as the product does.
"""

import heapq
import itertools
import random
from collections import deque
from typing import NamedTuple

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.frames import Load, State
from beryldrum.mesh.node import HEARTBEAT_S, STATE_CACHE_S, TICK_S, max_report_age_s
from beryldrum.mesh.summaries import MADE_LIFE_S, SUMMARY_S
from tests.test_mesh_scale import OVERSHOOT, SLACK, WINDOW_S, Node

WAY_S = 0.003
"""Time that a message takes, and the lateness of a timer."""

SURGE_AT_S = 6.0


class Surge(NamedTuple):
    """Demand as multiples of the rate, before and from :data:`SURGE_AT_S` on."""

    name: str
    nodes: int
    centres: int
    rate: tuple[float, float]
    """The rate and the burst."""
    before: float
    after: float
    wrong_most: float = 1.0
    """Part of the requests that may be refused though one exact bucket would admit them."""


SURGES = (
    Surge("a small fleet", 14, 3, (20.0, 20.0), 0.9, 20.0),
    Surge("the largest that each hears all of", 23, 4, (20.0, 20.0), 0.9, 20.0),
    Surge("a large organisation", 23, 4, (73.0, 73.0), 0.9, 20.0),
    Surge("four data centres", 87, 4, (73.0, 73.0), 0.8, 7.4),
    Surge("four data centres and a small organisation", 87, 4, (20.0, 20.0), 0.9, 20.0),
    Surge("ten data centres", 40, 10, (40.0, 40.0), 0.9, 20.0),
    Surge("five data centres within the rate", 40, 5, (20.0, 20.0), 0.6, 0.8, 0.02),
    Surge("a small fleet within the rate", 14, 3, (20.0, 20.0), 0.6, 0.8, 0.02),
    Surge("a few a second at many nodes", 23, 4, (6.0, 6.0), 0.9, 20.0),
)


class TimedNode(Node):
    """A node whose state and summary are sent again for a while."""

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation)
        self.quotas.news_s = max_report_age_s(1, self.directory.large)
        self.sent = {}

    def frame(self, kind, make, life_s):
        """Return what was made last, or make it anew."""
        now = self.fleet.clock.now()
        made_at, frame = self.sent.get(kind, (float("-inf"), None))
        if now - made_at >= life_s:
            made_at, frame = self.sent[kind] = now, make()
        return made_at, frame

    def state(self):
        large = self.directory.large
        uses = self.quotas.all_uses() if large else self.quotas.uses()
        return State(
            self.member,
            Load(),
            1,
            0,
            uses,
            {},
            data_centre_count=self.directory.data_centre_count(),
        )


class ExactBucket:
    """What one bucket for the whole fleet would admit; it begins full."""

    def __init__(self, clock, rate_per_s, burst):
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.burst = self.level = burst
        self.at = clock.now()

    def take(self):
        now = self.clock.now()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate_per_s)
        self.at = now
        taken = self.level >= 1.0
        self.level -= taken
        return taken


class SurgeSimulation:
    """All nodes of a fleet, and the most that any window of them has admitted."""

    def __init__(self, case, seed):
        self.case = case
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.nodes = [TimedNode(self, number, 1) for number in range(case.nodes)]
        for node in self.nodes:
            node.discover(self.nodes)
            node.quotas.news_s = max_report_age_s(1, node.directory.large)
        self.exact = ExactBucket(self.clock, *case.rate)
        self.admitted = deque()
        self.asked = self.taken = self.owed = self.worst = 0
        self._events = []
        self._order = itertools.count()
        for node in self.nodes:
            self._push(self.rng.uniform(0, TICK_S), self._tick, node)
            self._push(self.rng.uniform(0, HEARTBEAT_S), self._beat, node)
        for own, far in itertools.permutations(range(case.centres), 2):
            self._push(self.rng.uniform(0, SUMMARY_S), self._ask_summary, own, far)
        self._push(0.0, self._request)

    def at(self, peer):
        """Return the node behind a peer."""
        return self.nodes[int(peer.member.address.rpartition(":")[0].rpartition(".")[2])]

    def partitioned(self, one, other):
        return False

    def run(self, until_s):
        while self._events[0][0] < until_s:
            at, _, call, args = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            call(*args)

    def _push(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def _after(self, delay_s, call, *args):
        self._push(self.clock.now() + delay_s, call, *args)

    def _tick(self, node):
        node.quotas.share = node.directory.reachable_share()
        node.quotas.tick(node.directory.reports(), node.directory.local_reports())
        self._after(TICK_S + self.rng.uniform(0, WAY_S), self._tick, node)

    def _beat(self, node):
        for other in self.nodes:
            if other is not node and (not node.directory.large or other.centre == node.centre):
                self._after(WAY_S, self._tell_state, other, node)
        self._after(HEARTBEAT_S * self.rng.uniform(0.9, 1.1), self._beat, node)

    def _tell_state(self, node, asker):
        _, state = node.frame("state", node.state, STATE_CACHE_S)
        self._after(WAY_S, asker.receive_state, state)

    def _ask_summary(self, own, far):
        if self.nodes[0].directory.large:
            source = next((n for n in self.nodes if n.centre == far and n.alive), None)
            if source is not None:
                self._after(WAY_S, self._tell_summary, source, own)
        self._after(SUMMARY_S * self.rng.uniform(0.9, 1.1), self._ask_summary, own, far)

    def _tell_summary(self, source, centre):
        made_at, summary = source.frame("summary", source.summary, MADE_LIFE_S)
        for node in self.nodes:
            if node.centre == centre and node.alive:
                self._after(2 * WAY_S, node.directory.apply_summary, summary, made_at)

    def _choose(self):
        return self.rng.choice([node for node in self.nodes if node.alive])

    def _request(self):
        now, case = self.clock.now(), self.case
        per_s = case.rate[0] * (case.after if now >= SURGE_AT_S else case.before)
        self._after(self.rng.expovariate(per_s), self._request)
        self.asked += 1
        self.owed += self.exact.take()
        if self._choose().take():
            self.taken += 1
            self.admitted.append(now)
        while self.admitted and self.admitted[0] <= now - WINDOW_S:
            self.admitted.popleft()
        self.worst = max(self.worst, len(self.admitted))


DOWN_S = 0.6
"""Time after which killed processes are back, the first of them."""

STARTS_S = 0.3
LINKS_S = 0.15
"""Times over which processes start, and within which they are connected."""


class KillSimulation(SurgeSimulation):
    """The same, but all processes are killed at :data:`KILL_AT_S` and start again."""

    KILL_AT_S = 9.0

    def __init__(self, case, seed):
        super().__init__(case, seed)
        self.linked = set(itertools.permutations(range(case.nodes), 2))
        self._push(self.KILL_AT_S, self._kill)

    def _kill(self):
        self.linked.clear()
        for node in self.nodes:
            node.alive = False
            self._after(DOWN_S + self.rng.uniform(0, STARTS_S), self._start, node)

    def _start(self, old):
        node = TimedNode(self, old.number, old.member.incarnation + 1)
        self.nodes[node.number] = node
        for other in self.nodes:
            if other is node:
                continue
            node.directory.add(other.member)
            if other.alive:
                self._after(self.rng.uniform(0, LINKS_S), self._link, node, other)
                self._after(self.rng.uniform(0, LINKS_S), self._link, other, node)
        node.quotas.news_s = max_report_age_s(1, node.directory.large)
        self._after(self.rng.uniform(0, TICK_S), self._tick, node)
        self._after(self.rng.uniform(0, HEARTBEAT_S), self._beat, node)

    def _link(self, node, other):
        if not node.directory.large or node.centre == other.centre:
            self.linked.add((node.number, other.number))
            node.receive_state(other.state())

    def _tick(self, node):
        if node.alive:
            super()._tick(node)

    def _beat(self, node):
        if node.alive:
            super()._beat(node)

    def _tell_state(self, node, asker):
        if (asker.number, node.number) in self.linked:
            super()._tell_state(node, asker)

    def _request(self):
        if any(node.alive for node in self.nodes):
            super()._request()
        else:
            self._after(TICK_S, self._request)


class MassKillTest(TestCase):
    """What was used before all nodes were killed is not given out again."""

    @parameterized.expand(
        [
            (
                f"{nodes}_nodes_{centres}_{rate:g}_{burst:g}_{after:g}",
                nodes,
                centres,
                rate,
                burst,
                after,
            )
            for nodes, centres in ((14, 3), (23, 4), (87, 4))
            for rate, burst, after in ((20.0, 20.0, 3.0), (20.0, 20.0, 10.0), (60.0, 138.0, 10.0))
        ]
    )
    def test_kill(self, _, nodes, centres, rate, burst, after):
        for seed in range(2):
            case = Surge("all are killed", nodes, centres, (rate, burst), 0.9, after)
            simulation = KillSimulation(case, seed)
            simulation.run(KillSimulation.KILL_AT_S + 6.0)
            bound = (rate * WINDOW_S + burst) * OVERSHOOT + SLACK
            self.assertLessEqual(simulation.worst, bound)


class SurgeTest(TestCase):
    """An organisation gets no more than its rate while its demand rises."""

    @parameterized.expand([(case.name.replace(" ", "_"), case) for case in SURGES])
    def test_surge(self, _, case):
        for seed in range(3):
            simulation = SurgeSimulation(case, seed)
            simulation.run(5.0)
            simulation.asked = simulation.taken = simulation.owed = 0
            simulation.run(SURGE_AT_S + 6.0)
            bound = (case.rate[0] * WINDOW_S + case.rate[1]) * OVERSHOOT + SLACK
            self.assertLessEqual(simulation.worst, bound)
            wrong = (simulation.owed - simulation.taken) / simulation.asked
            self.assertLessEqual(wrong, case.wrong_most)
