"""Which target of a service gets a request.

The load it answers: targets of a service differ in speed, and their queues in
length. Work goes to the target with the most room for its size, of two drawn at
random; one in the own data centre goes first while it has room, which saves
bytes between data centres. Targets that fail count as fuller than they are.
"""

import random
from collections.abc import Sequence

from .directory import Peer
from .frames import Load

__all__ = ["Placement"]

ROOMY = 0.7
"""Share of its limit up to which a target of the own data centre is preferred."""

AWAY = 0.1
"""Share of the limit by which a target elsewhere has to be emptier."""

FAILED_WEIGHT = 2.0
"""How full a target counts for failing all of its runs."""


class Placement:
    """Draws the node that a request is sent to."""

    def __init__(self, rng: random.Random, data_centre: str) -> None:
        self._rng = rng
        self._data_centre = data_centre

    def choose(self, peers: Sequence[Peer], tried: set[str]) -> Peer | None:
        """Return the node to send to, or None when all have been tried."""
        fresh = [p for p in peers if p.member.address not in tried]
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        near = [p for p in fresh if p.member.data_centre == self._data_centre]
        if near:
            best = self._emptier(near)
            if fullness(best.load, best.sent) < ROOMY:
                return best
        return self._emptier(fresh)

    def _emptier(self, peers: list[Peer]) -> Peer:
        if len(peers) == 1:
            return peers[0]
        one, two = self._rng.sample(peers, 2)
        return min(one, two, key=self._cost)

    def _cost(self, peer: Peer) -> float:
        away = 0.0 if peer.member.data_centre == self._data_centre else AWAY
        return fullness(peer.load, peer.sent) + away


def fullness(load: Load, sent: int) -> float:
    """Return the share of its limit that a target uses, with ``sent`` more on the way."""
    return (load.busy + sent + 1) / max(1, load.limit) + load.failed * FAILED_WEIGHT
