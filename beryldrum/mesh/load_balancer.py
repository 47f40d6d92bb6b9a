"""Load balancing between the targets of a service.

Targets of a service differ in speed by more than a factor of two, are slow or fail for
a while, and have queues of different length. Requests are distributed at random,
weighted towards the targets that are expected to answer soonest. Targets in the own data
centre are preferred while their time is short compared with the time limit, which saves
traffic between data centres.
"""

import random
from collections.abc import Sequence

from ..clock import Clock
from .directory import Peer

__all__ = ["LoadBalancer"]

COST_EXPONENT = 3
"""Exponent by which slower targets get less. It is finite, since all nodes see similar
costs and would overload the best target before its next report."""

DEFAULT_RUN_S = 0.001
"""Run time assumed while none is known for any target."""

LOCAL_MAX_USE = 0.7
"""Share of its limit up to which a target in the own data centre is preferred."""

LOCAL_MAX_EXCESS = 0.25
"""Share of its limit by which such a target may be fuller than the emptiest one."""

LOCAL_MAX_TIME_SHARE = 0.5
"""Share of the time limit up to which the expected time of such a target is short."""

CROWDED_USE = 0.85
"""Share of its limit above which a target is expected to slow down."""

CROWDING_FACTOR = 4.0
"""Slowdown of a target above that share, in run times per limit of further requests."""

FAILURE_FACTOR = 8.0
"""Additional cost of a target that fails all its runs, in run times."""

SUSPECT_AFTER_S = 0.4
"""Silence after which a node gets no requests while other nodes answer: a heartbeat is
answered within milliseconds, even over a slow link."""

REMOTE_ROUND_TRIP_S = 0.004
"""Cost of a target in another data centre: the round trip."""


class LoadBalancer:
    """Chooses the node that a request is sent to, from the loads that this node knows."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre

    def choose(
        self, peers: Sequence[Peer], route: str, limit_s: float, tried: set[str]
    ) -> Peer | None:
        """Return the node to send to, or None when all have been tried."""
        untried = [p for p in peers if p.member.address not in tried] if tried else peers
        if len(untried) < 2:
            return untried[0] if untried else None
        responsive = [p for p in untried if p.unanswered_s() < SUSPECT_AFTER_S]
        untried = responsive or untried
        now = self._clock.now()
        local = [p for p in untried if p.member.data_centre == self._data_centre]
        if local:
            best, cost_s = self._draw(local, route, now)
            utilisation = best.utilisation()
            if (
                utilisation < LOCAL_MAX_USE
                and cost_s < limit_s * LOCAL_MAX_TIME_SHARE
                and (
                    utilisation < LOCAL_MAX_EXCESS
                    or utilisation < min([p.utilisation() for p in untried]) + LOCAL_MAX_EXCESS
                )
            ):
                return best
        return self._draw(untried, route, now)[0]

    def _draw(self, peers: Sequence[Peer], route: str, now: float) -> tuple[Peer, float]:
        """Return a randomly chosen peer and its cost in seconds."""
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
