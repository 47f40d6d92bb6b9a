"""The node: the process that runs on the host of each target.

It is the entry point for external callers, the egress proxy for the calls that its target
makes, and the admission gate in front of its target. This module wires the components
together and manages their life cycle: start, run, drain, close.
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
from .chain import Handler
from .clock import Clock, SystemClock
from .cluster_state import ClusterState
from .config_replica import NEVER, ConfigReplica
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
from .local_target import LocalTarget
from .log import HttpLog
from .membership import GONE, READY, Advert, Membership
from .metrics import Metrics
from .peer import Peers, PeerServer
from .pipeline import RequestPipeline
from .request import Outcome, Reply, Request
from .retry import RetryBudget
from .runs import Runs
from .seats import SeatTable
from .service_state import ServiceState
from .settings import Settings
from .shared import SharedState
from .target import Target

__all__ = ["Node", "serve"]

logger = structlog.get_logger()

HOUSEKEEPING_PERIOD_S = 0.25
REFRESH_PERIOD_S = 1.0
GC_THRESHOLDS = (10_000, 20, 50)
DRAIN_POLL_PERIOD_S = 0.05


class Node:
    """The components of a node and the tasks that run them.

    Subclasses may replace ``local_target_class`` and ``pipeline_class``.
    """

    local_target_class: type[LocalTarget] = LocalTarget
    pipeline_class: type[RequestPipeline] = RequestPipeline

    def __init__(self, cfg: Settings, clock: Clock | None = None) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        rng = random.Random(f"{cfg.node} {self.clock.wall_ms()}")
        own = self._initial_advert()
        self.replica = ConfigReplica(self.clock)
        self.keyring = Keyring(self.clock, cfg.key_silence_s)
        self.membership = Membership(self.clock, rng, own)
        self.seat_table = SeatTable(self.clock, self.replica, cfg.node, own.incarnation)
        self.service_state = ServiceState(self.clock, cfg, self.replica, self.seat_table)
        self.runs = Runs(self.clock)
        self.metrics = Metrics(cfg.statsd)
        self.decisions = DecisionLog(logger)
        self.balancer = Balancer(self.clock, rng, cfg.data_centre)
        self.local_target = self.local_target_class(
            self.clock, self.replica, self.membership, self.decisions
        )
        self._peers = Peers(tls.client_context(cfg.nodes_tls))
        self._session = aiohttp.ClientSession(trust_env=False)
        self._refreshed_at = 0.0
        self._tasks: list[asyncio.Task[Any]] = []
        self._make_controllers(rng)
        self._pipeline = self._make_pipeline(rng)
        self.replica.changes.subscribe(self._apply_configuration)

    def _initial_advert(self) -> Advert:
        cfg, wall_ms = self.cfg, self.clock.wall_ms()
        return Advert(cfg.node, uuid.uuid4().hex, wall_ms, cfg.data_centre, "", "", READY, 0)

    def _make_controllers(self, rng: random.Random) -> None:
        cfg, clock, replica = self.cfg, self.clock, self.replica
        common = (self.membership, self._peers)
        log = HttpLog(cfg.log_url, self._session)
        self.log = LogController(
            log, replica, self.keyring, self.membership, clock, rng, cfg.snapshot_s
        )
        self._news_controller = NewsController(replica, self.keyring, *common, self.log, clock, rng)
        self.gossip = GossipController(
            *common, replica, self.keyring, cfg.seeds, self._news_controller.wake_event, rng
        )
        self._seats = SeatController(
            log, replica, self.seat_table, *common, clock, rng, cfg.seat_hold_s, self.decisions
        )
        self._loans = LoanController(
            self.service_state.account, replica, *common, clock, rng, self.decisions
        )

    def _make_pipeline(self, rng: random.Random) -> RequestPipeline:
        shared = SharedState(
            self.clock,
            self.cfg.node,
            self.replica,
            self.keyring,
            self.membership,
            self.balancer,
            PathLevels(self.clock, rng),
            RetryBudget(),
            self.runs,
            self.decisions,
            self.metrics,
        )
        return self.pipeline_class(
            shared, self._peers, self.local_target, self.service_state, self._loans
        )

    # Messages from other nodes.

    async def _serve_peer(self, envelope: Any) -> Any:
        if envelope.call is not None:
            return wire.types.Envelope(reply=await self._pipeline.serve(envelope.call))
        if envelope.gossip is not None:
            answer = self.gossip.answer(envelope.gossip)
            return None if answer is None else wire.types.Envelope(gossip=answer)
        if envelope.news_ask is not None:
            return wire.types.Envelope(news=self._news_controller.answer(envelope.news_ask))
        if envelope.loan_ask is not None:
            return wire.types.Envelope(loan_grant=self._loans.grant(envelope.loan_ask))
        if envelope.loan_return is not None:
            self.service_state.accept_return(envelope.loan_return.loan, envelope.loan_return.tokens)
        return None

    # State changes.

    def _apply_configuration(self, state: ClusterState) -> None:
        self.keyring.update(state)
        self.seat_table.update(state)
        self._refresh()

    def _refresh(self) -> None:
        self._refreshed_at = self.clock.now()
        self.service_state.update_accounts()
        if self.local_target.refresh():
            self.gossip.send_now()

    def announce(self, target: Target) -> None:
        """Process an announcement of the target on this host."""
        if self.local_target.announce(target):
            self._refresh()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            await self._loans.return_idle(list(self.service_state.accounts.values()))
            await self.local_target.tick(len(self.runs))
            if self.clock.now() - self._refreshed_at >= REFRESH_PERIOD_S:
                self._refresh()
                self._report_gauges()

    def _report_gauges(self) -> None:
        self.metrics.gauge("decisions.dropped", self.decisions.dropped)
        if self.replica.confirmed_at != NEVER:
            self.metrics.gauge("news.age_ms", self.replica.age_s() * 1000)
        if self.local_target.current is not None:
            for name, value in self.local_target.current.gate.load()._asdict().items():
                self.metrics.gauge(f"gate.{name}", value)

    # Life cycle.

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises OSError when an address is in use, and CertificateError.
        """
        cfg = self.cfg
        self._server = PeerServer(self._serve_peer)
        await self._server.start(cfg.node, tls.server_context(cfg.nodes_tls))
        admin = Admin(self, cfg.admin_token)
        self._callers_tls = tls.server_context(cfg.callers_tls)
        caller_admin = admin.handle_authenticated if cfg.admin_token else None
        self._caller_listener = self._make_listener(self._pipeline.caller_handler, caller_admin)
        await self._caller_listener.start(cfg.callers, self._callers_tls)
        self._egress_listener = self._make_listener(
            self._pipeline.egress_handler, admin.handle_local
        )
        await self._egress_listener.start(cfg.egress, None)
        for background_task in self._background_tasks():
            task = asyncio.create_task(background_task())
            task.add_done_callback(self._task_done)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        logger.info("started", node=cfg.node, data_centre=cfg.data_centre)

    def _make_listener(self, handler: Handler, admin: Any) -> Listener:
        return Listener(handler, self.clock, self.cfg.max_body_bytes, admin, self._record_outcome)

    def _background_tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.log.run,
            self._news_controller.run,
            self.gossip.run,
            self._seats.run,
            self.decisions.run,
            self.metrics.run,
            self._run_housekeeping,
        ]

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        # A failed task is a bug: terminate, so that the process is restarted rather
        # than running on without one of its controllers.
        if not task.cancelled() and task.exception() is not None:
            logger.critical("background task failed", exc_info=task.exception())
            signal.raise_signal(signal.SIGTERM)

    def _record_outcome(self, req: Request, reply: Reply, seconds: float) -> None:
        self.metrics.count("outcome." + reply.outcome.name.lower())
        if reply.outcome is Outcome.ANSWERED:
            self.metrics.record_added(seconds - reply.target_us / 1e6)
        if reply.reason is not None:
            self.metrics.count("reason." + reply.reason.type)

    def reload(self) -> None:
        """Reload the certificate of the callers' listener; keep the old one on failure."""
        if self._callers_tls is None:
            return
        try:
            tls.reload(self._callers_tls, self.cfg.callers_tls)
            logger.info("certificate reloaded")
        except BeryldrumError as exc:
            logger.error("certificate not reloaded, previous one stays in use", error=str(exc))

    async def drain(self) -> None:
        """Refuse new requests, wait for those in flight, and return loans and seats.

        Waits at most ``cfg.drain_s`` seconds for requests in flight.
        """
        self.local_target.draining = True
        logger.info("draining", in_flight=self._in_flight())
        self._refresh()
        deadline = self.clock.now() + self.cfg.drain_s
        while self._in_flight() and self.clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        await self._loans.return_all(list(self.service_state.accounts.values()))
        await self._seats.release_all()
        self.membership.update_own(state=GONE)
        self.gossip.send_now()
        await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        logger.info("drained", in_flight=self._in_flight())

    def _in_flight(self) -> int:
        http_requests = self._caller_listener.in_flight + self._egress_listener.in_flight
        return len(self.runs) + len(self._pipeline.home.running) + http_requests

    async def close(self) -> None:
        """Cancel the tasks and close all connections, without waiting for requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.decisions.flush()
        await self._caller_listener.close()
        await self._egress_listener.close()
        await self._server.close()
        await self._peers.close()
        await self.local_target.close()
        await self._session.close()


async def serve(node: Node) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it; SIGHUP reloads its certificate."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    await stop_requested.wait()
    await node.drain()
    await node.close()
