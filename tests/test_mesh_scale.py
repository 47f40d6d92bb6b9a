"""Tests of a large fleet: summaries of data centres and the homes of rates.

The simulation runs the real directories, quotas and rate homes of all nodes in virtual
time. Messages arrive without delay, at the intervals at which nodes send them.
"""

import asyncio
import contextlib
import random
import time
from collections import deque
from typing import NamedTuple
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock, SystemClock
from beryldrum.errors import LogDownError, PeerLostError
from beryldrum.mesh import directory as directories
from beryldrum.mesh import node as nodes
from beryldrum.mesh.budget import RetryBudget
from beryldrum.mesh.configuration import ConfigurationState
from beryldrum.mesh.conventions import WireAdapter
from beryldrum.mesh.directory import FULL_MESH_MAX_NODES, Directory
from beryldrum.mesh.document import FleetDocument, Organisation
from beryldrum.mesh.explain import Explainer
from beryldrum.mesh.follow import Follower
from beryldrum.mesh.frames import GrantReturn, Load, Member, NodeLoad, State, Summary
from beryldrum.mesh.graph import CallGraph
from beryldrum.mesh.homes import RateHomes
from beryldrum.mesh.quota import Quotas, Tolerance, Usage, UsageReport
from beryldrum.mesh.store import Store, Watch
from beryldrum.mesh.summaries import Summaries
from tests.mesh_fleet import Fleet, config, route, until

STEP_S = 0.05
TICK_STEPS = 5
STATE_STEPS = 10
SUMMARY_STEPS = 8
REPORT_AGE_S = (TICK_STEPS + STATE_STEPS + SUMMARY_STEPS) * STEP_S
WINDOW_S = 5.0
OVERSHOOT, SLACK = 1.1, 20.0
ORGANISATION = "mart"


def address(number):
    """Return the address of a node."""
    return f"10.0.{number // 250}.{number % 250}:1"


class Node:
    """One node of the simulation: the components that decide on a rate, without sockets."""

    def __init__(self, fleet, number, incarnation):
        self.fleet = fleet
        self.number = number
        self.data_centre = number % fleet.case.data_centres
        self.alive = True
        self.member = Member(address(number), f"dc{self.data_centre}", incarnation)
        self.directory = Directory(fleet.clock, self.member)
        first = incarnation == 1
        self.quotas = Quotas(fleet.clock, fleet.rng, Tolerance(0.1, SLACK), first)
        self.quotas.load({ORGANISATION: Organisation(ORGANISATION, None, *fleet.case.rate)})
        self.quotas.max_report_age_s = REPORT_AGE_S
        explainer = mock.create_autospec(Explainer, instance=True)
        self.homes = RateHomes(self.quotas, self.directory, explainer, self._ask, self._tell)

    def can_reach(self, other):
        return self.alive and other.alive and not self.fleet.partitioned(self, other)

    def discover(self, others):
        for other in others:
            if other is not self:
                self.directory.add(other.member)
        for other in others:
            if (
                other is not self
                and other.data_centre == self.data_centre
                and self.can_reach(other)
            ):
                self.receive_state(other.state())

    def state(self):
        return State(self.member, Load(), 1, 0, self.quotas.all_usages(), {})

    def receive_state(self, state):
        self.directory.add(state.member)
        self.directory.apply_state(state, self.fleet.clock.now(), answered=True)
        self.directory.set_connected(self.directory.peers[state.member.address], True)

    def summary(self):
        uses = self.quotas.data_centre_usages(self.directory.local_demands())
        nodes = self.directory.local_loads()
        return Summary(0, self.member, 0, nodes, uses, {}, 1, 0)

    async def _ask(self, peer, ask, timeout_s):
        other = self.fleet.at(peer)
        if not self.can_reach(other):
            raise PeerLostError(peer.member.address, sent=True)
        return other.homes.grant(ask)

    def _tell(self, peer, message):
        assert isinstance(message, GrantReturn)
        self.fleet.at(peer).quotas.give_back(message.organisation)

    def take(self):
        """Take one request from the rate; no call in the simulation blocks."""
        try:
            self.homes.take(ORGANISATION).send(None)
        except StopIteration as done:
            return done.value == 0
        raise AssertionError("the call to the rate home blocked")


class Case(NamedTuple):
    """A load pattern with its faults.

    ``demand`` returns the requests per second of the whole fleet at a time.
    """

    name: str
    rate: tuple[float, float]
    """Requests per second, and the burst."""
    demand: object
    refused_most: float = 1.0
    restarted: float = 0.0
    """Share of the nodes that are killed each second and restarted a second later."""
    partition: tuple = ()
    """Start and end, in seconds, of a partition of the first data centre from the others."""
    nodes: int = 100
    data_centres: int = 5


def steady(per_s):
    """Return a constant demand."""
    return lambda now: per_s


def surge(base, peak, at):
    """Return a demand that rises at all nodes at the same time."""
    return lambda now: peak if now >= at else base


class Simulation:
    """All nodes of a fleet; counts the requests that they admit."""

    def __init__(self, case, seed):
        self.case = case
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.nodes = [Node(self, number, 1) for number in range(case.nodes)]
        self.dead = deque()
        self.admitted = deque()
        self.sent = self.refused = self.worst = 0
        for node in self.nodes:
            node.discover(self.nodes)

    def at(self, peer):
        """Return the node of a peer."""
        first, second = peer.member.address.rpartition(":")[0].split(".")[2:]
        return self.nodes[int(first) * 250 + int(second)]

    def partitioned(self, one, other):
        period = self.case.partition
        active = bool(period) and period[0] <= self.clock.now() < period[1]
        return active and (one.data_centre == 0) != (other.data_centre == 0)

    def run(self, seconds):
        for step in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            if step % round(1 / STEP_S) == 0:
                self._restart()
            self._exchange(step)
            for node in self.nodes:
                if node.alive and (step + node.number) % TICK_STEPS == 0:
                    node.quotas.share = node.directory.reachable_share()
                    reports = node.directory.reports()
                    node.quotas.tick(reports, node.directory.local_reports())
            self._send_requests()

    def _restart(self):
        while self.dead:
            old = self.dead.popleft()
            node = self.nodes[old.number] = Node(self, old.number, old.member.incarnation + 1)
            node.discover([other for other in self.nodes if other.alive])
            for other in self.nodes:
                if other.data_centre == node.data_centre and other.alive and other is not node:
                    other.receive_state(node.state())
        for node in self.rng.sample(self.nodes, int(self.case.restarted * len(self.nodes))):
            node.alive = False
            self.dead.append(node)
            for other in self.nodes:
                peer = other.directory.peers.get(node.member.address)
                if peer is not None:
                    other.directory.set_connected(peer, False)

    def _exchange(self, step):
        alive = [node for node in self.nodes if node.alive]
        for node in alive:
            if (step + node.number) % STATE_STEPS == 0:
                state = node.state()
                for other in alive:
                    if other.data_centre == node.data_centre and other is not node:
                        other.receive_state(state)
        for data_centre in range(self.case.data_centres):
            if (step + data_centre) % SUMMARY_STEPS:
                continue
            own = [node for node in alive if node.data_centre == data_centre]
            for remote in range(self.case.data_centres):
                sources = [node for node in alive if node.data_centre == remote]
                if (
                    remote == data_centre
                    or not own
                    or not sources
                    or self.partitioned(own[0], sources[0])
                ):
                    continue
                summary = sources[0].summary()
                for node in own:
                    node.directory.apply_summary(summary, self.clock.now())

    def _send_requests(self):
        now = self.clock.now()
        expected = self.case.demand(now) * STEP_S
        for _ in range(int(expected) + (self.rng.random() < expected % 1)):
            node = self.rng.choice(self.nodes)
            if not node.alive:
                continue
            self.sent += 1
            if node.take():
                self.admitted.append(now)
            else:
                self.refused += 1
        while self.admitted and self.admitted[0] <= now - WINDOW_S:
            self.admitted.popleft()
        self.worst = max(self.worst, len(self.admitted))


RATES = (
    Case("two a second", (2.0, 2.0), steady(1.25), refused_most=0.005, nodes=195),
    Case("twenty a second", (20.0, 20.0), steady(12.5), refused_most=0.005),
    Case("a tenth of the nodes killed", (20.0, 20.0), steady(12.5), 0.03, restarted=0.1),
    Case("a surge at all nodes", (2.0, 2.0), surge(1.2, 40.0, 8.0)),
    Case("a greater surge", (20.0, 20.0), surge(12.0, 300.0, 8.0)),
    Case("a surge, nodes killed", (20.0, 20.0), surge(12.0, 200.0, 8.0), restarted=0.1),
    Case(
        "a data centre cut off in a surge",
        (20.0, 20.0),
        surge(12.0, 200.0, 9.0),
        partition=(8.0, 14.0),
    ),
    Case("a cut within the rate", (20.0, 20.0), steady(12.5), 0.05, partition=(8.0, 14.0)),
    Case("forty nodes", (2.0, 2.0), surge(1.2, 40.0, 8.0), nodes=40),
)


class RatesAtScaleTest(TestCase):
    """Small rates over hundreds of nodes stay within the bound, with few false refusals."""

    @parameterized.expand([(case.name.replace(" ", "_"), case) for case in RATES])
    def test_pattern(self, _, case):
        simulation = Simulation(case, 11)
        simulation.run(5.0)
        simulation.sent = simulation.refused = 0
        simulation.run(13.0 if case.refused_most == 1.0 else 26.0)
        bound = (case.rate[0] * WINDOW_S + case.rate[1]) * OVERSHOOT + SLACK
        self.assertLessEqual(simulation.worst, bound)
        self.assertLessEqual(simulation.refused / simulation.sent, case.refused_most)


class RateHomeChangeTest(TestCase):
    """Requests that the previous home has granted are not granted again by the next one."""

    @parameterized.expand(
        [
            # admitted as reported before and now, incarnation of the reporter, most granted
            ("nothing", 7, 7, 1, 4),
            ("all that there is", 7, 11, 1, 0),
            ("all of it, by a process that has just started", 7, 4, 2, 0),
        ]
    )
    def test_a_new_home_continues_from_the_grants_of_the_last_one(
        self, _, before, now, process, most
    ):
        clock = ManualClock()
        quotas = Quotas(clock, random.Random(1))
        quotas.load({ORGANISATION: Organisation(ORGANISATION, None, 4.0, 4.0)})

        def tick(heard, admitted, incarnation=1):
            clock.advance(0.25)
            uses = {ORGANISATION: Usage(0, admitted, 4)}
            quotas.tick([], [UsageReport("home", incarnation, heard, uses)])

        for heard in range(8):
            tick(heard, before)
        tick(8, now, process)
        granted = sum(quotas.take(ORGANISATION) for _ in range(20))
        # The bucket earns two ticks' worth meanwhile: of the previous tick and of this one.
        self.assertTrue(most / 2 <= granted <= most + 4.0 * 0.25 * 2, granted)


OWN = Member(address(0), "dc0", 1)
REMOTE = Member(address(1), "dc1", 1)
OTHER = Member(address(6), "dc1", 1)


def large_directory():
    """Return a directory of a large fleet, and its clock."""
    clock = ManualClock()
    directory = Directory(clock, OWN)
    for number in range(1, FULL_MESH_MAX_NODES + 1):
        directory.add(Member(address(number), f"dc{number % 5}", 1))
    return directory, clock


def summary(source, *members, service="shop"):
    """Return a summary of the data centre of ``source``."""
    nodes = [NodeLoad(member, Load(service, 0, 10)) for member in members]
    return Summary(0, source, 0, nodes, {}, {}, 1, 0)


class DirectoryTest(TestCase):
    """The state of remote nodes that are known only from summaries."""

    @parameterized.expand(
        [
            # seconds since the summary, seconds since connecting failed, is it serving
            ("summarised just now", 0.1, None, True),
            ("summarised long ago", 2.5, None, False),
            ("not reached since", 0.1, 0.1, False),
            ("not reached before", 0.1, 1.2, True),
        ]
    )
    def test_serving(self, _, summarised_s, unreachable_s, serves):
        directory, clock = large_directory()
        peer = directory.peers[REMOTE.address]
        clock.advance(5.0)
        if unreachable_s is not None:
            directory.mark_unreachable(peer)
            clock.advance(unreachable_s)
        directory.apply_summary(summary(OTHER, REMOTE), clock.now())
        clock.advance(summarised_s)
        self.assertEqual([peer] if serves else [], directory.serving("shop"))

    def test_a_node_missing_from_summaries_serves_until_its_last_entry_expires(self):
        directory, clock = large_directory()
        directory.apply_summary(summary(OTHER, REMOTE), clock.now())
        clock.advance(0.4)
        directory.apply_summary(summary(OTHER, OTHER), clock.now())
        self.assertEqual(2, len(directory.serving("shop")))
        for _ in range(5):
            clock.advance(0.4)
            directory.apply_summary(summary(OTHER, OTHER), clock.now())
        self.assertEqual([directory.peers[OTHER.address]], directory.serving("shop"))

    def test_a_summary_entry_of_an_earlier_process_is_ignored(self):
        directory, clock = large_directory()
        directory.apply_summary(
            summary(OTHER, Member(REMOTE.address, REMOTE.data_centre, 7)), clock.now()
        )
        clock.advance(0.4)
        directory.apply_summary(summary(OTHER, REMOTE, service="stock"), clock.now())
        self.assertEqual([], directory.serving("stock"))

    @parameterized.expand(
        [
            # pause before a second source's summary, source whose counts are used then
            ("another source beside the first", 0.4, OTHER),
            ("another source when the first is silent", 1.5, REMOTE),
        ]
    )
    def test_counts_are_of_one_source(self, _, pause_s, holds):
        directory, clock = large_directory()
        directory.apply_summary(summary(OTHER, REMOTE), clock.now())
        clock.advance(pause_s)
        directory.apply_summary(summary(REMOTE, OTHER), clock.now())
        after, _ = large_directory()
        after.apply_summary(summary(holds, REMOTE), clock.now())
        self.assertEqual(after.reports()[0].incarnation, directory.reports()[0].incarnation)

    def test_a_node_that_has_just_started_learns_of_a_large_fleet_from_a_local_node(self):
        directory = Directory(ManualClock(), OWN)
        local = Member(address(5), "dc0", 1)
        directory.set_connected(directory.add(local), True)
        self.assertEqual(1.0, directory.reachable_share())
        directory.apply_state(
            State(local, Load(), 1, 0, {}, {}, data_centre_count=5), 0.0, answered=True
        )
        self.assertTrue(directory.large)
        # Nothing is known yet of the other data centres, so they keep their shares.
        self.assertEqual(1 / 5, directory.reachable_share())
        directory.apply_summary(summary(OTHER, REMOTE), 0.0)
        self.assertEqual(2 / 5, directory.reachable_share())

    def test_share_is_reduced_by_silent_nodes_but_not_by_stopped_ones(self):
        directory, _ = large_directory()
        local = [peer for peer in directory.peers.values() if directory.is_local(peer)]
        for number in range(1, 5):
            source = Member(address(number), f"dc{number}", 1)
            directory.apply_summary(summary(source, source), 0.0)
        for peer in local:
            directory.apply_state(
                State(peer.member, Load("shop"), 1, 0, {}, {}), 0.0, answered=True
            )
            directory.set_connected(peer, True)
        self.assertEqual(1.0, directory.reachable_share())
        directory.set_connected(local[0], False)
        self.assertEqual(len(local) / (len(local) + 1), directory.reachable_share())
        stopped = State(local[0].member, Load(), 1, 0, {}, {}, stopping=True)
        directory.apply_state(stopped, 0.0, answered=True)
        self.assertEqual(1.0, directory.reachable_share())


class SummariesTest(TestCase):
    """Which nodes request summaries, and what a summary confirms."""

    def setUp(self):
        super().setUp()
        self.directory, self.clock = large_directory()
        for peer in self.directory.peers.values():
            self.directory.set_connected(peer, self.directory.is_local(peer))
        self.configuration = ConfigurationState(self.clock)
        doc = mock.create_autospec(FleetDocument, instance=True)
        doc.version = 1
        self.configuration.apply(doc, b"", float("-inf"))
        self.asked, self.frames, self.silent = [], [], set()
        self.summaries = Summaries(
            self.clock,
            random.Random(1),
            self.directory,
            self.configuration,
            mock.create_autospec(Quotas, instance=True),
            mock.create_autospec(CallGraph, instance=True),
            mock.create_autospec(Explainer, instance=True),
            lambda: None,
            self._ask,
            self.frames.append,
            lambda address: None,
            lambda peers: None,
        )

    async def _ask(self, peer, ask, timeout_s):
        self.asked.append(peer.member.address)
        if peer.member.address in self.silent:
            raise PeerLostError(peer.member.address, sent=True)
        return summary(peer.member, REMOTE)

    def fetch(self):
        """Fetch one summary of the second data centre; returns the address that was asked."""
        asyncio.run(self.summaries._fetch("dc1", self.directory.peers_by_data_centre()["dc1"]))
        return self.asked[-1]

    def test_the_same_node_is_asked_until_it_is_silent(self):
        first = self.fetch()
        self.clock.advance(0.4)
        self.assertEqual(first, self.fetch())
        self.silent.add(first)
        self.fetch()
        second = self.fetch()
        self.assertNotEqual(first, second)
        self.silent.clear()
        self.assertEqual(second, self.fetch())

    def test_a_requested_summary_is_relayed_and_confirms_the_configuration(self):
        self.clock.advance(3.0)
        self.fetch()
        self.assertEqual(1, len(self.frames))
        self.assertLess(self.configuration.age_s(), 0.1)

    def test_a_relayed_summary_does_not_confirm_the_configuration(self):
        # It may have waited in the socket buffer while this process was paused.
        self.summaries.relayed(summary(OTHER, REMOTE))
        self.assertEqual(float("inf"), self.configuration.age_s())
        self.assertEqual([self.directory.peers[REMOTE.address]], self.directory.serving("shop"))

    def test_one_node_asks_and_the_second_only_when_nothing_comes(self):
        ranks = []
        local = [OWN, *(peer.member for peer in self.directory.local_peers())]
        for overdue in (False, True):
            asking = 0
            for member in local:
                directory = Directory(self.clock, member)
                for other in [OWN, *(p.member for p in self.directory.peers.values())]:
                    peer = directory.add(other)
                    if peer is not None:
                        directory.set_connected(peer, directory.is_local(peer))
                directory.apply_summary(summary(OTHER, REMOTE), self.clock.now())
                self.clock.advance(1.0 if overdue else 0.1)
                self.summaries._directory = directory
                asking += self.summaries._is_requester("dc1")
            ranks.append(asking)
        self.assertEqual([1, 2], ranks)


class RetrySlackTest(TestCase):
    """A node that has just started must not use the retry slack of the whole fleet."""

    def test_slack_follows_the_size_of_the_fleet(self):
        budget = RetryBudget(ManualClock(), 0.2, 200.0)
        budget.slack = 1.0
        spent = sum(budget.spend(0) for _ in range(10))
        self.assertEqual(1, spent)


class CountingStore(Store):
    """A store without a configuration, or that is down; counts the requests for one."""

    def __init__(self, down=False):
        self.requests = 0
        self._down = down

    async def watch(self, position, wait_s):
        self.requests += 1
        if self._down:
            raise LogDownError("down")
        await asyncio.sleep(wait_s)
        return Watch(None, position, wait_s)

    async def configuration(self):
        return await self.watch(0, 0.0)

    async def register(self, member):
        raise NotImplementedError

    async def deregister(self, address):
        raise NotImplementedError

    async def registry(self):
        raise NotImplementedError

    async def record_departures(self, address, departures):
        raise NotImplementedError

    async def remove_departures(self, addresses):
        raise NotImplementedError

    async def record_era(self, number):
        raise NotImplementedError

    def close(self):
        pass


class FollowerTest(TestCase):
    """How often the nodes of a large fleet send requests to the store."""

    def requests(self, own, seconds, down=False, heard=True):
        """Return how many requests the node with index ``own`` sends."""
        clock, rng, store = SystemClock(), random.Random(3), CountingStore(down)
        members = [Member(address(number), "dc0", 1) for number in range(FULL_MESH_MAX_NODES + 1)]
        directory = Directory(clock, members[own])
        for member in members:
            peer = directory.add(member)
            if peer is not None:
                directory.set_connected(peer, heard)
        explainer = mock.create_autospec(Explainer, instance=True)
        adapter = mock.create_autospec(WireAdapter, instance=True)
        configuration = ConfigurationState(clock)
        parts = (store, adapter, configuration, directory, {}, explainer, 4.6, lambda: 1.25)
        follower = Follower(clock, rng, *parts)
        follower.members_read.set()

        async def case():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(follower.run(), seconds)

        asyncio.run(case())
        return store.requests

    @parameterized.expand(
        [
            # node, seconds, least and most requests, whether others are connected
            ("the first asks at once", 0, 0.5, 1, 1),
            ("the second by address, too", 10, 0.5, 1, 1),
            ("the others wait for a copy", 24, 0.9, 0, 0),
            ("also before they hear of any", 24, 0.9, 0, 0, False),
            ("and ask when none comes", 24, 1.9, 1, 1),
        ]
    )
    def test_first_configuration(self, _, own, seconds, least, most, heard=True):
        requests = self.requests(own, seconds, heard=heard)
        self.assertTrue(least <= requests <= most, requests)

    def test_a_store_that_is_down_is_asked_less_and_less(self):
        self.assertLessEqual(self.requests(0, 3.0, down=True), 6)


class LargeFleetTest(TestCase):
    """Real nodes on loopback; three nodes already count as a large fleet."""

    def run_async(self, case):
        small = mock.patch.object(directories, "FULL_MESH_MAX_NODES", 2)
        with small, mock.patch.object(nodes, "LINK_IDLE_TIMEOUT_S", 0.5):
            asyncio.run(asyncio.wait_for(case(), 60.0))

    @staticmethod
    async def _serve(fleet, text):
        fleet.store.publish(text)
        born = time.time_ns() // 1_000_000
        for host in fleet.hosts:
            await until(lambda node=host.node: node.configuration.document is not None)
            await host.announce(born=born)
        for host in fleet.hosts:
            for service in ("shop", "stock"):
                own = host.cfg.service == service
                await until(
                    lambda node=host.node, service=service, own=own: (
                        len(node.directory.serving(service)) == 3 - own
                    )
                )

    def test_remote_nodes_are_known_from_summaries_and_connected_on_demand(self):
        async def case():
            # Even hosts are in one data centre, odd ones in the other.
            services = ("shop", "stock") * 3
            routes = (route("list", "/list/", "stock"),)
            async with Fleet(*services) as fleet:
                await self._serve(fleet, config(routes=routes))
                host = fleet.hosts[0]
                remote = [
                    p for p in host.node.directory.peers.values() if p.load.service == "stock"
                ]

                def connected():
                    return sum(peer.connected for peer in remote)

                # One connection may be open to request summaries.
                await until(lambda: connected() <= 1)
                for _ in range(12):
                    self.assertEqual(200, (await host.ask()).status)
                await until(lambda: connected() > 1)
                await until(lambda: connected() <= 1)

        self.run_async(case)

    def test_a_new_configuration_and_a_rate_reach_all(self):
        async def case():
            services = ("shop", "stock") * 3
            routes = (route("list", "/list/", "stock"),)
            async with Fleet(*services) as fleet:
                await self._serve(fleet, config(routes=routes, rate=4, burst=4))
                await asyncio.sleep(1.0)
                statuses = [(await host.ask()).status for _ in range(8) for host in fleet.hosts]
                # The burst and what the rate earns meanwhile, over six nodes.
                self.assertIn(429, statuses)
                self.assertLessEqual(statuses.count(200), 4 + 4 * 5)
                self.assertGreaterEqual(statuses.count(200), 3)
                fleet.store.publish(config(2, routes))
                for host in fleet.hosts:
                    await until(lambda node=host.node: node.configuration.version == 2, 4.0)

        self.run_async(case)
