"""A node: the one process of the system on a target's host.

It is the entry for callers outside, the way out for its target's own calls, and
the gate in front of its target. This module puts the parts together.
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

from . import request, tls, wire
from .admin import Admin
from .balance import Balancer
from .caller_side import (
    ContextFilter,
    HomeFilter,
    KeyFilter,
    PathFilter,
    RetryFilter,
    RouteFilter,
    Shared,
)
from .chain import Step, chain
from .clock import Clock, SystemClock
from .controllers import (
    GossipController,
    LoanController,
    LogController,
    NewsController,
    SeatController,
)
from .decisions import Decision, DecisionLog
from .errors import BeryldrumError, PeerLostError
from .fold import Fleet
from .gate import Gate
from .keyring import Keyring
from .ledger import Ledger, seat_of
from .level import PathLevels
from .limit import LearntLimit
from .listener import Listener
from .log import HttpLog
from .metrics import Metrics
from .mint import MintFilter
from .news import NEVER, News
from .peer import Peers, PeerServer
from .request import Outcome, Reason, Reply, Request, not_run, unknown
from .retry import ELSEWHERE, Budget
from .roster import GONE, LEAVING, READY, Advert, Roster
from .runs import Runs
from .seats import SeatBook
from .settings import Settings
from .shares import Account, Part
from .target import Target, TargetClient
from .target_side import (
    AdmitFilter,
    Beside,
    HomeStep,
    RateFilter,
    Slot,
    StateFilter,
    TargetStep,
    pump,
)
from .transit import from_call, from_reply, to_call, to_reply

__all__ = ["Node", "serve"]

logger = structlog.get_logger()

ANNOUNCE_LIFE_S = 5.0
HOUSEKEEPING_S = 0.25
REFRESH_S = 1.0
GC_THRESHOLDS = (10_000, 20, 50)
DRAIN_PAUSE_S = 0.05
SPILL = ELSEWHERE | {request.NO_TARGET.type}


class Node:
    """The parts of a node and the tasks that move them."""

    def __init__(self, cfg: Settings, clock: Clock | None = None) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        rng = random.Random(f"{cfg.node} {self.clock.wall_ms()}")
        self.incarnation = uuid.uuid4().hex
        self.news = News(self.clock)
        self.keyring = Keyring(self.clock, cfg.key_silence_s)
        self.roster = Roster(self.clock, rng, self._first_advert())
        self.book = SeatBook(self.clock, self.news, cfg.node, self.incarnation)
        self.runs = Runs(self.clock)
        self.metrics = Metrics(cfg.statsd)
        self.decisions = DecisionLog(logger)
        self.peers = Peers(tls.client_context(cfg.nodes_tls))
        self.balancer = Balancer(self.clock, rng, cfg.data_centre)
        self.beside: Beside | None = None
        self.draining = False
        self.accounts: dict[tuple[str, str], Account] = {}
        self.ledgers: dict[str, Ledger[asyncio.Task[Reply]]] = {}
        self._announced_at = 0.0
        self._refreshed_at = 0.0
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[Any]] = []
        self._session = aiohttp.ClientSession(trust_env=False)
        self._log = HttpLog(cfg.log_url, self._session)
        self._make_controllers(rng)
        self._make_chains(rng)
        self.news.changes.subscribe(self._take_up)

    def _first_advert(self) -> Advert:
        sequence = self.clock.wall_ms()
        cfg = self.cfg
        return Advert(cfg.node, self.incarnation, sequence, cfg.data_centre, "", "", READY, 0)

    def _make_controllers(self, rng: random.Random) -> None:
        common = (self.roster, self.peers)
        self.log = LogController(
            self._log,
            self.news,
            self.keyring,
            self.roster,
            self.clock,
            rng,
            self.cfg.snapshot_s,
        )
        self.asker = NewsController(self.news, self.keyring, *common, self.log, self.clock, rng)
        self.gossip = GossipController(
            *common, self.news, self.keyring, self.cfg.seeds, self.asker.woken, rng
        )
        self.seats = SeatController(
            self._log,
            self.news,
            self.book,
            *common,
            self.clock,
            rng,
            self.cfg.seat_hold_s,
            self.decisions,
        )
        self.loans = LoanController(
            self.account, self.news, *common, self.clock, rng, self.decisions
        )

    def _make_chains(self, rng: random.Random) -> None:
        shared = Shared(
            self.clock,
            self.cfg.node,
            self.news,
            self.keyring,
            self.roster,
            self.balancer,
            PathLevels(self.clock, rng),
            Budget(),
            self.runs,
            self.decisions,
            self.metrics,
        )
        target_step = TargetStep(lambda: self.beside, self.runs, self.clock)
        self._gate_chain = chain(
            [
                StateFilter(self._state),
                RateFilter(self.account, self.loans.borrow, self.clock),
                AdmitFilter(lambda: self.beside, self.clock),
            ],
            target_step,
        )
        retry = self.make_retry(shared)
        self._spill = chain([retry], _nowhere)
        self._home_step = HomeStep(self.ledger, self._home_run, self.decisions, self.metrics)
        mint = MintFilter(
            self.news,
            self.roster,
            self.balancer,
            lambda service, number: self.book.held_since_ms(service, number) is not None,
        )
        common = [
            RouteFilter(shared),
            PathFilter(shared),
            HomeFilter(shared, self._to_home),
            retry,
        ]
        self._outside = chain(
            [StateFilter(self._entry_state), KeyFilter(shared), mint, *common], _nowhere
        )
        self._inside = chain([ContextFilter(shared), *common], _nowhere)

    # The path of a request.

    def _entry_state(self, service: str) -> Reason | None:
        return request.STOPPING if self.draining else None

    def _state(self, service: str) -> Reason | None:
        if self.draining:
            return request.STOPPING
        beside = self.beside
        if beside is None or beside.client.target.service != service:
            return request.NO_TARGET
        doc = self.news.fleet.documents.get(service)
        target = beside.client.target
        if target.state != READY or (doc and target.address in doc.leaving):
            return request.LEAVING
        return None

    def _to_node(self, node: str) -> Step:
        async def send(req: Request) -> Reply:
            if node == self.cfg.node:
                return self._observed(node, req, await self._own_gate(req))
            return await self._send(node, req, home=False)

        return send

    async def _own_gate(self, req: Request) -> Reply:
        self.balancer.sent(self.cfg.node)
        try:
            reply = self._stamped(await self._gate_chain(req))
        except BaseException:
            self.balancer.failed(self.cfg.node, counts=False)
            raise
        self.balancer.replied(self.cfg.node, reply)
        return reply

    def _observed(self, node: str, req: Request, reply: Reply) -> Reply:
        if reply.reason is request.OVER_RATE:
            self.balancer.rate_used(node, req.organisation, min(reply.retry_after_ms, 500))
        return reply

    async def _send(self, node: str, req: Request, home: bool) -> Reply:
        left_s = req.deadline - self.clock.now()
        call = wire.types.Envelope(call=to_call(req, left_s, home))
        self.balancer.sent(node)
        counts = True
        try:
            answer = await self.peers[node].ask(call, max(0.001, left_s))
            reply = from_reply(answer.reply)
            self.balancer.replied(node, reply)
            return self._observed(node, req, reply)
        except PeerLostError as exc:
            reply = unknown(request.LOST) if exc.sent else not_run(request.UNREACHED)
            self.balancer.failed(node)
            return reply._replace(allowance=req.allowance)
        except TimeoutError:
            self.balancer.timed_out(node)
            return unknown(request.TIMED_OUT)
        except asyncio.CancelledError:
            counts = False
            raise
        finally:
            if not counts:
                self.balancer.failed(node, counts=False)

    def _to_home(self, node: str) -> Step:
        async def send(req: Request) -> Reply:
            if node == self.cfg.node:
                return await self._home_step(req)
            reply = await self._send(node, req, home=True)
            if reply.reason is request.UNREACHED and not reply.load_permille:
                return unknown(request.HOME_AWAY)
            return reply

        return send

    async def _home_run(self, req: Request) -> Reply:
        reply = await self._own_gate(req)
        if reply.reason is not None and reply.reason.type in SPILL and not self.draining:
            return await self._spill(req)
        return reply

    def _stamped(self, reply: Reply) -> Reply:
        if self.beside is None:
            return reply
        load = self.beside.gate.load()
        permille = 1000 * (load.in_flight + load.queued) // max(1, load.limit)
        return reply._replace(level=load.level, load_permille=max(1, permille))

    async def _serve_peer(self, envelope: Any) -> Any:
        if envelope.call is not None:
            return wire.types.Envelope(reply=await self._serve_call(envelope.call))
        if envelope.gossip is not None:
            answer = self.gossip.answer(envelope.gossip)
            return None if answer is None else wire.types.Envelope(gossip=answer)
        if envelope.news_ask is not None:
            return wire.types.Envelope(news=self.asker.answer(envelope.news_ask))
        if envelope.loan_ask is not None:
            return wire.types.Envelope(loan_grant=self.loans.grant(envelope.loan_ask))
        if envelope.loan_return is not None:
            message = envelope.loan_return
            for account in self.accounts.values():
                account.returned(message.loan, message.tokens)
        return None

    async def _serve_call(self, call: Any) -> Any:
        req = from_call(call, self.clock.now())
        if call.home:
            return to_reply(self._stamped(await self._home_step(req)))
        return to_reply(self._stamped(await self._gate_chain(req)))

    # State.

    def account(self, service: str, organisation: str) -> Account:
        """Return this node's account of an organisation at a service."""
        account = self.accounts.get((service, organisation))
        if account is None:
            account = self.accounts[service, organisation] = Account(self.clock)
            self._set_seats(service, organisation, account)
        return account

    def _set_seats(self, service: str, organisation: str, account: Account) -> None:
        doc = self.news.fleet.documents.get(service)
        quota = doc.organisations.get(organisation) if doc else None
        if doc is None or quota is None:
            account.set_seats({})
            return
        part = Part(quota.rate_per_s, quota.burst).times(1 / doc.seats)
        account.set_seats(self.book.usable(service, part))

    def ledger(self, service: str) -> Ledger[asyncio.Task[Reply]]:
        """Return this node's ledger of a service."""
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = Ledger(
                self.clock,
                round(self.cfg.idempotency_life_s * 1000),
                self.cfg.clock_error_ms,
                lambda key: self._held_since_ms(service, key),
                self.cfg.ledger_entries,
                self.cfg.ledger_bytes,
            )
        return ledger

    def _held_since_ms(self, service: str, key: str) -> int | None:
        doc = self.news.fleet.documents.get(service)
        if doc is None:
            return None
        return self.book.held_since_ms(service, seat_of(service, key, doc.seats))

    def _take_up(self, fleet: Fleet) -> None:
        self.keyring.load(fleet)
        self.book.load(fleet)
        self._refresh()

    def _refresh(self) -> None:
        self._refreshed_at = self.clock.now()
        for (service, organisation), account in self.accounts.items():
            self._set_seats(service, organisation, account)
        if self.beside is None:
            return
        service = self.beside.client.target.service
        doc = self.news.fleet.documents.get(service)
        if doc is not None:
            weights = {name: quota.weight for name, quota in doc.organisations.items()}
            self.beside.gate.queue.weights = weights
        self._advertise()

    def _advertise(self) -> None:
        own = self.roster.own
        target = self.beside.client.target if self.beside else Target("", "", 0, 0, READY)
        reason = self._state(target.service) if target.service else None
        state = GONE if self._stop.is_set() else READY
        if reason in (request.LEAVING, request.STOPPING):
            state = LEAVING
        said = (own.service, own.target, own.state, own.slots)
        says = (target.service, target.address, state, target.slots)
        if said == says:
            return
        self.decisions.note(Decision("advertise", state, service=target.service))
        self.roster.state(service=says[0], target=says[1], state=says[2], slots=says[3])
        self.gossip.spread()

    def announce(self, target: Target) -> None:
        """Take up what the target on this host says of itself."""
        self._announced_at = self.clock.now()
        old = self.beside
        if old is not None and old.client.target == target:
            return
        same = old is not None and old.client.target[:4] == target[:4]
        if old is not None and same:
            old.client.target = target
        else:
            self.beside = Beside(TargetClient(target), self.make_gate(target))
        self._refresh()

    def make_gate(self, target: Target) -> Gate[Slot]:
        """Return the gate of a target; a baseline makes another one."""
        limit = LearntLimit(self.clock, target.slots, target.connections)
        return Gate(self.clock, limit)

    def make_retry(self, shared: Shared) -> RetryFilter:
        """Return the filter that makes the attempts; a baseline makes another one."""
        return RetryFilter(shared, self._to_node)

    async def _housekeep(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            await self.loans.return_idle(list(self.accounts.values()))
            if self.clock.now() - self._refreshed_at >= REFRESH_S:
                self._refresh()
                self._gauge()
            if self.beside is not None:
                pump(self.beside.gate)
                quiet_s = self.clock.now() - self._announced_at
                if quiet_s > ANNOUNCE_LIFE_S and not self.runs:
                    logger.warning("target fell silent", target=self.beside.client.target.address)
                    await self.beside.client.close()
                    self.beside = None
                    self._advertise()

    def _gauge(self) -> None:
        self.metrics.gauge("decisions.dropped", self.decisions.dropped)
        if self.news.confirmed_at != NEVER:
            self.metrics.gauge("news.age_ms", self.news.age_s() * 1000)
        if self.beside is not None:
            for name, value in self.beside.gate.load()._asdict().items():
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
        self._callers = self._listener(self._outside, guarded)
        await self._callers.start(cfg.callers, self._callers_tls)
        self._egress = self._listener(self._inside, admin.local)
        await self._egress.start(cfg.egress, None)
        for run in self._runners():
            task = asyncio.create_task(run())
            task.add_done_callback(self._task_done)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        logger.info("started", node=cfg.node, data_centre=cfg.data_centre)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        # A task that fails is a fault of ours: better to be replaced than to go
        # on without one of the controllers.
        if not task.cancelled() and task.exception() is not None:
            logger.critical("task failed", exc_info=task.exception())
            signal.raise_signal(signal.SIGTERM)

    def _listener(self, step: Step, admin: Any) -> Listener:
        return Listener(step, self.clock, self.cfg.max_body_bytes, admin, self._done)

    def _runners(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.log.run,
            self.asker.run,
            self.gossip.run,
            self.seats.run,
            self.decisions.run,
            self.metrics.run,
            self._housekeep,
        ]

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
        self.draining = True
        logger.info("draining", in_flight=self._in_flight())
        self._advertise()
        until = self.clock.now() + self.cfg.drain_s
        while self._in_flight() and self.clock.now() < until:
            await asyncio.sleep(DRAIN_PAUSE_S)
        await self.loans.return_all(list(self.accounts.values()))
        await self.seats.release_all()
        self._stop.set()
        self.roster.state(state=GONE)
        self.gossip.spread()
        await asyncio.sleep(DRAIN_PAUSE_S)
        logger.info("drained", in_flight=self._in_flight())

    def _in_flight(self) -> int:
        listeners = self._callers.in_flight + self._egress.in_flight
        return len(self.runs) + len(self._home_step.running) + listeners

    async def close(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.decisions.flush()
        await self._callers.close()
        await self._egress.close()
        await self._server.close()
        await self.peers.close()
        if self.beside is not None:
            await self.beside.client.close()
        await self._session.close()


async def _nowhere(req: Request) -> Reply:
    return not_run(request.NO_TARGET)


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
