"""Load balancing between the targets of a service.

Targets of a service differ in speed by more than a factor of two, are slow or fail for
a while, and have queues of different length. Requests are distributed at random,
weighted towards the targets that are expected to answer soonest. How many stay in the own
data centre is decided in :mod:`.zone_share`; beyond that a request leaves it only where the
targets there are full, or slow compared with its time limit.
"""

import random
from collections.abc import Sequence

from ..clock import Clock
from .directory import Peer
from .residency import ANY_REGION, Regions
from .zone_share import FAILURE_FACTOR, REMOTE_ROUND_TRIP_S, WAIT_PER_USE, ZoneShares

__all__ = ["LoadBalancer"]

COST_EXPONENT = 3
"""Exponent by which slower targets get less. It is finite, since all nodes see similar
costs and would overload the best target before its next report."""

DEFAULT_RUN_S = 0.001
"""Run time assumed while none is known for any target."""

FULL_MIN_USE = 0.75
FULL_USE = 1.0
"""Share of its limit, with the request to be sent, from which a target in the own data
centre counts as full, for a request without bytes and at most. Loads are known late, so
that the request may find the last places taken: with 1.0 for all, the 99th percentile of a
service of five targets was 327 ms, with 0.75 it was 305 ms."""

ROOM_USE = 0.75
"""Share of its limit up to which a target in another data centre has room."""

LOCAL_MAX_TIME_SHARE = 0.5
"""Share of the time limit up to which the expected time of a target in the own data centre
is short."""

FULL_MAX_COST_SHARE = 0.5
"""Share of the cost here up to which a full target elsewhere is worth a request: costs are
known late, and overloaded data centres would otherwise exchange requests."""

CROWDED_USE = 0.85
"""Share of its limit above which a target is expected to slow down."""

CROWDING_FACTOR = 4.0
"""Slowdown of a target above that share, in run times per limit of further requests."""

SUSPECT_AFTER_S = 0.4
"""Silence after which a node gets no requests while other nodes answer: a heartbeat is
answered within milliseconds, even over a slow link."""

SHARE = "share"
LOCAL_FULL = "local-full"
LOCAL_SLOW = "local-slow"
NO_LOCAL = "no-local"
"""Reasons for which a request leaves its data centre."""


class LoadBalancer:
    """Chooses the node that a request is sent to, from the loads that this node knows."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        shares: ZoneShares | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._shares = shares or ZoneShares(clock)
        self.left = ""
        """Why the request chosen for last leaves the data centre, empty if it stays."""

    def choose(
        self,
        peers: Sequence[Peer],
        route: str,
        limit_s: float,
        tried: set[str],
        regions: Regions = ANY_REGION,
        first: bool = True,
    ) -> Peer | None:
        """Return the node to send to, or None when no other should be tried.

        For the ``first`` attempt, ``peers`` are all nodes of the service that a request of
        ``regions`` may be sent to.
        """
        self.left = ""
        untried = [p for p in peers if p.member.address not in tried] if tried else peers
        if not untried:
            return None
        responsive = [p for p in untried if p.unanswered_s() < SUSPECT_AFTER_S]
        untried = responsive or untried
        local = [p for p in untried if p.member.data_centre == self._data_centre]
        if len(local) == len(untried):
            return self._draw(local, route)[0]
        if not local:
            candidates = self._less_used([p for p in peers if p.member.address in tried], untried)
            return self._leave(candidates, route, NO_LOCAL) if candidates else None
        remote = [p for p in untried if p.member.data_centre != self._data_centre]
        service = remote[0].load.service
        # A retry has fewer candidates, from which no share can be computed.
        complete = first and not tried
        share = self._shares.leave_share(service, regions, route, local, remote, complete)
        if overloaded := self._shares.overloaded(service, regions):
            remote = [p for p in remote if p.member.data_centre not in overloaded]
        if share and self._rng.random() < share and (candidates := _below(remote, ROOM_USE)):
            return self._leave(candidates, route, SHARE)
        best, cost_s = self._draw(local, route)
        # What a wait is worth grows with the bytes, so that large requests stay for longer.
        wait_use = self._shares.price_s(route) / (WAIT_PER_USE * cost_s)
        full_use = min(FULL_USE, FULL_MIN_USE + wait_use)
        if best.utilisation() >= full_use and (candidates := _below(local, full_use)):
            best, cost_s = self._draw(candidates, route)
        full = best.utilisation() >= full_use
        if remote and (full or cost_s >= limit_s * LOCAL_MAX_TIME_SHARE):
            other, other_cost_s = self._draw(_below(remote, ROOM_USE) or remote, route)
            has_room = other.utilisation() < ROOM_USE
            if other_cost_s < cost_s * (1.0 if has_room else FULL_MAX_COST_SHARE):
                return self._leave([other], route, LOCAL_FULL if full else LOCAL_SLOW)
        return best

    def _less_used(self, refused: Sequence[Peer], remote: Sequence[Peer]) -> Sequence[Peer]:
        """Return the nodes elsewhere that are worth asking after those that refused.

        Where the own targets are overloaded, only those that are less so.
        """
        local = [p.utilisation() for p in refused if p.member.data_centre == self._data_centre]
        most = min(local, default=0.0)
        return [p for p in remote if p.utilisation() < most] if most >= FULL_USE else remote

    def record_bytes(self, route: str, size: int) -> None:
        """Learn from the bytes of a request and its response."""
        self._shares.record_bytes(route, size)

    def _leave(self, peers: Sequence[Peer], route: str, reason: str) -> Peer:
        self.left = reason
        self._shares.left[reason] += 1
        return self._draw(peers, route)[0]

    def _draw(self, peers: Sequence[Peer], route: str) -> tuple[Peer, float]:
        """Return a randomly chosen peer and its cost in seconds."""
        now = self._clock.now()
        run_times = [peer.mean_latency_s(route, now) or peer.load.run_ms / 1000 for peer in peers]
        known = [run_s for run_s in run_times if run_s > 0.0]
        # A target without a known run time is new, or has failed all its requests: it
        # counts as an average one.
        mean_s = max(DEFAULT_RUN_S, sum(known) / len(known)) if known else DEFAULT_RUN_S
        costs = [
            self._cost(peer, run_s or mean_s) for peer, run_s in zip(peers, run_times, strict=True)
        ]
        if len(peers) == 1:
            return peers[0], costs[0]
        weights = [cost_s**-COST_EXPONENT for cost_s in costs]
        chosen = self._rng.choices(range(len(peers)), weights)[0]
        return peers[chosen], costs[chosen]

    def _cost(self, peer: Peer, run_s: float) -> float:
        remote_s = 0.0 if peer.member.data_centre == self._data_centre else REMOTE_ROUND_TRIP_S
        crowding = max(0.0, peer.utilisation() - CROWDED_USE) * CROWDING_FACTOR
        return run_s * (1.0 + crowding + peer.load.failed * FAILURE_FACTOR) + remote_s


def _below(peers: Sequence[Peer], use: float) -> list[Peer]:
    return [peer for peer in peers if peer.utilisation() < use]
