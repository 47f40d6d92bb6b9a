"""A mesh node: the parts put together, and their life from start to stop."""

import asyncio
import contextlib
import gc
import itertools
import random
import signal
from collections.abc import Callable
from typing import Any

import msgspec

from .. import request
from ..clock import Clock, SystemClock
from ..errors import LogError, PeerLostError, SettingsError
from .admission import AdmissionController
from .budget import RetryBudget
from .conventions import Conventions, Leaving, Statement
from .deadlines import Deadlines
from .directory import Directory, Peer
from .document import FleetDocument, Route
from .entry import Attempts, Entry, KeyCheck, LevelCheck
from .explain import Explainer
from .follow import STORE_PAUSE_S, Follower
from .frames import (
    Cancel,
    Document,
    DocumentAsk,
    GiveBack,
    GrantAsk,
    Heartbeat,
    HeartbeatAck,
    Member,
    Message,
    NodeLoad,
    Reply,
    Run,
    State,
    Summary,
    SummaryAsk,
    encode,
)
from .gate import CALL_PRIORITY, call_priority
from .graph import CallGraph
from .homes import RateHomes
from .http import BodyMemory, HttpListener, HttpService, Incoming, Outgoing, report
from .links import Link, LinkHandler, LinkProtocol, listen
from .metrics import MeshMetrics
from .news import FleetNews
from .placement import LoadBalancer
from .quota import Quotas, Tolerance
from .settings import MeshSettings
from .store import Store
from .summaries import SUMMARY_PERIOD_S, Summaries
from .target import Announcement
from .target_side import TargetSide
from .work import unknown

__all__ = ["MeshNode", "news_s", "serve"]

TICK_S = 0.25
"""Period of the housekeeping: shares, limits, sweeps."""

HEARTBEAT_S = 0.5
"""Period at which each node asks those that it hears for their state."""

PEERS_A_ROUND = 100
"""Nodes that get a heartbeat in one round, at most: a state of some 300 B each."""

STATE_LIFE_S = 0.1
STATE_LIFE_MS = int(STATE_LIFE_S * 1000)
"""Time for which the frame of this node's state is sent again before it is made anew."""

SILENT_S = 1.0
"""A connection on which a heartbeat is not answered for this long is given up."""

RECONNECT_FIRST_S = 0.1
RECONNECT_MOST_S = 1.0
"""Pauses between attempts to connect to a node; a restarted one is back in a second."""

LINK_IDLE_S = 10.0
"""Time after which a connection to another data centre that nobody uses is closed."""

REACH_S = 0.3
"""Time within which such a connection is opened, for a request that waits for it."""

MEMBERS_S = 30.0
"""Period at which the members are read from the store, for two that missed each other."""

MEMBERS_SELDOM_S = 180.0
"""That period in a large fleet, but for the first nodes of each data centre."""

KEY_MARGIN_S = 0.4
"""Taken off the time in which a withdrawn key must stop working, for clocks that run
at different speeds and for the way of a request to its target."""

RETRY_SHARE = 0.85
"""Part of the fleet's retry budget that is used."""

GATE_STAYS_S = 2.0
"""How long a stopping node still takes work for its target: nobody else reaches it."""

LEAVE_QUIET_S = 2.6
"""How long a stopping node goes on accepting: callers learn from two questions a
second apart that it is not ready. What is taken later might not end in time."""

LAST_S = 0.5
"""Time before the process is killed at which a stopping node ends what still runs."""

LOAD_S = 1.0
"""Period at which a gate that is short of room says so in the log."""

BODY_SHARE = 0.25
"""Share of the memory that request bodies may take at once."""

ANSWER_SHARE = 0.2
"""Share of the memory that answers which are being read may take at once."""

GC_THRESHOLDS = (20_000, 20, 50)


def _never_silent() -> float:
    return 0.0


def news_s(turns: int, large: bool) -> float:
    """Return the age of the news of rates, where each node is asked once in ``turns`` rounds."""
    summaries_s = SUMMARY_PERIOD_S + STATE_LIFE_S if large else 0.0
    return HEARTBEAT_S * turns + TICK_S + summaries_s


class _Ready(HttpService):
    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def answer(self, incoming: Incoming) -> Outgoing:
        return Outgoing(200 if self._ready() else 503)


class _Control(HttpService):
    def __init__(self, state: Callable[[Incoming], bool]) -> None:
        self._state = state

    async def answer(self, incoming: Incoming) -> Outgoing:
        if not self._state(incoming):
            return Outgoing(400)
        return Outgoing(200, b"Content-Type: application/json\r\n", b"{}")


class MeshNode(LinkHandler):
    """The one process of the system on a target's host."""

    def __init__(
        self,
        cfg: MeshSettings,
        conventions: Conventions,
        store: Store,
        logger: Any,
        clock: Clock | None = None,
        emit: Callable[[], None] = lambda: None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self._conventions = conventions
        self._store = store
        self._logger = logger
        self._rng = random.Random(f"{cfg.name} {self.clock.wall_ms()}")
        address = cfg.advertised or cfg.nodes
        self.member = Member(address, cfg.data_centre, self.clock.wall_ms())
        self.explainer = Explainer(logger, self.clock, emit)
        self.news = FleetNews(self.clock)
        self.directory = Directory(self.clock, self.member)
        tolerance = Tolerance(cfg.rate_tolerance, cfg.rate_tolerance_requests)
        self.quotas = Quotas(self.clock, self._rng, tolerance, cfg.first_start)
        self.metrics = MeshMetrics(self.quotas.states)
        self.graph = CallGraph(self.clock)
        answers = BodyMemory(int(cfg.memory_mb * 2**20 * ANSWER_SHARE))
        self.target = TargetSide(
            self.clock, conventions, self.explainer, self.graph.record_run, answers
        )
        self.stopping = False
        self._deadlines = Deadlines()
        self._heartbeats = itertools.count(1)
        self._state_at = float("-inf")
        self._state_frame = b""
        self._brief_frame = b""
        self._budgets: dict[str, RetryBudget] = {}
        self._links: dict[str, Link] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._serving: dict[tuple[LinkProtocol, int], asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._load_at = 0.0
        self._memory = BodyMemory(int(cfg.memory_mb * 2**20 * BODY_SHARE))
        self._proof_s = cfg.key_withdrawal_ms / 1000 - KEY_MARGIN_S
        self._incoming: set[LinkProtocol] = set()
        self.homes = RateHomes(
            self.quotas, self.directory, self.explainer, self._ask_peer, self._tell_peer
        )
        self.entry = self._make_entry()
        self.news.changed.append(self._take_up)
        self.follower = Follower(
            self.clock,
            self._rng,
            store,
            conventions,
            self.news,
            self.directory,
            self._links,
            self.explainer,
            self._proof_s,
            lambda: self.quotas.max_report_age_s,
        )
        self.summaries = Summaries(
            self.clock,
            self._rng,
            self.directory,
            self.news,
            self.quotas,
            self.graph,
            self.explainer,
            self._node_load,
            self._ask_peer,
            self._relay,
            lambda address: self.follower.newer_at(address, at_once=True),
            self._keep_all,
        )

    def _make_entry(self) -> Entry:
        self.admission = AdmissionController(self.clock, self._rng, self._full)
        checks = [
            KeyCheck(self.news, self._proof_s),
            LevelCheck(self.admission, self.graph, self._pause_ms),
        ]
        attempts = Attempts(
            self.clock,
            self.directory,
            LoadBalancer(self.clock, self._rng, self.cfg.data_centre),
            self.target.load_for,
            self._send,
            self._repeatable,
            self._budget,
            self._conventions.root_of,
        )
        return Entry(
            self.clock,
            self._conventions,
            self.news,
            checks,
            attempts,
            self.homes,
            lambda: self.target.service or self.cfg.service,
            self.explainer,
            self.metrics.request,
            self._rng,
            self._called,
        )

    # Decisions that need several parts.

    def _called(self, route: Route, request_id: str) -> tuple[int, bool]:
        """Note a call of the target here; returns its priority and whether it is a repeat."""
        run = self.target.running.get(self._conventions.caller_of(request_id))
        self.graph.record_call(route.name, run.route if run else "")
        return (call_priority(run.priority), run.repeated) if run else (CALL_PRIORITY, False)

    def _budget(self, service: str) -> RetryBudget:
        # The fleet's budget, divided by requests; not all of it, since the calls of
        # what is repeated count as repeats at the services they go to.
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self.cfg.retry_ratio * RETRY_SHARE
            budget = self._budgets[service] = RetryBudget(self.clock, ratio, self._retry_slack())
        return budget

    def _retry_slack(self) -> float:
        nodes = len(self.directory.peers) + 1
        return self.cfg.retry_slack * RETRY_SHARE / nodes

    def _full(self, service: str) -> float | None:
        """Return how full a service is, over its targets; None where it has none."""
        loads = [p.load for p in self.directory.serving(service)]
        own = self.target.load()
        if own.service == service:
            loads.append(own)
        total = sum(load.limit for load in loads)
        return sum(load.full * load.limit for load in loads) / total if total else None

    def _repeatable(self, route: Route) -> bool:
        """Tell whether a target's failure may be its own and there is room to repeat it.

        What makes calls is not repeated: its calls would be made again, and one that
        failed is repeated where it is made.
        """
        loads = [self._full(part.service) for part in route.parts]
        roomy = all(full is not None and full < 1.0 for full in loads)
        return roomy and self.graph.is_leaf(route)

    def _pause_ms(self, priority: int) -> int:
        # The less important come back later, and never all at once.
        rank = priority // request.COHORTS
        return int(self._rng.uniform(150, 350) * max(1, rank))

    # Requests, here or at another node.

    def _send(self, peer: Peer | None, run: Run, left_s: float) -> "asyncio.Future[Reply]":
        if peer is None:
            return self.target.run(run)  # type: ignore[return-value]
        return self._ask_run(peer, run, left_s)  # type: ignore[return-value]

    async def _ask_run(self, peer: Peer, run: Run, left_s: float) -> Reply:
        reply = await self._ask_peer(peer, run, left_s)
        assert isinstance(reply, Reply)
        return reply

    async def _ask_peer(self, peer: Peer, message: Any, left_s: float) -> Any:
        """Send a message to a node and return its answer, over a new connection if need be."""
        link = self._links.get(peer.member.address)
        if not self.directory.heard_directly(peer):
            if link is None:
                link = self._keep_one(peer)
            if not link.open:
                link.used_at = asyncio.get_running_loop().time()
                await link.made(min(left_s, REACH_S))
        if link is None:
            raise PeerLostError(peer.member.address, sent=False)
        return await link.ask(message, left_s)

    def _tell_peer(self, peer: Peer, message: Message) -> None:
        link = self._links.get(peer.member.address)
        if link is not None:
            link.tell(encode(message))

    async def _serve_run(self, run: Run, link: LinkProtocol) -> None:
        try:
            reply = await self.target.run(run)
        except Exception as exc:
            report(exc, "a run")
            reply = unknown(request.FAULT)
        reply.load = self.target.load()
        reply.sequence = run.sequence
        link.send(reply)

    # Messages of other nodes.

    def message(self, message: Message, link: LinkProtocol) -> None:
        if isinstance(message, Run):
            key = (link, message.sequence)
            task = self._serving[key] = asyncio.create_task(self._serve_run(message, link))
            task.add_done_callback(lambda _: self._serving.pop(key, None))
        elif isinstance(message, Cancel):
            running = self._serving.get((link, message.sequence))
            if running is not None:
                running.cancel()
        elif isinstance(message, Heartbeat):
            if message.member is not None:
                self._meet(message.member)
            link.write(encode(HeartbeatAck(message.sequence)) + self._state(message.brief))
        elif isinstance(message, State):
            self._meet(message.member)
            self.directory.heard(message, self.clock.now() - 1e-3)
            if message.version > self.news.version:
                self.follower.newer_at(message.member.address)
        elif isinstance(message, GrantAsk):
            link.send(self.homes.grant(message))
        elif isinstance(message, GiveBack):
            self.quotas.give_back(message.organisation)
        elif isinstance(message, SummaryAsk):
            link.send(self.summaries.make(message.sequence))
        elif isinstance(message, Summary):
            self.summaries.relayed(message)
        elif isinstance(message, DocumentAsk):
            link.send(Document(message.sequence, self.news.text, self.news.age_ms()))

    def link_made(self, link: LinkProtocol) -> None:
        self._incoming.add(link)

    def link_lost(self, link: LinkProtocol) -> None:
        self._incoming.discard(link)
        for key in [k for k in self._serving if k[0] is link]:
            self._serving[key].cancel()

    def _state(self, brief: bool = False) -> bytes:
        """Return the frame of this node's state, which may be a little old."""
        now = self.clock.now()
        if now - self._state_at >= STATE_LIFE_S:
            self._state_at = now
            proof_ms = self.news.age_ms()
            large = self.directory.large
            state = State(
                self.member,
                self.target.load(),
                self.news.version,
                # As old as it may be when the frame is sent for the last time.
                proof_ms + STATE_LIFE_MS if proof_ms >= 0 else -1,
                {},
                {},
                self.stopping,
                self.directory.centres(),
            )
            self._brief_frame = encode(state)
            state.uses = self.quotas.all_usages() if large else self.quotas.recent_usages()
            state.calls = self.graph.calls()
            self._state_frame = encode(state)
        return self._brief_frame if brief else self._state_frame

    def _node_load(self) -> NodeLoad | None:
        return None if self.stopping else NodeLoad(self.member, self.target.load())

    def _tell_all(self) -> None:
        self._state_at = float("-inf")
        whole, brief = self._state(), self._state(brief=True)
        for address, link in self._links.items():
            peer = self.directory.peers.get(address)
            near = peer is not None and self.directory.heard_directly(peer)
            link.tell(whole if near else brief)

    def _relay(self, frame: bytes) -> None:
        for peer in self.directory.companions():
            link = self._links.get(peer.member.address)
            if link is not None:
                link.tell(frame)

    # Other nodes.

    def _meet(self, member: Member) -> None:
        peer = self.directory.add(member)
        if peer is not None:
            self._keep_all([peer])

    def _keep_all(self, peers: list[Peer]) -> None:
        for peer in peers:
            if self.directory.heard_directly(peer):
                self._keep_one(peer)

    def _keep_one(self, peer: Peer) -> Link:
        address = peer.member.address
        link = self._links[address] = Link(address, self._heard, self._deadlines)
        link.used_at = asyncio.get_running_loop().time()
        peer.silent = link.silent_s
        self._keepers[address] = asyncio.create_task(self._keep(peer, link))
        return link

    def _wanted(self, peer: Peer, link: Link) -> bool:
        """Tell whether the connection to a node is to stand."""
        if self.directory.peers.get(peer.member.address) is not peer:
            return False
        idle_s = asyncio.get_running_loop().time() - link.used_at
        return self.directory.heard_directly(peer) or link.asking or idle_s < LINK_IDLE_S

    async def _keep(self, peer: Peer, link: Link) -> None:
        """Keep a connection to another node, as long as it is wanted."""
        address = peer.member.address
        pause_s = RECONNECT_FIRST_S
        while self._wanted(peer, link):
            states = peer.states
            try:
                await link.connect()
                self._heartbeat([link], self.member, not self.directory.heard_directly(peer))
                await link.ended()
            except PeerLostError as exc:
                if pause_s == RECONNECT_FIRST_S:
                    self.explainer.belief("peer not reached", peer=address, error=repr(exc))
            if not self._wanted(peer, link):
                break
            self._lost(peer)
            if peer.states > states:
                pause_s = RECONNECT_FIRST_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(RECONNECT_MOST_S, pause_s * 2)
        link.abort()
        self.directory.connected(peer, False)
        peer.silent = _never_silent
        if self._links.get(address) is link:
            # Else the node was forgotten, and has been met again since.
            del self._links[address]
            del self._keepers[address]

    def _lost(self, peer: Peer) -> None:
        if peer.connected:
            self.explainer.belief("peer lost", peer=peer.member.address, load=str(peer.load))
        self.directory.connected(peer, False)
        if not self.directory.heard_directly(peer):
            self.directory.unreached(peer)

    async def _beat(self) -> None:
        """Send heartbeats, and give up the connections on which none is answered.

        In a larger fleet each round is for a part of the nodes.
        """
        turn = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.9, 1.1))
            near, far = [], []
            for address, link in self._links.items():
                peer = self.directory.peers.get(address)
                if not link.open or peer is None:
                    continue
                if link.silent_s() > SILENT_S:
                    link.abort()
                elif self.directory.heard_directly(peer):
                    near.append(link)
                elif link.asking:
                    far.append(link)
                elif not self._wanted(peer, link):
                    link.abort()
            turns = 1 + len(near) // PEERS_A_ROUND
            self.quotas.max_report_age_s = news_s(turns, self.directory.large)
            turn = (turn + 1) % turns
            self._heartbeat(near[turn::turns])
            self._heartbeat(far, brief=True)

    def _heartbeat(
        self, links: list[Link], member: Member | None = None, brief: bool = False
    ) -> None:
        sequence = next(self._heartbeats)
        frame = encode(Heartbeat(sequence, member, brief))
        now = self.clock.now()
        for link in links:
            link.heartbeat(sequence, frame, now)

    def _heard(self, link: Link, state: State, asked_at: float) -> None:
        self.directory.heard(state, asked_at, answered=True)
        peer = self.directory.peers.get(link.address)
        if peer is not None and not peer.connected:
            self.explainer.belief("peer met", peer=link.address, service=state.load.service)
            self.directory.connected(peer, True)
        if state.proof_ms < 0:
            return
        if state.version <= self.news.version:
            self.news.confirm(state.version, asked_at - state.proof_ms / 1000)
        else:
            self.follower.newer_at(link.address)

    # The configuration.

    def _take_up(self, doc: FleetDocument) -> None:
        self.quotas.load(doc.limited())
        self.graph.load({route.name: route.parts[0].service for route in doc.routes})
        self._tell_all()

    async def _enrol(self) -> None:
        """Register as a member, and read who the others are.

        Written before it is read: of two that start at once, at least one finds
        the other.
        """
        registered = False
        while True:
            try:
                if not registered:
                    await self._store.register(self.member)
                    registered = True
                members = await self._store.members()
                # All are known before any is connected to: a large fleet is seen to be one.
                new = [self.directory.add(member) for member in members]
                self._keep_all([peer for peer in new if peer is not None])
                self.follower.members_read.set()
                # A deregistration of an earlier process may have come late.
                registered = self.member in members
                first = not self.directory.large or not self.follower.ahead()
                period_s = MEMBERS_S if first or not registered else MEMBERS_SELDOM_S
                await asyncio.sleep(period_s * self._rng.uniform(0.8, 1.2))
            except LogError as exc:
                self.explainer.belief("members not read", error=repr(exc))
                self.follower.members_read.set()
                await asyncio.sleep(STORE_PAUSE_S * self._rng.uniform(0.7, 1.3))

    # The target on this host.

    def _stated(self, incoming: Incoming) -> bool:
        statement = self._conventions.statement(incoming)
        if statement is None or not self._concerns(statement):
            self.explainer.belief("statement ignored", bytes=len(incoming.body))
            return False
        if isinstance(statement, Leaving):
            changed = self.target.leave(statement.target_id)
        else:
            assert isinstance(statement, Announcement)
            changed = self.target.heartbeat(statement)
        if changed:
            self.explainer.belief("target", **statement._asdict())
            self._tell_all()
        return True

    def _concerns(self, statement: Statement) -> bool:
        """Tell whether a statement can be of the target on this host."""
        if isinstance(statement, Leaving):
            return True
        doc = self.news.document
        known = doc is None or statement.service in doc.services
        return known and statement.address == self.cfg.target

    # Housekeeping.

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.quotas.share = self.directory.share()
            self.quotas.tick(self.directory.reports(), self.directory.companion_reports())
            self.graph.tick(self.directory.calls())
            for budget in self._budgets.values():
                # A node that has just started knows few others at first.
                budget.slack = self._retry_slack()
            if self.target.tick():
                self.explainer.belief("target silent")
                self._tell_all()
            elif self.target.load().full > 1.0:
                # Those who admit work have to know soon.
                self._tell_all()
            for peer in self.directory.forget():
                self.explainer.belief("peer forgotten", peer=peer.member.address)
            for listener in self._listeners:
                listener.sweep()
            self._state_load()

    def _state_load(self) -> None:
        """Write how full the gate is, and what is refused here, while there is a lack."""
        load, now = self.target.load(), self.clock.now()
        parts = self.admission.admitted_shares()
        if now - self._load_at < LOAD_S or (load.full < 1.0 and not parts):
            return
        self._load_at = now
        fields = {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in msgspec.structs.asdict(load).items()
        }
        self.explainer.belief("short of room", admitted=parts, **fields)

    def ready(self) -> bool:
        """Tell whether callers should send new work here."""
        if self.stopping or self.news.document is None:
            return False
        fresh = self.news.age_s() <= self._proof_s
        return fresh or not self.news.document.keyed

    # Life.

    async def start(self) -> None:
        """Open the listeners and start the tasks; raises OSError."""
        cfg = self.cfg
        self._server = await listen(cfg.nodes, self)
        services: list[tuple[HttpService, str]] = [
            (self.entry, cfg.outbound),
            (_Ready(self.ready), cfg.ready),
            (_Control(self._stated), cfg.control),
        ]
        if cfg.metrics:
            services.append((self.metrics, cfg.metrics))
        self._listeners = [HttpListener(service, self._memory) for service, _ in services]
        for listener, (_, address) in zip(self._listeners, services, strict=True):
            await listener.start(address)
        for run in (
            self.follower.run,
            self.summaries.run,
            self._enrol,
            self._beat,
            self._tick,
            self.explainer.run,
        ):
            task = asyncio.create_task(run())
            task.add_done_callback(self._task_done)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._logger.info(
            "started",
            node=cfg.name,
            nodes=cfg.nodes,
            data_centre=cfg.data_centre,
            first_start=cfg.first_start,
        )

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        # Better to be replaced than to go on without one of the tasks.
        if not task.cancelled() and task.exception() is not None:
            self._logger.critical("task failed", error=repr(task.exception()))
            signal.raise_signal(signal.SIGTERM)

    async def drain(self) -> None:
        """Refuse new work, finish what runs, and return when nothing is left."""
        began = self.clock.now()
        self.stopping = self.entry.stopping = True
        self._logger.info("stopping", runs=self.target.in_flight, requests=self.entry.in_flight)
        last = began + max(0.0, self.cfg.stop_s - LAST_S)
        leaving = asyncio.create_task(self._deregister())
        while self.clock.now() < last:
            waited = self.clock.now() - began
            if waited >= GATE_STAYS_S and not self.target.stopping:
                self.target.stopping = True
                self._tell_all()
            self.entry.refusing = waited >= LEAVE_QUIET_S
            if self.entry.refusing and not self.target.in_flight and not self.entry.in_flight:
                break
            await asyncio.sleep(0.05)
        leaving.cancel()
        self._logger.info("stopped", runs=self.target.in_flight, requests=self.entry.in_flight)

    async def _deregister(self) -> None:
        try:
            await self._store.deregister(self.member.address)
        except LogError as exc:
            # The entry stays; others find that nobody answers at the address.
            self.explainer.belief("still registered", error=repr(exc))

    async def close(self) -> None:
        """End all tasks and connections."""
        self.explainer.flush()
        for listener in self._listeners:
            listener.stop()
            listener.close_idle()
        self._server.close()
        for link in list(self._incoming):
            link.abort()
        for task in [*self._tasks, *self._keepers.values()]:
            task.cancel()
        self._store.close()


async def serve(
    node: MeshNode, reread: Callable[[], MeshSettings], changed: Callable[[], bool]
) -> None:
    """Run a node until SIGTERM. ``reread`` returns the settings anew."""
    loop = asyncio.get_running_loop()
    stop, reload = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await node.start()
    watching = asyncio.create_task(_reload(node, reread, changed, reload))
    await stop.wait()
    watching.cancel()
    await node.drain()
    await node.close()


async def _reload(
    node: MeshNode,
    reread: Callable[[], MeshSettings],
    changed: Callable[[], bool],
    asked: asyncio.Event,
) -> None:
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await asked.wait()
        if not asked.is_set() and not changed():
            continue
        asked.clear()
        try:
            node.cfg = reread()
            node.explainer.belief("settings reloaded", service=node.cfg.service)
        except SettingsError as exc:
            node.explainer.belief("settings kept", error=str(exc))
