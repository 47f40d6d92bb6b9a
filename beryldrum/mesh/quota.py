"""Rate limits of organisations, enforced by all nodes of the fleet together.

An organisation may send several times its rate, at a few nodes or at all of them.
Every node keeps its own view of one token bucket for the whole fleet and deducts what
each other node reports to have admitted. Between two updates a node may admit the
fraction of the bucket that its demand is of the total demand, so that all nodes
together admit no more than the bucket holds. Demand may rise at all nodes before any
of them hears of it, so a node computes its fraction from its own demand as it was in
the oldest report that other nodes may still use. A node that sends no reports is
assumed to admit all that it may: it may be partitioned and still be serving.

In a large fleet a node's part of a small rate is less than one request. There the
bucket is divided between data centres, and one node of each, the home node of the
organisation, gives out the part of its data centre (see :mod:`.homes`). The other
nodes of the data centre are *local peers*: what they admit is deducted from the
bucket, but they get no part of it.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import Annotated, NamedTuple

import msgspec

from ..clock import Clock
from .document import Organisation

__all__ = ["Quotas", "RateState", "Tolerance", "Usage", "UsageReport"]

DEMAND_SMOOTHING_S = 1.0
"""Time over which demand is averaged."""

MIN_DEMAND_PER_S = 0.02
"""Demand that an idle node counts for, in requests per second."""

MAX_REPORT_AGE_S = 0.75
"""Maximum age of the reports of reachable nodes: one heartbeat and one tick. Larger
fleets send fewer heartbeats, see :attr:`Quotas.max_report_age_s`."""

UNREACHABLE_FACTOR = 1.2
"""Multiple of the maximum report age after which a node may be partitioned."""

REPEAT_FACTOR = 3
"""Multiple of the maximum report age for which a usage is reported after its last change."""

TOLERANCE_FRACTION = 0.25
"""Fraction of the tolerance by which rate and burst are raised. Nodes cannot divide a
rate exactly, and an organisation within its rate must not be refused for that."""

MARGIN_STDDEVS = 2.0
"""Standard deviations above the expected requests that a node far from the limit may
admit."""

MARGIN_FACTOR = 2.0
"""Factor on that margin, for requests that come in bursts while there is headroom."""

RESTART_S = 0.5
"""Time that a process needs to stop and start again, in which its rate was not used."""

SURGE_FACTOR = 1.5
"""Demand counts as surging where a tick brings more than this many requests plus this
multiple of the usual number."""

OVERDRAFT_FRACTION = 0.75
"""Fraction of the tolerance's requests that all nodes together may admit beyond the
headroom while no node may be partitioned."""


class Usage(NamedTuple):
    """A node's usage of an organisation's rate.

    ``demand`` is in hundredths of a request per second, ``admitted`` counts requests
    since the node's start, ``level`` is the node's view of the fleet's bucket.
    Integers take a third of the bytes of floats.
    """

    demand: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    admitted: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    level: Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]


class Tolerance(NamedTuple):
    """How far a rate may be exceeded: by a ratio, plus a number of requests."""

    ratio: float
    requests: float


class RateState(NamedTuple):
    """State of an organisation's rate at a node, for operators.

    ``granted`` and ``refused`` count requests since the start, ``beyond_part`` those
    granted in excess of the part. ``part`` is the fraction of the bucket that is given
    out here, ``level`` the estimated level of the bucket.
    """

    organisation: str
    granted: int
    refused: int
    beyond_part: int
    part: float
    level: float


class UsageReport(NamedTuple):
    """The last report received from a node; ``sequence`` counts its reports."""

    node: str
    incarnation: int
    sequence: int
    usages: dict[str, Usage]


class _PeerUsage:
    """What a bucket knows of another node's usage."""

    __slots__ = ("accrued_to", "admitted", "assumed", "demand")

    def __init__(self, admitted: int, accrued_to: float) -> None:
        self.admitted = admitted
        self.demand = 0.0
        """0 where its report does not mention the organisation."""
        self.accrued_to = accrued_to
        """The bucket's ``issued_per_demand`` up to which ``assumed`` counts."""
        self.assumed = 0.0

    def accrue(self, issued_per_demand: float) -> float:
        """Return the usage assumed since the node's last report."""
        self.assumed += self.demand * (issued_per_demand - self.accrued_to)
        self.accrued_to = issued_per_demand
        return self.assumed


class _PeerStatus:
    """Another node, and how long it has sent no report."""

    __slots__ = ("incarnation", "load_count", "orgs", "sequence", "silent_s")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.load_count = -1
        """How often organisations had been loaded at its last report."""
        self.silent_s = 0.0
        self.orgs: frozenset[str] = frozenset()
        """The organisations in its last report."""


class _Bucket:
    """The fleet's token bucket of an organisation, as this node knows it.

    Between two reports, the usage of all other nodes together is assumed to follow
    their demand: ``issued_per_demand`` is the cumulative number of requests issued for
    each unit of demand.
    """

    def __init__(self, starts_full: bool) -> None:
        self.starts_full = starts_full
        """Whether none of the rate can have been used yet; else the bucket starts
        nearly empty, unless other nodes report a level."""
        self.level = 0.0
        self.level_adopted = False
        self.demand = 0.0
        self.demand_history = [0.0]
        """The demand of the last ticks, as far back as the oldest reports in use."""
        self.asked = 0
        """Requests in this tick, admitted or not."""
        self.admitted = 0
        self.reported_admitted = 0
        self.reported_at = float("-inf")
        """When ``reported_admitted`` was first reported to other nodes."""
        self.deducted = 0
        self.spent = 0
        self.recent_spent: list[int] = []
        """Requests admitted in each earlier tick that other nodes may not know of yet."""
        self.budget = 0.0
        self.expected = 0.0
        """Requests expected in this tick."""
        self.peers: dict[str, _PeerUsage] = {}
        self.peer_demand = 0.0
        """The sum of the other nodes' demands."""
        self.issued_per_demand = 0.0
        self.peer_used = 0.0
        """The other nodes' usage reported since the last tick, less what was assumed."""
        self.reported_levels: list[float] = []
        self.local_admitted = 0
        """What local peers have admitted since their first report."""
        self.refused = 0
        self.beyond_part = 0
        self.part = 0.0
        """The fraction of the bucket that was given out here in the last tick."""
        self.part_budget = 0.0
        """That fraction in requests; ``budget`` is equal or greater."""

    def record_usage(self, node: str, admitted: int | None, demand: float) -> None:
        """Replace the assumed usage of a node by the reported one.

        ``admitted`` is None where the report does not mention the organisation: the
        count has not changed then.
        """
        peer = self.peers[node]
        if admitted is None:
            admitted = peer.admitted
        self.peer_used += admitted - peer.admitted - peer.accrue(self.issued_per_demand)
        peer.admitted, peer.assumed = admitted, 0.0
        self.peer_demand -= peer.demand
        peer.demand = demand
        self.peer_demand += demand

    def own_demand(self) -> float:
        """Return this node's demand as of the oldest reports that are in use.

        The parts of all nodes would sum to more than one if a node divided by a demand
        that has risen since the others were told.
        """
        return max(self.demand_history[0], MIN_DEMAND_PER_S)

    def total_demand(self) -> float:
        """Return the demand that the bucket is divided by; idle nodes count for a minimum."""
        return self.own_demand() + self.peer_demand + MIN_DEMAND_PER_S * len(self.peers)

    def remove_peer(self, node: str) -> None:
        """Remove a node; its assumed usage stays deducted."""
        peer = self.peers.pop(node, None)
        if peer is not None:
            self.peer_demand -= peer.demand


class _LocalPeer:
    """A node of the own data centre, and what it has reported to have admitted."""

    __slots__ = ("admitted", "complete", "incarnation", "sequence")

    def __init__(self, report: UsageReport) -> None:
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        # What it admitted before its first report is already deducted, or is unknown.
        self.admitted = {name: usage.admitted for name, usage in report.usages.items()}
        self.complete = False
        """Whether ``admitted`` covers all its organisations: in a small fleet, reports
        leave out those without recent changes."""

    def update(self, report: UsageReport) -> dict[str, int]:
        """Apply a report; returns the requests admitted since the last, by organisation."""
        if self.incarnation != report.incarnation:
            self.incarnation, self.admitted, self.complete = report.incarnation, {}, True
        more = {}
        for name, usage in report.usages.items():
            before = self.admitted.get(name, 0 if self.complete else usage.admitted)
            self.admitted[name] = usage.admitted
            if usage.admitted > before:
                more[name] = usage.admitted - before
        self.sequence, self.complete = report.sequence, True
        return more


class Quotas:
    """The part of a node, or of its data centre, in the rates of all organisations.

    At the ``first_start`` of a fleet no rate has been used yet. A node that starts
    later cannot know what was used, since all nodes may have restarted with it.
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
        self._peers: dict[str, _PeerStatus] = {}
        self._local_peers: dict[str, _LocalPeer] = {}
        self._load_count = 0
        self.share = 1.0
        """Fraction of the budget that is given out here; the rest is reserved for
        local peers that may be partitioned."""
        self.max_report_age_s = MAX_REPORT_AGE_S
        """Maximum age of the reports of reachable nodes, in seconds."""
        self._ticked_at = clock.now()

    def load(self, organisations: dict[str, Organisation]) -> None:
        """Replace the organisations that have a rate."""
        self._organisations = {name: self._with_tolerance(o) for name, o in organisations.items()}
        for name in self._buckets.keys() - organisations.keys():
            del self._buckets[name]
        for name in organisations:
            if name not in self._buckets:
                # An organisation added by a later document is new to the whole fleet.
                starts_full = self._first_start or self._load_count > 0
                bucket = self._buckets[name] = _Bucket(starts_full)
                if not starts_full:
                    org = self._organisations[name]
                    bucket.level = min(org.burst, org.rate_per_s * RESTART_S)
        self._load_count += 1

    def _with_tolerance(self, org: Organisation) -> Organisation:
        rate = org.rate_per_s * (1.0 + self._tolerance.ratio * TOLERANCE_FRACTION)
        return org._replace(
            rate_per_s=rate, burst=org.burst + self._tolerance.requests * TOLERANCE_FRACTION
        )

    def is_limited(self, organisation: str) -> bool:
        """Tell whether an organisation has a rate."""
        return organisation in self._buckets

    def take(self, organisation: str) -> bool:
        """Take one request from an organisation's budget; False when it is used up."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.asked += 1
        left = bucket.budget - bucket.spent
        if left < 1.0 and self._rng.random() >= left / max(left, bucket.expected, MIN_DEMAND_PER_S):
            # Less than one request is left: each expected request gets an equal chance.
            bucket.refused += 1
            return False
        bucket.spent += 1
        bucket.admitted += 1
        bucket.beyond_part += bucket.spent - 1 >= bucket.part_budget
        return True

    def give_back(self, organisation: str) -> None:
        """Return a request that has not run to the budget."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.spent -= 1
            bucket.admitted -= 1

    def wait_s(self, organisation: str) -> float:
        """Return the seconds until another request of an organisation may be admitted."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        missing = max(1.0, 1.0 - bucket.level)
        return missing / max(1.0, self._organisations[organisation].rate_per_s)

    def states(self) -> list[RateState]:
        """Return the state of the rate of each organisation that has sent requests here."""
        return [
            RateState(name, b.admitted, b.refused, b.beyond_part, b.part, b.level)
            for name, b in self._buckets.items()
            if b.admitted or b.refused
        ]

    def all_usages(self) -> dict[str, Usage]:
        """Return this node's usage by organisation, without unused ones."""
        return {
            name: Usage(round(bucket.demand * 100), bucket.admitted, round(bucket.level))
            for name, bucket in self._buckets.items()
            if bucket.admitted or bucket.demand >= MIN_DEMAND_PER_S
        }

    def data_centre_usages(self, local_demands: Mapping[str, float]) -> dict[str, Usage]:
        """Return the usage of the data centre by organisation.

        ``local_demands`` is the demand at local peers, in the unit of :class:`Usage`.
        """
        found = {}
        for name, bucket in self._buckets.items():
            admitted = bucket.admitted + bucket.local_admitted
            demand = bucket.demand * 100 + local_demands.get(name, 0.0)
            if admitted or demand >= MIN_DEMAND_PER_S * 100:
                found[name] = Usage(round(demand), admitted, round(bucket.level))
        return found

    def recent_usages(self) -> dict[str, Usage]:
        """Return this node's usage by organisation, as reported to other nodes.

        An organisation without recent changes is left out and counts as unchanged.
        """
        now = self._clock.now()
        found = {}
        for name, bucket in self._buckets.items():
            if bucket.reported_admitted != bucket.admitted:
                bucket.reported_admitted, bucket.reported_at = bucket.admitted, now
            changed = now - bucket.reported_at <= REPEAT_FACTOR * self.max_report_age_s
            if changed or bucket.demand >= MIN_DEMAND_PER_S:
                demand = round(bucket.demand * 100)
                found[name] = Usage(demand, bucket.admitted, round(bucket.level))
        return found

    def tick(
        self, reports: Iterable[UsageReport], local_reports: Iterable[UsageReport] = ()
    ) -> None:
        """Apply the last reports of all nodes, refill the buckets and renew the budgets."""
        now = self._clock.now()
        elapsed = now - self._ticked_at
        if elapsed <= 0.0:
            return
        self._ticked_at = now
        self._apply_local_reports(local_reports)
        known = set()
        for report in reports:
            known.add(report.node)
            peer = self._peers.get(report.node)
            if peer is None or peer.incarnation != report.incarnation:
                peer = self._add_peer(report)
            if peer.sequence == report.sequence:
                peer.silent_s += elapsed
            else:
                self._apply_report(peer, report)
        for name in self._peers.keys() - known:
            del self._peers[name]
            for bucket in self._buckets.values():
                bucket.remove_peer(name)
        unreachable_s = self.max_report_age_s * UNREACHABLE_FACTOR
        silent = [name for name, peer in self._peers.items() if peer.silent_s > unreachable_s]
        for name, bucket in self._buckets.items():
            self._refill(bucket, self._organisations[name], silent, elapsed)

    def _apply_local_reports(self, reports: Iterable[UsageReport]) -> None:
        known = set()
        for report in reports:
            known.add(report.node)
            peer = self._local_peers.get(report.node)
            if peer is None:
                self._local_peers[report.node] = _LocalPeer(report)
                continue
            if peer.sequence == report.sequence and peer.incarnation == report.incarnation:
                continue
            for name, admitted in peer.update(report).items():
                bucket = self._buckets.get(name)
                if bucket is not None:
                    bucket.peer_used += admitted
                    bucket.local_admitted += admitted
        for name in self._local_peers.keys() - known:
            del self._local_peers[name]

    def _add_peer(self, report: UsageReport) -> _PeerStatus:
        for bucket in self._buckets.values():
            bucket.remove_peer(report.node)
        peer = self._peers[report.node] = _PeerStatus(report.incarnation)
        return peer

    def _apply_report(self, peer: _PeerStatus, report: UsageReport) -> None:
        usages = report.usages
        if peer.load_count != self._load_count:
            peer.load_count = self._load_count
            self._add_to_buckets(report)
        # A node that was unreachable was assumed to use every organisation's rate.
        names = (
            self._buckets
            if peer.silent_s > self.max_report_age_s * UNREACHABLE_FACTOR
            else peer.orgs.union(usages)
        )
        for name in names:
            bucket = self._buckets.get(name)
            usage = usages.get(name)
            if bucket is not None and usage is not None:
                demand = max(usage.demand / 100, MIN_DEMAND_PER_S)
                bucket.record_usage(report.node, usage.admitted, demand)
            elif bucket is not None:
                bucket.record_usage(report.node, None, 0.0)
        peer.sequence, peer.silent_s, peer.orgs = report.sequence, 0.0, frozenset(usages)

    def _add_to_buckets(self, report: UsageReport) -> None:
        """Add a node to the buckets that do not have it yet."""
        for name, bucket in self._buckets.items():
            if report.node in bucket.peers:
                continue
            usage = report.usages.get(name)
            # What it admitted before its first report is already deducted, or is unknown.
            bucket.peers[report.node] = _PeerUsage(
                usage.admitted if usage else 0, bucket.issued_per_demand
            )
            if not bucket.level_adopted and (usage is not None or bucket.starts_full):
                bucket.reported_levels.append(
                    usage.level if usage else self._organisations[name].burst
                )

    def _refill(self, b: _Bucket, org: Organisation, silent: list[str], elapsed: float) -> None:
        surging = b.asked > SURGE_FACTOR + SURGE_FACTOR * b.demand * elapsed
        b.demand += min(1.0, elapsed / DEMAND_SMOOTHING_S) * (b.asked / elapsed - b.demand)
        # A budget of less than one request goes to whoever comes first, unless demand
        # is surging.
        b.expected = float(b.asked) if surging else min(b.demand_history) * elapsed
        b.asked = 0
        b.demand_history.append(b.demand)
        del b.demand_history[: -2 - math.ceil(self.max_report_age_s / elapsed)]
        used = b.admitted - b.deducted + b.peer_used
        b.deducted, b.peer_used = b.admitted, 0.0
        # Assume what the other nodes use until their next report.
        demand = b.total_demand()
        issued_per_demand = org.rate_per_s * elapsed / demand
        b.issued_per_demand += issued_per_demand
        used += issued_per_demand * b.peer_demand
        unreachable = [b.peers[name] for name in silent if name in b.peers]
        available = max(0.0, b.level) * min(1.0, elapsed / self.max_report_age_s)
        for other in unreachable:
            # A partitioned node may use its whole part, also of the bucket's level.
            part = available * other.demand / demand
            other.assumed += part
            used += part
        if not b.level_adopted and b.reported_levels:
            # A new bucket does not know what has been used before it was made.
            b.level_adopted = True
            b.level = min(b.reported_levels)
            b.reported_levels = []
        # A level above the burst, earned under an earlier greater burst, may still be used.
        max_level = max(org.burst, b.level)
        b.level = min(max_level, b.level + org.rate_per_s * elapsed - used)
        ticks = max(1, round(self.max_report_age_s / elapsed) - 1)
        b.recent_spent.append(b.spent)
        del b.recent_spent[:-ticks]
        b.spent = 0
        b.budget = self._budget(b, org, unreachable, elapsed) * self.share

    def _budget(
        self, b: _Bucket, org: Organisation, unreachable: list[_PeerUsage], elapsed: float
    ) -> float:
        own = b.own_demand()
        if unreachable:
            # The demand at an unreachable node may have risen to the mean of the others.
            reachable = b.peer_demand - sum(other.demand for other in unreachable)
            mean = (own + reachable) / (1 + len(b.peers) - len(unreachable))
            for other in unreachable:
                if other.demand < mean:
                    other.accrue(b.issued_per_demand)
                    b.peer_demand += mean - other.demand
                    other.demand = mean
        total = b.total_demand()
        # The rate that exceeds total demand is divided evenly between nodes.
        nodes = len(b.peers) + 1
        spare = max(0.0, org.rate_per_s - total) / nodes
        part = (own + spare) / (total + spare * nodes)
        # The level is given out over the time until its use is known at all nodes.
        available = b.level * min(1.0, elapsed / self.max_report_age_s)
        budget = max(0.0, part * (available + org.rate_per_s * elapsed))
        b.part, b.part_budget = part * self.share, budget * self.share
        headroom = b.level - max(0.0, total - org.rate_per_s) * self.max_report_age_s
        if not unreachable and headroom >= 1.0:
            # Far from the limit, uneven arrivals are not refused. Demand may rise at all
            # nodes at once, so together they get no more than the headroom.
            expected = b.demand * self.max_report_age_s
            uneven = expected + MARGIN_FACTOR * (1.0 + MARGIN_STDDEVS * math.sqrt(expected))
            headroom += self._tolerance.requests * OVERDRAFT_FRACTION
            allowed = own * self.max_report_age_s + headroom / nodes
            return max(budget, min(uneven, allowed) - sum(b.recent_spent))
        return budget
