"""Following the configuration: from the log, and from peers."""

import asyncio
import contextlib
import random
import uuid
from typing import Any

import structlog

from .. import records, wire
from ..clock import Clock
from ..errors import LogDownError, LogSilentError, LogTruncatedError
from ..keyring import Keyring
from ..log import Log
from ..membership import Membership
from ..news import News
from ..peer import Peers
from .base import PEER_TIMEOUT_S, Controller

__all__ = ["LogController", "NewsController"]

logger = structlog.get_logger()
T = wire.types

LONGEST_AGE_S = 1e6


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
        membership: Membership,
        clock: Clock,
        rng: random.Random,
        snapshot_s: float,
    ) -> None:
        self._log = log
        self._news = news
        self._keyring = keyring
        self._membership = membership
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
        own = self._membership.own
        names = sorted(a.node for a in self._membership.in_data_centre(own.data_centre))
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
            self._keyring.confirm(asked_at)
            self._set_state("down")
            await asyncio.sleep(self.DOWN_PAUSE_S)
            return
        except LogSilentError:
            self._set_state("silent")
            return
        self._keyring.confirm(self._news.confirmed_at)
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
        membership: Membership,
        peers: Peers,
        log: LogController,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._news = news
        self._keyring = keyring
        self._membership = membership
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
            self._keyring.confirm(self._news.confirmed_at)

    def _partner(self) -> str | None:
        own = self._membership.own
        near = sorted(a.node for a in self._membership.in_data_centre(own.data_centre))
        readers = [node for node in near[: LogController.READERS] if node != own.node]
        if readers and self._rng.random() < self.NEAR:
            return self._rng.choice(readers)
        anyone = self._membership.gossip_partners(1)
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
