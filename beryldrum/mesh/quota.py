"""The rates of organisations, shared between all nodes.

The load it answers: an organisation sends several times its rate, at a few nodes
or at all. Every node keeps one bucket for the whole fleet and takes out of it what
each node says it has admitted. Between two looks at it a node may admit the part
of the bucket that its part of the demand is, so that all together admit no more
than is there. What a silent node may admit counts as admitted: it may be cut off
and still be serving.
"""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from ..clock import Clock
from .document import Organisation

__all__ = ["Quotas", "Report", "Use"]

DEMAND_S = 1.0
"""Time over which demand is averaged."""

LEAST_DEMAND = 0.05
"""Requests a second that a node without demand counts for."""

NEWS_S = 0.75
"""Age of the news of other nodes, at most, while they can be heard: a heartbeat and a
tick."""


SILENT_S = 0.9
"""Age of the news of a node from which on it may be cut off: a late heartbeat and a
tick have passed."""


SPREAD = 2.0
"""Standard deviations above what is expected that a node far from the limit may admit."""


class Use(NamedTuple):
    """A node's use of an organisation's rate.

    ``demand`` is in requests a second, ``admitted`` counts since the node's start,
    ``level`` is what it believes to be in the fleet's bucket.
    """

    demand: float
    admitted: int
    level: float


class Report(NamedTuple):
    """What was last heard of a node, and how often it has been heard."""

    node: str
    incarnation: int
    heard: int
    uses: dict[str, Use]


class _Other:
    """What this node knows of another one's use."""

    def __init__(self, incarnation: int, admitted: int) -> None:
        self.incarnation = incarnation
        self.admitted = admitted
        self.heard = -1
        self.assumed = 0.0
        self.demand = 0.0
        self.silent_s = 0.0


class _Bucket:
    """The fleet's bucket of an organisation, as seen here."""

    def __init__(self) -> None:
        self.level = 0.0
        self.adopted = False
        self.demand = 0.0
        self.told = [0.0, 0.0]
        """The demand of the last two ticks: what the others know of."""
        self.asked = 0
        self.admitted = 0
        self.seen = 0
        self.spent = 0
        self.lately = [0, 0]
        """What was admitted in the ticks before, over the time that news take."""
        self.budget = 0.0
        self.expected = 0.0
        """Requests that will ask in this tick."""
        self.total_demand = 0.0
        self.others: dict[str, _Other] = {}


class Quotas:
    """The part of a node in the rates of all organisations."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._organisations: dict[str, Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._ticked_at = clock.now()

    def load(self, organisations: dict[str, Organisation]) -> None:
        """Take up the organisations that have a rate."""
        self._organisations = organisations
        for name in self._buckets.keys() - organisations.keys():
            del self._buckets[name]
        for name in organisations:
            self._buckets.setdefault(name, _Bucket())

    def take(self, organisation: str) -> bool:
        """Take one request out of an organisation's part; False when it is used up."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.asked += 1
        left = bucket.budget - bucket.spent
        if left < 1.0 and self._rng.random() >= left / max(left, bucket.expected, LEAST_DEMAND):
            # A part of a request, for as many as will ask for it in this tick.
            return False
        bucket.spent += 1
        bucket.admitted += 1
        return True

    def give_back(self, organisation: str) -> None:
        """Return a request that has not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.spent -= 1
            bucket.admitted -= 1

    def wait_s(self, organisation: str) -> float:
        """Return when a request of an organisation may be taken again."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        short = max(1.0, 1.0 - bucket.level)
        return short / max(1.0, self._organisations[organisation].rate_per_s)

    def uses(self) -> dict[str, Use]:
        """Return this node's use by organisation, for the others."""
        return {
            name: Use(round(b.demand, 2), b.admitted, round(b.level, 1))
            for name, b in self._buckets.items()
            if b.admitted or b.demand >= LEAST_DEMAND
        }

    def tick(self, reports: Iterable[Report]) -> None:
        """Divide what is in the buckets anew."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        if elapsed <= 0.0:
            return
        self._ticked_at = now
        heard = list(reports)
        for name, bucket in self._buckets.items():
            self._tick(bucket, self._organisations[name], name, heard, elapsed)

    def _tick(
        self, b: _Bucket, org: Organisation, name: str, heard: list[Report], elapsed: float
    ) -> None:
        b.demand += min(1.0, elapsed / DEMAND_S) * (b.asked / elapsed - b.demand)
        b.asked = 0
        b.told = [b.told[1], b.demand]
        used = float(b.admitted - b.seen)
        b.seen = b.admitted
        levels = []
        known = {}
        for report in heard:
            use = report.uses.get(name, Use(0.0, 0, org.burst))
            used += self._take_out(b, org, report, use, elapsed)
            known[report.node] = b.others[report.node]
            levels.append(use.level)
        b.others = known
        if not b.adopted and levels:
            # A bucket that has just been made knows nothing of what was used.
            b.adopted = True
            b.level = min(levels)
        # What was earned under an earlier, greater burst may still be used.
        most = max(org.burst, b.level)
        b.level = min(most, b.level + org.rate_per_s * elapsed - used)
        b.lately = [*b.lately[1:], b.spent]
        b.spent = 0
        b.budget = self._budget(b, org, elapsed)

    def _take_out(
        self, b: _Bucket, org: Organisation, report: Report, use: Use, elapsed: float
    ) -> float:
        other = b.others.get(report.node)
        if other is None or other.incarnation != report.incarnation:
            other = b.others[report.node] = _Other(report.incarnation, use.admitted)
        if other.heard == report.heard:
            other.silent_s += elapsed
            given = org.rate_per_s * elapsed
            if other.silent_s > SILENT_S:
                # Whoever is cut off may use all of its part, of what was there too.
                given += max(0.0, b.level) * min(1.0, elapsed / NEWS_S)
            assumed = given * self._part(b, other.demand)
            other.assumed += assumed
            return assumed
        other.heard, other.silent_s = report.heard, 0.0
        used = use.admitted - other.admitted - other.assumed
        other.admitted, other.assumed, other.demand = use.admitted, 0.0, use.demand
        return used

    @staticmethod
    def _part(b: _Bucket, demand: float) -> float:
        return max(demand, LEAST_DEMAND) / max(b.total_demand, LEAST_DEMAND)

    def _budget(self, b: _Bucket, org: Organisation, elapsed: float) -> float:
        # The parts sum up to one only if all nodes go by the same demand, so the
        # own one is taken as old as the others are known.
        own = max(b.told[0], LEAST_DEMAND)
        heard = [o.demand for o in b.others.values() if o.silent_s <= SILENT_S]
        # Whoever is silent may get as many requests by now as those who are heard.
        usual = (own + sum(heard)) / (1 + len(heard))
        for other in b.others.values():
            if other.silent_s > SILENT_S:
                other.demand = max(other.demand, usual)
        b.total_demand = own + sum(max(o.demand, LEAST_DEMAND) for o in b.others.values())
        # What nobody asks for is divided evenly, for whoever asks for it first.
        nodes = len(b.others) + 1
        spare = max(0.0, org.rate_per_s - b.total_demand) / nodes
        part = (own + spare) / (b.total_demand + spare * nodes)
        # What is there is given out over the time until its use is known everywhere.
        stock = b.level * min(1.0, elapsed / NEWS_S)
        budget = max(0.0, part * (stock + org.rate_per_s * elapsed))
        b.expected = b.told[0] * elapsed
        everybody = len(heard) == len(b.others)
        if everybody and b.level >= 1.0 + b.total_demand * NEWS_S:
            # Far from the limit nobody is refused for coming a little unevenly.
            usual = b.told[0] * NEWS_S
            most = 1.0 + usual + SPREAD * math.sqrt(usual)
            return max(budget, most - sum(b.lately))
        return budget
