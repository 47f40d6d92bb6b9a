"""Rate limits in demand surges and after a restart of all nodes, with realistic delays.

Each node requests states, updates its buckets and answers requests for summaries at its
own times. States and summaries are cached for as long as in the product, so reports are as
old as they are there.
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
from beryldrum.mesh.summaries import CACHE_LIFE_S, SUMMARY_PERIOD_S
from tests.test_mesh_scale import OVERSHOOT, SLACK, WINDOW_S, Node

MESSAGE_DELAY_S = 0.003
"""Delay of a message, and maximum lateness of a timer."""

SURGE_START_S = 6.0


class Surge(NamedTuple):
    """Demand as multiples of the rate, before and from :data:`SURGE_START_S` on."""

    name: str
    nodes: int
    data_centres: int
    rate: tuple[float, float]
    """The rate and the burst."""
    before: float
    after: float
    max_wrong_share: float = 1.0
    """Maximum share of the requests refused although one exact bucket would admit them."""


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
    """A node that caches its state and summary."""

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation)
        self.quotas.max_report_age_s = max_report_age_s(1, self.directory.large)
        self.cached_frames = {}

    def frame(self, kind, make, life_s):
        """Return the cached frame and its time, or make a new one after ``life_s``."""
        now = self.fleet.clock.now()
        made_at, frame = self.cached_frames.get(kind, (float("-inf"), None))
        if now - made_at >= life_s:
            made_at, frame = self.cached_frames[kind] = now, make()
        return made_at, frame

    def state(self):
        large = self.directory.large
        uses = self.quotas.all_usages() if large else self.quotas.recent_usages()
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
    """A single bucket for the whole fleet, as the reference; it starts full."""

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
    """All nodes of a fleet, and the most requests that they admitted in any window."""

    def __init__(self, case, seed):
        self.case = case
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.nodes = [TimedNode(self, number, 1) for number in range(case.nodes)]
        for node in self.nodes:
            node.discover(self.nodes)
            node.quotas.max_report_age_s = max_report_age_s(1, node.directory.large)
        self.exact = ExactBucket(self.clock, *case.rate)
        self.admitted = deque()
        self.asked = self.admitted_count = self.exact_admitted = self.max_in_window = 0
        self._events = []
        self._order = itertools.count()
        for node in self.nodes:
            self._schedule_at(self.rng.uniform(0, TICK_S), self._tick, node)
            self._schedule_at(self.rng.uniform(0, HEARTBEAT_S), self._heartbeat, node)
        for own, remote in itertools.permutations(range(case.data_centres), 2):
            self._schedule_at(
                self.rng.uniform(0, SUMMARY_PERIOD_S), self._request_summary, own, remote
            )
        self._schedule_at(0.0, self._request)

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

    def _schedule_at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def _schedule_after(self, delay_s, call, *args):
        self._schedule_at(self.clock.now() + delay_s, call, *args)

    def _tick(self, node):
        node.quotas.share = node.directory.reachable_share()
        node.quotas.tick(node.directory.reports(), node.directory.local_reports())
        self._schedule_after(TICK_S + self.rng.uniform(0, MESSAGE_DELAY_S), self._tick, node)

    def _heartbeat(self, node):
        for other in self.nodes:
            if other is not node and (
                not node.directory.large or other.data_centre == node.data_centre
            ):
                self._schedule_after(MESSAGE_DELAY_S, self._send_state, other, node)
        self._schedule_after(HEARTBEAT_S * self.rng.uniform(0.9, 1.1), self._heartbeat, node)

    def _send_state(self, node, asker):
        _, state = node.frame("state", node.state, STATE_CACHE_S)
        self._schedule_after(MESSAGE_DELAY_S, asker.receive_state, state)

    def _request_summary(self, own, remote):
        if self.nodes[0].directory.large:
            source = next((n for n in self.nodes if n.data_centre == remote and n.alive), None)
            if source is not None:
                self._schedule_after(MESSAGE_DELAY_S, self._send_summary, source, own)
        self._schedule_after(
            SUMMARY_PERIOD_S * self.rng.uniform(0.9, 1.1), self._request_summary, own, remote
        )

    def _send_summary(self, source, data_centre):
        made_at, summary = source.frame("summary", source.summary, CACHE_LIFE_S)
        for node in self.nodes:
            if node.data_centre == data_centre and node.alive:
                self._schedule_after(
                    2 * MESSAGE_DELAY_S, node.directory.apply_summary, summary, made_at
                )

    def _choose(self):
        return self.rng.choice([node for node in self.nodes if node.alive])

    def _request(self):
        now, case = self.clock.now(), self.case
        per_s = case.rate[0] * (case.after if now >= SURGE_START_S else case.before)
        self._schedule_after(self.rng.expovariate(per_s), self._request)
        self.asked += 1
        self.exact_admitted += self.exact.take()
        if self._choose().take():
            self.admitted_count += 1
            self.admitted.append(now)
        while self.admitted and self.admitted[0] <= now - WINDOW_S:
            self.admitted.popleft()
        self.max_in_window = max(self.max_in_window, len(self.admitted))


RESTART_DELAY_S = 0.6
"""Time after which the first of the killed processes start again."""

RESTART_SPREAD_S = 0.3
CONNECT_S = 0.15
"""Times within which all processes start, and within which a process is connected."""


class KillSimulation(SurgeSimulation):
    """A surge where all processes are killed at :data:`KILL_AT_S` and restart."""

    KILL_AT_S = 9.0

    def __init__(self, case, seed):
        super().__init__(case, seed)
        self.open_connections = set(itertools.permutations(range(case.nodes), 2))
        self._schedule_at(self.KILL_AT_S, self._kill)

    def _kill(self):
        self.open_connections.clear()
        for node in self.nodes:
            node.alive = False
            self._schedule_after(
                RESTART_DELAY_S + self.rng.uniform(0, RESTART_SPREAD_S), self._start, node
            )

    def _start(self, old):
        node = TimedNode(self, old.number, old.member.incarnation + 1)
        self.nodes[node.number] = node
        for other in self.nodes:
            if other is node:
                continue
            node.directory.add(other.member)
            if other.alive:
                self._schedule_after(self.rng.uniform(0, CONNECT_S), self._connect, node, other)
                self._schedule_after(self.rng.uniform(0, CONNECT_S), self._connect, other, node)
        node.quotas.max_report_age_s = max_report_age_s(1, node.directory.large)
        self._schedule_after(self.rng.uniform(0, TICK_S), self._tick, node)
        self._schedule_after(self.rng.uniform(0, HEARTBEAT_S), self._heartbeat, node)

    def _connect(self, node, other):
        if not node.directory.large or node.data_centre == other.data_centre:
            self.open_connections.add((node.number, other.number))
            node.receive_state(other.state())

    def _tick(self, node):
        if node.alive:
            super()._tick(node)

    def _heartbeat(self, node):
        if node.alive:
            super()._heartbeat(node)

    def _send_state(self, node, asker):
        if (asker.number, node.number) in self.open_connections:
            super()._send_state(node, asker)

    def _request(self):
        if any(node.alive for node in self.nodes):
            super()._request()
        else:
            self._schedule_after(TICK_S, self._request)


class MassKillTest(TestCase):
    """Requests admitted before all nodes were killed still count against the rate."""

    @parameterized.expand(
        [
            (
                f"{nodes}_nodes_{data_centres}_{rate:g}_{burst:g}_{after:g}",
                nodes,
                data_centres,
                rate,
                burst,
                after,
            )
            for nodes, data_centres in ((14, 3), (23, 4), (87, 4))
            for rate, burst, after in ((20.0, 20.0, 3.0), (20.0, 20.0, 10.0), (60.0, 138.0, 10.0))
        ]
    )
    def test_kill(self, _, nodes, data_centres, rate, burst, after):
        for seed in range(2):
            case = Surge("all are killed", nodes, data_centres, (rate, burst), 0.9, after)
            simulation = KillSimulation(case, seed)
            simulation.run(KillSimulation.KILL_AT_S + 6.0)
            bound = (rate * WINDOW_S + burst) * OVERSHOOT + SLACK
            self.assertLessEqual(simulation.max_in_window, bound)


class SurgeTest(TestCase):
    """An organisation gets no more than its rate while its demand rises."""

    @parameterized.expand([(case.name.replace(" ", "_"), case) for case in SURGES])
    def test_surge(self, _, case):
        for seed in range(3):
            simulation = SurgeSimulation(case, seed)
            simulation.run(5.0)
            simulation.asked = simulation.admitted_count = simulation.exact_admitted = 0
            simulation.run(SURGE_START_S + 6.0)
            bound = (case.rate[0] * WINDOW_S + case.rate[1]) * OVERSHOOT + SLACK
            self.assertLessEqual(simulation.max_in_window, bound)
            wrong_share = (simulation.exact_admitted - simulation.admitted_count) / simulation.asked
            self.assertLessEqual(wrong_share, case.max_wrong_share)
