"""Claiming, releasing and eviction of seats."""

import asyncio
import random
import uuid

from .. import records, wire
from ..clock import Clock
from ..config_replica import ConfigReplica
from ..decisions import Decision, DecisionLog
from ..errors import PeerLostError
from ..log import Log, append_confirmed
from ..membership import READY, Membership
from ..peer import Peers
from ..seats import SeatTable
from .base import PEER_TIMEOUT_S, Controller

__all__ = ["SeatController"]

T = wire.types


class SeatController(Controller):
    """Claims, releases and evicts seats by appending records to the log.

    Seats are claimed once the node has been ready for ``READY_DELAY_S``. The
    holders of the service's seats are probed; one that has not answered for
    ``EVICT_AFTER_S`` is evicted.
    """

    pause_s = 0.5
    READY_DELAY_S = 1.5
    PROBE_INTERVAL_S = 10.0
    EVICT_AFTER_S = 60.0
    REBALANCE_INTERVAL_S = 2.0

    def __init__(
        self,
        log: Log,
        replica: ConfigReplica,
        seats: SeatTable,
        membership: Membership,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        hold_s: float,
        decisions: DecisionLog,
    ) -> None:
        self._log = log
        self._replica = replica
        self._seats = seats
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._hold_ms = round(hold_s * 1000)
        self._decisions = decisions
        self._ready_since: float | None = None
        self._probed_at = clock.now()
        self._rebalanced_at = clock.now()
        self._unresponsive_since: dict[str, float] = {}
        self.stopping = False

    async def step(self) -> None:
        own = self._membership.own
        if self.stopping or own.state != READY or not own.service:
            self._ready_since = None
            return
        now = self._clock.now()
        if self._ready_since is None:
            self._ready_since = now
        if now - self._ready_since < self.READY_DELAY_S:
            return
        members = [c.node for c in self._membership.candidates(own.service)]
        for number in self._seats.seats_to_claim(own.service, len(members)):
            await self._claim(own.service, number)
        await self._rebalance(own.service, members)
        await self._probe_holders(own.service)

    async def _append(self, record: records.Record) -> None:
        await append_confirmed(self._log, record, self._replica.state.offset)

    async def _claim(self, service: str, number: int) -> None:
        own = self._membership.own
        record = records.SeatClaim(
            uuid.uuid4().hex, service, number, own.node, own.incarnation, self._hold_ms
        )
        self._log_decision("claim", "vacant or to be reclaimed", service, number)
        await self._append(record)

    async def _rebalance(self, service: str, members: list[str]) -> None:
        if self._clock.now() - self._rebalanced_at < self.REBALANCE_INTERVAL_S:
            return
        self._rebalanced_at = self._clock.now()
        number = self._seats.seat_to_release(service, members)
        if number is not None:
            await self.release(service, number, "another node holds too few seats")

    async def release(self, service: str, number: int, why: str) -> None:
        """Stop using a seat, then append its release to the log."""
        own = self._membership.own
        self._seats.stop_using(service, number)
        self._log_decision("release", why, service, number)
        record = records.SeatRelease(uuid.uuid4().hex, service, number, own.node, own.incarnation)
        await self._append(record)

    async def release_all(self) -> None:
        """Release all seats, before shutdown."""
        self.stopping = True
        held = self._seats.held_seats()
        for service, number in held:
            self._seats.stop_using(service, number)
        await asyncio.gather(
            *(self.release(service, number, "node is stopping") for service, number in held),
            return_exceptions=True,
        )

    async def _probe_holders(self, service: str) -> None:
        now = self._clock.now()
        if now - self._probed_at < self.PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2):
            return
        self._probed_at = now
        holders = {s.node for s in self._replica.state.seats.get(service, {}).values() if s.node}
        for node in holders - {self._membership.own.node}:
            if await self._responds(node):
                self._unresponsive_since.pop(node, None)
            elif now - self._unresponsive_since.setdefault(node, now) >= self.EVICT_AFTER_S:
                await self._evict(service, node)

    async def _responds(self, node: str) -> bool:
        ask = T.Envelope(news_ask=T.NewsAsk(after=self._replica.state.offset))
        try:
            await self._peers[node].ask(ask, PEER_TIMEOUT_S)
        except (PeerLostError, TimeoutError):
            return False
        return True

    async def _evict(self, service: str, node: str) -> None:
        seats = self._replica.state.seats.get(service, {}).values()
        if any(seat.node == node and seat.evict_ms for seat in seats):
            return
        self._decisions.record(
            Decision("evict", "holder does not answer", service=service, node=node)
        )
        await self._append(records.Evict(uuid.uuid4().hex, node, False))

    def _log_decision(self, what: str, why: str, service: str, number: int) -> None:
        self._decisions.record(Decision(what, why, service=service, seat=str(number)))
