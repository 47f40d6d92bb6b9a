"""Ways to hold one organisation to its rate across hosts, on the same demand.

Virtual time, with the product's accounts. *shares* are equal and never move;
*home* keeps all at one host, which the others ask; *loans* is what beryldrum
does. Demand is four fifths of the rate. A refusal is wrongful when one exact
bucket for the whole fleet still had a token.
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
RATE = 100.0
BURST = 100.0
DEMAND = 80.0
SECONDS = 60.0
CUT = (20.0, 40.0)
HOT = 0.85
MOVES_EVERY_S = 5.0
LOAN_TRIES = 6
RETURN_PERIOD_S = 0.25

Reach = Callable[[int, int], bool]


class Way(ABC):
    """A way to split the rate; ``reach`` tells which hosts can talk now."""

    def __init__(self, clock: ManualClock, reach: Reach) -> None:
        self.clock = clock
        self.reach = reach
        self.rng = random.Random(SEED)

    @abstractmethod
    def take(self, host: int) -> bool:
        """Tell whether ``host`` admits a request now."""


def _account(clock: ManualClock, seats: int) -> Account:
    account = Account(clock)
    part = RateLimit(RATE / SEATS, BURST / SEATS)
    account.set_seats({n: SeatShare(part, 0.0, 1e9, True) for n in range(seats)})
    return account


class Shares(Way):
    """Equal shares."""

    def __init__(self, clock: ManualClock, reach: Reach) -> None:
        super().__init__(clock, reach)
        self.accounts = [_account(clock, SEATS // HOSTS) for _ in range(HOSTS)]

    def take(self, host: int) -> bool:
        """Take from the own share."""
        return self.accounts[host].take()


class Home(Way):
    """All at one host."""

    def __init__(self, clock: ManualClock, reach: Reach) -> None:
        super().__init__(clock, reach)
        self.account = _account(clock, SEATS)

    def take(self, host: int) -> bool:
        """Ask the home."""
        return self.reach(host, 0) and self.account.take()


class Loans(Shares):
    """Shares, and loans of what is idle."""

    def __init__(self, clock: ManualClock, reach: Reach) -> None:
        super().__init__(clock, reach)
        self.lenders: dict[str, int] = {}
        self.returned_at = 0.0

    def _return_idle(self) -> None:
        if self.clock.now() - self.returned_at < RETURN_PERIOD_S:
            return
        self.returned_at = self.clock.now()
        for host, account in enumerate(self.accounts):
            for name, tokens in account.return_idle_loans():
                lender = self.lenders[name]
                if self.reach(host, lender):
                    self.accounts[lender].accept_return(name, tokens)

    def take(self, host: int) -> bool:
        """Take from the own share, or borrow."""
        self._return_idle()
        account = self.accounts[host]
        if account.take():
            return True
        others = [n for n in range(HOSTS) if n != host and self.reach(host, n)]
        self.rng.shuffle(others)
        for other in others[:LOAN_TRIES]:
            name = uuid.uuid4().hex
            part, tokens = self.accounts[other].lend(name, account.shortfall())
            self.lenders[name] = other
            if part.burst > 0 or part.rate_per_s > 0:
                account.borrow(name, part, tokens, self.clock.now())
        return account.take_uncounted()


class Group(Loans):
    """Loans, and one more host is tried before a refusal, as the entry does."""

    def take(self, host: int) -> bool:
        """Admit here or at one other host within reach."""
        if super().take(host):
            return True
        others = [n for n in range(HOSTS) if n != host and self.reach(host, n)]
        return bool(others) and super().take(self.rng.choice(others))


WAYS = {"shares": Shares, "home": Home, "loans": Loans, "loans, two hosts tried": Group}


def _hot_host(pattern: str, now: float) -> int:
    return int(now / MOVES_EVERY_S) % HOSTS if pattern == "moving" else 2


def run(name: str, pattern: str, cut: bool) -> dict[str, object]:
    """Return the figures of a way under a pattern of demand."""
    clock = ManualClock()
    rng = random.Random(SEED)

    def reach(one: int, two: int) -> bool:
        apart = (one < HOSTS // 3) != (two < HOSTS // 3)
        return not (cut and apart and CUT[0] <= clock.now() < CUT[1])

    way = WAYS[name](clock, reach)
    bucket, at = BURST, 0.0
    asked = wrongly = over = 0
    while clock.now() < SECONDS:
        clock.advance(rng.expovariate(DEMAND))
        now = clock.now()
        bucket, at = min(BURST, bucket + RATE * (now - at)), now
        host = rng.randrange(HOSTS)
        if pattern != "even" and rng.random() < HOT:
            host = _hot_host(pattern, now)
        asked += 1
        if way.take(host):
            bucket -= 1
            over += bucket < -1e-6
        elif bucket >= 1:
            wrongly += 1
    return {
        "bench": "rates",
        "way": name,
        "demand": pattern,
        "cut": cut,
        "asked": asked,
        "wrongly_refused": round(wrongly / asked, 4),
        "over_admitted": over,
    }


def main() -> None:
    """Print the table, a line each."""
    for cut in (False, True):
        for pattern in ("even", "skewed", "moving"):
            for name in WAYS:
                print(json.dumps(run(name, pattern, cut)), flush=True)


if __name__ == "__main__":
    main()
