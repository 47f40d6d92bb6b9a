"""Tests of load balancing, in virtual time."""

from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from beryldrum.balance import Balancer, Candidate
from beryldrum.request import Outcome, Reply

from .fakes import ManualClock, rng

OK_REPLY = Reply(Outcome.ANSWERED, 200)


class BalanceTest(TestCase):
    """The node that the balancer chooses."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.balancer = Balancer(self.clock, rng(), "one")
        self.all = [Candidate("a", "one"), Candidate("b", "one"), Candidate("c", "two")]

    def choose(self, tried=(), priority=0, organisation="o"):
        choice = self.balancer.choose(self.all, priority, organisation, frozenset(tried))
        return choice and choice.node

    def test_own_data_centre_first(self):
        self.assertEqual({"a", "b"}, {self.choose() for _ in range(50)})

    def test_failed_node_backs_off_and_is_retried(self):
        self.balancer.record_sent("a")
        self.balancer.record_failure("a")
        self.assertEqual({"b"}, {self.choose() for _ in range(50)})
        self.clock.advance(61.0)
        self.assertEqual({"a", "b"}, {self.choose() for _ in range(50)})

    def test_other_data_centre_when_no_local_node_is_left(self):
        self.assertEqual("c", self.choose(tried=("a", "b")))
        self.assertIsNone(self.choose(tried=("a", "b", "c")))

    def test_all_failed_still_tries_one(self):
        for node in "abc":
            self.balancer.record_sent(node)
            self.balancer.record_failure(node)
        self.assertIn(self.choose(), "abc")

    @parameterized.expand([("load", {"load_permille": 5_000}), ("level", {"level": 1})])
    def test_avoids(self, _, reply):
        for _ in range(20):
            self.balancer.record_sent("a")
            self.balancer.record_reply("a", OK_REPLY._replace(**reply))
        drawn = Counter(self.choose(priority=5) for _ in range(200))
        self.assertGreater(drawn["b"], 150)

    def test_used_up_rate_is_avoided_for_that_organisation(self):
        self.balancer.record_rate_exceeded("a", "o", 500)
        self.assertEqual({"b"}, {self.choose() for _ in range(50)})
        self.assertEqual({"a", "b"}, {self.choose(organisation="p") for _ in range(50)})
