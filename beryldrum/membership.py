"""Who is there: the nodes of the system and the targets beside them.

Targets announce themselves to the node on their host; that node spreads an
:class:`Advert` by gossip. Each node alone raises the sequence of its adverts, so
the newest always wins. Failures are not spread: each node observes those whom
it calls, and an advert that is not renewed lapses.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .balance import Candidate
from .clock import Clock

__all__ = ["GONE", "LEAVING", "READY", "Advert", "Roster"]

READY = "ready"
LEAVING = "leaving"
GONE = "gone"

RENEWAL_S = 1_800.0
LIFE_MS = 6_000_000
RUMOUR_SENDS = 3
RUMOURS_PER_GOSSIP = 16


class Advert(NamedTuple):
    """What a node says of itself and of its target."""

    node: str
    incarnation: str
    sequence: int
    data_centre: str
    service: str
    target: str
    state: str
    slots: int

    @property
    def order(self) -> tuple[int, str]:
        """The order of a node's adverts; the higher one holds."""
        return (self.sequence, self.incarnation)


class Roster:
    """The adverts that a node knows, and those that it still spreads."""

    def __init__(self, clock: Clock, rng: random.Random, own: Advert) -> None:
        self._clock = clock
        self._rng = rng
        self.own = own
        self._adverts: dict[str, Advert] = {own.node: own}
        self._rumours: dict[str, int] = {own.node: RUMOUR_SENDS}
        self._renewed_at = clock.now()
        self._services: dict[str, list[Candidate]] | None = None

    def __len__(self) -> int:
        return len(self._adverts)

    def adverts(self) -> list[Advert]:
        """Return all adverts in force."""
        return list(self._adverts.values())

    def state(self, **changes: str | int) -> None:
        """Change the own advert and spread it."""
        self.own = self.own._replace(sequence=self._next(self.own.sequence), **changes)  # type: ignore[arg-type]
        self._store(self.own)

    def _next(self, sequence: int) -> int:
        return max(sequence + 1, self._clock.wall_ms())

    def _store(self, advert: Advert) -> None:
        self._adverts[advert.node] = advert
        self._rumours[advert.node] = RUMOUR_SENDS
        self._services = None

    def learn(self, adverts: Iterable[Advert]) -> list[Advert]:
        """Take up the adverts that are news, and return them."""
        news = [advert for advert in adverts if self._is_news(advert)]
        for advert in news:
            if advert.node == self.own.node:
                # A predecessor on this address: outbid what it said.
                self.own = self.own._replace(sequence=advert.sequence)
                self.state()
            else:
                self._store(advert)
        return news

    def _is_news(self, advert: Advert) -> bool:
        known = self._adverts.get(advert.node)
        if known is None:
            return not self._lapsed(advert)
        if advert.node == self.own.node and advert.incarnation == self.own.incarnation:
            return False
        return advert.order > known.order

    def tick(self) -> None:
        """Renew the own advert when due and drop those that lapsed."""
        now = self._clock.now()
        if now - self._renewed_at >= RENEWAL_S:
            self._renewed_at = now
            self.state()
        for node in [n for n, advert in self._adverts.items() if self._lapsed(advert)]:
            del self._adverts[node]
            self._rumours.pop(node, None)
            self._services = None

    def _lapsed(self, advert: Advert) -> bool:
        # Sequences follow the time of day, so all nodes drop an advert alike and
        # none hands a dead one back to another.
        own = advert.node == self.own.node
        return not own and advert.sequence < self._clock.wall_ms() - LIFE_MS

    def rumours(self) -> list[Advert]:
        """Return the adverts to pass on with the next gossip."""
        names = sorted(self._rumours, key=lambda n: -self._rumours[n])[:RUMOURS_PER_GOSSIP]
        for name in names:
            self._rumours[name] -= 1
            if self._rumours[name] <= 0:
                del self._rumours[name]
        return [self._adverts[name] for name in names]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the nodes whose target serves ``service`` and is ready."""
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
        """Return the adverts of a data centre that are not gone."""
        return [
            a for a in self._adverts.values() if a.data_centre == data_centre and a.state != GONE
        ]

    def digests(self) -> dict[str, str]:
        """Return a hash of the known adverts for each data centre."""
        sums: dict[str, int] = {}
        for advert in self._adverts.values():
            # Without the sequence: a renewal says nothing new, and at this size
            # some are always on their way, so that no two digests would agree.
            text = " ".join(str(field) for field in advert._replace(sequence=0))
            old = sums.get(advert.data_centre, 0)
            sums[advert.data_centre] = old ^ xxhash.xxh64_intdigest(text.encode())
        return {name: f"{value:016x}" for name, value in sums.items()}

    def differing(self, digests: dict[str, str]) -> list[Advert]:
        """Return the adverts of the data centres whose hash differs."""
        own = self.digests()
        unlike = {name for name, value in own.items() if digests.get(name) != value}
        return [a for a in self._adverts.values() if a.data_centre in unlike]

    def partners(self, count: int) -> list[str]:
        """Draw nodes to gossip with: of the own data centre, and one elsewhere."""
        here = [a.node for a in self.in_data_centre(self.own.data_centre)]
        here = [node for node in here if node != self.own.node]
        away = [
            a.node
            for a in self._adverts.values()
            if a.data_centre != self.own.data_centre and a.state != GONE
        ]
        drawn = self._rng.sample(here, min(count, len(here)))
        return drawn + self._rng.sample(away, min(1, len(away)))
