"""Which target of a service gets a request.

The load it answers: targets of a service differ in speed by more than two, turn
slow or fail for a while, and their queues differ in length. Of some drawn at
random the one is taken that is expected to answer first; one in the own data
centre goes first while its time is short beside the limit, which saves bytes
between data centres.
"""

import random
from collections.abc import Sequence

from ..clock import Clock
from .directory import Peer

__all__ = ["Placement"]

DRAWN = 2
"""Targets that are compared: with two, no node is overrun by all others at once."""

ROOMY = 0.7
"""Share of its limit up to which a target in the own data centre is preferred."""

UNHURRIED = 0.5
"""Share of the time limit up to which a target's usual time is short."""

CROWDED = 0.85
"""Share of its limit from which on a target is expected to slow down."""

CROWDING = 4.0
"""How much a full target is slower than one that is not crowded, in run times for
each further limit of requests."""

FAILED_TIMES = 8.0
"""Run times that a target costs which fails all its runs."""

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
        now = self._clock.now()
        near = [p for p in fresh if p.member.data_centre == self._data_centre]
        if near:
            best = self._draw(near, route, now)
            if best.fullness() < ROOMY:
                cost_s = self._cost(best, route, now)
                if cost_s < limit_s * UNHURRIED:
                    return best
        return self._draw(fresh, route, now)

    def _draw(self, peers: Sequence[Peer], route: str, now: float) -> Peer:
        if len(peers) == 1:
            return peers[0]
        drawn = self._rng.sample(peers, DRAWN)
        return min(drawn, key=lambda peer: self._cost(peer, route, now))

    def _cost(self, peer: Peer, route: str, now: float) -> float:
        away_s = 0.0 if peer.member.data_centre == self._data_centre else AWAY_S
        run_s = peer.usual_s(route, now)
        crowding = max(0.0, peer.fullness() - CROWDED) * CROWDING
        return run_s * (1.0 + crowding + peer.load.failed * FAILED_TIMES) + away_s
