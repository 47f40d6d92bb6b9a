"""Replication of the cluster state, from the log and from peers."""

import asyncio
import contextlib
import random
import uuid
from typing import Any

import structlog

from .. import records, wire
from ..clock import Clock
from ..config_replica import ConfigReplica
from ..errors import LogDownError, LogTruncatedError, LogUnresponsiveError
from ..keyring import Keyring
from ..log import Log
from ..membership import Membership
from ..peer import Peers
from .base import PEER_TIMEOUT_S, Controller

__all__ = ["LogController", "NewsController"]

logger = structlog.get_logger()
T = wire.types

MAX_REPORTED_AGE_S = 1e6


class LogController(Controller):
    """Reads the platform's log and appends snapshots to it.

    Only ``READERS`` nodes of each data centre read the log; the others get the
    records from peers. A node whose state was not confirmed for ``STALE_AFTER_S``
    reads the log itself.
    """

    pause_s = 0.05
    READERS = 5
    STALE_AFTER_S = 5.0
    LONG_POLL_S = 2.0
    DOWN_PAUSE_S = 0.5
    IDLE_PAUSE_S = 0.25
    SNAPSHOT_RECORDS = 500
    SNAPSHOT_PROBABILITY = 0.1

    def __init__(
        self,
        log: Log,
        replica: ConfigReplica,
        keyring: Keyring,
        membership: Membership,
        clock: Clock,
        rng: random.Random,
        snapshot_s: float,
    ) -> None:
        self._log = log
        self._replica = replica
        self._keyring = keyring
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._snapshot_s = snapshot_s
        self._snapshot_offset = 0
        self._snapshot_at = clock.now()
        self.state = "unread"

    async def step(self) -> None:
        if self.is_reader() or self._replica.age_s() > self.STALE_AFTER_S:
            await self._read()
        else:
            await asyncio.sleep(self.IDLE_PAUSE_S)

    def is_reader(self) -> bool:
        """Return whether this node is one of its data centre's log readers."""
        own = self._membership.own
        names = sorted(a.node for a in self._membership.in_data_centre(own.data_centre))
        return own.node in names[: self.READERS]

    async def _read(self) -> None:
        asked_at = self._clock.now()
        try:
            batch = await self._log.read(self._replica.state.offset, self.LONG_POLL_S)
            self._replica.apply_batch(batch, asked_at)
            self._set_state("up")
        except LogTruncatedError as exc:
            await self._restart_from_snapshot(exc.first)
        except LogDownError:
            self._replica.log_down(asked_at)
            self._keyring.confirm(asked_at)
            self._set_state("down")
            await asyncio.sleep(self.DOWN_PAUSE_S)
            return
        except LogUnresponsiveError:
            self._set_state("silent")
            return
        self._keyring.confirm(self._replica.confirmed_at)
        await self._append_snapshot()

    def _set_state(self, state: str) -> None:
        if state != self.state:
            logger.info("log", state=state, offset=self._replica.state.offset)
        self.state = state

    async def _restart_from_snapshot(self, first: int) -> None:
        asked_at = self._clock.now()
        batch = await self._log.read(first - 1, 0)
        restarted = self._replica.restore_snapshot(batch, asked_at)
        self._set_state("up" if restarted else "truncated")
        if not restarted:
            await asyncio.sleep(self.DOWN_PAUSE_S)

    async def _append_snapshot(self) -> None:
        if not self._snapshot_due() or self._rng.random() > self.SNAPSHOT_PROBABILITY:
            return
        state = self._replica.state
        record = records.Snapshot(uuid.uuid4().hex, state.offset, state.image())
        await self._log.append(records.encode(record))

    def _snapshot_due(self) -> bool:
        # Also by time: log retention expires snapshots too, so a new one is needed
        # now and then even when no records are appended.
        state = self._replica.state
        if state.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = state.snapshot_offset
            self._snapshot_at = self._clock.now()
        many = state.offset - state.snapshot_offset >= self.SNAPSHOT_RECORDS
        old = self._clock.now() - self._snapshot_at >= self._snapshot_s
        return bool(state.offset) and (many or old)


class NewsController(Controller):
    """Fetches newer records from peers, and answers their requests.

    It is a task of its own, so that a log that hangs does not delay it.
    """

    pause_s = 0.0
    PERIOD_S = 3.0
    READER_PROBABILITY = 0.8

    def __init__(
        self,
        replica: ConfigReplica,
        keyring: Keyring,
        membership: Membership,
        peers: Peers,
        log: LogController,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._keyring = keyring
        self._membership = membership
        self._peers = peers
        self._log = log
        self._clock = clock
        self._rng = rng
        self.wake_event = asyncio.Event()

    async def step(self) -> None:
        self.wake_event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.PERIOD_S * self._rng.uniform(0.7, 1.0)):
                await self.wake_event.wait()
        if not self._log.is_reader() or self._log.state != "up":
            await self._query_peer()

    async def _query_peer(self) -> None:
        node = self._choose_peer()
        if node is None:
            return
        asked_at = self._clock.now()
        ask = T.Envelope(news_ask=T.NewsAsk(after=self._replica.state.offset))
        answer = (await self._peers[node].ask(ask, PEER_TIMEOUT_S)).news
        if answer.image:
            self._replica.adopt(answer.image)
        rows = zip(answer.offsets, answer.times_ms, answer.records, strict=True)
        self._replica.apply([records.LogRecord(*row) for row in rows])
        if answer.age_ms >= 0:
            self._replica.confirmed_by_peer(answer.offset, answer.age_ms / 1000, asked_at)
            self._keyring.confirm(self._replica.confirmed_at)

    def _choose_peer(self) -> str | None:
        own = self._membership.own
        local = sorted(a.node for a in self._membership.in_data_centre(own.data_centre))
        readers = [node for node in local[: LogController.READERS] if node != own.node]
        if readers and self._rng.random() < self.READER_PROBABILITY:
            return self._rng.choice(readers)
        others = self._membership.gossip_partners(1)
        return self._rng.choice(others) if others else None

    def answer(self, ask: Any) -> Any:
        """Return the records after ``ask.after``, or the whole state if not kept.

        ``age_ms`` in the answer is -1 when the state was not confirmed within
        ``MAX_REPORTED_AGE_S``.
        """
        entries = self._replica.records_after(ask.after)
        image = "" if entries is not None else self._replica.state.image()
        age_s = self._replica.age_s()
        return T.News(
            offsets=[e.offset for e in entries or ()],
            times_ms=[e.time_ms for e in entries or ()],
            records=[e.data for e in entries or ()],
            image=image,
            age_ms=int(age_s * 1000) + 1 if age_s < MAX_REPORTED_AGE_S else -1,
            offset=self._replica.state.offset,
        )
