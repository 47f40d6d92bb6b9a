"""Tests that a request with an idempotency key runs at most once."""

import asyncio
import json

from parameterized import parameterized
from testtools import TestCase

from beryldrum import request as reasons
from beryldrum.balance import Balancer
from beryldrum.config_replica import ConfigReplica
from beryldrum.entry import OutcomeFilter
from beryldrum.idempotency_key import IdempotencyKeyFilter
from beryldrum.ledger import JoinRun, Ledger, StartRun, StoredReply, born_ms, seat_for_key
from beryldrum.membership import READY, Advert, Membership
from beryldrum.request import Outcome, Reply, not_run, unknown

from .fakes import ManualClock, MemoryLog, claim, publish, request, rng, uuid7

OK_REPLY = Reply(Outcome.ANSWERED, 200, (("X", "1"),), b"whole")
LIFE_MS = 60_000
ERROR_MS = 500


class RepeatTest(TestCase):
    """Only the home of a key may report that nothing ran under it."""

    @parameterized.expand(
        [
            ("shed before its home", uuid7(1_800_000_000_000), False, Outcome.UNKNOWN),
            ("refused by its home", uuid7(1_800_000_000_000), True, Outcome.NOT_RUN),
            ("no key", "", False, Outcome.NOT_RUN),
            ("a key that never can run", "x", False, Outcome.NOT_RUN),
        ]
    )
    def test_outcome(self, _, key, from_home, expected):
        async def step(req):
            return not_run(reasons.SHED)._replace(from_home=from_home)

        req = request(headers=(("Idempotency-Key", key),))
        reply = asyncio.run(OutcomeFilter().handle(req, step))
        self.assertEqual((expected, 503), (reply.outcome, reply.status))


class MintTest(TestCase):
    """Keys issued on request have a reachable home."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.news = ConfigReplica(self.clock)
        log = MemoryLog()
        log.add(publish())
        for seat, node in enumerate(("a", "b", "c", "c")):
            log.add(claim(seat=seat, node=node))
        self.news.apply(log.entries)
        own = self.advert("x", "one")
        self.membership = Membership(self.clock, rng(), own)
        self.membership.merge([self.advert("a", "one"), self.advert("b", "one")])
        self.membership.merge([self.advert("c", "two")])
        self.balancer = Balancer(self.clock, rng(), "one")

    def advert(self, node, data_centre):
        return Advert(node, "1", self.clock.wall_ms(), data_centre, "payments", "t", READY, 8)

    @parameterized.expand(
        [
            ("own", {2}, (), {2}),
            ("near", set(), (), {0, 1}),
            ("near that answers", set(), ("a",), {1}),
            ("anywhere", set(), ("a", "b"), {2, 3}),
        ]
    )
    def test_home(self, _, held, failed, expected):
        for node in failed:
            self.balancer.record_sent(node)
            self.balancer.record_failure(node)
        minting = IdempotencyKeyFilter(
            self.news, self.membership, self.balancer, lambda _, n: n in held
        )
        req = request(path="/.beryldrum/idempotency-key")
        seats = set()
        for _ in range(40):
            reply = asyncio.run(minting.handle(req, None))
            key = json.loads(reply.body)["idempotency_key"]
            self.assertIsNotNone(born_ms(key))
            seats.add(seat_for_key("payments", key, 4))
        self.assertEqual(expected, seats)


class LedgerTest(TestCase):
    """Repeated keys at one home."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.held = 0
        self.ledger = self.make()
        self.key = uuid7(self.clock.wall_ms())
        self.req = request(idempotency_key=self.key)

    def make(self, entries=100, size=1_000_000):
        return Ledger(self.clock, LIFE_MS, ERROR_MS, lambda _: self.held, entries, size)

    def test_first_runs_and_a_repeat_joins(self):
        self.assertEqual(StartRun(), self.ledger.begin(self.req, "one").unwrap())
        self.assertEqual(JoinRun("one"), self.ledger.begin(self.req, "two").unwrap())

    @parameterized.expand([("answered", OK_REPLY), ("unknown", unknown(reasons.ANSWER_LOST))])
    def test_a_repeat_finds_the_outcome(self, _, reply):
        self.ledger.begin(self.req, "one")
        self.ledger.complete(self.key, reply)
        self.assertEqual(StoredReply(reply), self.ledger.begin(self.req, "two").unwrap())

    def test_not_run_frees_the_key(self):
        self.ledger.begin(self.req, "one")
        self.ledger.complete(self.key, not_run(reasons.SHED))
        self.assertEqual(StartRun(), self.ledger.begin(self.req, "two").unwrap())

    @parameterized.expand([("body", {"body": b"6"}), ("organisation", {"organisation": "other"})])
    def test_another_request_under_the_key(self, _, change):
        self.ledger.begin(self.req, "one")
        other = self.req._replace(**change)
        self.assertIs(reasons.KEY_REUSED, self.ledger.begin(other, "two").unwrap_err())

    @parameterized.expand(
        [
            ("before it held the seat", -10_000, 0),
            ("within the clocks' error", 1_400, 0),
            ("older than a key's life", 0, LIFE_MS),
        ]
    )
    def test_cannot_know(self, _, born_after_ms, waited_ms):
        self.held = self.clock.wall_ms()
        key = uuid7(self.held + born_after_ms)
        self.clock.advance((max(born_after_ms, 0) + waited_ms) / 1000)
        found = self.ledger.begin(request(idempotency_key=key), "one").unwrap()
        self.assertEqual(StoredReply(unknown(reasons.OUTCOME_NOT_KEPT)), found)

    def test_born_after_the_take_over_runs(self):
        self.held = self.clock.wall_ms()
        self.clock.advance(10.0)
        key = uuid7(self.held + 1_501)
        self.assertEqual(
            StartRun(), self.ledger.begin(request(idempotency_key=key), "one").unwrap()
        )

    def test_from_the_future_is_refused(self):
        key = uuid7(self.clock.wall_ms() + 501)
        refused = self.ledger.begin(request(idempotency_key=key), "one")
        self.assertIs(reasons.KEY_EXPIRED, refused.unwrap_err())

    def test_seat_not_held(self):
        self.held = None
        self.assertIs(reasons.NOT_HOME, self.ledger.begin(self.req, "one").unwrap_err())

    def test_full_refuses_new_and_keeps_live(self):
        ledger = self.make(entries=4)
        ledger.begin(self.req, "one")
        ledger.complete(self.key, OK_REPLY)
        for tail in (2, 3):
            last = ledger.begin(request(idempotency_key=uuid7(self.clock.wall_ms(), tail)), "x")
        self.assertIs(reasons.LEDGER_FULL, last.unwrap_err())
        self.assertEqual(StoredReply(OK_REPLY), ledger.begin(self.req, "two").unwrap())

    def test_answer_too_large_to_keep_is_still_remembered(self):
        ledger = self.make(size=2_000)
        ledger.begin(self.req, "one")
        ledger.complete(self.key, OK_REPLY._replace(body=b"x" * 5_000))
        found = ledger.begin(self.req, "two").unwrap()
        self.assertEqual(StoredReply(unknown(reasons.OUTCOME_NOT_KEPT)), found)

    def test_forgotten_after_its_life_and_never_run_again(self):
        self.ledger.begin(self.req, "one")
        self.ledger.complete(self.key, OK_REPLY)
        self.clock.advance((LIFE_MS + 3 * ERROR_MS) / 1000)
        found = self.ledger.begin(self.req, "two").unwrap()
        self.assertEqual(StoredReply(unknown(reasons.OUTCOME_NOT_KEPT)), found)
        self.assertEqual(0, len(self.ledger))

    def test_run_in_flight_is_never_forgotten(self):
        self.ledger.begin(self.req, "one")
        self.clock.advance(10 * LIFE_MS / 1000)
        self.assertEqual(JoinRun("one"), self.ledger.begin(self.req, "two").unwrap())

    @parameterized.expand(
        [("not a uuid", "x"), ("version 4", "5f0c2f2e-9a55-4d64-8a64-111111111111")]
    )
    def test_malformed(self, _, key):
        self.assertIsNone(born_ms(key))
        refused = self.ledger.begin(request(idempotency_key=key), "one")
        self.assertIs(reasons.BAD_HEADER, refused.unwrap_err())

    def test_one_seat_however_it_is_written(self):
        self.assertEqual(
            seat_for_key("payments", self.key, 12), seat_for_key("payments", self.key.upper(), 12)
        )
