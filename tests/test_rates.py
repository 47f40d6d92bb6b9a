"""Tests of distributed rate limits, loans and seats, in virtual time."""

from parameterized import parameterized
from testtools import TestCase

from beryldrum.config_replica import ConfigReplica
from beryldrum.seats import SeatTable
from beryldrum.shares import LOAN_DURATION_S, TAKEOVER_DELAY_S, Account, RateLimit, SeatShare

from .fakes import ManualClock, MemoryLog, claim, publish, rng

RATE = RateLimit(10.0, 10.0)


def full_account(clock, limit=RATE, start=0.0, end=1e9, fresh=True):
    account = Account(clock)
    account.set_seats({0: SeatShare(limit, start, end, fresh)})
    return account


def drain(account):
    count = 0
    while account.take():
        count += 1
    return count


class AccountTest(TestCase):
    """A single account."""

    def test_burst_then_rate(self):
        clock = ManualClock()
        account = full_account(clock)
        self.assertEqual(10, drain(account))
        clock.advance(0.5)
        self.assertEqual(5, drain(account))

    def test_last_tenth_is_for_important_requests(self):
        account = full_account(ManualClock())
        count = 0
        while account.take(important=False):
            count += 1
        self.assertEqual((9, 1), (count, drain(account)))

    def test_successor_waits_and_begins_empty(self):
        clock = ManualClock()
        account = full_account(clock, start=TAKEOVER_DELAY_S, fresh=False)
        clock.advance(TAKEOVER_DELAY_S - 0.01)
        self.assertEqual(0, drain(account))
        clock.advance(0.11)
        self.assertEqual(1, drain(account))

    def test_seat_that_lapsed_during_a_pause(self):
        clock = ManualClock()
        account = full_account(clock, end=2.0)
        clock.advance(60.0)
        self.assertEqual(0, drain(account))

    @parameterized.expand([(1,), (7,), (100,)])
    def test_one_long_step_equals_many_short_ones(self, steps):
        clock = ManualClock()
        lender, borrower = full_account(clock), Account(clock)
        limit, tokens = lender.lend("loan", RateLimit(4.0, 4.0))
        borrower.borrow("loan", limit, tokens, 0.0)
        drain(lender)
        drain(borrower)
        for _ in range(steps):
            clock.advance(9.0 / steps)
            if steps > 1:
                lender.limit, borrower.limit  # noqa: B018
        self.assertAlmostEqual(10.0, lender.tokens)
        self.assertAlmostEqual(0.0, borrower.tokens)


class LoanTest(TestCase):
    """Loans move rate, burst and tokens, and never create new ones."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.lender = full_account(self.clock)
        self.borrower = Account(self.clock)

    def lend(self, burst=6.0):
        return self.lender.lend("loan", RateLimit(burst, burst))

    def test_sum_is_kept(self):
        limit, tokens = self.lend()
        self.borrower.borrow("loan", limit, tokens, 0.0)
        self.assertEqual(10, drain(self.lender) + drain(self.borrower))
        self.clock.advance(1.0)
        self.assertEqual(10, drain(self.lender) + drain(self.borrower))

    def test_lender_keeps_what_it_needs(self):
        for _ in range(8):
            self.lender.take()
            self.clock.advance(0.25)
        limit, _ = self.lend(10.0)
        self.assertEqual(5.0, limit.rate_per_s)

    def test_late_grant_is_void(self):
        limit, tokens = self.lend()
        self.clock.advance(LOAN_DURATION_S)
        self.borrower.borrow("loan", limit, tokens, 0.0)
        self.assertEqual(0, drain(self.borrower))

    def test_borrower_paused_past_the_term(self):
        limit, tokens = self.lend()
        self.borrower.borrow("loan", limit, tokens, 0.0)
        self.clock.advance(TAKEOVER_DELAY_S)
        self.assertEqual(0, drain(self.borrower))

    def test_lender_waits_longer_than_the_borrower(self):
        self.lend()
        self.clock.advance(LOAN_DURATION_S + 0.5)
        self.assertEqual(4.0, self.lender.limit.burst)
        self.clock.advance(0.6)
        self.assertEqual(10.0, self.lender.limit.burst)

    @parameterized.expand([("ask",), ("grant",), ("return",), ("grant after return",)])
    def test_doubled(self, what):
        limit, tokens = self.lend()
        if what == "ask":
            self.assertEqual((RateLimit(0.0, 0.0), 0.0), self.lend())
        self.borrower.borrow("loan", limit, tokens, 0.0)
        if what == "grant":
            self.borrower.borrow("loan", limit, tokens, 0.0)
        if "return" in what:
            for name, back in self.borrower.return_loans() * 2:
                self.lender.accept_return(name, back)
            self.assertEqual([], self.borrower.return_loans())
        if what == "grant after return":
            self.borrower.borrow("loan", limit, tokens, 0.0)
        self.assertEqual(10, drain(self.lender) + drain(self.borrower))

    def test_refund_never_exceeds_the_burst(self):
        self.lender.refund()
        self.assertEqual(10.0, self.lender.tokens)

    def test_idle_loan_goes_back_and_a_needed_one_stays(self):
        limit, tokens = self.lend()
        self.borrower.borrow("loan", limit, tokens, 0.0)
        for _ in range(6):
            self.borrower.take()
        self.assertEqual([], self.borrower.return_idle_loans())
        self.clock.advance(2.0)
        self.assertEqual(["loan"], [name for name, _ in self.borrower.return_idle_loans()])

    def test_lowered_rate_is_obeyed_and_old_loans_end(self):
        limit, tokens = self.lend()
        self.borrower.borrow("loan", limit, tokens, 0.0)
        self.lender.set_seats({0: SeatShare(RateLimit(2.0, 2.0), 0.0, 1e9, True)})
        self.assertEqual(0, drain(self.lender))
        self.clock.advance(TAKEOVER_DELAY_S)
        self.assertEqual(0, drain(self.borrower))
        self.assertEqual(RateLimit(2.0, 2.0), self.lender.limit)


class RandomTest(TestCase):
    """Three accounts under random steps and faults, compared with one exact bucket."""

    @parameterized.expand([(seed,) for seed in range(30)])
    def test_never_beyond_rate_and_burst(self, seed):
        random = rng(seed)
        clock = ManualClock()
        accounts = [full_account(clock, RateLimit(5.0, 5.0)) for _ in range(3)]
        bucket, messages, admitted = 15.0, [], 0
        for number in range(1_500):
            step = random.choice((0.0, 0.0, 0.02, 0.05, 3.0 if random.random() < 0.02 else 0.1))
            clock.advance(step)
            bucket = min(15.0, bucket + 15.0 * step)
            who = random.randrange(3)
            match random.choice((*["take"] * 12, "lend", "grant", "grant", "back", "die")):
                case "take":
                    if accounts[who].take():
                        bucket -= 1
                        admitted += 1
                case "lend":
                    to = (who + 1) % 3
                    limit, tokens = accounts[who].lend(f"{number}", RateLimit(3.0, 3.0))
                    asked = clock.now() - random.choice((0.0, 1.0))
                    messages.append((to, who, f"{number}", limit, tokens, asked))
                case "grant" if messages:
                    to, _, name, limit, tokens, asked = random.choice(messages)
                    accounts[to].borrow(name, limit, tokens, asked)
                case "back" if messages:
                    back = accounts[who].return_loans()
                    lenders = {m[2]: m[1] for m in messages}
                    for name, tokens in back * 2:
                        accounts[lenders[name]].accept_return(name, tokens)
                case "die" if random.random() < 0.1:
                    accounts[who] = full_account(
                        clock, RateLimit(5.0, 5.0), clock.now() + TAKEOVER_DELAY_S, fresh=False
                    )
            self.assertGreaterEqual(round(bucket, 6), 0.0, f"step {number}")
        self.assertGreater(admitted, 50)


class SeatTest(TestCase):
    """When a node may use, claim or release a seat."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1_000.0)
        self.news = ConfigReplica(self.clock)
        self.seats = SeatTable(self.clock, self.news, "a", "1")
        self.log = MemoryLog()
        self.log.add(publish())
        self.news.changes.subscribe(self.seats.update)

    def read(self):
        batch = asyncio_read(self.log)
        self.news.apply_batch(batch, self.clock.now())

    def test_fresh_seat_is_used_at_once(self):
        self.log.add(claim())
        self.read()
        self.assertEqual(0, self.seats.held_since_ms("payments", 0))

    def test_taken_over_seat_is_unused_for_the_takeover_delay(self):
        self.log.add(claim(node="a", incarnation="0"))
        self.log.add(claim(node="a", incarnation="1"))
        self.read()
        self.assertEqual([("payments", 0)], self.seats.held_seats())
        self.assertIsNone(self.seats.held_since_ms("payments", 0))
        self.assertEqual(0, drain(self.account()))
        settled_ms = self.clock.wall_ms() + 6_000
        self.clock.advance(TAKEOVER_DELAY_S)
        self.assertEqual(settled_ms, self.seats.held_since_ms("payments", 0))

    def test_lease_expires_without_confirmation(self):
        self.log.add(claim(hold_ms=10_000))
        self.read()
        self.clock.advance(9.4)
        self.assertIsNotNone(self.seats.held_since_ms("payments", 0))
        self.clock.advance(0.2)
        self.assertIsNone(self.seats.held_since_ms("payments", 0))
        self.assertEqual(0.0, drain(self.account()))

    def account(self):
        account = Account(self.clock)
        account.set_seats(self.seats.seat_shares("payments", RATE))
        return account

    def test_log_that_answers_down_extends_the_lease(self):
        self.log.add(claim(hold_ms=10_000))
        self.read()
        for _ in range(100):
            self.clock.advance(1.0)
            self.news.log_down(self.clock.now())
            self.assertIsNotNone(self.seats.held_since_ms("payments", 0))
        self.clock.advance(3.1)
        self.assertIsNone(self.seats.held_since_ms("payments", 0))

    def test_seat_being_released_is_not_used(self):
        self.log.add(claim())
        self.read()
        self.seats.stop_using("payments", 0)
        self.assertEqual({}, self.seats.seat_shares("payments", RATE))
        self.assertIsNone(self.seats.held_since_ms("payments", 0))

    def test_claims_its_fair_part_then_all(self):
        self.read()
        self.assertEqual([0, 1], self.seats.seats_to_claim("payments", 2))
        self.clock.advance(4.0)
        self.assertEqual([0, 1, 2, 3], self.seats.seats_to_claim("payments", 2))

    def test_claims_again_what_its_address_holds(self):
        self.log.add(claim(incarnation="0"))
        self.read()
        self.assertEqual(0, self.seats.seats_to_claim("payments", 4)[0])

    def test_surplus_is_released_to_one_who_has_too_few(self):
        for seat in range(4):
            self.log.add(claim(seat=seat))
        self.read()
        self.assertEqual(3, self.seats.seat_to_release("payments", ["a", "b"]))
        self.assertIsNone(self.seats.seat_to_release("payments", ["a"]))


def asyncio_read(log):
    import asyncio

    return asyncio.run(log.read(0, 0))
