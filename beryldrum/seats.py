"""The seats of a service: who holds a part of its rates and of its ledger.

A seat is claimed by a record of the log and held until its holder releases it,
a successor on the same address claims it, or an eviction has run for the hold
that the holder stated. A holder that has had no news for that long stops using
its seats by itself, so that two never use one.
"""

from typing import NamedTuple

from .clock import Clock
from .cluster_state import ClusterState, Seat
from .news import News
from .shares import SETTLE_S, Part, SeatShare

__all__ = ["Held", "SeatTable"]

DOWN_GRACE_S = 3.0
"""How long the log's word that it is down lets a holder go on; below SETTLE_S."""

FENCE_FRACTION = 0.95
EXTRA_CLAIM_S = 3.0


class Held(NamedTuple):
    """A seat of this node, with when its use begins, on the clock and by wall."""

    seat: Seat
    start: float
    start_ms: int


class SeatTable:
    """The seats that this node holds and those that it should claim or release."""

    def __init__(self, clock: Clock, news: News, node: str, incarnation: str) -> None:
        self._clock = clock
        self._news = news
        self._node = node
        self._incarnation = incarnation
        self._held: dict[tuple[str, int], Held] = {}
        self._giving: set[tuple[str, int]] = set()
        self._vacant_since: dict[str, float] = {}

    def update(self, fleet: ClusterState) -> None:
        """Take up the configuration in force."""
        now, wall = self._clock.now(), self._clock.wall_ms()
        held: dict[tuple[str, int], Held] = {}
        for service, number, seat in fleet.seats_held_by(self._node):
            if seat.incarnation != self._incarnation:
                continue
            old = self._held.get((service, number))
            if old is not None and old.seat.since == seat.since:
                held[service, number] = old._replace(seat=seat)
            elif seat.fresh:
                held[service, number] = Held(seat, now, 0)
            else:
                settled_ms = wall + round(SETTLE_S * 1000)
                held[service, number] = Held(seat, now + SETTLE_S, settled_ms)
        self._held = held
        self._giving &= set(held)

    def fence(self, hold_ms: int) -> float:
        """Return until when a seat with a hold may be used without more news."""
        by_news = self._news.confirmed_at + hold_ms / 1000 * FENCE_FRACTION
        return max(by_news, self._news.down_at + DOWN_GRACE_S)

    def usable(self, service: str, part: Part) -> dict[int, SeatShare]:
        """Return what the seats of a service in use give, ``part`` each."""
        return {
            number: SeatShare(part, held.start, self.fence(held.seat.hold_ms), held.seat.fresh)
            for (name, number), held in self._held.items()
            if name == service and (name, number) not in self._giving
        }

    def held_since_ms(self, service: str, number: int) -> int | None:
        """Return since when, by wall, the seat has been this node's to use."""
        held = self._held.get((service, number))
        now = self._clock.now()
        if held is None or (service, number) in self._giving:
            return None
        if now < held.start or now >= self.fence(held.seat.hold_ms):
            return None
        return held.start_ms

    def claims(self, service: str, members: int) -> list[int]:
        """Return the seats of a service to claim now, for ``members`` ready nodes."""
        fleet = self._news.fleet
        doc = fleet.documents.get(service)
        if doc is None:
            return []
        seats = fleet.seats.get(service, {})
        again = [n for n, seat in seats.items() if self._claims_again(seat)]
        vacant = [n for n in range(doc.seats) if n not in seats or not seats[n].node]
        fair = -(-doc.seats // max(1, members))
        own = sum(1 for seat in seats.values() if seat.node == self._node)
        room = len(vacant) if self._vacant_long(service, bool(vacant)) else max(0, fair - own)
        return again + vacant[:room]

    def _claims_again(self, seat: Seat) -> bool:
        if seat.node != self._node:
            return False
        return seat.incarnation != self._incarnation or bool(seat.evict_ms)

    def _vacant_long(self, service: str, vacant: bool) -> bool:
        now = self._clock.now()
        if not vacant:
            self._vacant_since.pop(service, None)
            return False
        return now - self._vacant_since.setdefault(service, now) > EXTRA_CLAIM_S

    def surplus(self, service: str, members: list[str]) -> int | None:
        """Return a seat to release because another ready node has too few."""
        seats = self._news.fleet.seats.get(service, {})
        counts = dict.fromkeys(members, 0)
        for seat in seats.values():
            if seat.node in counts:
                counts[seat.node] += 1
        own = [n for n, seat in seats.items() if seat.node == self._node]
        floor = len(seats) // max(1, len(members))
        if not counts or len(own) <= floor or len(own) < min(counts.values()) + 2:
            return None
        return own[-1]

    def give_up(self, service: str, number: int) -> None:
        """Stop using a seat, before its release is appended."""
        if (service, number) in self._held:
            self._giving.add((service, number))

    def all(self) -> list[tuple[str, int]]:
        """Return the seats held."""
        return list(self._held)
