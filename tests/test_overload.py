"""Tests of retry limits and load shedding, in virtual time."""

from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from beryldrum import request as reasons
from beryldrum.level import AdmissionLevel, PathLevels
from beryldrum.request import (
    ADMIT_ALL_LEVEL,
    COHORTS,
    Outcome,
    Reply,
    not_run,
    priority_of,
    unknown,
)
from beryldrum.retry import RetryAllowance, RetryBudget, may_retry

from .fakes import ManualClock, request, rng


class AllowanceTest(TestCase):
    """Retries are bounded end to end."""

    @parameterized.expand([(3, 1), (3, 5), (3, 18), (16, 18)])
    def test_attempts_at_the_deepest(self, retries, depth):
        attempts = 0

        def call(part, level):
            nonlocal attempts
            if level == depth:
                attempts += 1
                self.assertLess(attempts, 1_000)
                return part
            allowance = RetryAllowance(part)
            while True:
                lent = allowance.allocate()
                allowance.give_back_unused(call(lent, level + 1))
                if allowance.remaining < 1:
                    return allowance.remaining
                allowance.remaining -= 1

        call(retries, 0)
        self.assertLessEqual(attempts, 1 + retries)

    def test_parts_never_exceed_the_whole(self):
        allowance = RetryAllowance(5)
        parts = [allowance.allocate() for _ in range(6)]
        self.assertEqual(5, sum(parts) + allowance.remaining)

    @parameterized.expand(
        [
            ("overload", not_run(reasons.SHED), True, False),
            ("too late", not_run(reasons.TOO_LATE), True, False),
            ("leaving", not_run(reasons.LEAVING), False, True),
            ("not reached", not_run(reasons.TARGET_UNREACHED), False, True),
            ("lost, idempotent", unknown(reasons.ANSWER_LOST), True, True),
            ("lost, not idempotent", unknown(reasons.ANSWER_LOST), False, False),
            ("timed out", unknown(reasons.TIMED_OUT), True, False),
            ("failed deeper", unknown(reasons.ANSWER_LOST)._replace(deeper=True), True, False),
            ("answered 500", Reply(Outcome.ANSWERED, 500), True, False),
        ]
    )
    def test_what_may_be_retried(self, _, reply, idempotent, expected):
        self.assertEqual(expected, may_retry(request(idempotent=idempotent), reply))

    def test_budget_bounds_retries_to_a_tenth(self):
        budget = RetryBudget()
        spent = 0
        for _ in range(1_000):
            budget.deposit()
            spent += budget.spend()
        self.assertLessEqual(spent, 110)


class LevelTest(TestCase):
    """All hops shed the same requests, the least important first."""

    def run_gate(self, clock, level, per_window, capacity, windows=100):
        """Drive a gate whose queue grows by what it admits beyond its capacity."""
        admitted = Counter()
        offered = Counter()
        queued = 0
        for window in range(windows):
            for number in range(per_window):
                importance = number % 4
                late = window > windows / 2
                offered[importance] += late
                if level.admits(priority_of(importance, f"{window} {number}")):
                    queued += 1
                    admitted[importance] += late
            for _ in range(min(queued, capacity)):
                level.record_start(max(0, queued - capacity) / capacity * 0.1)
            queued = max(0, queued - capacity)
            clock.advance(0.101)
        return {n: admitted[n] / offered[n] for n in range(4)}

    def test_importance_order_at_twice_the_capacity(self):
        clock = ManualClock()
        shares = self.run_gate(clock, AdmissionLevel(clock), 200, 100)
        self.assertEqual(1.0, shares[0])
        self.assertGreater(shares[1], 0.5)
        self.assertLess(shares[2], 0.3)
        self.assertEqual(0.0, shares[3])

    def test_nothing_shed_below_capacity(self):
        clock = ManualClock()
        shares = self.run_gate(clock, AdmissionLevel(clock), 80, 100)
        self.assertEqual({0: 1.0, 1: 1.0, 2: 1.0, 3: 1.0}, shares)

    def test_recovers_when_the_overload_ends(self):
        clock = ManualClock()
        level = AdmissionLevel(clock)
        self.run_gate(clock, level, 200, 100)
        self.assertLess(level.value, ADMIT_ALL_LEVEL)
        self.run_gate(clock, level, 60, 100)
        self.assertEqual(ADMIT_ALL_LEVEL, level.value)

    def test_whole_work_through_eighteen_hops(self):
        level = 2 * COHORTS
        asked = [priority_of(n % 4, f"request {n}") for n in range(1_000)]
        same = sum(all(p < level for _ in range(18)) for p in asked)
        random = rng()
        apart = sum(all(random.random() < 0.5 for _ in range(18)) for _ in asked)
        self.assertEqual(500, same)
        self.assertLess(apart, 10)

    def test_path_level_lapses(self):
        clock = ManualClock()
        levels = PathLevels(clock, rng())
        levels.record("payments", "deposit", COHORTS)
        self.assertEqual(COHORTS, levels.level("payments", "deposit"))
        clock.advance(1.1)
        self.assertEqual(ADMIT_ALL_LEVEL, levels.level("payments", "deposit"))
