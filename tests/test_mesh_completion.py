"""Requests whose calls fail are admitted as far as the retries carry them, in virtual time."""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from beryldrum import request as reasons
from beryldrum.clock import ManualClock
from beryldrum.mesh.admission import AdmissionController
from beryldrum.mesh.attempts import AttemptRunner
from beryldrum.mesh.budget import RetryBudget
from beryldrum.mesh.checks import AdmissionCheck, PendingRequest
from beryldrum.mesh.completion import CallCompletion, total_demands
from beryldrum.mesh.conventions import RequestMetadata
from beryldrum.mesh.directory import Directory, Peer
from beryldrum.mesh.document import Route, WeightedService
from beryldrum.mesh.exchange import AdmittedRequest, answered, not_run
from beryldrum.mesh.explain import Explainer
from beryldrum.mesh.frames import Load, Member, RetryDemand, State, Summary, decode, encode
from beryldrum.mesh.gate import call_priority
from beryldrum.mesh.graph import CallGraph
from beryldrum.mesh.load_balancer import COST_EXPONENT, FAILURE_FACTOR, LoadBalancer
from beryldrum.mesh.metrics import MeshMetrics, OverloadState
from beryldrum.mesh.overload_report import OverloadReport
from beryldrum.mesh.priorities import cohort_of, priority_at, retry_order
from beryldrum.mesh.residency import Residency
from beryldrum.mesh.returns import Returns

SEEDS = (1, 2, 3)
TARGETS = 5
CALL_S = 0.04
FAULT_S = 10.0, 18.5
"""Start and end of the fault."""

RATIO, SLACK = 0.2 * 0.85, 105 * 0.85
MAX_ATTEMPTS = 8
STATED = RequestMetadata("r", "h", "/", 5000, "")


class Fault(NamedTuple):
    """The share of calls that each target refuses, and calls per request."""

    shares: tuple[float, ...]
    calls: int
    per_s: float = 200.0


class FleetReplay:
    """Requests make sequential calls to one service whose targets refuse a share of them.

    One entry for each delay admits them; ``callers`` nodes make the calls. Retries go to
    another target, as those of an entry do. The order of retries is the one of the entry.
    """

    def __init__(self, fault, controlled=True, callers=12, seed=1, delays=(0.4, 1.2), cut_off=None):
        self.cut_off = cut_off
        """The number of a node all of whose calls fail during the fault."""
        self.fault, self.rng = fault, random.Random(seed)
        self.clock = ManualClock()
        self.budgets = [RetryBudget(self.clock, RATIO, SLACK / callers) for _ in range(callers)]
        self.reports = [{} for _ in range(callers)]
        """What each node last reported, as the other nodes know it."""
        self.completions = [self._completion(n) for n in range(callers)]
        graph = CallGraph(self.clock)
        graph.load({"tree": "front", "deep": "narrow"})
        self.clock.advance(1.0)
        graph.tick([{"tree>deep": float(fault.calls)}])
        self.views = [{} for _ in delays]
        """The demands that each entry knows of, by node."""
        self.checks = [
            AdmissionCheck(
                self._admission(view, controlled),
                graph,
                Returns(self.clock, self.rng),
                lambda route: CALL_S,
            )
            for view in self.views
        ]
        self.delays, self.numbers, self.events = delays, itertools.count(), []
        self.tree, self.direct = a_route("tree", "front"), a_route("deep", "narrow")
        self.offered, self.admitted, self.done, self.refused = (Counter() for _ in range(4))
        self.failing = [0.0] * TARGETS
        """The smoothed share of calls that each target refuses, as gates report it."""
        self.wasted = 0
        """Calls done for requests that failed."""
        self._at(0.0, self._report)
        self._at(0.0, self._arrive)

    def _completion(self, own):
        def others():
            return [report for n, report in enumerate(self.reports) if n != own]

        return CallCompletion(self.clock, lambda service: self.budgets[own], others)

    def _admission(self, view, controlled):
        def others():
            return view.values()

        entry = CallCompletion(self.clock, lambda service: self.budgets[0], others)
        ratio = entry.ratio if controlled else lambda service: 0.0
        return AdmissionController(self.clock, self.rng, lambda service: 0.5, ratio)

    def _at(self, delay_s, call, *args):
        at = self.clock.now() + delay_s
        heapq.heappush(self.events, (at, next(self.numbers), call, args))

    def run(self, until_s):
        while self.events[0][0] < until_s:
            at, _, call, args = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            call(*args)

    def _report(self):
        for number, completion in enumerate(self.completions):
            demands = completion.demands()
            self._at(0.3, self.reports.__setitem__, number, demands)
            for view, delay_s in zip(self.views, self.delays, strict=True):
                self._at(delay_s, view.__setitem__, number, demands)
        self._at(0.25, self._report)

    def _arrive(self):
        self._at(self.rng.expovariate(self.fault.per_s), self._arrive)
        kind = self.rng.choice((1, 2, 3, 3)), int(self.clock.now() * 2) / 2
        self.offered[kind] += 1
        request_id = f"r{next(self.numbers)}"
        priority = kind[0] * 64 + cohort_of(request_id)
        pending = PendingRequest(STATED, self.tree, priority, None, 0.0, False)
        if self.rng.choice(self.checks).check(pending, None) is not pending:
            self.refused[kind] += 1
            return
        self.admitted[kind] += 1
        node = self.rng.randrange(len(self.budgets))
        order = retry_order(call_priority(priority), request_id)
        self._call(kind, node, order, self.fault.calls)

    def _call(self, kind, node, order, left):
        if not left:
            self.done[kind] += 1
            return
        budget, completion = self.budgets[node], self.completions[node]
        budget.deposit()
        tried = set()
        for attempt in range(MAX_ATTEMPTS):
            untried = [n for n in range(TARGETS) if n not in tried] or list(range(TARGETS))
            weights = [(1 + FAILURE_FACTOR * self.failing[n]) ** -COST_EXPONENT for n in untried]
            target = self.rng.choices(untried, weights)[0]
            tried.add(target)
            during = FAULT_S[0] <= self.clock.now() < FAULT_S[1]
            share = 1.0 if node == self.cut_off else self.fault.shares[target]
            failed = during and self.rng.random() < share
            completion.record("narrow", bool(attempt), failed)
            self.failing[target] += 0.05 * (failed - self.failing[target])
            if not failed:
                self._at(CALL_S, self._call, kind, node, order, left - 1)
                return
            if not budget.spend(order):
                break
        self.wasted += self.fault.calls - left

    def share(self, since_s, until_s, kind=None, counts=None):
        """Return a count's share of the requests offered in a span; the completed by default."""

        def total(counts):
            return sum(
                n for (k, at), n in counts.items() if since_s <= at < until_s and kind in (None, k)
            )

        return total(self.done if counts is None else counts) / total(self.offered)


def a_route(name, service):
    """Return a route to one service."""
    parts = (WeightedService(service, 1.0),)
    return Route(name, "h", f"/{name}/", parts, True, 1.0, 2.0, 2, 0, False)


class CompletionReplayTest(TestCase):
    """Requests whose calls fail do their work in vain, and the urgent ones with the others."""

    @parameterized.expand(
        [
            # share of calls refused, calls, least completed of the most important kind, least
            # gain in it over no control, largest share of the wasted calls that remains
            ("few calls", 0.33, 4, 0.70, 1.15, 0.15),
            ("six calls", 0.45, 6, 0.36, 1.2, 0.25),
            ("nine calls", 0.55, 9, 0.14, 1.15, 0.45),
        ]
    )
    def test_fault_of_all_targets(self, _, share, calls, least, gain, wasted):
        fault = Fault((share,) * TARGETS, calls)
        before = [FleetReplay(fault, controlled=False, seed=seed) for seed in SEEDS]
        after = [FleetReplay(fault, seed=seed) for seed in SEEDS]
        for replay in before + after:
            replay.run(25.0)

        def mean(replays, *span):
            return sum(replay.share(*span) for replay in replays) / len(replays)

        urgent = mean(after, 10, 19, 1)
        self.assertGreaterEqual(urgent, least)
        self.assertGreaterEqual(urgent, gain * mean(before, 10, 19, 1))
        self.assertLessEqual(sum(r.wasted for r in after), wasted * sum(r.wasted for r in before))
        for replay in after:
            for kind in (2, 3):
                self.assertGreater(replay.share(11, 18, kind, replay.admitted), 0.02)
            # The fault ends at 18.5 s, which the slower entry hears of after some 1.5 s.
            self.assertGreater(replay.share(20.5, 21.5), 0.9)
            self.assertEqual(1.0, replay.share(21.5, 24.5))

    @parameterized.expand(
        [
            ("few failures everywhere", (0.04,) * TARGETS, 6),
            ("more, but the budget has room", (0.1,) * TARGETS, 9),
            ("one target of five", (0.9, 0.0, 0.0, 0.0, 0.0), 6),
            ("none", (0.0,) * TARGETS, 9),
        ]
    )
    def test_nothing_is_refused(self, _, shares, calls):
        for seed in (1, 2):
            replay = FleetReplay(Fault(shares, calls), seed=seed)
            replay.run(25.0)
            self.assertEqual(0, replay.refused.total())

    def test_a_node_that_reaches_no_target_does_not_stop_the_others(self):
        replay = FleetReplay(Fault((0.0,) * TARGETS, 6), cut_off=0)
        replay.run(25.0)
        # Until the other nodes report as well, for some two seconds, its need stands alone.
        self.assertLess(replay.share(10, 13, None, replay.refused), 0.15)
        self.assertEqual(0.0, replay.share(13, 25, None, replay.refused))

    def test_direct_requests_are_not_held_to_completion(self):
        replay = FleetReplay(Fault((0.5,) * TARGETS, 6))
        replay.run(15.0)
        request = PendingRequest(STATED, replay.direct, 250, None, 0.0, False)
        for check in replay.checks:
            self.assertTrue(all(check.check(request, None) is request for _ in range(200)))


class DemandTest(TestCase):
    """What nodes report, and from whom an entry takes it."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.budget = RetryBudget(self.clock, RATIO, 1.0)
        self.others = [{}]
        self.completion = CallCompletion(
            self.clock, lambda service: self.budget, lambda: self.others
        )

    def spend_time(self, seconds, calls_per_s):
        for _ in range(seconds):
            self.clock.advance(1.0)
            for _ in range(calls_per_s):
                self.budget.deposit()

    def record(self, failed, succeeded):
        for outcome in (True,) * failed + (False,) * succeeded:
            self.completion.record("narrow", False, outcome)

    def test_chance_failures_at_one_node_do_not_reduce_admission(self):
        self.spend_time(10, 7)
        self.record(1, 6)
        self.assertEqual({}, self.completion.demands())
        self.record(3, 2)
        self.assertLess(self.completion.ratio("narrow"), 0.93)

    def test_one_node_all_of_whose_calls_fail_does_not_outweigh_the_others(self):
        self.spend_time(10, 100)
        self.record(100, 0)
        self.others = [{"narrow": RetryDemand(0.0, 17.0)} for _ in range(11)]
        self.assertLess(self.completion.ratio("narrow"), 0.5)

    def test_a_node_whose_calls_succeed_reports_while_others_are_short(self):
        self.record(0, 50)
        self.assertEqual({}, self.completion.demands())
        self.others = [{"narrow": RetryDemand(100.0, 10.0)}]
        self.assertEqual(0.0, self.completion.demands()["narrow"].needed_per_s)
        self.others = [{}]
        self.assertEqual({}, self.completion.demands())

    def test_the_need_is_forgotten_soon_after_the_failures(self):
        self.spend_time(10, 100)
        self.record(40, 50)
        self.assertGreater(self.completion.ratio("narrow"), 1.0)
        self.clock.advance(1.5)
        self.record(0, 20)
        self.assertLess(self.completion.ratio("narrow"), 0.93)

    def test_directory_takes_reports_from_local_states_and_from_summaries(self):
        own = Member("10.0.0.1:1", "a", 1)
        directory = Directory(self.clock, own)
        one, demand = Member("10.0.0.2:1", "a", 1), {"narrow": RetryDemand(4.0, 1.0)}
        far = Member("10.1.0.1:1", "b", 1)
        peers = [directory.add(member) for member in (one, far)]
        for member in (one, far):
            state = State(member, Load(), 1, 0, {}, {}, retry_demands=demand)
            directory.apply_state(decode(encode(state)[4:]), 0.0, answered=True)
        self.assertEqual([], directory.retry_demands())
        for peer in peers:
            directory.set_connected(peer, True)
        self.assertEqual([demand, demand], directory.retry_demands())
        # In a large fleet, other data centres are known by their summaries.
        for number in range(3, 30):
            directory.add(Member(f"10.0.0.{number}:1", "a", 1))
        self.assertEqual([demand], directory.retry_demands())
        summary = Summary(0, far, 0, [], {}, {}, 1, 0, retry_demands=demand)
        directory.apply_summary(decode(encode(summary)[4:]), self.clock.now())
        self.assertEqual(RetryDemand(8.0, 2.0), total_demands(directory.retry_demands())["narrow"])
        self.clock.advance(5.0)
        self.assertEqual([demand], directory.retry_demands())

    def test_metrics(self):
        state = OverloadState({"narrow": 0.25}, {"narrow": RetryDemand(4.0, 1.5)}, 7, 5)
        text = MeshMetrics(overload=lambda: state).text()
        for line in ("trees_admitted", "retries_needed_per_s", "retries_allowed_per_s"):
            self.assertIn(f'beryldrum_{line}{{service="narrow"}} ', text)
        self.assertIn("beryldrum_returns_promised_total 7\n", text)
        self.assertIn("beryldrum_returns_seen_total 5\n", text)

    def test_log_lines(self):
        demand = RetryDemand(4.0, 1.5)
        admission = mock.create_autospec(AdmissionController, instance=True)
        admission.admitted_shares.return_value = {}
        admission.admitted_trees.return_value = {"narrow": 0.25}
        completion = mock.create_autospec(CallCompletion, instance=True)
        completion.totals.return_value = {"narrow": demand}
        explainer = mock.create_autospec(Explainer, instance=True)
        returns = Returns(self.clock, random.Random(1))
        report = OverloadReport(self.clock, explainer, Load, admission, completion, returns)
        for _ in range(16):
            self.clock.advance(0.25)
            report.log()
        lines = [
            call for call in explainer.event.call_args_list if call.args == ("short of retries",)
        ]
        self.assertEqual(4, len(lines))
        self.assertEqual({"narrow": 0.25}, lines[0].kwargs["admitted_trees"])
        retries = {"needed_per_s": 4.0, "allowed_per_s": 1.5}
        self.assertEqual({"narrow": retries}, lines[0].kwargs["retries"])


class AttemptsTest(TestCase):
    """What the attempts of a call tell of the retries that calls need."""

    def run_calls(self, priority, *replies):
        recorded, orders = [], []
        budget = mock.create_autospec(RetryBudget, instance=True)
        budget.spend.side_effect = lambda order: orders.append(order) or True
        directory = mock.create_autospec(Directory, instance=True)
        directory.own = Member("10.0.0.1:1", "a", 1)
        directory.serving.return_value = []
        peers = [Peer(Member(f"10.0.0.{n}:1", "a", 1), 0.0) for n in range(2, 9)]
        balancer = mock.create_autospec(LoadBalancer, instance=True)
        balancer.choose.side_effect = peers
        balancer.left = ""
        left = list(replies)

        async def send(peer, run, left_s):
            return left.pop(0)

        runner = AttemptRunner(
            ManualClock(),
            directory,
            balancer,
            Residency(dict),
            lambda service: None,
            send,
            lambda route: True,
            lambda service: budget,
            lambda request_id: request_id.partition(".")[0],
            lambda *call: recorded.append(call),
        )
        route = a_route("deep", "narrow")
        req = AdmittedRequest(
            route, "narrow", "GET", "/", b"", b"", "", priority, 9.0, 9.0, 9.0, "r7.1", False
        )
        asyncio.run(runner.run(req, []))
        return recorded, orders

    def test_calls_that_targets_refuse_are_recorded(self):
        refused = not_run(reasons.SHED, handed=True)
        at_gate, done = not_run(reasons.SHED), answered(200, b"", b"")
        recorded, _ = self.run_calls(40, refused, at_gate, refused, done)
        self.assertEqual(
            [("narrow", False, True), ("narrow", True, True), ("narrow", True, False)], recorded
        )
        self.assertEqual([], self.run_calls(200, refused, done)[0])

    def test_calls_are_retried_in_the_order_in_which_requests_are_admitted(self):
        priority = priority_at(None, a_route("tree", "front"), "r7")
        refused, done = not_run(reasons.SHED, handed=True), answered(200, b"", b"")
        _, orders = self.run_calls(call_priority(priority), refused, done)
        self.assertEqual([priority], orders)


class ReturnRoomTest(TestCase):
    """A caller that cannot return in time would lose by a refusal for lack of retries."""

    @parameterized.expand(
        [
            ("with room", 2.0, 5000, False, ["narrow"]),
            ("a short objective", 0.9, 5000, False, []),
            ("little time left", 2.0, 1500, False, []),
            ("no time stated", 2.0, -1, False, []),
            ("already returning", 2.0, 5000, True, []),
        ]
    )
    def test_who_is_held_to_the_retries(self, _, objective_s, left_ms, returning, held):
        graph = mock.create_autospec(CallGraph, instance=True)
        graph.has_calls = True
        graph.is_leaf.return_value = False
        graph.reachable_services.return_value = {"front", "narrow"}
        admission = mock.create_autospec(AdmissionController, instance=True)
        admission.admits.return_value = True
        returns = Returns(ManualClock(), random.Random(1))
        returns.is_returning = lambda route, left_ms: returning
        check = AdmissionCheck(admission, graph, returns, lambda route: CALL_S)
        route = a_route("tree", "front")._replace(latency_objective_s=objective_s)
        stated = RequestMetadata("r", "h", "/", left_ms, "")
        check.check(PendingRequest(stated, route, 100, None, 0.0, False), None)
        self.assertEqual(held, sorted(admission.admits.call_args.args[2]))
