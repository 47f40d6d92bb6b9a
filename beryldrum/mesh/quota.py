"""The rates of organisations, shared between all nodes.

The load it answers: an organisation sends several times its rate, at a few nodes
or at all. Each node takes the part of the rate that its part of the demand is,
as last heard from every node. A node that has gone silent keeps its part: it may
be cut off and still be serving. Parts are lowered at once and raised over some
ticks, so that their sum stays within the rate while news is on its way.
"""

from collections.abc import Iterable, Mapping

from ..clock import Clock
from .document import Organisation

__all__ = ["Quotas"]

DEMAND_S = 1.0
"""Time over which demand is averaged."""

RAISE = 0.3
"""Part of the way that a share is raised in a tick."""

LEAST_DEMAND = 0.05
"""Requests a second that a node without demand counts for."""

WHOLE = 1.0
"""A bucket holds at least one request."""


class _Bucket:
    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.cap = 0.0
        self.tokens = 0.0
        self.at = now
        self.count = 0
        self.demand = 0.0

    def refill(self, now: float) -> None:
        self.tokens = min(self.cap, self.tokens + self.rate * (now - self.at))
        self.at = now


class Quotas:
    """This node's parts in the rates of all organisations."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._organisations: dict[str, Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._ticked_at = clock.now()

    def load(self, organisations: dict[str, Organisation]) -> None:
        """Take up the organisations that have a rate."""
        self._organisations = organisations
        for name in self._buckets.keys() - organisations.keys():
            del self._buckets[name]
        now = self._clock.now()
        for name in organisations:
            self._buckets.setdefault(name, _Bucket(now))

    def take(self, organisation: str) -> bool:
        """Take one request out of an organisation's part; False when it is used up."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.count += 1
        bucket.refill(self._clock.now())
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def give_back(self, organisation: str) -> None:
        """Return a request that has not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.tokens = min(bucket.cap, bucket.tokens + 1.0)

    def wait_s(self, organisation: str) -> float:
        """Return when the next request of an organisation may be taken."""
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.rate <= 0.0:
            return 1.0
        return max(0.0, (1.0 - bucket.tokens) / bucket.rate)

    def demand(self) -> dict[str, float]:
        """Return the requests a second by organisation, without those that send none."""
        return {n: round(b.demand, 2) for n, b in self._buckets.items() if b.demand >= LEAST_DEMAND}

    def tick(self, others: Iterable[Mapping[str, float]]) -> None:
        """Divide the rates anew by the demand of the ``others``."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        if elapsed <= 0.0:
            return
        self._ticked_at = now
        weight = min(1.0, elapsed / DEMAND_S)
        listed = list(others)
        for name, bucket in self._buckets.items():
            bucket.refill(now)
            bucket.demand += weight * (bucket.count / elapsed - bucket.demand)
            bucket.count = 0
            self._divide(bucket, self._organisations[name], [d.get(name, 0.0) for d in listed])

    @staticmethod
    def _divide(bucket: _Bucket, org: Organisation, others: list[float]) -> None:
        own = max(bucket.demand, LEAST_DEMAND)
        total = own + sum(max(d, LEAST_DEMAND) for d in others)
        spare = max(0.0, org.rate_per_s - total) / (len(others) + 1)
        part = min(1.0, (own + spare) / (total + spare * (len(others) + 1)))
        rate, cap = org.rate_per_s * part, max(WHOLE, org.burst * part)
        bucket.rate = rate if rate < bucket.rate else bucket.rate + RAISE * (rate - bucket.rate)
        bucket.cap = cap if cap < bucket.cap else bucket.cap + RAISE * (cap - bucket.cap)
        bucket.tokens = min(bucket.tokens, bucket.cap)
