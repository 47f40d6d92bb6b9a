"""Compares strategies that enforce an organisation's rate limit across hosts.

Simulated in virtual time with beryldrum's accounts. With ``shares``, each host has an
equal, fixed part of the rate; with ``home``, one host keeps the whole rate and the
others ask it; with ``loans``, hosts lend each other what they do not use, as beryldrum
does. Demand is four fifths of the rate limit. A refusal counts as wrong if a single
exact token bucket for all hosts would still have had a token.
"""

import json
import random
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable

from beryldrum.clock import ManualClock
from beryldrum.shares import Account, RateLimit, SeatShare

SEED = 7
HOSTS = 6
SEATS = 12
RATE_PER_S = 100.0
BURST = 100.0
DEMAND_PER_S = 80.0
DURATION_S = 60.0
PARTITION_S = (20.0, 40.0)
HOT_SHARE = 0.85
HOT_HOST_PERIOD_S = 5.0
MAX_LENDERS = 6
RETURN_PERIOD_S = 0.25

Reachability = Callable[[int, int], bool]


class Strategy(ABC):
    """A way to split the rate; ``reachable`` tells whether two hosts can communicate."""

    def __init__(self, clock: ManualClock, reachable: Reachability) -> None:
        self.clock = clock
        self.reachable = reachable
        self.rng = random.Random(SEED)

    @abstractmethod
    def take(self, host: int) -> bool:
        """Take a token for a request at ``host``; returns False when it is refused."""


def _account(clock: ManualClock, seats: int) -> Account:
    account = Account(clock)
    part = RateLimit(RATE_PER_S / SEATS, BURST / SEATS)
    account.set_seats({n: SeatShare(part, 0.0, 1e9, True) for n in range(seats)})
    return account


class EqualShares(Strategy):
    """Equal shares of the rate that never change."""

    def __init__(self, clock: ManualClock, reachable: Reachability) -> None:
        super().__init__(clock, reachable)
        self.accounts = [_account(clock, SEATS // HOSTS) for _ in range(HOSTS)]

    def take(self, host: int) -> bool:
        """Take a token from the host's own share."""
        return self.accounts[host].take()


class SingleHost(Strategy):
    """The whole rate at host 0; the other hosts ask it for each request."""

    def __init__(self, clock: ManualClock, reachable: Reachability) -> None:
        super().__init__(clock, reachable)
        self.account = _account(clock, SEATS)

    def take(self, host: int) -> bool:
        """Take a token at host 0, if it is reachable."""
        return self.reachable(host, 0) and self.account.take()


class Loans(EqualShares):
    """Equal shares, and loans of the unused part of other hosts' shares."""

    def __init__(self, clock: ManualClock, reachable: Reachability) -> None:
        super().__init__(clock, reachable)
        self.lenders: dict[str, int] = {}
        self.returned_at = 0.0

    def _return_idle(self) -> None:
        if self.clock.now() - self.returned_at < RETURN_PERIOD_S:
            return
        self.returned_at = self.clock.now()
        for host, account in enumerate(self.accounts):
            for name, tokens in account.return_idle_loans():
                lender = self.lenders[name]
                if self.reachable(host, lender):
                    self.accounts[lender].accept_return(name, tokens)

    def take(self, host: int) -> bool:
        """Take a token from the host's own share, or borrow from the reachable hosts."""
        self._return_idle()
        account = self.accounts[host]
        if account.take():
            return True
        others = [n for n in range(HOSTS) if n != host and self.reachable(host, n)]
        self.rng.shuffle(others)
        for other in others[:MAX_LENDERS]:
            name = uuid.uuid4().hex
            part, tokens = self.accounts[other].lend(name, account.shortfall())
            self.lenders[name] = other
            if part.burst > 0 or part.rate_per_s > 0:
                account.borrow(name, part, tokens, self.clock.now())
        return account.take_uncounted()


class LoansAndSecondHost(Loans):
    """Loans, with an attempt at a second host before a refusal, as at the entry node."""

    def take(self, host: int) -> bool:
        """Take a token at ``host`` or at one other reachable host."""
        if super().take(host):
            return True
        others = [n for n in range(HOSTS) if n != host and self.reachable(host, n)]
        return bool(others) and super().take(self.rng.choice(others))


STRATEGIES = {
    "shares": EqualShares,
    "home": SingleHost,
    "loans": Loans,
    "loans, two hosts tried": LoansAndSecondHost,
}


def _hot_host(pattern: str, now: float) -> int:
    return int(now / HOT_HOST_PERIOD_S) % HOSTS if pattern == "moving" else 2


def run(name: str, pattern: str, partitioned: bool) -> dict[str, object]:
    """Simulate a strategy under a demand pattern and return its results."""
    clock = ManualClock()
    rng = random.Random(SEED)

    def reachable(first: int, second: int) -> bool:
        different_sides = (first < HOSTS // 3) != (second < HOSTS // 3)
        return not (
            partitioned and different_sides and PARTITION_S[0] <= clock.now() < PARTITION_S[1]
        )

    strategy = STRATEGIES[name](clock, reachable)
    bucket, bucket_at = BURST, 0.0
    requests = wrongly_refused = over_admitted = 0
    while clock.now() < DURATION_S:
        clock.advance(rng.expovariate(DEMAND_PER_S))
        now = clock.now()
        bucket, bucket_at = min(BURST, bucket + RATE_PER_S * (now - bucket_at)), now
        host = rng.randrange(HOSTS)
        if pattern != "even" and rng.random() < HOT_SHARE:
            host = _hot_host(pattern, now)
        requests += 1
        if strategy.take(host):
            bucket -= 1
            over_admitted += bucket < -1e-6
        elif bucket >= 1:
            wrongly_refused += 1
    return {
        "bench": "rates",
        "way": name,
        "demand": pattern,
        "cut": partitioned,
        "asked": requests,
        "wrongly_refused": round(wrongly_refused / requests, 4),
        "over_admitted": over_admitted,
    }


def main() -> None:
    """Print a line for each combination of strategy, demand pattern and partition."""
    for partitioned in (False, True):
        for pattern in ("even", "skewed", "moving"):
            for name in STRATEGIES:
                print(json.dumps(run(name, pattern, partitioned)), flush=True)


if __name__ == "__main__":
    main()
