"""Tests of the soak's checker, and a short soak run with a fixed seed."""

import asyncio
import unittest

from parameterized import parameterized
from testtools import TestCase

from soak.__main__ import run_seed
from soak.checker import Checker, ReceivedRequest, SentRequest

HEADERS = {
    "x-request-id": "r",
    "x-tenant": "mart",
    "x-caller-service": "shop",
    "x-deadline-milliseconds": "900",
}


def sent_request(**changes):
    return SentRequest("r", "h0", "shop", "/book/1", "k", False, 1000, 100.0)._replace(**changes)


def received_request(at=100.1, **headers):
    path = headers.pop("path", "/book/1")
    return ReceivedRequest("i-1", "shop", path, HEADERS | headers, b"", at)


class CheckerTest(TestCase):
    """Each check reports the violation it is for and accepts valid behaviour."""

    def setUp(self):
        super().setUp()
        self.checker = Checker(4.0, 4.0)
        self.checker.key_owners["k"] = "mart"
        self.checker.route_changes.append((float("-inf"), "shop"))

    @parameterized.expand(
        [
            ("as it should be", {}, {}, ""),
            ("never asked", {"request_id": "other"}, {}, "nobody asked"),
            ("its key", {}, {"authorization": "Bearer k"}, "sees the key"),
            ("of another", {}, {"x-tenant": "thief"}, "another organisation"),
            ("from another", {}, {"x-caller-service": "stock"}, "another caller"),
            ("too much time", {}, {"x-deadline-milliseconds": "1600"}, "more time"),
        ]
    )
    def test_arrival(self, _, changes, headers, finding):
        self.checker.record_sent(sent_request(**changes))
        self.checker.check_received(received_request(**headers))
        self.assertEqual(bool(finding), bool(self.checker.findings))
        self.assertIn(finding, "".join(self.checker.findings))

    def test_twice(self):
        self.checker.record_sent(sent_request())
        self.checker.check_received(received_request())
        self.checker.check_received(received_request())
        self.assertIn("twice", self.checker.findings[0])

    @parameterized.expand([("withdrawn", "withdrawn", "k", 5.0), ("left", "draining", "i-1", 2.0)])
    def test_too_late(self, _, table, name, limit_s):
        getattr(self.checker, table)[name] = 100.0 - limit_s - 0.5
        self.checker.record_sent(sent_request())
        self.checker.check_received(received_request(at=100.2))
        self.assertEqual(1, len(self.checker.findings))

    def test_a_refusal_that_is_not_true(self):
        req = sent_request()
        self.checker.record_sent(req)
        self.checker.check_response(req, 503, False, False)
        self.checker.check_received(received_request())
        self.checker.finish()
        self.assertIn("not true", self.checker.findings[0])

    @parameterized.expand([("shop", 0), ("stock", 1)])
    def test_an_old_configuration(self, now, findings):
        self.checker.route_changes.append((90.0, now))
        self.checker.record_sent(sent_request(path="/move/1"))
        self.checker.check_received(received_request(path="/move/1"))
        self.assertEqual(findings, len(self.checker.findings))

    @parameterized.expand(
        [
            # seconds since the key was added, whether the store is healthy, denied count of a 401
            ("the configuration before may be in force", 1.5, True, 0),
            ("it may not be any more", 2.5, True, 1),
            ("the store has just been away", 6.5, False, 0),
            ("a key that was always there", None, True, 1),
        ]
    )
    def test_denied(self, _, added_s, store_healthy, counted):
        if added_s is not None:
            self.checker.added["k"] = 100.0 - added_s
        if not store_healthy:
            self.checker.faulty_until["store"] = 99.0
        self.checker.check_response(sent_request(), 401, False, False)
        self.assertEqual(counted, self.checker.outcome_counts["denied"])

    def test_over_the_rate(self):
        for number in range(60):
            request_id = f"r{number}"
            self.checker.key_owners["k"] = "hot"
            self.checker.record_sent(sent_request(request_id=request_id))
            self.checker.check_received(
                received_request(**{"x-request-id": request_id, "x-tenant": "hot"})
            )
        self.assertIn("over the rate", self.checker.findings[0])


class StatementsTest(TestCase):
    """What targets state in their responses binds the hosts that have passed it on."""

    def setUp(self):
        super().setUp()
        self.checker = Checker(40, 40)
        self.checker.key_owners = {"k": "mart"}
        self.at = 100.0
        self.checker.now = lambda: self.at

    def arrive(self, at, host="h0"):
        request_id = f"r{at}"
        self.checker.record_sent(sent_request(request_id=request_id, sent_at=at, host=host))
        self.checker.check_received(received_request(at, **{"x-request-id": request_id}))

    @parameterized.expand(
        [
            # seconds after the first answer, host, when a fault ended, findings
            ("too many", 4.0, "h0", None, 1),
            ("before it binds", 2.0, "h0", None, 0),
            ("a host that passed none on", 4.0, "h1", None, 0),
            ("a host that had a fault since", 4.0, "h0", 101.0, 0),
        ]
    )
    def test_limit(self, _, after_s, host, faulty_until, findings):
        self.checker.limit_rate("i-1", 2.0)
        headers = {b"x-instance-id": b"i-1", b"server-limit": b"2"}
        self.checker.record_statements(sent_request(), headers)
        if faulty_until:
            self.checker.faulty_until["h0"] = faulty_until
        for number in range(18):
            self.arrive(self.at + after_s + number / 100, host)
        self.assertEqual(findings, len(self.checker.findings), self.checker.findings)

    @parameterized.expand([("late", 2.5, 1), ("in time", 1.5, 0)])
    def test_leaving(self, _, after_s, findings):
        headers = {b"x-instance-id": b"i-1", b"server-leaving": b"1"}
        self.checker.record_statements(sent_request(), headers)
        self.arrive(self.at + after_s)
        self.assertEqual(findings, len(self.checker.findings), self.checker.findings)


class SoakTest(unittest.TestCase):
    """A run with real processes and the faults of a fixed seed; add seeds that ever failed."""

    @parameterized.expand([(1,)])
    def test_seed(self, seed):
        result = asyncio.run(run_seed(seed, seconds=6.0, hosts=3))
        self.assertEqual([], result["findings"], result)
        self.assertGreater(result["outcomes"]["200"], 0)
