"""Distributed rate limiting: an organisation's rate and burst split over seats.

An :class:`Account` is the token bucket of one node. Its limit is the sum of the
shares of its seats, less what it has lent, plus what it has borrowed. A loan
moves rate and burst together, so the limits of all nodes never sum to more than
the service document states. Tokens move with a loan; neither an expired loan nor
a restart creates new ones.
"""

import math
from typing import NamedTuple

from .clock import Clock

__all__ = ["LOAN_DURATION_S", "TAKEOVER_DELAY_S", "Account", "Loan", "RateLimit", "SeatShare"]

LOAN_DURATION_S = 5.0
"""How long a borrower may use a loan, counted from before the request was sent."""

LENDER_MARGIN_S = 1.0
"""How much longer the lender waits, to allow for clocks of different speed."""

TAKEOVER_DELAY_S = LOAN_DURATION_S + LENDER_MARGIN_S
"""How long a new holder must not use a seat, as the last holder may have lent it."""

DEMAND_WINDOW_S = 0.5
DEMAND_HEADROOM = 1.25
IMPORTANT_RESERVE = 0.1
MIN_LOAN_PER_S = 0.01


class RateLimit(NamedTuple):
    """A rate in requests per second and a burst in requests."""

    rate_per_s: float
    burst: float

    def plus(self, other: "RateLimit", sign: int = 1) -> "RateLimit":
        """Return the sum of this limit and ``sign`` times the other one."""
        return RateLimit(
            self.rate_per_s + sign * other.rate_per_s,
            self.burst + sign * other.burst,
        )

    def scaled(self, factor: float) -> "RateLimit":
        """Return the limit multiplied by ``factor``."""
        return RateLimit(self.rate_per_s * factor, self.burst * factor)


ZERO_LIMIT = RateLimit(0.0, 0.0)


class Loan(NamedTuple):
    """A lent or borrowed limit, until a time on this node's own clock."""

    limit: RateLimit
    until: float


class SeatShare(NamedTuple):
    """The limit that a seat contributes between ``start`` and ``end``.

    The times are clock seconds. A ``fresh`` seat was never held before, so it
    starts with a full burst of tokens.
    """

    limit: RateLimit
    start: float
    end: float
    fresh: bool


class Demand:
    """The recent rate of requests, in requests per second."""

    def __init__(self, now: float) -> None:
        self._window_start = now
        self._count = 0.0
        self._last = 0.0

    def add(self, now: float) -> None:
        """Count a request."""
        self._advance_window(now)
        self._count += 1

    def rate(self, now: float) -> float:
        """Return the higher rate of the last window and the current one."""
        self._advance_window(now)
        return max(self._last, self._count / DEMAND_WINDOW_S)

    def _advance_window(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < DEMAND_WINDOW_S:
            return
        self._last = self._count / DEMAND_WINDOW_S if elapsed < 2 * DEMAND_WINDOW_S else 0.0
        self._count = 0.0
        self._window_start = now


class Account:
    """The token bucket of one organisation at one service and node.

    Every method first advances the account to the current time, so that loans
    and seats that expired while the process was paused are no longer used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seats: dict[int, SeatShare] = {}
        self._credited_seats: set[int] = set()
        self._lent: dict[str, Loan] = {}
        self._borrowed: dict[str, Loan] = {}
        self._tokens = 0.0
        self._updated_at = clock.now()
        self._limit = ZERO_LIMIT
        self._next_change_at = math.inf
        self.demand = Demand(self._updated_at)

    # Limits and tokens.

    def set_seats(self, seats: dict[int, SeatShare]) -> None:
        """Set the shares of the held seats, by seat number."""
        self._advance()
        self._seats = dict(seats)
        for number in seats.keys() - self._credited_seats:
            self._tokens += self._initial_tokens(seats[number])
        self._credited_seats = set(seats)
        self._recompute()

    def _initial_tokens(self, share: SeatShare) -> float:
        if share.fresh:
            return share.limit.burst
        since = max(0.0, self._updated_at - share.start)
        return min(share.limit.burst, share.limit.rate_per_s * since)

    def _seat_limit(self, at: float) -> RateLimit:
        total = ZERO_LIMIT
        for share in self._seats.values():
            if share.start <= at < share.end:
                total = total.plus(share.limit)
        return total

    def _current_limit(self, at: float) -> RateLimit:
        total = self._seat_limit(at)
        for loan in self._lent.values():
            if at < loan.until:
                total = total.plus(loan.limit, -1)
        total = RateLimit(max(0.0, total.rate_per_s), max(0.0, total.burst))
        for loan in self._borrowed.values():
            if at < loan.until:
                total = total.plus(loan.limit)
        return total

    @property
    def limit(self) -> RateLimit:
        """The rate and burst that this node may use now."""
        self._advance()
        return self._limit

    @property
    def has_borrowed(self) -> bool:
        """Whether there may be a loan to return."""
        return bool(self._borrowed)

    @property
    def seat_limit(self) -> RateLimit:
        """The rate and burst of the seats held, lent or not."""
        self._advance()
        return self._seat_limit(self._updated_at)

    @property
    def tokens(self) -> float:
        """The number of requests that can be admitted immediately."""
        self._advance()
        return self._tokens

    def _advance(self) -> None:
        now = self._clock.now()
        while self._next_change_at <= now:
            self._refill(self._next_change_at)
            self._recompute()
        self._refill(now)

    def _refill(self, time: float) -> None:
        grown = self._tokens + self._limit.rate_per_s * max(0.0, time - self._updated_at)
        self._tokens = min(grown, self._limit.burst)
        self._updated_at = max(self._updated_at, time)

    def _recompute(self) -> None:
        # Computed only on changes, as every request reads the limit.
        self._lent = {k: loan for k, loan in self._lent.items() if loan.until > self._updated_at}
        self._borrowed = {
            k: loan for k, loan in self._borrowed.items() if loan.until > self._updated_at
        }
        times = [loan.until for loan in (*self._lent.values(), *self._borrowed.values())]
        times += [time for share in self._seats.values() for time in (share.start, share.end)]
        self._next_change_at = min(
            (time for time in times if time > self._updated_at), default=math.inf
        )
        self._limit = self._current_limit(self._updated_at)
        self._tokens = min(self._tokens, self._limit.burst)

    # Admission.

    def take(self, important: bool = True) -> bool:
        """Count a request and take one token; returns False when there is none.

        A tenth of the burst is reserved for important requests, so that they are
        refused last when other requests use up the rate.
        """
        self._advance()
        self.demand.add(self._updated_at)
        return self.take_uncounted(important)

    def take_uncounted(self, important: bool = True) -> bool:
        """Take one token without counting the request again in the demand."""
        self._advance()
        if self._tokens < 1.0 + (0.0 if important else self._reserve()):
            return False
        self._tokens -= 1.0
        return True

    def _reserve(self) -> float:
        burst = self._limit.burst
        return max(0.0, min(burst * IMPORTANT_RESERVE, burst - 2.0))

    def refund(self) -> None:
        """Return the token of a request that did not run."""
        self._advance()
        self._tokens = min(self._tokens + 1.0, self._limit.burst)

    def wait_s(self) -> float:
        """Return the seconds until a token is available, at most 60."""
        limit = self.limit
        if limit.burst < 1.0 or limit.rate_per_s <= 0:
            return 60.0
        return min(60.0, max(0.0, 1.0 - self._tokens) / limit.rate_per_s)

    # Loans.

    def shortfall(self) -> RateLimit:
        """Return the limit that the account should borrow to serve its demand."""
        limit = self.limit
        wanted = self.demand.rate(self._updated_at) * DEMAND_HEADROOM
        rate = max(0.0, wanted - limit.rate_per_s)
        burst = max(0.0, max(1.0, wanted) - limit.burst)
        return RateLimit(rate, burst)

    def lend(self, loan: str, asked: RateLimit) -> tuple[RateLimit, float]:
        """Lend unused limit under the id ``loan``; returns the limit and its tokens.

        A repeated request for the same loan gets nothing, as the first answer may
        have arrived.
        """
        self._advance()
        if loan in self._lent:
            return ZERO_LIMIT, 0.0
        free = self._lendable()
        grant = RateLimit(min(asked.rate_per_s, free.rate_per_s), min(asked.burst, free.burst))
        if grant.rate_per_s < MIN_LOAN_PER_S and grant.burst <= 0:
            return ZERO_LIMIT, 0.0
        before = self._limit.burst
        tokens = min(grant.burst, self._tokens * grant.burst / before if before else 0.0)
        self._lent[loan] = Loan(grant, self._updated_at + TAKEOVER_DELAY_S)
        self._tokens -= tokens
        self._recompute()
        return grant, tokens

    def _lendable(self) -> RateLimit:
        seat_limit = self._seat_limit(self._updated_at)
        for loan in self._lent.values():
            seat_limit = seat_limit.plus(loan.limit, -1)
        kept = self.demand.rate(self._updated_at) * DEMAND_HEADROOM
        rate = max(0.0, seat_limit.rate_per_s - kept)
        burst = max(0.0, seat_limit.burst - (max(1.0, kept) if kept else 0.0))
        return RateLimit(rate, burst)

    def borrow(self, loan: str, limit: RateLimit, tokens: float, asked_at: float) -> None:
        """Add a loan that was requested at ``asked_at``; a repeat is ignored."""
        self._advance()
        until = asked_at + LOAN_DURATION_S
        if loan in self._borrowed or until <= self._updated_at:
            return
        self._borrowed[loan] = Loan(limit, until)
        self._tokens += min(tokens, limit.burst)
        self._recompute()

    def return_loans(self) -> list[tuple[str, float]]:
        """Stop using all loans; returns their ids and the tokens to return."""
        self._advance()
        loan_ids = [loan_id for loan_id, loan in self._borrowed.items() if loan.limit != ZERO_LIMIT]
        return [(loan_id, self._end_loan(loan_id)) for loan_id in loan_ids]

    def return_idle_loans(self) -> list[tuple[str, float]]:
        """Stop using loans that the demand no longer needs.

        Returns their ids and the tokens to return, like :meth:`return_loans`.
        """
        self._advance()
        spare = self._limit.rate_per_s - self.demand.rate(self._updated_at) * DEMAND_HEADROOM
        returned: list[tuple[str, float]] = []
        for loan_id, loan in list(self._borrowed.items()):
            if loan.limit != ZERO_LIMIT and loan.limit.rate_per_s <= spare:
                spare -= loan.limit.rate_per_s
                returned.append((loan_id, self._end_loan(loan_id)))
        return returned

    def _end_loan(self, loan_id: str) -> float:
        loan = self._borrowed[loan_id]
        before = self._tokens
        # Keep the id until the loan ends, so that a duplicate grant is ignored.
        self._borrowed[loan_id] = Loan(ZERO_LIMIT, loan.until)
        self._recompute()
        return min(before - self._tokens, loan.limit.burst)

    def accept_return(self, loan: str, tokens: float) -> None:
        """Take back a loan that the borrower has returned; a repeat is ignored."""
        self._advance()
        if self._lent.pop(loan, None) is not None:
            self._tokens += tokens
            self._recompute()

    def loans(self) -> tuple[RateLimit, RateLimit]:
        """Return the total lent and the total borrowed limit."""
        self._advance()
        lent = borrowed = ZERO_LIMIT
        for loan in self._lent.values():
            lent = lent.plus(loan.limit)
        for loan in self._borrowed.values():
            borrowed = borrowed.plus(loan.limit)
        return lent, borrowed
