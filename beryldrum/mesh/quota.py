"""The rates of organisations, shared between all nodes.

The load it answers: an organisation sends several times its rate, at a few nodes
or at all. Every node keeps one bucket for the whole fleet and takes out of it what
each node says it has admitted. Between two looks at it a node may admit the part
of the bucket that its part of the demand is, so that all together admit no more
than is there. Demand may rise at all of them before any hears of it, so a node goes by
its own demand as old as the others know it. What a silent node may admit counts as
admitted: it may be cut off and still be serving.

In a large fleet a node's part of a small rate is less than a request. There the
bucket is divided between data centres, and one node of each gives out its part
(see :mod:`.homes`). The other nodes of the data centre are *companions*: what they
admit is taken out of the bucket, but they get no part of it.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..clock import Clock
from .document import Organisation

__all__ = ["Quotas", "RateState", "Report", "Tolerance", "Use"]

DEMAND_S = 1.0
"""Time over which demand is averaged."""

LEAST_DEMAND = 0.02
"""Requests a second that a node without demand counts for."""

NEWS_S = 0.75
"""Age of the news of other nodes, at most, while they can be heard: a heartbeat and a
tick. Larger fleets send fewer heartbeats, see :attr:`Quotas.news_s`."""

LATE = 1.2
"""Age of the news of a node, as a multiple of that, from which on it may be cut off."""

TOLD_AGAIN = 3
"""Times of that for which a use is stated after its last change."""

TOLERANCE_USED = 0.25
"""Part of the tolerance that the rate and the burst are raised by, so that what nodes
cannot give out exactly is refused to nobody within the rate."""

SPREAD = 2.0
"""Standard deviations above what is expected that a node far from the limit may admit."""

CLUMPS = 2.0
"""How many times that it may admit where requests come in clumps and there is room."""

START_S = 0.5
"""Time that a process needs to end and start again, for which its rate was not used."""

JUMP = 1.5
"""Demand has jumped where a tick brings more than so many requests, and so many times
the usual ones besides."""

TOLERANCE_AT_ONCE = 0.75
"""Part of the tolerance's requests that all nodes together may use beyond what there is
room for, while none of them may be cut off."""


class Use(NamedTuple):
    """A node's use of an organisation's rate.

    ``demand`` is in hundredths of a request a second, ``admitted`` counts since the
    node's start, ``level`` is what it believes to be in the fleet's bucket. Whole
    numbers take a third of the bytes.
    """

    demand: int
    admitted: int
    level: int


class Tolerance(NamedTuple):
    """How far a rate may be exceeded: by a ratio, and by some requests besides."""

    ratio: float
    requests: float


class RateState(NamedTuple):
    """How an organisation's rate stands at a node, for operators.

    ``granted`` and ``refused`` count requests since the start, ``beyond_part`` those of
    the granted that the part did not cover. ``part`` is the share of the bucket that is
    given out here, ``level`` what the bucket is believed to hold.
    """

    organisation: str
    granted: int
    refused: int
    beyond_part: int
    part: float
    level: float


class Report(NamedTuple):
    """What was last heard of a node, and how often it has been heard."""

    node: str
    incarnation: int
    heard: int
    uses: dict[str, Use]


class _Other:
    """What a bucket knows of another node's use."""

    __slots__ = ("admitted", "assumed", "demand", "given")

    def __init__(self, admitted: int, given: float) -> None:
        self.admitted = admitted
        self.demand = 0.0
        """Nothing where it does not mention the organisation."""
        self.given = given
        """The bucket's ``given`` up to which its use is in ``assumed``."""
        self.assumed = 0.0

    def assume(self, given: float) -> float:
        """Return what it has been assumed to use since it was last heard of."""
        self.assumed += self.demand * (given - self.given)
        self.given = given
        return self.assumed


class _Node:
    """Another node, and how long it has been silent."""

    __slots__ = ("heard", "incarnation", "loads", "orgs", "silent_s")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.heard = -1
        self.loads = -1
        """How often organisations had been loaded when it was last heard of."""
        self.silent_s = 0.0
        self.orgs: frozenset[str] = frozenset()
        """The organisations that it used when it was last heard of."""


class _Bucket:
    """The fleet's bucket of an organisation, as seen here.

    What the others use between two reports is assumed by their demand, for all of
    them together: ``given`` is what has been given out for each unit of demand.
    """

    def __init__(self, unused: bool) -> None:
        self.unused = unused
        """Whether nothing can have been used before, so that it begins full; else it
        begins nearly empty, unless others know more."""
        self.level = 0.0
        self.adopted = False
        self.demand = 0.0
        self.demands = [0.0]
        """The demand of the last ticks, as far back as the oldest news of others."""
        self.asked = 0
        self.admitted = 0
        self.told_admitted = 0
        self.told_at = float("-inf")
        """When others were first told of what has been admitted."""
        self.seen = 0
        self.spent = 0
        self.lately: list[int] = []
        """What was admitted in the ticks before, over the time that news take."""
        self.budget = 0.0
        self.expected = 0.0
        """Requests that will ask in this tick."""
        self.others: dict[str, _Other] = {}
        self.others_demand = 0.0
        """The sum of what the others ask for."""
        self.given = 0.0
        self.used = 0.0
        """What the others are known to have used since the last tick, less what was assumed."""
        self.levels: list[float] = []
        self.companions = 0
        """What companions have admitted since they were met."""
        self.refused = 0
        self.beyond_part = 0
        self.part = 0.0
        """The share of the bucket that was given out here in the last tick."""
        self.part_budget = 0.0
        """What that share came to; ``budget`` is that or more."""

    def hear(self, node: str, admitted: int | None, demand: float) -> None:
        """Take up what a node says of its use, in place of what was assumed.

        Nothing more was ``admitted`` where it says nothing.
        """
        other = self.others[node]
        if admitted is None:
            admitted = other.admitted
        self.used += admitted - other.admitted - other.assume(self.given)
        other.admitted, other.assumed = admitted, 0.0
        self.others_demand -= other.demand
        other.demand = demand
        self.others_demand += demand

    def own_demand(self) -> float:
        """Return the own demand as it was when the oldest news of others were made.

        Parts sum to more than one where a node divides by a demand that has risen
        since the others heard of it.
        """
        return max(self.demands[0], LEAST_DEMAND)

    def total(self) -> float:
        """Return the demand that the bucket is divided by; every node counts for a little."""
        return self.own_demand() + self.others_demand + LEAST_DEMAND * len(self.others)

    def drop(self, node: str) -> None:
        """Forget a node; what was assumed of it stays used."""
        other = self.others.pop(node, None)
        if other is not None:
            self.others_demand -= other.demand


class _Companion:
    """A node of the own data centre, and what it has said to have admitted."""

    __slots__ = ("admitted", "heard", "incarnation", "whole")

    def __init__(self, report: Report) -> None:
        self.incarnation = report.incarnation
        self.heard = report.heard
        # What it admitted before it was met has been paid for, or is unknown.
        self.admitted = {name: use.admitted for name, use in report.uses.items()}
        self.whole = False
        """Whether ``admitted`` has all that it admits of: in a small fleet it says less."""

    def hear(self, report: Report) -> dict[str, int]:
        """Take up a report; returns what was admitted since the last, by organisation."""
        if self.incarnation != report.incarnation:
            self.incarnation, self.admitted, self.whole = report.incarnation, {}, True
        more = {}
        for name, use in report.uses.items():
            before = self.admitted.get(name, 0 if self.whole else use.admitted)
            self.admitted[name] = use.admitted
            if use.admitted > before:
                more[name] = use.admitted - before
        self.heard, self.whole = report.heard, True
        return more


class Quotas:
    """The part of a node, or of its data centre, in the rates of all organisations.

    At the ``first_start`` of a fleet nothing has been used of any rate. A node that
    starts later cannot tell what was: all others may have started anew with it.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        tolerance: Tolerance | None = None,
        first_start: bool = False,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._tolerance = tolerance or Tolerance(0.0, 0.0)
        self._first_start = first_start
        self._organisations: dict[str, Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._nodes: dict[str, _Node] = {}
        self._companions: dict[str, _Companion] = {}
        self._loads = 0
        self.share = 1.0
        """Part of what the bucket gives that is given out here; the rest is for
        companions that are cut off."""
        self.news_s = NEWS_S
        """Age of the news of other nodes, at most, while they can be heard."""
        self._ticked_at = clock.now()

    def load(self, organisations: dict[str, Organisation]) -> None:
        """Take up the organisations that have a rate."""
        self._organisations = {name: self._eased(org) for name, org in organisations.items()}
        for name in self._buckets.keys() - organisations.keys():
            del self._buckets[name]
        for name in organisations:
            if name not in self._buckets:
                # An organisation that a later document adds is new to the fleet.
                unused = self._first_start or self._loads > 0
                bucket = self._buckets[name] = _Bucket(unused)
                if not unused:
                    org = self._organisations[name]
                    bucket.level = min(org.burst, org.rate_per_s * START_S)
        self._loads += 1

    def _eased(self, org: Organisation) -> Organisation:
        rate = org.rate_per_s * (1.0 + self._tolerance.ratio * TOLERANCE_USED)
        return org._replace(
            rate_per_s=rate, burst=org.burst + self._tolerance.requests * TOLERANCE_USED
        )

    def limits(self, organisation: str) -> bool:
        """Tell whether an organisation has a rate."""
        return organisation in self._buckets

    def take(self, organisation: str) -> bool:
        """Take one request out of an organisation's part; False when it is used up."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.asked += 1
        left = bucket.budget - bucket.spent
        if left < 1.0 and self._rng.random() >= left / max(left, bucket.expected, LEAST_DEMAND):
            # A part of a request, for as many as will ask for it in this tick.
            bucket.refused += 1
            return False
        bucket.spent += 1
        bucket.admitted += 1
        bucket.beyond_part += bucket.spent - 1 >= bucket.part_budget
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

    def states(self) -> list[RateState]:
        """Return how the rates stand of the organisations that have asked here."""
        return [
            RateState(name, b.admitted, b.refused, b.beyond_part, b.part, b.level)
            for name, b in self._buckets.items()
            if b.admitted or b.refused
        ]

    def all_uses(self) -> dict[str, Use]:
        """Return this node's use of each organisation that it has admitted any of."""
        return {
            name: Use(round(bucket.demand * 100), bucket.admitted, round(bucket.level))
            for name, bucket in self._buckets.items()
            if bucket.admitted or bucket.demand >= LEAST_DEMAND
        }

    def summary(self, demands: Mapping[str, float]) -> dict[str, Use]:
        """Return the use of the data centre; ``demands`` is what companions are asked for."""
        found = {}
        for name, bucket in self._buckets.items():
            admitted = bucket.admitted + bucket.companions
            demand = bucket.demand * 100 + demands.get(name, 0.0)
            if admitted or demand >= LEAST_DEMAND * 100:
                found[name] = Use(round(demand), admitted, round(bucket.level))
        return found

    def uses(self) -> dict[str, Use]:
        """Return this node's use by organisation, for the others.

        What has not changed for a while is left out, and counts as unchanged.
        """
        now = self._clock.now()
        found = {}
        for name, bucket in self._buckets.items():
            if bucket.told_admitted != bucket.admitted:
                bucket.told_admitted, bucket.told_at = bucket.admitted, now
            changed = now - bucket.told_at <= TOLD_AGAIN * self.news_s
            if changed or bucket.demand >= LEAST_DEMAND:
                demand = round(bucket.demand * 100)
                found[name] = Use(demand, bucket.admitted, round(bucket.level))
        return found

    def tick(self, reports: Iterable[Report], companions: Iterable[Report] = ()) -> None:
        """Take up what was reported since the last tick, and divide the buckets anew."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        if elapsed <= 0.0:
            return
        self._ticked_at = now
        self._hear_companions(companions)
        known = set()
        for report in reports:
            known.add(report.node)
            node = self._nodes.get(report.node)
            if node is None or node.incarnation != report.incarnation:
                node = self._meet(report)
            if node.heard == report.heard:
                node.silent_s += elapsed
            else:
                self._hear(node, report)
        for name in self._nodes.keys() - known:
            del self._nodes[name]
            for bucket in self._buckets.values():
                bucket.drop(name)
        late_s = self.news_s * LATE
        silent = [name for name, node in self._nodes.items() if node.silent_s > late_s]
        for name, bucket in self._buckets.items():
            self._tick(bucket, self._organisations[name], silent, elapsed)

    def _hear_companions(self, reports: Iterable[Report]) -> None:
        known = set()
        for report in reports:
            known.add(report.node)
            companion = self._companions.get(report.node)
            if companion is None:
                self._companions[report.node] = _Companion(report)
                continue
            if companion.heard == report.heard and companion.incarnation == report.incarnation:
                continue
            for name, admitted in companion.hear(report).items():
                bucket = self._buckets.get(name)
                if bucket is not None:
                    bucket.used += admitted
                    bucket.companions += admitted
        for name in self._companions.keys() - known:
            del self._companions[name]

    def _meet(self, report: Report) -> _Node:
        for bucket in self._buckets.values():
            bucket.drop(report.node)
        node = self._nodes[report.node] = _Node(report.incarnation)
        return node

    def _hear(self, node: _Node, report: Report) -> None:
        uses = report.uses
        if node.loads != self._loads:
            node.loads = self._loads
            self._open(report)
        # One that was silent was taken to use everything.
        names = self._buckets if node.silent_s > self.news_s * LATE else node.orgs.union(uses)
        for name in names:
            bucket = self._buckets.get(name)
            use = uses.get(name)
            if bucket is not None and use is not None:
                demand = max(use.demand / 100, LEAST_DEMAND)
                bucket.hear(report.node, use.admitted, demand)
            elif bucket is not None:
                bucket.hear(report.node, None, 0.0)
        node.heard, node.silent_s, node.orgs = report.heard, 0.0, frozenset(uses)

    def _open(self, report: Report) -> None:
        """Add a node to the buckets that do not know it yet."""
        for name, bucket in self._buckets.items():
            if report.node in bucket.others:
                continue
            use = report.uses.get(name)
            # What it admitted before it was met has been paid for, or is unknown.
            bucket.others[report.node] = _Other(use.admitted if use else 0, bucket.given)
            if not bucket.adopted and (use is not None or bucket.unused):
                bucket.levels.append(use.level if use else self._organisations[name].burst)

    def _tick(self, b: _Bucket, org: Organisation, silent: list[str], elapsed: float) -> None:
        jumped = b.asked > JUMP + JUMP * b.demand * elapsed
        b.demand += min(1.0, elapsed / DEMAND_S) * (b.asked / elapsed - b.demand)
        # A part of a request goes to the first who asks, unless more than usual do.
        b.expected = float(b.asked) if jumped else min(b.demands) * elapsed
        b.asked = 0
        b.demands.append(b.demand)
        del b.demands[: -2 - math.ceil(self.news_s / elapsed)]
        used = b.admitted - b.seen + b.used
        b.seen, b.used = b.admitted, 0.0
        # What the others use until they are heard again.
        demand = b.total()
        given = org.rate_per_s * elapsed / demand
        b.given += given
        used += given * b.others_demand
        away = [b.others[name] for name in silent if name in b.others]
        stock = max(0.0, b.level) * min(1.0, elapsed / self.news_s)
        for other in away:
            # Whoever is cut off may use all of its part, of what was there too.
            part = stock * other.demand / demand
            other.assumed += part
            used += part
        if not b.adopted and b.levels:
            # A bucket that has just been made knows nothing of what was used.
            b.adopted = True
            b.level = min(b.levels)
            b.levels = []
        # What was earned under an earlier, greater burst may still be used.
        most = max(org.burst, b.level)
        b.level = min(most, b.level + org.rate_per_s * elapsed - used)
        ticks = max(1, round(self.news_s / elapsed) - 1)
        b.lately.append(b.spent)
        del b.lately[:-ticks]
        b.spent = 0
        b.budget = self._budget(b, org, away, elapsed) * self.share

    def _budget(self, b: _Bucket, org: Organisation, away: list[_Other], elapsed: float) -> float:
        own = b.own_demand()
        if away:
            # Whoever is silent may get as many requests by now as those who are heard.
            heard = b.others_demand - sum(other.demand for other in away)
            usual = (own + heard) / (1 + len(b.others) - len(away))
            for other in away:
                if other.demand < usual:
                    other.assume(b.given)
                    b.others_demand += usual - other.demand
                    other.demand = usual
        total = b.total()
        # What nobody asks for is divided evenly, for whoever asks for it first.
        nodes = len(b.others) + 1
        spare = max(0.0, org.rate_per_s - total) / nodes
        part = (own + spare) / (total + spare * nodes)
        # What is there is given out over the time until its use is known everywhere.
        stock = b.level * min(1.0, elapsed / self.news_s)
        budget = max(0.0, part * (stock + org.rate_per_s * elapsed))
        b.part, b.part_budget = part * self.share, budget * self.share
        room = b.level - max(0.0, total - org.rate_per_s) * self.news_s
        if not away and room >= 1.0:
            # Far from the limit nobody is refused for coming a little unevenly. Demand
            # may rise at all nodes at once, so together they get what there is room for.
            coming = b.demand * self.news_s
            uneven = coming + CLUMPS * (1.0 + SPREAD * math.sqrt(coming))
            room += self._tolerance.requests * TOLERANCE_AT_ONCE
            most = own * self.news_s + room / nodes
            return max(budget, min(uneven, most) - sum(b.lately))
        return budget
