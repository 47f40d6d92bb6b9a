"""The mesh node: creates and connects its components, and starts and stops them."""

import asyncio
import contextlib
import gc
import itertools
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from .. import request
from ..clock import Clock, SystemClock
from ..errors import PeerLostError, SettingsError
from .admission import AdmissionController
from .attempts import AttemptRunner
from .capacity import ServiceCapacity
from .checks import AdmissionCheck, KeyCheck
from .cold_start import ColdPolicy
from .completion import CallCompletion
from .configuration import ConfigurationState
from .conventions import Deregistration, TargetMessage, WireAdapter
from .deadlines import Deadlines
from .departures import DepartureRecorder
from .directory import Directory, Peer
from .document import FleetDocument, Route
from .entry import CallOrigin, Entry
from .evacuation import Evacuations
from .evacuation_response import EvacuationResponse
from .exchange import not_run, unknown
from .explain import Explainer
from .follow import Follower
from .frames import (
    RUN_TAG,
    Cancel,
    Document,
    DocumentRequest,
    GrantRequest,
    GrantReturn,
    Heartbeat,
    HeartbeatAck,
    Member,
    Message,
    NodeLoad,
    Reply,
    Run,
    State,
    Summary,
    SummaryRequest,
    TargetStatus,
    encode,
)
from .gate import CALL_PRIORITY, call_priority
from .graph import CallGraph
from .homes import RateHomes
from .http import HttpRequest, HttpResponse, HttpService, MemoryBudget, report_exception
from .http_listener import HttpListener
from .links import Link, LinkHandler, LinkProtocol, listen
from .load_balancer import LoadBalancer
from .local_target import LocalTarget
from .membership import Membership
from .memory import ShortageLog, budget_bytes, max_connections
from .metrics import MeshMetrics, TargetState
from .overload_report import OverloadReport
from .propagation import Propagation
from .quota import Quotas, Tolerance
from .residency import Residency
from .returns import Returns
from .settings import MeshSettings
from .store import Store
from .store_era import StoreEra
from .summaries import SUMMARY_PERIOD_S, Summaries
from .target import DRAINING, Announcement
from .zone_share import ZoneShares

__all__ = ["MeshNode", "max_report_age_s", "serve"]

TICK_S = 0.25
"""Period of the housekeeping task, which updates shares and limits and expires state."""

HEARTBEAT_S = 0.5
"""Period of the rounds of heartbeats, with which a node requests the state of others."""

PEERS_PER_ROUND = 100
"""Largest number of nodes that get a heartbeat in one round; each answers with a state
of some 300 B. With more nodes, each gets one only every few rounds."""

STATE_CACHE_S = 0.1
STATE_CACHE_MS = int(STATE_CACHE_S * 1000)
"""Time for which an encoded state of this node is reused."""

HEARTBEAT_TIMEOUT_S = 1.0
"""Time for which heartbeats may stay unanswered before the connection is closed."""

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0
"""First and longest delay between attempts to connect to a node. A restarted node is back
within a second."""

LINK_IDLE_TIMEOUT_S = 10.0
"""Time after which an unused on-demand connection to another data centre is closed."""

ON_DEMAND_CONNECT_TIMEOUT_S = 0.3
"""Longest time for which a request waits until an on-demand connection is open."""

DEPARTURE_TIMEOUT_S = 0.8
"""Longest time for which a target waits until its leaving is recorded. It takes an answer
that comes within a second for a confirmation."""

KEY_MARGIN_S = 0.4
"""Subtracted from the time within which a withdrawn key must stop working, to allow for
clocks that run at different speeds and for the transfer of a request to its target."""

DRAIN_GATE_S = 2.0
"""Time for which a stopping node still accepts work for its target, which only this node
can reach."""

DRAIN_ACCEPT_S = 2.6
"""Time for which a stopping node still accepts requests. Callers stop sending them after
two failed readiness checks a second apart; a request accepted later might not finish
before the process is killed."""

KILL_MARGIN_S = 0.5
"""Time before the kill of the process at which a stopping node aborts what still runs."""

REPLY_MARGIN_S = 0.1
"""Time that an answer takes at most from a target's node to its caller."""

TASK_RESTART_S = 0.5
"""Delay before one of the node's tasks that has failed is started again."""

MAX_CLOCK_ERROR_MS = 3_600_000
"""Time in the future above which a stated start of a target cannot be true."""

LONG_HOLD_S = 0.5
"""Time for which something may hold the event loop before it is logged."""


RUN_BYTES = 2_048
"""Memory that a run takes in addition to its head and body."""

MEMORY_RETRY_AFTER_MS = 500
"""Retry-After where there is no memory for a body; stalled ones end after a second."""

GC_THRESHOLDS = (20_000, 20, 50)


def _never_unanswered() -> float:
    return 0.0


def max_report_age_s(rounds: int, large: bool) -> float:
    """Return the largest age in seconds that other nodes' reports of rate use can have.

    Each node gets a heartbeat once in ``rounds`` rounds. In a ``large`` fleet the reports
    of other data centres come in summaries, which adds to the age.
    """
    summaries_s = SUMMARY_PERIOD_S + STATE_CACHE_S if large else 0.0
    return HEARTBEAT_S * rounds + TICK_S + summaries_s


class _ReadinessService(HttpService):
    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if self._ready() else 503)


class _ControlService(HttpService):
    def __init__(self, handle: Callable[[HttpRequest], Awaitable[int]]) -> None:
        self._handle = handle

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        status = await self._handle(http_request)
        if status != 200:
            return HttpResponse(status)
        return HttpResponse(200, b"Content-Type: application/json\r\n", b"{}")


class MeshNode(LinkHandler):
    """The node process that runs beside one target.

    ``emit`` is called after each batch of log lines.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        adapter: WireAdapter,
        store: Store,
        logger: Any,
        clock: Clock | None = None,
        emit: Callable[[], None] = lambda: None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self._adapter = adapter
        self._store = store
        self._logger = logger
        self._rng = random.Random(f"{cfg.name} {self.clock.wall_ms()}")
        address = cfg.advertised or cfg.nodes
        self.member = Member(address, cfg.data_centre, self.clock.wall_ms())
        self.explainer = Explainer(logger, self.clock, emit)
        self.configuration = ConfigurationState(self.clock)
        self.directory = Directory(self.clock, self.member)
        self.evacuations = Evacuations()
        self.era = StoreEra(self.clock)
        tolerance = Tolerance(cfg.rate_tolerance, cfg.rate_tolerance_requests)
        self.quotas = Quotas(self.clock, self._rng, tolerance, cfg.first_start)
        self.graph = CallGraph(self.clock)
        self.memory = MemoryBudget(budget_bytes(cfg.memory_mb))
        self.target = LocalTarget(
            self.clock,
            adapter,
            self.explainer,
            self.graph.record_run,
            self.memory,
            self._broadcast_state,
            ColdPolicy(lambda: self.cfg, lambda: self.configuration.document),
        )
        self.departures = DepartureRecorder(
            self.clock, store, address, self.explainer, self.target.announcements.departures
        )
        self.shortages = ShortageLog(self.clock, self.explainer, self.memory)
        self.metrics = MeshMetrics(
            self.quotas.states,
            self._target_state,
            lambda: self.follower.state(),
            lambda: self.overload_report.state(),
            lambda: self.zone_shares.state(),
            self.shortages.state,
        )
        self.stopping = False
        self._replaced_target: Announcement | None = None
        """The target whose service is no longer that of the settings."""
        self._deadlines = Deadlines()
        self._heartbeat_sequence = itertools.count(1)
        self._state_encoded_at = float("-inf")
        self._state_frame = b""
        self._brief_frame = b""
        self._links: dict[str, Link] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._run_tasks: dict[tuple[LinkProtocol, int], asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._max_confirmation_age_s = cfg.key_withdrawal_ms / 1000 - KEY_MARGIN_S
        self._incoming_links: set[LinkProtocol] = set()
        self.homes = RateHomes(
            self.quotas, self.directory, self.explainer, self._request, self._notify
        )
        self.capacity = ServiceCapacity(
            self.clock,
            self.directory,
            self.graph,
            self.target.load,
            lambda: self.cfg,
            lambda service: self.admission.admitted_share(service),
        )
        self.evacuation_response = EvacuationResponse(
            self.directory, self.capacity, self.target, self.explainer
        )
        self.evacuation_response.follow(self.evacuations)
        self.completion = CallCompletion(
            self.clock, self.capacity.budget, self.directory.retry_demands
        )
        self.returns = Returns(self.clock, self._rng)
        self.entry = self._make_entry()
        self.overload_report = OverloadReport(
            self.clock,
            self.explainer,
            self.target.load,
            self.admission,
            self.completion,
            self.returns,
        )
        self.configuration.on_change.append(self._on_configuration)
        self.follower = Follower(
            self.clock,
            self._rng,
            store,
            adapter,
            self.configuration,
            self.directory,
            self._links,
            self.explainer,
            self._max_confirmation_age_s,
            lambda: self.quotas.max_report_age_s,
            cfg.config_deadline_ms / 1000,
            self.evacuations,
            self.era,
        )
        self.membership = Membership(
            self.clock,
            self._rng,
            store,
            self.member,
            self.directory,
            self.target,
            self.departures,
            self.follower,
            self.era,
            self.explainer,
            self._connect_all,
            self._broadcast_state,
        )
        self.summaries = Summaries(
            self.clock,
            self._rng,
            self.directory,
            self.configuration,
            self.quotas,
            self.graph,
            self.explainer,
            self._node_load,
            self._request,
            self._relay,
            lambda address: self.follower.copy_from(address, immediately=True),
            self._connect_all,
            self.evacuations,
            self.era,
            self.follower.readers.has_reader,
            self.completion.demands,
        )
        self.propagation = Propagation(
            self.directory,
            self.follower,
            self.evacuations,
            self.explainer,
            self.summaries,
            self._broadcast_state,
            lambda: self._state(brief=True),
            self._open_link,
        )

    def _make_entry(self) -> Entry:
        self.zone_shares = ZoneShares(
            self.clock,
            lambda: self.cfg.transfer_cost_ms_per_kb,
            lambda change: self.explainer.event("zone share", **change._asdict()),
        )
        self.admission = AdmissionController(
            self.clock, self._rng, self.capacity.utilisation, self.completion.ratio
        )
        checks = [
            KeyCheck(self.configuration, self._max_confirmation_age_s),
            AdmissionCheck(self.admission, self.graph, self.returns, self.capacity.run_s),
        ]
        attempts = AttemptRunner(
            self.clock,
            self.directory,
            LoadBalancer(self.clock, self._rng, self.cfg.data_centre, self.zone_shares),
            Residency(lambda: self.cfg.regions),
            self.target.load_for,
            self._send,
            self.capacity.may_retry,
            self.capacity.budget,
            self._adapter.root_request_id,
            self.completion.record,
        )
        return Entry(
            self.clock,
            self._adapter,
            self.configuration,
            checks,
            attempts,
            self.homes,
            self._caller_service,
            self.explainer,
            self.metrics.count_request,
            self._rng,
            self._record_call,
        )

    def _target_state(self) -> TargetState:
        target, cold = self.target, self.target.cold
        return TargetState(
            target.handed,
            target.rate_limit,
            target.notices_ignored,
            cold.cold_s(),
            cold.health_checks,
        )

    # Decisions that combine several components.

    def _caller_service(self) -> str:
        """Return the service of this host: what its target announces or the settings say."""
        target = self.target.announcements.current
        replaced = self._replaced_target
        if target is None or (replaced is not None and target.same_start(replaced)):
            return self.cfg.service
        return target.service

    def apply_settings(self, cfg: MeshSettings) -> None:
        """Use settings that were read again."""
        if cfg.service != self.cfg.service:
            # Another target will announce itself; until then the settings are newer.
            self._replaced_target = self.target.announcements.current
        self.cfg = cfg
        self.target.cold.configure()

    def _record_call(self, route: Route, request_id: str) -> CallOrigin:
        """Record a call that the local target makes, and return its origin."""
        run = self.target.running.get(self._adapter.parent_request_id(request_id))
        self.graph.record_call(route.name, run.route if run else "")
        if run is None:
            return CallOrigin(CALL_PRIORITY, False)
        return CallOrigin(call_priority(run.priority), run.is_retry, run.organisation)

    # Requests, run here or on another node.

    def _send(self, peer: Peer | None, run: Run, left_s: float) -> "asyncio.Future[Reply]":
        if peer is None:
            return self.target.run(run)  # type: ignore[return-value]
        return self._request_run(peer, run, left_s)  # type: ignore[return-value]

    async def _request_run(self, peer: Peer, run: Run, left_s: float) -> Reply:
        reply = await self._request(peer, run, left_s)
        assert isinstance(reply, Reply)
        return reply

    async def _request(self, peer: Peer, message: Any, left_s: float) -> Any:
        """Send a message to a node and return its answer.

        Opens an on-demand connection if none is open. Raises PeerLostError and TimeoutError.
        """
        asked_at = self.clock.now()
        link = await self._open_link(peer, left_s)
        waited_s = self.clock.now() - asked_at
        if waited_s >= left_s:
            raise PeerLostError(peer.member.address, sent=False)
        if isinstance(message, Run):
            # Its times count from when it is sent.
            waited_ms = round(waited_s * 1000)
            message.left_ms = max(0, message.left_ms - waited_ms)
            message.due_ms -= waited_ms
        return await link.request(message, left_s - waited_s)

    async def _open_link(self, peer: Peer, left_s: float) -> Link:
        """Return the connection to a node; raises PeerLostError if there is none."""
        link = self._links.get(peer.member.address)
        if not self.directory.exchanges_heartbeats(peer):
            if link is None:
                link = self._connect(peer)
            if not link.open:
                link.used_at = asyncio.get_running_loop().time()
                await link.wait_open(min(left_s, ON_DEMAND_CONNECT_TIMEOUT_S))
        if link is None:
            raise PeerLostError(peer.member.address, sent=False)
        return link

    def _notify(self, peer: Peer, message: Message) -> None:
        link = self._links.get(peer.member.address)
        if link is not None:
            link.write(encode(message))

    async def _serve_run(self, run: Run, link: LinkProtocol) -> None:
        try:
            reply = await self.target.run(run)
        except Exception as exc:
            report_exception(exc, "a run")
            reply = unknown(request.INTERNAL_ERROR)
        reply.load = self.target.load()
        reply.sequence = run.sequence
        link.send(reply)

    # Messages from other nodes.

    def message(self, message: Message, link: LinkProtocol) -> None:
        if isinstance(message, Run):
            self._start_run(message, link)
        elif isinstance(message, Cancel):
            running = self._run_tasks.get((link, message.sequence))
            if running is not None:
                running.cancel()
        elif isinstance(message, Heartbeat):
            if message.member is not None:
                self._add_member(message.member)
            if message.target_status is not None:
                self.target.inform(message.target_status)
            link.write(encode(HeartbeatAck(message.sequence)) + self._state(message.brief))
        elif isinstance(message, State):
            self._add_member(message.member)
            self._apply_state(message, self.clock.now() - 1e-3, answered=False)
            if message.version > self.configuration.version:
                self.propagation.on_newer(message)
        elif isinstance(message, GrantRequest):
            link.send(self.homes.grant(message))
        elif isinstance(message, GrantReturn):
            self.quotas.give_back(message.organisation)
        elif isinstance(message, SummaryRequest):
            link.send(self.summaries.make(message.sequence))
        elif isinstance(message, Summary):
            self.summaries.relayed(message)
        elif isinstance(message, DocumentRequest):
            link.send(
                Document(
                    message.sequence,
                    self.configuration.text,
                    self.configuration.age_ms(),
                    self.evacuations.entries(),
                )
            )

    def _start_run(self, run: Run, link: LinkProtocol) -> None:
        key, size = (link, run.sequence), len(run.head) + len(run.body) + RUN_BYTES
        if not self.memory.reserve(size):
            self.too_large(RUN_TAG, run.sequence, link)
            return

        def ended(_: asyncio.Task[None]) -> None:
            self._run_tasks.pop(key, None)
            self.memory.release(size)

        task = self._run_tasks[key] = asyncio.create_task(self._serve_run(run, link))
        task.add_done_callback(ended)

    def too_large(self, tag: int, sequence: int, link: LinkProtocol) -> None:
        if tag == RUN_TAG:
            self.shortages.runs_refused += 1
            reply = not_run(request.OUT_OF_MEMORY, MEMORY_RETRY_AFTER_MS)
            reply.sequence = sequence
            link.send(reply)

    def link_opened(self, link: LinkProtocol) -> None:
        self._incoming_links.add(link)

    def link_closed(self, link: LinkProtocol) -> None:
        self._incoming_links.discard(link)
        for key in [k for k in self._run_tasks if k[0] is link]:
            self._run_tasks[key].cancel()

    def _state(self, brief: bool = False) -> bytes:
        """Return this node's encoded state, which may be up to ``STATE_CACHE_S`` old."""
        now = self.clock.now()
        if now - self._state_encoded_at >= STATE_CACHE_S:
            self._state_encoded_at = now
            proof_ms = self.configuration.age_ms()
            large = self.directory.large
            state = State(
                self.member,
                self.target.load(),
                self.configuration.version,
                # The age that it can have when the cached frame is last sent.
                proof_ms + STATE_CACHE_MS if proof_ms >= 0 else -1,
                {},
                {},
                self.stopping,
                self.directory.data_centre_count(),
                self.evacuations.entries(),
                self.follower.readers.rejected,
                store_era=self.era.number,
                retry_demands=self.completion.demands(),
            )
            self._brief_frame = encode(state)
            state.uses = self.quotas.all_usages() if large else self.quotas.recent_usages()
            state.calls = self.graph.calls()
            self._state_frame = encode(state)
        return self._brief_frame if brief else self._state_frame

    def _node_load(self) -> NodeLoad | None:
        return None if self.stopping else NodeLoad(self.member, self.target.load())

    def _broadcast_state(self) -> None:
        self._state_encoded_at = float("-inf")
        full, brief = self._state(), self._state(brief=True)
        for address, link in self._links.items():
            peer = self.directory.peers.get(address)
            direct = peer is not None and self.directory.exchanges_heartbeats(peer)
            link.write(full if direct else brief)

    def _relay(self, frame: bytes) -> None:
        for peer in self.directory.local_peers():
            link = self._links.get(peer.member.address)
            if link is not None:
                link.write(frame)

    # Other nodes.

    def _add_member(self, member: Member) -> None:
        peer = self.directory.add(member)
        if peer is not None:
            self._connect_all([peer])

    def _connect_all(self, peers: list[Peer]) -> None:
        for peer in peers:
            if self.directory.exchanges_heartbeats(peer):
                self._connect(peer)

    def _connect(self, peer: Peer) -> Link:
        address = peer.member.address
        link = self._links[address] = Link(address, self._on_state, self._deadlines, self.memory)
        link.used_at = asyncio.get_running_loop().time()
        peer.unanswered_s = link.silent_s
        self._link_tasks[address] = asyncio.create_task(self._keep_link(peer, link))
        return link

    async def _keep_link(self, peer: Peer, link: Link) -> None:
        """Maintain a connection, and go on after an unexpected error."""
        while True:
            try:
                return await self._maintain_link(peer, link)
            except Exception as exc:
                self._logger.critical("link failed", peer=peer.member.address, error=repr(exc))
            link.abort()
            await asyncio.sleep(RECONNECT_MAX_S)

    def _is_needed(self, peer: Peer, link: Link) -> bool:
        """Tell whether the connection to a node should be open."""
        if self.directory.peers.get(peer.member.address) is not peer:
            return False
        idle_s = asyncio.get_running_loop().time() - link.used_at
        return (
            self.directory.exchanges_heartbeats(peer)
            or link.has_pending
            or idle_s < LINK_IDLE_TIMEOUT_S
        )

    async def _maintain_link(self, peer: Peer, link: Link) -> None:
        """Connect to another node, and reconnect for as long as the connection is needed."""
        address = peer.member.address
        delay_s = RECONNECT_MIN_S
        while self._is_needed(peer, link):
            states = peer.states_received
            try:
                await link.connect()
                brief = not self.directory.exchanges_heartbeats(peer)
                self._send_heartbeats([link], brief, self.member, peer.target_status)
                await link.wait_closed()
            except PeerLostError as exc:
                if delay_s == RECONNECT_MIN_S:
                    self.explainer.event("peer not reached", peer=address, error=repr(exc))
            if not self._is_needed(peer, link):
                break
            self._on_disconnect(peer)
            if peer.states_received > states:
                delay_s = RECONNECT_MIN_S
            await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
            delay_s = min(RECONNECT_MAX_S, delay_s * 2)
        link.abort()
        self.directory.set_connected(peer, False)
        peer.unanswered_s = _never_unanswered
        if self._links.get(address) is link:
            # Otherwise the node has expired and been added again with a new link.
            del self._links[address]
            del self._link_tasks[address]

    def _on_disconnect(self, peer: Peer) -> None:
        if peer.connected:
            self.explainer.event("peer lost", peer=peer.member.address, load=str(peer.load))
        self.directory.set_connected(peer, False)
        if not self.directory.exchanges_heartbeats(peer):
            self.directory.mark_unreachable(peer)

    async def _heartbeat_loop(self) -> None:
        """Send heartbeats, and close connections that have timed out or are unused.

        With more than ``PEERS_PER_ROUND`` nodes, each round covers some of them.
        """
        index = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.9, 1.1))
            direct, on_demand = [], []
            for address, link in self._links.items():
                peer = self.directory.peers.get(address)
                if not link.open or peer is None:
                    continue
                if link.silent_s() > HEARTBEAT_TIMEOUT_S:
                    link.abort()
                elif self.directory.exchanges_heartbeats(peer):
                    direct.append(link)
                elif link.has_pending:
                    on_demand.append(link)
                elif not self._is_needed(peer, link):
                    link.abort()
            rounds = 1 + len(direct) // PEERS_PER_ROUND
            self.quotas.max_report_age_s = max_report_age_s(rounds, self.directory.large)
            index = (index + 1) % rounds
            self._send_heartbeats(direct[index::rounds])
            self._send_heartbeats(on_demand, brief=True)

    def _send_heartbeats(
        self,
        links: list[Link],
        brief: bool = False,
        member: Member | None = None,
        target_status: TargetStatus | None = None,
    ) -> None:
        sequence = next(self._heartbeat_sequence)
        frame = encode(Heartbeat(sequence, member, brief, target_status))
        now = self.clock.now()
        for link in links:
            link.heartbeat(sequence, frame, now)

    def _on_state(self, link: Link, state: State, asked_at: float) -> None:
        self._apply_state(state, asked_at, answered=True)
        peer = self.directory.peers.get(link.address)
        if peer is not None and not peer.connected:
            self.explainer.event("peer met", peer=link.address, service=state.load.service)
            self.directory.set_connected(peer, True)
        if state.proof_ms < 0:
            return
        if state.version <= self.configuration.version:
            self.configuration.confirm(state.version, asked_at - state.proof_ms / 1000)
        else:
            self.follower.copy_from(link.address)

    def _apply_state(self, state: State, asked_at: float, answered: bool) -> None:
        self.directory.apply_state(state, asked_at, answered)
        self.era.learn(state.store_era)
        self.evacuations.merge(state.evacuations)

    # Configuration.

    def _on_configuration(self, doc: FleetDocument) -> None:
        self.quotas.load(doc.rate_limited())
        self.graph.load({route.name: route.service_weights[0].service for route in doc.routes})
        self.target.cold.configure()
        self._broadcast_state()

    # The local target.

    async def _handle_statement(self, http_request: HttpRequest) -> int:
        """Process a statement of the target; returns the status of the answer.

        That a target leaves takes effect at once, but is confirmed only when it is recorded.
        """
        statement = self._adapter.parse_target_message(http_request)
        if statement is None or not self._is_from_local_target(statement):
            self.explainer.event("target statement ignored", bytes=len(http_request.body))
            return 400
        if isinstance(statement, Deregistration):
            changed = self.target.deregister(statement.target_id, statement.born_ms)
        else:
            assert isinstance(statement, Announcement)
            changed = self.target.heartbeat(statement)
        if changed:
            self.explainer.event("target", **statement._asdict())
            self._broadcast_state()
        leaves = isinstance(statement, Deregistration) or statement.state == DRAINING
        if leaves and not await self.departures.record(DEPARTURE_TIMEOUT_S):
            return 503
        return 200

    def _is_from_local_target(self, statement: TargetMessage) -> bool:
        """Tell whether a statement can be from the target on this host."""
        if statement.born_ms > self.clock.wall_ms() + MAX_CLOCK_ERROR_MS:
            return False
        if isinstance(statement, Deregistration):
            return True
        doc = self.configuration.document
        known = doc is None or statement.service in doc.services
        return known and statement.address == self.cfg.target

    # Housekeeping.

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self._record_hold(loop.time() - due)
            self.quotas.share = self.directory.reachable_share()
            self.quotas.tick(self.directory.reports(), self.directory.local_reports())
            self.graph.tick(self.directory.calls())
            self.capacity.tick()
            if self.target.tick():
                self.explainer.event("target silent")
                self._broadcast_state()
            elif self.target.load().full > 1.0 or self.completion.demands():
                # Other nodes need to know of the overload soon to admit less.
                self._broadcast_state()
            for peer in self.directory.expire_peers():
                self.explainer.event("peer expired", peer=peer.member.address)
            for listener in self._listeners:
                listener.sweep()
            self.overload_report.log()
            self.shortages.tick()

    def _record_hold(self, seconds: float) -> None:
        """Record by how much a timer was late, which shows what held the event loop."""
        self.metrics.record_hold(seconds)
        if seconds > LONG_HOLD_S:
            self.explainer.event("event loop held", seconds=round(seconds, 2))

    def ready(self) -> bool:
        """Tell whether callers should send new requests to this node."""
        if self.stopping or self.configuration.document is None:
            return False
        fresh = self.configuration.age_s() <= self._max_confirmation_age_s
        return fresh or not self.configuration.document.requires_keys

    # Start and stop.

    async def start(self) -> None:
        """Open the listeners and start the tasks; raises OSError if an address is in use."""
        cfg = self.cfg
        self._server = await listen(cfg.nodes, self, self.memory)
        services: list[tuple[HttpService, str]] = [
            (self.entry, cfg.outbound),
            (_ReadinessService(self.ready), cfg.ready),
            (_ControlService(self._handle_statement), cfg.control),
        ]
        if cfg.metrics:
            services.append((self.metrics, cfg.metrics))
        self._listeners = [HttpListener(service, self.memory) for service, _ in services]
        self._listeners[0] = callers = HttpListener(
            self.entry, self.memory, max_connections(cfg.file_descriptors)
        )
        self.shortages.listener = callers
        self.memory.on_shortage = callers.connections.shed
        for listener, (_, address) in zip(self._listeners, services, strict=True):
            await listener.start(address)
        for run in (
            self.follower.run,
            self.summaries.run,
            self.membership.run,
            self._heartbeat_loop,
            self._tick,
            self.explainer.run,
        ):
            self._tasks.append(asyncio.create_task(self._keep_running(run)))
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

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run one of the node's tasks, and start it again if it fails."""
        while True:
            try:
                await run()
            except Exception as exc:
                self._logger.critical("task failed", task=run.__qualname__, error=repr(exc))
            await asyncio.sleep(TASK_RESTART_S)

    async def drain(self) -> None:
        """Stop accepting requests after ``DRAIN_ACCEPT_S`` and wait for those that run.

        Requests that are accepted while the node stops must end before it does, and their
        answers be taken. Returns when none is left, at the latest ``KILL_MARGIN_S`` before
        ``stop_s`` is over, when those that still run are answered as unknown.
        """
        began = self.clock.now()
        self.stopping = self.entry.stopping = True
        self._logger.info("stopping", runs=self.target.in_flight, requests=self.entry.in_flight)
        deadline = began + max(0.0, self.cfg.stop_s - KILL_MARGIN_S)
        self.entry.stop_at = deadline - REPLY_MARGIN_S
        self.target.stop_at = self.entry.runs_end_at = deadline - 2 * REPLY_MARGIN_S
        leaving = asyncio.create_task(self.membership.deregister())
        while self.clock.now() < deadline:
            waited = self.clock.now() - began
            if waited >= DRAIN_GATE_S and not self.target.stopping:
                self.target.stopping = True
                self._broadcast_state()
            self.entry.refuses_new = waited >= DRAIN_ACCEPT_S
            running = self.target.in_flight or self.entry.in_flight or self._unsent_bytes()
            if self.entry.refuses_new and not running:
                break
            await asyncio.sleep(0.05)
        leaving.cancel()
        await self.entry.end_requests()
        self._logger.info("stopped", runs=self.target.in_flight, requests=self.entry.in_flight)

    def _unsent_bytes(self) -> int:
        """Return the number of bytes of answers that are not sent to callers or nodes yet."""
        links = sum(link.unsent_bytes() for link in self._incoming_links)
        return links + sum(listener.unsent_bytes() for listener in self._listeners)

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        self.explainer.flush()
        for listener in self._listeners:
            listener.stop()
            listener.close_idle()
        self._server.close()
        for link in list(self._incoming_links):
            link.abort()
        for task in [*self._tasks, *self._link_tasks.values()]:
            task.cancel()
        self.departures.stop()
        self.target.cold.cancel()
        self._store.close()


async def serve(
    node: MeshNode, read_settings: Callable[[], MeshSettings], settings_changed: Callable[[], bool]
) -> None:
    """Run a node until SIGTERM or SIGINT.

    The settings are read again with ``read_settings`` on SIGHUP, or if
    ``settings_changed``, which is polled every second, returns true.
    """
    loop = asyncio.get_running_loop()
    stop, reload = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await node.start()
    watching = asyncio.create_task(_reload(node, read_settings, settings_changed, reload))
    await stop.wait()
    watching.cancel()
    await node.drain()
    await node.close()


async def _reload(
    node: MeshNode,
    read_settings: Callable[[], MeshSettings],
    settings_changed: Callable[[], bool],
    requested: asyncio.Event,
) -> None:
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await requested.wait()
        if not requested.is_set() and not settings_changed():
            continue
        requested.clear()
        try:
            node.apply_settings(read_settings())
            node.explainer.event("settings reloaded", service=node.cfg.service)
        except (SettingsError, ValueError, RecursionError) as exc:
            node.explainer.event("settings reload failed; previous ones kept", error=str(exc))
