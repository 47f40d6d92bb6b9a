"""A node: the one process of the system on a target's host.

It is the entry for callers outside, the way out for its target's own calls, and
the gate in front of its target. This module puts the parts together and gives
them a life: start, run, drain, close.
"""

import asyncio
import gc
import random
import signal
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import structlog

from . import tls, wire
from .admin import Admin
from .balance import Balancer
from .chain import Step
from .clock import Clock, SystemClock
from .cluster_state import ClusterState
from .controllers import (
    GossipController,
    LoanController,
    LogController,
    NewsController,
    SeatController,
)
from .decisions import DecisionLog
from .errors import BeryldrumError
from .keyring import Keyring
from .level import PathLevels
from .listener import Listener
from .log import HttpLog
from .membership import GONE, READY, Advert, Membership
from .metrics import Metrics
from .news import NEVER, News
from .path import RequestPath
from .peer import Peers, PeerServer
from .presence import Presence
from .request import Outcome, Reply, Request
from .retry import RetryBudget
from .runs import Runs
from .seats import SeatTable
from .service_state import ServiceState
from .settings import Settings
from .shared import Shared
from .target import Target

__all__ = ["Node", "serve"]

logger = structlog.get_logger()

HOUSEKEEPING_S = 0.25
REFRESH_S = 1.0
GC_THRESHOLDS = (10_000, 20, 50)
DRAIN_PAUSE_S = 0.05


class Node:
    """The parts of a node and the tasks that move them."""

    presence_class: type[Presence] = Presence
    path_class: type[RequestPath] = RequestPath

    def __init__(self, cfg: Settings, clock: Clock | None = None) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        rng = random.Random(f"{cfg.node} {self.clock.wall_ms()}")
        own = self._first_advert()
        self.news = News(self.clock)
        self.keyring = Keyring(self.clock, cfg.key_silence_s)
        self.roster = Membership(self.clock, rng, own)
        self.book = SeatTable(self.clock, self.news, cfg.node, own.incarnation)
        self.holdings = ServiceState(self.clock, cfg, self.news, self.book)
        self.runs = Runs(self.clock)
        self.metrics = Metrics(cfg.statsd)
        self.decisions = DecisionLog(logger)
        self.balancer = Balancer(self.clock, rng, cfg.data_centre)
        self.presence = self.presence_class(self.clock, self.news, self.roster, self.decisions)
        self._peers = Peers(tls.client_context(cfg.nodes_tls))
        self._session = aiohttp.ClientSession(trust_env=False)
        self._refreshed_at = 0.0
        self._tasks: list[asyncio.Task[Any]] = []
        self._make_controllers(rng)
        self._path = self._make_path(rng)
        self.news.changes.subscribe(self._take_up)

    def _first_advert(self) -> Advert:
        cfg, wall_ms = self.cfg, self.clock.wall_ms()
        return Advert(cfg.node, uuid.uuid4().hex, wall_ms, cfg.data_centre, "", "", READY, 0)

    def _make_controllers(self, rng: random.Random) -> None:
        cfg, clock, news = self.cfg, self.clock, self.news
        common = (self.roster, self._peers)
        log = HttpLog(cfg.log_url, self._session)
        self.log = LogController(log, news, self.keyring, self.roster, clock, rng, cfg.snapshot_s)
        self._asker = NewsController(news, self.keyring, *common, self.log, clock, rng)
        self.gossip = GossipController(
            *common, news, self.keyring, cfg.seeds, self._asker.wake_event, rng
        )
        self._seats = SeatController(
            log, news, self.book, *common, clock, rng, cfg.seat_hold_s, self.decisions
        )
        self._loans = LoanController(
            self.holdings.account, news, *common, clock, rng, self.decisions
        )

    def _make_path(self, rng: random.Random) -> RequestPath:
        shared = Shared(
            self.clock,
            self.cfg.node,
            self.news,
            self.keyring,
            self.roster,
            self.balancer,
            PathLevels(self.clock, rng),
            RetryBudget(),
            self.runs,
            self.decisions,
            self.metrics,
        )
        return self.path_class(shared, self._peers, self.presence, self.holdings, self._loans)

    # Messages of other nodes.

    async def _serve_peer(self, envelope: Any) -> Any:
        if envelope.call is not None:
            return wire.types.Envelope(reply=await self._path.serve(envelope.call))
        if envelope.gossip is not None:
            answer = self.gossip.answer(envelope.gossip)
            return None if answer is None else wire.types.Envelope(gossip=answer)
        if envelope.news_ask is not None:
            return wire.types.Envelope(news=self._asker.answer(envelope.news_ask))
        if envelope.loan_ask is not None:
            return wire.types.Envelope(loan_grant=self._loans.grant(envelope.loan_ask))
        if envelope.loan_return is not None:
            self.holdings.accept_return(envelope.loan_return.loan, envelope.loan_return.tokens)
        return None

    # State.

    def _take_up(self, fleet: ClusterState) -> None:
        self.keyring.update(fleet)
        self.book.update(fleet)
        self._refresh()

    def _refresh(self) -> None:
        self._refreshed_at = self.clock.now()
        self.holdings.update_accounts()
        if self.presence.refresh():
            self.gossip.send_now()

    def announce(self, target: Target) -> None:
        """Take up what the target on this host says of itself."""
        if self.presence.announce(target):
            self._refresh()

    async def _housekeep(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            await self._loans.return_idle(list(self.holdings.accounts.values()))
            await self.presence.tick(len(self.runs))
            if self.clock.now() - self._refreshed_at >= REFRESH_S:
                self._refresh()
                self._gauge()

    def _gauge(self) -> None:
        self.metrics.gauge("decisions.dropped", self.decisions.dropped)
        if self.news.confirmed_at != NEVER:
            self.metrics.gauge("news.age_ms", self.news.age_s() * 1000)
        if self.presence.beside is not None:
            for name, value in self.presence.beside.gate.load()._asdict().items():
                self.metrics.gauge(f"gate.{name}", value)

    # Life.

    async def start(self) -> None:
        """Open the listeners and start the tasks; raises OSError, CertificateError."""
        cfg = self.cfg
        self._server = PeerServer(self._serve_peer)
        await self._server.start(cfg.node, tls.server_context(cfg.nodes_tls))
        admin = Admin(self, cfg.admin_token)
        self._callers_tls = tls.server_context(cfg.callers_tls)
        guarded = admin.guarded if cfg.admin_token else None
        self._callers = self._listener(self._path.outside, guarded)
        await self._callers.start(cfg.callers, self._callers_tls)
        self._egress = self._listener(self._path.inside, admin.local)
        await self._egress.start(cfg.egress, None)
        for run in self._runners():
            task = asyncio.create_task(run())
            task.add_done_callback(self._task_done)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        logger.info("started", node=cfg.node, data_centre=cfg.data_centre)

    def _listener(self, step: Step, admin: Any) -> Listener:
        return Listener(step, self.clock, self.cfg.max_body_bytes, admin, self._done)

    def _runners(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.log.run,
            self._asker.run,
            self.gossip.run,
            self._seats.run,
            self.decisions.run,
            self.metrics.run,
            self._housekeep,
        ]

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        # A task that fails is a fault of ours: better to be replaced than to go
        # on without one of the controllers.
        if not task.cancelled() and task.exception() is not None:
            logger.critical("task failed", exc_info=task.exception())
            signal.raise_signal(signal.SIGTERM)

    def _done(self, req: Request, reply: Reply, seconds: float) -> None:
        self.metrics.count("outcome." + reply.outcome.name.lower())
        if reply.outcome is Outcome.ANSWERED:
            self.metrics.added(seconds - reply.target_us / 1e6)
        if reply.reason is not None:
            self.metrics.count("reason." + reply.reason.type)

    def reload(self) -> None:
        """Load the certificate of the callers' listener anew."""
        if self._callers_tls is None:
            return
        try:
            tls.reload(self._callers_tls, self.cfg.callers_tls)
            logger.info("certificate reloaded")
        except BeryldrumError as exc:
            logger.error("certificate kept", error=str(exc))

    async def drain(self) -> None:
        """Stop without cutting a request: refuse new ones, finish, hand back."""
        self.presence.draining = True
        logger.info("draining", in_flight=self._in_flight())
        self._refresh()
        until = self.clock.now() + self.cfg.drain_s
        while self._in_flight() and self.clock.now() < until:
            await asyncio.sleep(DRAIN_PAUSE_S)
        await self._loans.return_all(list(self.holdings.accounts.values()))
        await self._seats.release_all()
        self.roster.update_own(state=GONE)
        self.gossip.send_now()
        await asyncio.sleep(DRAIN_PAUSE_S)
        logger.info("drained", in_flight=self._in_flight())

    def _in_flight(self) -> int:
        listeners = self._callers.in_flight + self._egress.in_flight
        return len(self.runs) + len(self._path.home.running) + listeners

    async def close(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.decisions.flush()
        await self._callers.close()
        await self._egress.close()
        await self._server.close()
        await self._peers.close()
        await self.presence.close()
        await self._session.close()


async def serve(node: Node) -> None:
    """Run a node until it is told to stop, then drain it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    await stop.wait()
    await node.drain()
    await node.close()
