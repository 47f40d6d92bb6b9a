"""Cluster membership: the known nodes and their targets.

A target announces itself to the node on its host, which spreads an
:class:`Advert` by gossip. Only the node itself increases the sequence of its
adverts, so the one with the highest sequence is the newest. Failures are not
gossiped: each node observes the nodes that it calls, and an advert that is not
renewed expires.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .balance import Candidate
from .clock import Clock

__all__ = ["GONE", "LEAVING", "READY", "Advert", "Membership"]

READY = "ready"
LEAVING = "leaving"
GONE = "gone"

RENEWAL_INTERVAL_S = 1_800.0
ADVERT_LIFETIME_MS = 6_000_000
RUMOUR_TRANSMISSIONS = 3
MAX_RUMOURS_PER_MESSAGE = 16


class Advert(NamedTuple):
    """The announcement of a node and its target.

    ``sequence`` follows the wall clock, in milliseconds. ``slots`` is the number
    of runs that the target states it can serve at once.
    """

    node: str
    incarnation: str
    sequence: int
    data_centre: str
    service: str
    target: str
    state: str
    slots: int

    @property
    def precedence(self) -> tuple[int, str]:
        """The sort key of the adverts of one node; the highest is current."""
        return (self.sequence, self.incarnation)


class Membership:
    """The adverts that a node knows, and those that it still has to gossip."""

    def __init__(self, clock: Clock, rng: random.Random, own: Advert) -> None:
        self._clock = clock
        self._rng = rng
        self.own = own
        self._adverts: dict[str, Advert] = {own.node: own}
        self._transmissions_left: dict[str, int] = {own.node: RUMOUR_TRANSMISSIONS}
        self._renewed_at = clock.now()
        self._services: dict[str, list[Candidate]] | None = None

    def __len__(self) -> int:
        return len(self._adverts)

    def adverts(self) -> list[Advert]:
        """Return all current adverts."""
        return list(self._adverts.values())

    def update_own(self, **changes: str | int) -> None:
        """Change fields of this node's own advert and gossip it."""
        self.own = self.own._replace(sequence=self._next_sequence(self.own.sequence), **changes)  # type: ignore[arg-type]
        self._put(self.own)

    def _next_sequence(self, sequence: int) -> int:
        return max(sequence + 1, self._clock.wall_ms())

    def _put(self, advert: Advert) -> None:
        self._adverts[advert.node] = advert
        self._transmissions_left[advert.node] = RUMOUR_TRANSMISSIONS
        self._services = None

    def merge(self, adverts: Iterable[Advert]) -> list[Advert]:
        """Store the adverts that are newer than the known ones, and return them."""
        newer = [advert for advert in adverts if self._is_newer(advert)]
        for advert in newer:
            if advert.node == self.own.node:
                # From an earlier process on this address: supersede it.
                self.own = self.own._replace(sequence=advert.sequence)
                self.update_own()
            else:
                self._put(advert)
        return newer

    def _is_newer(self, advert: Advert) -> bool:
        known = self._adverts.get(advert.node)
        if known is None:
            return not self._is_expired(advert)
        if advert.node == self.own.node and advert.incarnation == self.own.incarnation:
            return False
        return advert.precedence > known.precedence

    def tick(self) -> None:
        """Renew this node's own advert when due and remove expired ones."""
        now = self._clock.now()
        if now - self._renewed_at >= RENEWAL_INTERVAL_S:
            self._renewed_at = now
            self.update_own()
        for node in [n for n, advert in self._adverts.items() if self._is_expired(advert)]:
            del self._adverts[node]
            self._transmissions_left.pop(node, None)
            self._services = None

    def _is_expired(self, advert: Advert) -> bool:
        # Sequences follow the wall clock, so all nodes expire an advert at about
        # the same time and none gossips an expired one back to another.
        own = advert.node == self.own.node
        return not own and advert.sequence < self._clock.wall_ms() - ADVERT_LIFETIME_MS

    def take_rumours(self) -> list[Advert]:
        """Return the adverts to include in the next gossip message.

        Each advert is returned ``RUMOUR_TRANSMISSIONS`` times.
        """
        names = sorted(self._transmissions_left, key=lambda n: -self._transmissions_left[n])[
            :MAX_RUMOURS_PER_MESSAGE
        ]
        for name in names:
            self._transmissions_left[name] -= 1
            if self._transmissions_left[name] <= 0:
                del self._transmissions_left[name]
        return [self._adverts[name] for name in names]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the nodes with a ready target of ``service``."""
        if self._services is None:
            self._services = self._by_service()
        return self._services.get(service, [])

    def _by_service(self) -> dict[str, list[Candidate]]:
        found: dict[str, list[Candidate]] = {}
        for advert in self._adverts.values():
            if advert.state == READY and advert.service:
                found.setdefault(advert.service, []).append(
                    Candidate(advert.node, advert.data_centre)
                )
        return found

    def get(self, node: str) -> Advert | None:
        """Return the advert of ``node``, or None."""
        return self._adverts.get(node)

    def in_data_centre(self, data_centre: str) -> list[Advert]:
        """Return the adverts of a data centre, except those of nodes that have left."""
        return [
            a for a in self._adverts.values() if a.data_centre == data_centre and a.state != GONE
        ]

    def digests(self) -> dict[str, str]:
        """Return a hash of the known adverts of each data centre."""
        sums: dict[str, int] = {}
        for advert in self._adverts.values():
            # Leave out the sequence: a renewal changes nothing else, and in a large
            # cluster some are always in transit, so digests would never agree.
            text = " ".join(str(field) for field in advert._replace(sequence=0))
            old = sums.get(advert.data_centre, 0)
            sums[advert.data_centre] = old ^ xxhash.xxh64_intdigest(text.encode())
        return {name: f"{value:016x}" for name, value in sums.items()}

    def differing_adverts(self, digests: dict[str, str]) -> list[Advert]:
        """Return the adverts of the data centres whose hash differs from ``digests``."""
        own = self.digests()
        differing = {name for name, value in own.items() if digests.get(name) != value}
        return [a for a in self._adverts.values() if a.data_centre in differing]

    def gossip_partners(self, count: int) -> list[str]:
        """Return random nodes: up to ``count`` in this data centre and one elsewhere."""
        local = [a.node for a in self.in_data_centre(self.own.data_centre)]
        local = [node for node in local if node != self.own.node]
        remote = [
            a.node
            for a in self._adverts.values()
            if a.data_centre != self.own.data_centre and a.state != GONE
        ]
        partners = self._rng.sample(local, min(count, len(local)))
        return partners + self._rng.sample(remote, min(1, len(remote)))
