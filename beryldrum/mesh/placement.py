"""Which target of a service gets a request.

The load it answers: targets of a service differ in speed by more than two, turn
slow or fail for a while, and their queues differ in length. Work is divided at
random, the more to a target the sooner it is expected to answer; those in the own
data centre go first while their time is short beside the limit, which saves bytes
between data centres.
"""

import random
from collections.abc import Sequence

from ..clock import Clock
from .directory import Peer

__all__ = ["Placement"]

STEEPNESS = 3
"""Exponent with which slower targets get less. Finite: all nodes see much the same,
and would overrun the one that looks best until they hear of it."""

LEAST_S = 0.001
"""Time taken for a target while nothing is known of any."""

ROOMY = 0.7
"""Share of its limit up to which a target in the own data centre is preferred."""

LOPSIDED = 0.25
"""Share of its limit by which such a target may be fuller than the emptiest one."""

UNHURRIED = 0.5
"""Share of the time limit up to which a target's usual time is short."""

CROWDED = 0.85
"""Share of its limit from which on a target is expected to slow down."""

CROWDING = 4.0
"""How much a full target is slower than one that is not crowded, in run times for
each further limit of requests."""

FAILED_TIMES = 8.0
"""Run times that a target costs which fails all its runs."""

SUSPECT_S = 0.4
"""Silence from which on a node is left alone while there are others: a heartbeat is
answered within some ms, even over a slow link."""

AWAY_S = 0.004
"""Time that a target in another data centre costs, there and back."""


class Placement:
    """Draws the node that a request is sent to, by what this node has seen."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre

    def choose(
        self, peers: Sequence[Peer], route: str, limit_s: float, tried: set[str]
    ) -> Peer | None:
        """Return the node to send to, or None when all have been tried."""
        fresh = [p for p in peers if p.member.address not in tried] if tried else peers
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        answering = [p for p in fresh if p.unanswered_s() < SUSPECT_S]
        fresh = answering or fresh
        now = self._clock.now()
        near = [p for p in fresh if p.member.data_centre == self._data_centre]
        if near:
            best, cost_s = self._draw(near, route, now)
            used = best.utilisation()
            if (
                used < ROOMY
                and cost_s < limit_s * UNHURRIED
                and (used < LOPSIDED or used < min([p.utilisation() for p in fresh]) + LOPSIDED)
            ):
                return best
        return self._draw(fresh, route, now)[0]

    def _draw(self, peers: Sequence[Peer], route: str, now: float) -> tuple[Peer, float]:
        """Return a peer, and what it costs in seconds."""
        times = [peer.mean_latency_s(route, now) or peer.load.run_ms / 1000 for peer in peers]
        known = [run_s for run_s in times if run_s > 0.0]
        # One of which nothing is known yet is taken for an ordinary one: it is cold, or
        # has failed all that it got.
        mean_latency_s = max(LEAST_S, sum(known) / len(known)) if known else LEAST_S
        costs = [
            self._cost(peer, run_s or mean_latency_s)
            for peer, run_s in zip(peers, times, strict=True)
        ]
        if len(peers) == 1:
            return peers[0], costs[0]
        weights = [cost_s**-STEEPNESS for cost_s in costs]
        chosen = self._rng.choices(range(len(peers)), weights)[0]
        return peers[chosen], costs[chosen]

    def _cost(self, peer: Peer, run_s: float) -> float:
        away_s = 0.0 if peer.member.data_centre == self._data_centre else AWAY_S
        crowding = max(0.0, peer.utilisation() - CROWDED) * CROWDING
        return run_s * (1.0 + crowding + peer.load.failed * FAILED_TIMES) + away_s
