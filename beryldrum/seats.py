"""Seats: leases on equal parts of a service's rate limits and idempotency keys.

A seat is claimed by a log record. It is held until its holder releases it, a
later process on the same address claims it, or an eviction has lasted for the
hold duration that the holder stated in its claim. A holder that could not
confirm its state for that long stops using its seats by itself, so that no two
nodes ever use the same seat.
"""

from typing import NamedTuple

from .clock import Clock
from .cluster_state import ClusterState, Seat
from .config_replica import ConfigReplica
from .shares import TAKEOVER_DELAY_S, RateLimit, SeatShare

__all__ = ["HeldSeat", "SeatTable"]

LOG_DOWN_GRACE_S = 3.0
"""How long an answer of the log that it is down extends a lease.

Must be shorter than ``TAKEOVER_DELAY_S``.
"""

LEASE_FRACTION = 0.95
VACANCY_TIMEOUT_S = 3.0


class HeldSeat(NamedTuple):
    """A seat of this node and the time from which it may be used.

    ``start`` is in clock seconds, ``start_ms`` in wall clock milliseconds.
    """

    seat: Seat
    start: float
    start_ms: int


class SeatTable:
    """The seats that this node holds, should claim or should release."""

    def __init__(self, clock: Clock, replica: ConfigReplica, node: str, incarnation: str) -> None:
        self._clock = clock
        self._replica = replica
        self._node = node
        self._incarnation = incarnation
        self._held: dict[tuple[str, int], HeldSeat] = {}
        self._releasing: set[tuple[str, int]] = set()
        self._vacant_since: dict[str, float] = {}

    def update(self, state: ClusterState) -> None:
        """Update the held seats from a new cluster state."""
        now, wall = self._clock.now(), self._clock.wall_ms()
        held: dict[tuple[str, int], HeldSeat] = {}
        for service, number, seat in state.seats_held_by(self._node):
            if seat.incarnation != self._incarnation:
                continue
            old = self._held.get((service, number))
            if old is not None and old.seat.since == seat.since:
                held[service, number] = old._replace(seat=seat)
            elif seat.fresh:
                held[service, number] = HeldSeat(seat, now, 0)
            else:
                settled_ms = wall + round(TAKEOVER_DELAY_S * 1000)
                held[service, number] = HeldSeat(seat, now + TAKEOVER_DELAY_S, settled_ms)
        self._held = held
        self._releasing &= set(held)

    def lease_expiry(self, hold_ms: int) -> float:
        """Return the time until which a seat with ``hold_ms`` may be used.

        Each confirmation that the state is current extends it, and so does an
        answer of the log that it is down, as no other node can then claim seats.
        """
        lease_end = self._replica.confirmed_at + hold_ms / 1000 * LEASE_FRACTION
        return max(lease_end, self._replica.down_at + LOG_DOWN_GRACE_S)

    def seat_shares(self, service: str, limit: RateLimit) -> dict[int, SeatShare]:
        """Return the shares of the seats of a service that are in use.

        Each seat has a share of ``limit``.
        """
        return {
            number: SeatShare(
                limit, held.start, self.lease_expiry(held.seat.hold_ms), held.seat.fresh
            )
            for (name, number), held in self._held.items()
            if name == service and (name, number) not in self._releasing
        }

    def held_since_ms(self, service: str, number: int) -> int | None:
        """Return the wall clock time since when this node may use the seat.

        Returns 0 for a seat that nobody held before, and None when this node may
        not use the seat now.
        """
        held = self._held.get((service, number))
        now = self._clock.now()
        if held is None or (service, number) in self._releasing:
            return None
        if now < held.start or now >= self.lease_expiry(held.seat.hold_ms):
            return None
        return held.start_ms

    def count_settling(self, takeover_ms: int) -> int:
        """Return the number of held seats for which no new idempotency key can run yet.

        ``takeover_ms`` is the time after the start of use in which a key may be known to
        the seat's last holder.
        """
        since = [self.held_since_ms(service, number) for service, number in self._held]
        wall = self._clock.wall_ms()
        return sum(ms is None or wall <= ms + takeover_ms for ms in since)

    def seats_to_claim(self, service: str, members: int) -> list[int]:
        """Return the seats of a service that this node should claim now.

        These are its seats from an earlier process or under eviction, and vacant
        seats up to its fair share among ``members`` ready nodes. Vacant seats that
        nobody claims for ``VACANCY_TIMEOUT_S`` are all claimed.
        """
        state = self._replica.state
        doc = state.documents.get(service)
        if doc is None:
            return []
        seats = state.seats.get(service, {})
        reclaimed = [n for n, seat in seats.items() if self._must_reclaim(seat)]
        vacant = [n for n in range(doc.seats) if n not in seats or not seats[n].node]
        fair_share = -(-doc.seats // max(1, members))
        own = sum(1 for seat in seats.values() if seat.node == self._node)
        count = (
            len(vacant)
            if self._vacant_too_long(service, bool(vacant))
            else max(0, fair_share - own)
        )
        return reclaimed + vacant[:count]

    def _must_reclaim(self, seat: Seat) -> bool:
        if seat.node != self._node:
            return False
        return seat.incarnation != self._incarnation or bool(seat.evict_ms)

    def _vacant_too_long(self, service: str, vacant: bool) -> bool:
        now = self._clock.now()
        if not vacant:
            self._vacant_since.pop(service, None)
            return False
        return now - self._vacant_since.setdefault(service, now) > VACANCY_TIMEOUT_S

    def seat_to_release(self, service: str, members: list[str]) -> int | None:
        """Return a seat to release for balance, or None.

        A seat is released when this node has more than its even share among
        ``members`` and at least two seats more than one of them.
        """
        seats = self._replica.state.seats.get(service, {})
        counts = dict.fromkeys(members, 0)
        for seat in seats.values():
            if seat.node in counts:
                counts[seat.node] += 1
        own = [n for n, seat in seats.items() if seat.node == self._node]
        floor = len(seats) // max(1, len(members))
        if not counts or len(own) <= floor or len(own) < min(counts.values()) + 2:
            return None
        return own[-1]

    def stop_using(self, service: str, number: int) -> None:
        """Stop using a seat, before its release is appended to the log."""
        if (service, number) in self._held:
            self._releasing.add((service, number))

    def held_seats(self) -> list[tuple[str, int]]:
        """Return the held seats as (service, number) pairs."""
        return list(self._held)
