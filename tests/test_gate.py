"""Tests of the queue, the gate and the adaptive limit, in virtual time."""

import asyncio
import statistics
from collections import Counter

from testtools import TestCase

from beryldrum import request as reasons
from beryldrum.gate import Admission, Gate
from beryldrum.limit import AdaptiveLimit, StaticLimit
from beryldrum.queue import FairQueue, QueueEntry
from beryldrum.request import COHORTS, Outcome, Reply
from beryldrum.target_side import AdmissionFilter, GatedTarget, resolve_waiters

from .fakes import ManualClock, request

OK_REPLY = Reply(Outcome.ANSWERED, 200)


class QueueTest(TestCase):
    """Importance first, then weighted fair queueing."""

    def fill(self, queue, counts, priority=0):
        for org, count in counts.items():
            for number in range(count):
                queue.push(QueueEntry((org, number), org, priority, 0.0, 1e9))

    def test_heavy_organisation_delays_only_itself(self):
        queue = FairQueue()
        self.fill(queue, {"greedy": 300, "small": 20})
        first = Counter(queue.pop().organisation for _ in range(40))
        self.assertEqual(20, first["small"])

    def test_weights(self):
        queue = FairQueue()
        queue.weights = {"large": 3.0, "small": 1.0}
        self.fill(queue, {"large": 100, "small": 100})
        first = Counter(queue.pop().organisation for _ in range(40))
        self.assertEqual({"large": 30, "small": 10}, dict(first))

    def test_importance_goes_first(self):
        queue = FairQueue()
        self.fill(queue, {"a": 5}, priority=3 * COHORTS)
        self.fill(queue, {"b": 5}, priority=0)
        self.assertEqual(["b"] * 5, [queue.pop().organisation for _ in range(5)])

    def test_eviction_takes_the_least_important_of_the_longest_queue(self):
        queue = FairQueue()
        self.fill(queue, {"a": 2}, priority=3 * COHORTS)
        self.fill(queue, {"b": 9}, priority=2 * COHORTS)
        self.assertEqual("a", queue.evict_less_important(0).organisation)
        self.assertIsNone(queue.evict_less_important(3 * COHORTS))
        self.assertEqual("b", queue.evict_from_largest("c", 2).organisation)
        self.assertIsNone(queue.evict_from_largest("b", 2))


class GateTest(TestCase):
    """Admission to a target."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.gate = Gate(self.clock, StaticLimit(2))

    def offer(self, name, **changes):
        changes.setdefault("deadline", self.clock.now() + 10.0)
        return self.gate.offer(name, request(**changes))

    def test_bounded_then_queued(self):
        found = [self.offer(str(n)).unwrap() for n in range(3)]
        self.assertEqual([Admission.START, Admission.START, Admission.WAIT], found)
        self.gate.finish(0.01, 0.01, True)
        self.assertEqual((["2"], []), self.gate.dispatch())

    def test_what_cannot_finish_is_refused_at_once(self):
        self.offer("a")
        self.offer("b")
        self.gate.finish(2.0, 2.0, True)
        refused = self.offer("c", deadline=self.clock.now() + 0.5)
        self.assertIs(reasons.TOO_LATE, refused.unwrap_err())

    def test_expired_is_never_started(self):
        self.offer("a")
        self.offer("b")
        self.offer("c", deadline=self.clock.now() + 1.0)
        self.clock.advance(2.0)
        self.gate.finish(0.01, 0.01, True)
        started, refused = self.gate.dispatch()
        self.assertEqual([], started)
        self.assertEqual([("c", reasons.TOO_LATE)], refused)

    def test_a_slow_run_does_not_block_admission_for_good(self):
        self.offer("a")
        self.gate.finish(100.0, 100.0, True)
        self.assertEqual(Admission.START, self.offer("b").unwrap())

    def test_important_newcomer_takes_the_place_of_another(self):
        for number in range(2 + 16 + 8):
            self.offer(str(number), priority=3 * COHORTS)
        self.assertIs(reasons.SHED, self.offer("low", priority=3 * COHORTS).unwrap_err())
        self.assertEqual(Admission.WAIT, self.offer("deposit", priority=0).unwrap())
        _, refused = self.gate.dispatch()
        self.assertEqual(1, len(refused))

    def test_withdrawn_entry_never_starts(self):
        items = ["a", "b", "c"]
        for item in items:
            self.offer(item)
        self.assertTrue(self.gate.remove_waiting(items[2]))
        self.gate.finish(0.01, 0.01, True)
        self.assertEqual(([], []), self.gate.dispatch())


class AdmitTest(TestCase):
    """Requests that wait for admission by the gate."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.beside = self.make()
        self.ran = []

    def make(self):
        return GatedTarget(None, Gate(self.clock, StaticLimit(1)))

    async def step(self, req):
        self.ran.append(req.request_id)
        return OK_REPLY

    async def waiting(self):
        """Occupy the only slot and return a task that waits for it."""
        admit = AdmissionFilter(lambda: self.beside, self.clock)
        await admit.handle(request(deadline=60.0), self.step)
        task = asyncio.create_task(admit.handle(request(request_id="w", deadline=60.0), self.step))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task

    def test_slot_is_handed_on(self):
        async def scenario():
            task = await self.waiting()
            self.beside.gate.finish(0.1, 0.1, True)
            resolve_waiters(self.beside.gate)
            return await task

        self.assertEqual(OK_REPLY, asyncio.run(scenario()))
        self.assertEqual(["r", "w"], self.ran)

    def test_target_replaced_meanwhile(self):
        old = self.beside

        async def scenario():
            task = await self.waiting()
            self.beside = self.make()
            old.gate.finish(0.1, 0.1, True)
            resolve_waiters(old.gate)
            return await task

        self.assertIs(reasons.NO_TARGET, asyncio.run(scenario()).reason)
        self.assertEqual(["r"], self.ran)
        self.assertEqual([0, 0], [old.gate.in_flight, self.beside.gate.in_flight])

    def test_cancelled_while_waiting_is_removed_from_the_queue(self):
        async def scenario():
            task = await self.waiting()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(scenario())
        self.assertEqual(0, len(self.beside.gate.queue))
        self.assertEqual(["r"], self.ran)


class LimitTest(TestCase):
    """The adaptive limit, against a simulated target."""

    def drive(self, limit, clock, capacity, work_s, rounds=400):
        values = []
        for _ in range(rounds):
            running = limit.value
            values.append(running)
            seconds = work_s * max(1.0, running / capacity)
            clock.advance(0.03)
            for _ in range(min(running, 20)):
                limit.record_run(seconds, True, running)
        return statistics.median(values[-100:])

    def test_overstated_slots(self):
        clock = ManualClock()
        limit = AdaptiveLimit(clock, slots=400, connections=1_000)
        found = self.drive(limit, clock, capacity=20, work_s=0.05)
        self.assertLess(found, 80)
        self.assertGreaterEqual(found, 10)

    def test_limit_is_kept_when_the_target_is_slower_by_itself(self):
        clock = ManualClock()
        limit = AdaptiveLimit(clock, slots=20, connections=240)
        self.drive(limit, clock, capacity=20, work_s=0.025, rounds=200)
        slow = self.drive(limit, clock, capacity=20, work_s=0.1, rounds=200)
        self.assertGreaterEqual(slow, 16)

    def test_cold_start_ramps_up_to_the_slots(self):
        clock = ManualClock()
        limit = AdaptiveLimit(clock, slots=100, connections=1_000)
        self.assertEqual(25, limit.value)
        self.assertGreaterEqual(self.drive(limit, clock, 200, 0.05, 40), 100)

    def test_never_past_the_connections(self):
        clock = ManualClock()
        limit = AdaptiveLimit(clock, slots=10, connections=12)
        self.assertLessEqual(self.drive(limit, clock, 1_000, 0.05), 12)

    def test_failures_lower_it(self):
        clock = ManualClock()
        limit = AdaptiveLimit(clock, slots=100, connections=100)
        for _ in range(40):
            clock.advance(0.21)
            for _ in range(10):
                limit.record_run(0.01, False, 5)
        self.assertEqual(1, limit.value)
