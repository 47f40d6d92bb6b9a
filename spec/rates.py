"""Rate and burst under loans, lost and doubled messages, pauses and restarts.

A lender and a borrower are accounts of the product. What they admit together is
held against one bucket of the organisation's rate and burst: it is never
overdrawn exactly if no window of any length sees more than rate times its
length and burst. A node that takes no step while time passes is paused.
"""

from typing import Any

from beryldrum import shares
from beryldrum.clock import ManualClock
from beryldrum.shares import Account, Part, SeatShare

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = (
    "a loan counts from its arrival",
    "a successor does not wait",
    "the burst stays with the lender",
)

RATE = 2.0
BURST = 2.0
LOAN = Part(1.0, 1.0)
TERM_S = 2.0
MARGIN_S = 1.0
HORIZON_S = 6
MOST_LOANS = 2
MOST_LOANS_OF_MUTANTS = 1
FIELDS = ("time", "bucket", "lender", "borrower", "asks", "grants", "returns", "asked", "restarted")


class Spec:
    """The transitions, for the product's rules or for a mutant."""

    def __init__(self, mutant: str) -> None:
        self._mutant = mutant
        self._most_loans = MOST_LOANS_OF_MUTANTS if mutant else MOST_LOANS

    def _thaw(self, frozen: tuple[Any, ...], time: float) -> Account:
        clock = ManualClock(frozen[3])
        account = Account(clock)
        account._tokens = frozen[2]
        account._seats = dict(frozen[4])
        account._met = set(account._seats)
        account._lent = dict(frozen[0])
        account._borrowed = dict(frozen[1])
        account._settle()
        clock.advance(time - frozen[3])
        return account

    @staticmethod
    def _freeze(account: Account) -> tuple[Any, ...]:
        tokens = account.tokens
        return (
            tuple(sorted(account._lent.items())),
            tuple(sorted(account._borrowed.items())),
            tokens,
            account._at,
            tuple(sorted(account._seats.items())),
        )

    def initial(self) -> State:
        """Return the first state: the lender holds all, and its bucket is full."""
        clock = ManualClock()
        lender, borrower = Account(clock), Account(clock)
        lender.set_seats({0: SeatShare(Part(RATE, BURST), 0.0, 1e9, True)})
        frozen = (self._freeze(lender), self._freeze(borrower))
        return (0, BURST, *frozen, (), (), (), 0, False)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step from ``state``."""
        time, bucket, lender, borrower, asks, grants, returns, asked, restarted = state
        found: list[tuple[str, State]] = []

        def step(label: str, **changes: Any) -> None:
            found.append(
                (label, tuple({**dict(zip(FIELDS, state, strict=True)), **changes}.values()))
            )

        if time < HORIZON_S:
            # Bringing both up to date here keeps the states few; that an account
            # comes to the same when it sleeps through is tested by itself.
            both = {
                name: self._freeze(self._thaw(frozen, time + 1))
                for name, frozen in (("lender", lender), ("borrower", borrower))
            }
            step("a second passes", time=time + 1, bucket=min(BURST, bucket + RATE), **both)
        for name, frozen in (("lender", lender), ("borrower", borrower)):
            account = self._thaw(frozen, time)
            if account.retake():
                step(f"{name} admits", **{name: self._freeze(account)}, bucket=bucket - 1)
        if asked < self._most_loans:
            step("borrower asks", asks=(*asks, (f"loan{asked}", time)), asked=asked + 1)
        for ask in asks:
            self._lend(step, ask, state)
        for grant in grants:
            account = self._thaw(borrower, time)
            at = time if self._mutant == MUTANTS[0] else grant[3]
            account.borrow(grant[0], grant[1], grant[2], at)
            step("grant arrives, or once more", borrower=self._freeze(account))
        self._give_back(step, state)
        for name, tokens in returns:
            account = self._thaw(lender, time)
            account.returned(name, tokens)
            step("return arrives, or once more", lender=self._freeze(account))
        if not restarted:
            self._restart(step, time)
        return found

    def _lend(self, step: Any, ask: tuple[str, int], state: State) -> None:
        time, _, lender, _, asks, grants = state[:6]
        account = self._thaw(lender, time)
        before = account.tokens
        part, tokens = account.lend(ask[0], LOAN)
        if self._mutant == MUTANTS[2] and ask[0] in account._lent:
            rate_only = Part(part.rate_per_s, 0.0)
            account._lent[ask[0]] = account._lent[ask[0]]._replace(part=rate_only)
            account._tokens = before - tokens
            account._settle()
        left = tuple(other for other in asks if other != ask)
        if part.burst > 0:
            grants = (*grants, (ask[0], part, tokens, ask[1]))
        step("ask arrives", lender=self._freeze(account), asks=left, grants=grants)

    def _give_back(self, step: Any, state: State) -> None:
        time, borrower, returns = state[0], state[3], state[6]
        account = self._thaw(borrower, time)
        given = tuple(account.give_back())
        if given:
            step(
                "borrower gives back",
                borrower=self._freeze(account),
                returns=tuple(sorted({*returns, *given})),
            )

    def _restart(self, step: Any, time: int) -> None:
        wait_s = 0.0 if self._mutant == MUTANTS[1] else TERM_S + MARGIN_S
        account = Account(ManualClock(float(time)))
        account.set_seats({0: SeatShare(Part(RATE, BURST), time + wait_s, 1e9, False)})
        step("lender restarts", lender=self._freeze(account), restarted=True)


def run(mutant: str = "") -> Report:
    """Check the specification, with one of MUTANTS or none."""
    kept = (shares.LOAN_TERM_S, shares.SETTLE_S)
    shares.LOAN_TERM_S, shares.SETTLE_S = TERM_S, TERM_S + MARGIN_S
    try:
        spec = Spec(mutant)
        return check(
            "rates" + (f" ({mutant})" if mutant else ""),
            FIELDS,
            spec.initial(),
            spec.transitions,
            {"no window sees more than rate and burst": lambda s: s["bucket"] >= 0},
        )
    finally:
        shares.LOAN_TERM_S, shares.SETTLE_S = kept
