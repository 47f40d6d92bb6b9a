"""Rate and burst of an organisation, split over the seats of a service.

An :class:`Account` is one node's part: what its seats give it, less what it has
lent, plus what it has borrowed. A loan moves rate and burst together, so that
the rates and the bursts of all nodes never sum to more than the document
states; tokens move with it, and neither a lapse nor a restart makes new ones.
"""

import math
from typing import NamedTuple

from .clock import Clock

__all__ = ["LOAN_TERM_S", "SETTLE_S", "Account", "Loan", "Part", "SeatShare"]

LOAN_TERM_S = 5.0
"""How long a borrower may use a loan, counted from before it asked."""

LENDER_MARGIN_S = 1.0
"""How much longer the lender waits, for clocks that run at different speeds."""

SETTLE_S = LOAN_TERM_S + LENDER_MARGIN_S
"""How long a new holder leaves a seat unused: its last holder may have lent it."""

DEMAND_WINDOW_S = 0.5
HEADROOM = 1.25
RESERVE = 0.1
LEAST_LOAN_PER_S = 0.01


class Part(NamedTuple):
    """A rate with its burst."""

    rate_per_s: float
    burst: float

    def plus(self, other: "Part", sign: int = 1) -> "Part":
        """Return the sum of two parts, the other one times ``sign``."""
        return Part(
            self.rate_per_s + sign * other.rate_per_s,
            self.burst + sign * other.burst,
        )

    def times(self, factor: float) -> "Part":
        """Return the part scaled by ``factor``."""
        return Part(self.rate_per_s * factor, self.burst * factor)


NOTHING = Part(0.0, 0.0)


class Loan(NamedTuple):
    """Rate and burst that moved; ``until`` is on the keeper's own clock."""

    part: Part
    until: float


class SeatShare(NamedTuple):
    """What a seat gives: its part, and from and until when it counts.

    A ``fresh`` seat was never held before, so its burst is there from the start.
    """

    part: Part
    start: float
    end: float
    fresh: bool


class Demand:
    """The recent rate of requests, in requests a second."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._count = 0.0
        self._last = 0.0

    def add(self, now: float) -> None:
        """Count a request."""
        self._roll(now)
        self._count += 1

    def rate(self, now: float) -> float:
        """Return the rate, the higher of the last window's and this one's."""
        self._roll(now)
        return max(self._last, self._count / DEMAND_WINDOW_S)

    def _roll(self, now: float) -> None:
        elapsed = now - self._since
        if elapsed < DEMAND_WINDOW_S:
            return
        self._last = self._count / DEMAND_WINDOW_S if elapsed < 2 * DEMAND_WINDOW_S else 0.0
        self._count = 0.0
        self._since = now


class Account:
    """A node's part in what a service owes an organisation.

    Every call first moves the account on to the present, so that a loan or a
    seat that lapsed while the process was paused is noticed at the decision.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seats: dict[int, SeatShare] = {}
        self._met: set[int] = set()
        self._lent: dict[str, Loan] = {}
        self._borrowed: dict[str, Loan] = {}
        self._tokens = 0.0
        self._at = clock.now()
        self._part = NOTHING
        self._next_change = math.inf
        self.demand = Demand(self._at)

    # What the account holds.

    def set_seats(self, seats: dict[int, SeatShare]) -> None:
        """State the seats held, by number."""
        self._advance()
        self._seats = dict(seats)
        for number in seats.keys() - self._met:
            self._tokens += self._accrued(seats[number])
        self._met = set(seats)
        self._settle()

    def _accrued(self, share: SeatShare) -> float:
        if share.fresh:
            return share.part.burst
        since = max(0.0, self._at - share.start)
        return min(share.part.burst, share.part.rate_per_s * since)

    def _own(self, at: float) -> Part:
        total = NOTHING
        for share in self._seats.values():
            if share.start <= at < share.end:
                total = total.plus(share.part)
        return total

    def _capacity(self, at: float) -> Part:
        total = self._own(at)
        for loan in self._lent.values():
            if at < loan.until:
                total = total.plus(loan.part, -1)
        total = Part(max(0.0, total.rate_per_s), max(0.0, total.burst))
        for loan in self._borrowed.values():
            if at < loan.until:
                total = total.plus(loan.part)
        return total

    @property
    def part(self) -> Part:
        """The rate and burst that this node may use now."""
        self._advance()
        return self._part

    @property
    def borrows(self) -> bool:
        """Tell whether there may be a loan to give back."""
        return bool(self._borrowed)

    @property
    def own(self) -> Part:
        """The rate and burst of the seats held, lent or not."""
        self._advance()
        return self._own(self._at)

    @property
    def tokens(self) -> float:
        """The requests that may be admitted at once."""
        self._advance()
        return self._tokens

    def _advance(self) -> None:
        now = self._clock.now()
        while self._next_change <= now:
            self._grow(self._next_change)
            self._settle()
        self._grow(now)

    def _grow(self, time: float) -> None:
        grown = self._tokens + self._part.rate_per_s * max(0.0, time - self._at)
        self._tokens = min(grown, self._part.burst)
        self._at = max(self._at, time)

    def _settle(self) -> None:
        # Worked out when something changes, as every request asks for it.
        self._lent = {k: loan for k, loan in self._lent.items() if loan.until > self._at}
        self._borrowed = {k: loan for k, loan in self._borrowed.items() if loan.until > self._at}
        times = [loan.until for loan in (*self._lent.values(), *self._borrowed.values())]
        times += [time for share in self._seats.values() for time in (share.start, share.end)]
        self._next_change = min((time for time in times if time > self._at), default=math.inf)
        self._part = self._capacity(self._at)
        self._tokens = min(self._tokens, self._part.burst)

    # Admission.

    def take(self, important: bool = True) -> bool:
        """Take one token; returns False when there is none.

        A tenth of the burst is kept for important requests, so that they go last
        also where the others use up the rate.
        """
        self._advance()
        self.demand.add(self._at)
        return self.retake(important)

    def retake(self, important: bool = True) -> bool:
        """Take one token for a request whose demand has been counted."""
        self._advance()
        if self._tokens < 1.0 + (0.0 if important else self._reserve()):
            return False
        self._tokens -= 1.0
        return True

    def _reserve(self) -> float:
        burst = self._part.burst
        return max(0.0, min(burst * RESERVE, burst - 2.0))

    def refund(self) -> None:
        """Give back the token of a request that surely did not run."""
        self._advance()
        self._tokens = min(self._tokens + 1.0, self._part.burst)

    def wait_s(self) -> float:
        """Return the seconds until a token is due, at most a minute."""
        part = self.part
        if part.burst < 1.0 or part.rate_per_s <= 0:
            return 60.0
        return min(60.0, max(0.0, 1.0 - self._tokens) / part.rate_per_s)

    # Loans.

    def lacks(self) -> Part:
        """Return what the account should borrow to serve its demand."""
        part = self.part
        wanted = self.demand.rate(self._at) * HEADROOM
        rate = max(0.0, wanted - part.rate_per_s)
        burst = max(0.0, max(1.0, wanted) - part.burst)
        return Part(rate, burst)

    def lend(self, loan: str, asked: Part) -> tuple[Part, float]:
        """Give a loan out of what is idle; returns its part and its tokens.

        A repeated ask gets nothing: the first answer may have arrived.
        """
        self._advance()
        if loan in self._lent:
            return NOTHING, 0.0
        free = self._free()
        grant = Part(min(asked.rate_per_s, free.rate_per_s), min(asked.burst, free.burst))
        if grant.rate_per_s < LEAST_LOAN_PER_S and grant.burst <= 0:
            return NOTHING, 0.0
        before = self._part.burst
        tokens = min(grant.burst, self._tokens * grant.burst / before if before else 0.0)
        self._lent[loan] = Loan(grant, self._at + SETTLE_S)
        self._tokens -= tokens
        self._settle()
        return grant, tokens

    def _free(self) -> Part:
        own = self._own(self._at)
        for loan in self._lent.values():
            own = own.plus(loan.part, -1)
        kept = self.demand.rate(self._at) * HEADROOM
        rate = max(0.0, own.rate_per_s - kept)
        burst = max(0.0, own.burst - (max(1.0, kept) if kept else 0.0))
        return Part(rate, burst)

    def borrow(self, loan: str, part: Part, tokens: float, asked_at: float) -> None:
        """Take up a loan that was asked for at ``asked_at``; a repeat is ignored."""
        self._advance()
        until = asked_at + LOAN_TERM_S
        if loan in self._borrowed or until <= self._at:
            return
        self._borrowed[loan] = Loan(part, until)
        self._tokens += min(tokens, part.burst)
        self._settle()

    def give_back(self) -> list[tuple[str, float]]:
        """Stop using every loan; returns their names and the tokens that go back."""
        self._advance()
        names = [name for name, loan in self._borrowed.items() if loan.part != NOTHING]
        return [(name, self._drop(name)) for name in names]

    def give_back_idle(self) -> list[tuple[str, float]]:
        """Stop using the loans that the demand no longer needs; returns as give_back."""
        self._advance()
        spare = self._part.rate_per_s - self.demand.rate(self._at) * HEADROOM
        given: list[tuple[str, float]] = []
        for name, loan in list(self._borrowed.items()):
            if loan.part != NOTHING and loan.part.rate_per_s <= spare:
                spare -= loan.part.rate_per_s
                given.append((name, self._drop(name)))
        return given

    def _drop(self, name: str) -> float:
        loan = self._borrowed[name]
        before = self._tokens
        # The name stays for the loan's term: a doubled grant is ignored.
        self._borrowed[name] = Loan(NOTHING, loan.until)
        self._settle()
        return min(before - self._tokens, loan.part.burst)

    def accept_return(self, loan: str, tokens: float) -> None:
        """Take back a loan that its borrower stopped using; a repeat is ignored."""
        self._advance()
        if self._lent.pop(loan, None) is not None:
            self._tokens += tokens
            self._settle()

    def loans(self) -> tuple[Part, Part]:
        """Return what is lent and what is borrowed."""
        self._advance()
        lent = borrowed = NOTHING
        for loan in self._lent.values():
            lent = lent.plus(loan.part)
        for loan in self._borrowed.values():
            borrowed = borrowed.plus(loan.part)
        return lent, borrowed
