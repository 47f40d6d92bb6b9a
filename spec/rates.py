"""Model of rate loans: lost and duplicated messages, pauses and restarts.

A lender and a borrower are beryldrum's accounts. The requests that both admit are drawn
from one token bucket with the organisation's rate and burst. The bucket is never
overdrawn if and only if no time window sees more than its length times the rate, plus
the burst. A node that takes no step while time passes is paused.
"""

from typing import Any

from beryldrum import shares
from beryldrum.clock import ManualClock
from beryldrum.shares import Account, RateLimit, SeatShare

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = (
    "a loan counts from its arrival",
    "a successor does not wait",
    "the burst stays with the lender",
)

RATE = 2.0
BURST = 2.0
LOAN = RateLimit(1.0, 1.0)
LOAN_TERM_S = 2.0
SETTLE_MARGIN_S = 1.0
HORIZON_S = 6
MAX_LOANS = 2
MAX_LOANS_OF_MUTANTS = 1
FIELDS = ("time", "bucket", "lender", "borrower", "asks", "grants", "returns", "asked", "restarted")


class Model:
    """The transitions, with beryldrum's rules or those of a mutant."""

    def __init__(self, mutant: str) -> None:
        self._mutant = mutant
        self._max_loans = MAX_LOANS_OF_MUTANTS if mutant else MAX_LOANS

    def _restore(self, saved: tuple[Any, ...], time: float) -> Account:
        clock = ManualClock(saved[3])
        account = Account(clock)
        account._tokens = saved[2]
        account._seats = dict(saved[4])
        account._credited_seats = set(account._seats)
        account._lent = dict(saved[0])
        account._borrowed = dict(saved[1])
        account._recompute()
        clock.advance(time - saved[3])
        return account

    @staticmethod
    def _save(account: Account) -> tuple[Any, ...]:
        tokens = account.tokens
        return (
            tuple(sorted(account._lent.items())),
            tuple(sorted(account._borrowed.items())),
            tokens,
            account._updated_at,
            tuple(sorted(account._seats.items())),
        )

    def initial(self) -> State:
        """Return the initial state: the lender has the whole rate and a full bucket."""
        clock = ManualClock()
        lender, borrower = Account(clock), Account(clock)
        lender.set_seats({0: SeatShare(RateLimit(RATE, BURST), 0.0, 1e9, True)})
        saved = (self._save(lender), self._save(borrower))
        return (0, BURST, *saved, (), (), (), 0, False)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the label and the next state of every step from ``state``."""
        time, bucket, lender, borrower, asks, grants, returns, asked, restarted = state
        steps: list[tuple[str, State]] = []

        def step(label: str, **changes: Any) -> None:
            steps.append(
                (label, tuple({**dict(zip(FIELDS, state, strict=True)), **changes}.values()))
            )

        if time < HORIZON_S:
            # Both accounts advance together, which keeps the number of states small. A
            # test of its own checks that an account that skips steps ends up the same.
            both_accounts = {
                name: self._save(self._restore(saved, time + 1))
                for name, saved in (("lender", lender), ("borrower", borrower))
            }
            step(
                "a second passes", time=time + 1, bucket=min(BURST, bucket + RATE), **both_accounts
            )
        for name, saved in (("lender", lender), ("borrower", borrower)):
            account = self._restore(saved, time)
            if account.take_uncounted():
                step(f"{name} admits", **{name: self._save(account)}, bucket=bucket - 1)
        if asked < self._max_loans:
            step("borrower asks", asks=(*asks, (f"loan{asked}", time)), asked=asked + 1)
        for ask in asks:
            self._lend(step, ask, state)
        for grant in grants:
            account = self._restore(borrower, time)
            starts_at = time if self._mutant == MUTANTS[0] else grant[3]
            account.borrow(grant[0], grant[1], grant[2], starts_at)
            step("grant arrives, possibly repeated", borrower=self._save(account))
        self._give_back(step, state)
        for name, tokens in returns:
            account = self._restore(lender, time)
            account.accept_return(name, tokens)
            step("return arrives, possibly repeated", lender=self._save(account))
        if not restarted:
            self._restart(step, time)
        return steps

    def _lend(self, step: Any, ask: tuple[str, int], state: State) -> None:
        time, _, lender, _, asks, grants = state[:6]
        account = self._restore(lender, time)
        tokens_before = account.tokens
        limit, tokens = account.lend(ask[0], LOAN)
        if self._mutant == MUTANTS[2] and ask[0] in account._lent:
            rate_only = RateLimit(limit.rate_per_s, 0.0)
            account._lent[ask[0]] = account._lent[ask[0]]._replace(limit=rate_only)
            account._tokens = tokens_before - tokens
            account._recompute()
        remaining_asks = tuple(other for other in asks if other != ask)
        if limit.burst > 0:
            grants = (*grants, (ask[0], limit, tokens, ask[1]))
        step("ask arrives", lender=self._save(account), asks=remaining_asks, grants=grants)

    def _give_back(self, step: Any, state: State) -> None:
        time, borrower, returns = state[0], state[3], state[6]
        account = self._restore(borrower, time)
        returned_loans = tuple(account.return_loans())
        if returned_loans:
            step(
                "borrower gives back",
                borrower=self._save(account),
                returns=tuple(sorted({*returns, *returned_loans})),
            )

    def _restart(self, step: Any, time: int) -> None:
        wait_s = 0.0 if self._mutant == MUTANTS[1] else LOAN_TERM_S + SETTLE_MARGIN_S
        account = Account(ManualClock(float(time)))
        account.set_seats({0: SeatShare(RateLimit(RATE, BURST), time + wait_s, 1e9, False)})
        step("lender restarts", lender=self._save(account), restarted=True)


def run(mutant: str = "") -> Report:
    """Check the model with short loan terms, with one of MUTANTS or with none."""
    saved_settings = (shares.LOAN_DURATION_S, shares.TAKEOVER_DELAY_S)
    shares.LOAN_DURATION_S, shares.TAKEOVER_DELAY_S = LOAN_TERM_S, LOAN_TERM_S + SETTLE_MARGIN_S
    try:
        model = Model(mutant)
        return check(
            "rates" + (f" ({mutant})" if mutant else ""),
            FIELDS,
            model.initial(),
            model.transitions,
            {"no window sees more than rate and burst": lambda s: s["bucket"] >= 0},
        )
    finally:
        shares.LOAN_DURATION_S, shares.TAKEOVER_DELAY_S = saved_settings
