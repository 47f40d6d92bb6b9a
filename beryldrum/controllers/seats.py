"""Claiming, releasing and evicting seats."""

import asyncio
import random
import uuid

from .. import records, wire
from ..clock import Clock
from ..config_replica import ConfigReplica
from ..decisions import Decision, DecisionLog
from ..errors import PeerLostError
from ..log import Log, append_confirmed
from ..peer import Peers
from ..roster import READY, Roster
from ..seats import SeatBook
from .base import PEER_TIMEOUT_S, Controller

__all__ = ["SeatController"]

T = wire.types


class SeatController(Controller):
    """Claims, releases and evicts seats through the log."""

    pause_s = 0.5
    CALM_S = 1.5
    PROBE_PERIOD_S = 10.0
    EVICT_AFTER_S = 60.0
    SURPLUS_PERIOD_S = 2.0

    def __init__(
        self,
        log: Log,
        news: ConfigReplica,
        book: SeatBook,
        roster: Roster,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        hold_s: float,
        decisions: DecisionLog,
    ) -> None:
        self._log = log
        self._news = news
        self._book = book
        self._roster = roster
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._hold_ms = round(hold_s * 1000)
        self._decisions = decisions
        self._ready_since: float | None = None
        self._probed_at = clock.now()
        self._surplus_at = clock.now()
        self._unheard: dict[str, float] = {}
        self.stopping = False

    async def step(self) -> None:
        own = self._roster.own
        if self.stopping or own.state != READY or not own.service:
            self._ready_since = None
            return
        now = self._clock.now()
        if self._ready_since is None:
            self._ready_since = now
        if now - self._ready_since < self.CALM_S:
            return
        members = [c.node for c in self._roster.candidates(own.service)]
        for number in self._book.claims(own.service, len(members)):
            await self._claim(own.service, number)
        await self._release_surplus(own.service, members)
        await self._probe_holders(own.service)

    async def _append(self, record: records.Record) -> None:
        await append_confirmed(self._log, record, self._news.fleet.offset)

    async def _claim(self, service: str, number: int) -> None:
        own = self._roster.own
        record = records.SeatClaim(
            uuid.uuid4().hex, service, number, own.node, own.incarnation, self._hold_ms
        )
        self._note("claim", "vacant or this node's own", service, number)
        await self._append(record)

    async def _release_surplus(self, service: str, members: list[str]) -> None:
        if self._clock.now() - self._surplus_at < self.SURPLUS_PERIOD_S:
            return
        self._surplus_at = self._clock.now()
        number = self._book.surplus(service, members)
        if number is not None:
            await self.release(service, number, "another node has too few")

    async def release(self, service: str, number: int, why: str) -> None:
        """Stop using a seat, then give it up in the log."""
        own = self._roster.own
        self._book.give_up(service, number)
        self._note("release", why, service, number)
        record = records.SeatRelease(uuid.uuid4().hex, service, number, own.node, own.incarnation)
        await self._append(record)

    async def release_all(self) -> None:
        """Hand every seat back, for a planned stop."""
        self.stopping = True
        held = self._book.all()
        for service, number in held:
            self._book.give_up(service, number)
        await asyncio.gather(
            *(self.release(service, number, "the node stops") for service, number in held),
            return_exceptions=True,
        )

    async def _probe_holders(self, service: str) -> None:
        now = self._clock.now()
        if now - self._probed_at < self.PROBE_PERIOD_S * self._rng.uniform(0.8, 1.2):
            return
        self._probed_at = now
        holders = {s.node for s in self._news.fleet.seats.get(service, {}).values() if s.node}
        for node in holders - {self._roster.own.node}:
            if await self._answers(node):
                self._unheard.pop(node, None)
            elif now - self._unheard.setdefault(node, now) >= self.EVICT_AFTER_S:
                await self._evict(service, node)

    async def _answers(self, node: str) -> bool:
        ask = T.Envelope(news_ask=T.NewsAsk(after=self._news.fleet.offset))
        try:
            await self._peers[node].ask(ask, PEER_TIMEOUT_S)
        except (PeerLostError, TimeoutError):
            return False
        return True

    async def _evict(self, service: str, node: str) -> None:
        seats = self._news.fleet.seats.get(service, {}).values()
        if any(seat.node == node and seat.evict_ms for seat in seats):
            return
        self._decisions.record(Decision("evict", "unheard of", service=service, node=node))
        await self._append(records.Evict(uuid.uuid4().hex, node, False))

    def _note(self, what: str, why: str, service: str, number: int) -> None:
        self._decisions.record(Decision(what, why, service=service, seat=str(number)))
