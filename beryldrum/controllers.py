"""The controllers of a node's state: each a task that owns one matter.

They talk to other nodes by messages and to the rest of the node through the
plain classes that hold the decisions.
"""

import asyncio
import contextlib
import random
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import structlog

from . import records, wire
from .clock import Clock
from .decisions import Decision, DecisionLog
from .errors import (
    LogDownError,
    LogError,
    LogSilentError,
    LogTruncatedError,
    PeerLostError,
    RecordError,
)
from .fold import Fleet
from .keyring import Keyring
from .log import Log, append_settled
from .news import News
from .peer import Peers
from .roster import READY, Advert, Roster
from .seats import SeatBook
from .shares import Account, Part
from .transit import from_advert, to_advert

__all__ = [
    "Controller",
    "GossipController",
    "LoanController",
    "LogController",
    "NewsController",
    "SeatController",
]

logger = structlog.get_logger()
T = wire.types

PEER_TIMEOUT_S = 1.0
LONGEST_AGE_S = 1e6


class Controller(ABC):
    """A task with one matter. ``step`` is run again and again."""

    pause_s = 1.0

    @abstractmethod
    async def step(self) -> None:
        """Do the work of one period."""

    async def run(self) -> None:
        """Run steps until cancelled; one that fails is logged, not the end."""
        while True:
            try:
                await self.step()
            except (LogError, PeerLostError, TimeoutError, RecordError) as exc:
                logger.debug("step failed", controller=type(self).__name__, error=repr(exc))
            await asyncio.sleep(self.pause_s)


class LogController(Controller):
    """Follows the platform's log and appends snapshots.

    A few nodes of each data centre read it, the others hear from peers. A node
    whose news is older than a bound reads for itself.
    """

    pause_s = 0.05
    READERS = 5
    STALE_S = 5.0
    LONG_POLL_S = 2.0
    DOWN_PAUSE_S = 0.5
    IDLE_PAUSE_S = 0.25
    SNAPSHOT_EVERY = 500
    SNAPSHOT_CHANCE = 0.1

    def __init__(
        self,
        log: Log,
        news: News,
        keyring: Keyring,
        roster: Roster,
        clock: Clock,
        rng: random.Random,
        snapshot_s: float,
    ) -> None:
        self._log = log
        self._news = news
        self._keyring = keyring
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._snapshot_s = snapshot_s
        self._snapshot_offset = 0
        self._snapshot_at = clock.now()
        self.state = "unread"

    async def step(self) -> None:
        if self.reads() or self._news.age_s() > self.STALE_S:
            await self._read()
        else:
            await asyncio.sleep(self.IDLE_PAUSE_S)

    def reads(self) -> bool:
        """Tell whether this node is one of its data centre's readers."""
        own = self._roster.own
        names = sorted(a.node for a in self._roster.in_data_centre(own.data_centre))
        return own.node in names[: self.READERS]

    async def _read(self) -> None:
        asked_at = self._clock.now()
        try:
            batch = await self._log.read(self._news.fleet.offset, self.LONG_POLL_S)
            self._news.read(batch, asked_at)
            self._set_state("up")
        except LogTruncatedError as exc:
            await self._restart(exc.first)
        except LogDownError:
            self._news.log_down(asked_at)
            self._keyring.heard(asked_at)
            self._set_state("down")
            await asyncio.sleep(self.DOWN_PAUSE_S)
            return
        except LogSilentError:
            self._set_state("silent")
            return
        self._keyring.heard(self._news.confirmed_at)
        await self._snapshot()

    def _set_state(self, state: str) -> None:
        if state != self.state:
            logger.info("log", state=state, offset=self._news.fleet.offset)
        self.state = state

    async def _restart(self, first: int) -> None:
        asked_at = self._clock.now()
        batch = await self._log.read(first - 1, 0)
        restarted = self._news.restart(batch, asked_at)
        self._set_state("up" if restarted else "truncated")
        if not restarted:
            await asyncio.sleep(self.DOWN_PAUSE_S)

    async def _snapshot(self) -> None:
        if not self._snapshot_due() or self._rng.random() > self.SNAPSHOT_CHANCE:
            return
        fleet = self._news.fleet
        record = records.Snapshot(uuid.uuid4().hex, fleet.offset, fleet.image())
        await self._log.append(records.encode(record))

    def _snapshot_due(self) -> bool:
        # By time as well: the log forgets by time, snapshots too, so a quiet
        # fleet needs one anew although nothing has changed.
        fleet = self._news.fleet
        if fleet.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = fleet.snapshot_offset
            self._snapshot_at = self._clock.now()
        many = fleet.offset - fleet.snapshot_offset >= self.SNAPSHOT_EVERY
        old = self._clock.now() - self._snapshot_at >= self._snapshot_s
        return bool(fleet.offset) and (many or old)


class NewsController(Controller):
    """Asks peers for the configuration, and answers those who ask.

    It has its own task, so that a log that hangs delays no news of peers.
    """

    pause_s = 0.0
    PERIOD_S = 3.0
    NEAR = 0.8

    def __init__(
        self,
        news: News,
        keyring: Keyring,
        roster: Roster,
        peers: Peers,
        log: LogController,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._news = news
        self._keyring = keyring
        self._roster = roster
        self._peers = peers
        self._log = log
        self._clock = clock
        self._rng = rng
        self.woken = asyncio.Event()

    async def step(self) -> None:
        self.woken.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.PERIOD_S * self._rng.uniform(0.7, 1.0)):
                await self.woken.wait()
        if not self._log.reads() or self._log.state != "up":
            await self._ask()

    async def _ask(self) -> None:
        node = self._partner()
        if node is None:
            return
        asked_at = self._clock.now()
        ask = T.Envelope(news_ask=T.NewsAsk(after=self._news.fleet.offset))
        answer = (await self._peers[node].ask(ask, PEER_TIMEOUT_S)).news
        if answer.image:
            self._news.adopt(answer.image)
        rows = zip(answer.offsets, answer.times_ms, answer.records, strict=True)
        self._news.apply([records.LogRecord(*row) for row in rows])
        if answer.age_ms >= 0:
            self._news.confirmed_by_peer(answer.offset, answer.age_ms / 1000, asked_at)
            self._keyring.heard(self._news.confirmed_at)

    def _partner(self) -> str | None:
        own = self._roster.own
        near = sorted(a.node for a in self._roster.in_data_centre(own.data_centre))
        readers = [node for node in near[: LogController.READERS] if node != own.node]
        if readers and self._rng.random() < self.NEAR:
            return self._rng.choice(readers)
        anyone = self._roster.partners(1)
        return self._rng.choice(anyone) if anyone else None

    def answer(self, ask: Any) -> Any:
        """Return the news for a peer that knows everything up to ``ask.after``."""
        entries = self._news.since(ask.after)
        image = "" if entries is not None else self._news.fleet.image()
        age_s = self._news.age_s()
        return T.News(
            offsets=[e.offset for e in entries or ()],
            times_ms=[e.time_ms for e in entries or ()],
            records=[e.data for e in entries or ()],
            image=image,
            age_ms=int(age_s * 1000) + 1 if age_s < LONGEST_AGE_S else -1,
            offset=self._news.fleet.offset,
        )


class GossipController(Controller):
    """Spreads adverts, direct withdrawals of keys and the news that there is news."""

    pause_s = 1.0
    FANOUT = 2
    ANTI_ENTROPY_EVERY = 10

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        news: News,
        keyring: Keyring,
        seeds: tuple[str, ...],
        wake: asyncio.Event,
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._news = news
        self._keyring = keyring
        self._seeds = [seed for seed in seeds if seed != roster.own.node]
        self._wake = wake
        self._rng = rng
        self._round = 0
        self._tasks: set[asyncio.Task[None]] = set()
        news.changes.subscribe(self._on_change)

    def _on_change(self, fleet: Fleet) -> None:
        if fleet.offset:
            self.spread()

    def spread(self) -> None:
        """Tell a few peers at once."""
        task = asyncio.ensure_future(self._round_to(self._roster.partners(self.FANOUT + 1), False))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def step(self) -> None:
        self._roster.tick()
        self._round += 1
        partners = self._roster.partners(self.FANOUT)
        lonely = len(self._roster) < 3
        if self._seeds and (lonely or self._round % self.ANTI_ENTROPY_EVERY == 1):
            partners.append(self._rng.choice(self._seeds))
        full = lonely or self._round % self.ANTI_ENTROPY_EVERY == 1
        await self._round_to(partners, full)

    async def _round_to(self, partners: list[str], full: bool) -> None:
        rumours = self._roster.rumours()
        sends = [self._send(node, rumours, full) for node in dict.fromkeys(partners)]
        await asyncio.gather(*sends)

    async def _send(self, node: str, adverts: list[Advert], full: bool) -> None:
        try:
            message = T.Envelope(gossip=self._message(adverts, full))
            if not full:
                await self._peers[node].tell(message)
                return
            answer = (await self._peers[node].ask(message, PEER_TIMEOUT_S)).gossip
            self.hear(answer)
            wanted = self._roster.differing(answer.digests)
            if wanted:
                await self._peers[node].tell(T.Envelope(gossip=self._message(wanted, False)))
        except (PeerLostError, TimeoutError):
            return

    def _message(self, adverts: list[Advert], answer: bool) -> Any:
        return T.Gossip(
            node=self._roster.own.node,
            offset=self._news.fleet.offset,
            adverts=[to_advert(advert) for advert in adverts],
            withdrawn=sorted(self._keyring.withdrawn),
            digests=self._roster.digests() if answer else {},
            answer=answer,
        )

    def hear(self, gossip: Any) -> None:
        """Take up what a peer says."""
        self._roster.learn(from_advert(advert) for advert in gossip.adverts)
        stopped = [key_id for key_id in gossip.withdrawn if self._keyring.withdraw(key_id)]
        if stopped:
            self.spread()
        if gossip.offset > self._news.fleet.offset:
            self._wake.set()

    def answer(self, gossip: Any) -> Any:
        """Take up a gossip and return the one to send back, or None."""
        self.hear(gossip)
        if not gossip.answer:
            return None
        return self._message(self._roster.differing(gossip.digests), True)


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
        news: News,
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
        await append_settled(self._log, record, self._news.fleet.offset)

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
        self._decisions.note(Decision("evict", "unheard of", service=service, node=node))
        await self._append(records.Evict(uuid.uuid4().hex, node, False))

    def _note(self, what: str, why: str, service: str, number: int) -> None:
        place = f"seat {number}"
        self._decisions.note(Decision(what, why, request_id=place, service=service))


class LoanController:
    """Borrows rate and burst from other holders of the service's seats."""

    TRIES = 6
    REMEMBERED = 10_000

    def __init__(
        self,
        account: Callable[[str, str], Account],
        news: News,
        roster: Roster,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        decisions: DecisionLog,
    ) -> None:
        self._account = account
        self._news = news
        self._roster = roster
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._asking: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._lenders: dict[str, str] = {}
        self._poor_until: dict[tuple[str, str, str], float] = {}

    def borrow(self, service: str, organisation: str) -> "asyncio.Future[None]":
        """Start to ask for a loan, unless that runs already; done when settled."""
        name = (service, organisation)
        task = self._asking.get(name)
        if task is None:
            task = self._asking[name] = asyncio.create_task(self._ask_all(*name))
            task.add_done_callback(lambda _: self._asking.pop(name, None))
        return task

    async def _ask_all(self, service: str, organisation: str) -> None:
        account = self._account(service, organisation)
        for node in self._holders(service, organisation)[: self.TRIES]:
            lacks = account.lacks()
            if lacks.rate_per_s <= 0 and lacks.burst <= 0:
                return
            await self._ask(service, organisation, node, lacks)

    def _holders(self, service: str, organisation: str) -> list[str]:
        now = self._clock.now()
        own = self._roster.own
        holders = {s.node for s in self._news.fleet.seats.get(service, {}).values() if s.node}
        able = [
            node
            for node in holders - {own.node}
            if self._poor_until.get((node, service, organisation), 0.0) <= now
        ]
        self._rng.shuffle(able)
        return sorted(able, key=lambda node: not self._near(node))

    def _near(self, node: str) -> bool:
        advert = self._roster.get(node)
        return advert is not None and advert.data_centre == self._roster.own.data_centre

    async def _ask(self, service: str, organisation: str, node: str, lacks: Part) -> None:
        loan = uuid.uuid4().hex
        asked_at = self._clock.now()
        ask = T.LoanAsk(service, organisation, loan, lacks.rate_per_s, lacks.burst)
        try:
            answer = await self._peers[node].ask(T.Envelope(loan_ask=ask), PEER_TIMEOUT_S)
        except (PeerLostError, TimeoutError):
            self._poor_until[node, service, organisation] = asked_at + 1.0
            return
        grant = answer.loan_grant
        if grant.rate_per_s <= 0 and grant.burst <= 0:
            self._poor_until[node, service, organisation] = asked_at + 0.25
            return
        self._remember(loan, node)
        account = self._account(service, organisation)
        account.borrow(loan, Part(grant.rate_per_s, grant.burst), grant.tokens, asked_at)
        self._decisions.note(
            Decision("borrow", "own part used up", "", service, organisation, node)
        )

    def _remember(self, loan: str, node: str) -> None:
        self._lenders[loan] = node
        if len(self._lenders) > self.REMEMBERED:
            del self._lenders[next(iter(self._lenders))]

    def grant(self, ask: Any) -> Any:
        """Return the loan that this node gives on an ask."""
        account = self._account(ask.service_name, ask.organisation)
        part, tokens = account.lend(ask.loan, Part(ask.rate_per_s, ask.burst))
        return T.LoanGrant(ask.loan, part.rate_per_s, part.burst, tokens)

    async def return_all(self, accounts: list[Account]) -> None:
        """Give every loan back, for a planned stop."""
        for account in accounts:
            await self._tell_lenders(account.give_back())

    async def return_idle(self, accounts: list[Account]) -> None:
        """Give back the loans that are no longer needed, for others to borrow."""
        for account in accounts:
            if account.borrows:
                await self._tell_lenders(account.give_back_idle())

    async def _tell_lenders(self, given: list[tuple[str, float]]) -> None:
        for loan, tokens in given:
            node = self._lenders.get(loan)
            if node is None:
                continue
            message = T.Envelope(loan_return=T.LoanReturn(loan, tokens))
            with contextlib.suppress(PeerLostError):
                await self._peers[node].tell(message)
