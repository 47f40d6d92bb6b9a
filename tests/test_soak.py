"""A short soak with a fixed seed, and the soak's own checks."""

import asyncio
import unittest

from parameterized import parameterized
from testtools import TestCase

from soak.__main__ import play
from soak.checker import Arrival, Asked, Book

HEADERS = {
    "x-request-id": "r",
    "x-tenant": "mart",
    "x-caller-service": "shop",
    "x-deadline-milliseconds": "900",
}


def asked(**changes):
    return Asked("r", "h0", "shop", "/book/1", "k", False, 1000, 100.0)._replace(**changes)


def arrival(at=100.1, **headers):
    path = headers.pop("path", "/book/1")
    return Arrival("i-1", "shop", path, HEADERS | headers, b"", at)


class BookTest(TestCase):
    """The checks find what they are for, and nothing else."""

    def setUp(self):
        super().setUp()
        self.book = Book(4.0, 4.0)
        self.book.owners["k"] = "mart"
        self.book.moved.append((float("-inf"), "shop"))

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
    def test_arrival(self, _, changes, headers, promise):
        self.book.sent(asked(**changes))
        self.book.arrived(arrival(**headers))
        self.assertEqual(bool(promise), bool(self.book.findings))
        self.assertIn(promise, "".join(self.book.findings))

    def test_twice(self):
        self.book.sent(asked())
        self.book.arrived(arrival())
        self.book.arrived(arrival())
        self.assertIn("twice", self.book.findings[0])

    @parameterized.expand([("withdrawn", "withdrawn", "k", 5.0), ("left", "left", "i-1", 2.0)])
    def test_too_late(self, _, table, name, bound):
        getattr(self.book, table)[name] = 100.0 - bound - 0.5
        self.book.sent(asked())
        self.book.arrived(arrival(at=100.2))
        self.assertEqual(1, len(self.book.findings))

    def test_a_refusal_that_is_not_true(self):
        request = asked()
        self.book.sent(request)
        self.book.answered(request, 503, False, False)
        self.book.arrived(arrival())
        self.book.close()
        self.assertIn("not true", self.book.findings[0])

    @parameterized.expand([("shop", 0), ("stock", 1)])
    def test_an_old_configuration(self, now, findings):
        self.book.moved.append((90.0, now))
        self.book.sent(asked(path="/move/1"))
        self.book.arrived(arrival(path="/move/1"))
        self.assertEqual(findings, len(self.book.findings))

    @parameterized.expand(
        [
            # seconds since the key was given, is the store well, is a 401 counted
            ("the configuration before may be in force", 1.5, True, 0),
            ("it may not be any more", 2.5, True, 1),
            ("the store has just been away", 6.5, False, 0),
            ("a key that was always there", None, True, 1),
        ]
    )
    def test_denied(self, _, given_s, store_well, counted):
        if given_s is not None:
            self.book.given["k"] = 100.0 - given_s
        if not store_well:
            self.book.unwell["store"] = 99.0
        self.book.answered(asked(), 401, False, False)
        self.assertEqual(counted, self.book.counts["denied"])

    def test_over_the_rate(self):
        for number in range(60):
            request_id = f"r{number}"
            self.book.owners["k"] = "hot"
            self.book.sent(asked(request_id=request_id))
            self.book.arrived(arrival(**{"x-request-id": request_id, "x-tenant": "hot"}))
        self.assertIn("over the rate", self.book.findings[0])


class SoakTest(unittest.TestCase):
    """Real processes, faults of a fixed seed; seeds that ever failed belong here."""

    @parameterized.expand([(1,)])
    def test_seed(self, seed):
        figures = asyncio.run(play(seed, seconds=6.0, hosts=3))
        self.assertEqual([], figures["findings"], figures)
        self.assertGreater(figures["outcomes"]["200"], 0)
