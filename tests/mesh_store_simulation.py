"""The nodes of a large fleet that follow a store, in virtual time and without a network.

Directories, followers, summaries and pushes are the real ones. Messages take a millisecond.
"""

import asyncio
import contextlib
import random
import selectors
from typing import NamedTuple
from unittest import mock

from beryldrum.clock import ManualClock
from beryldrum.errors import LogDownError, LogUnresponsiveError, PeerLostError
from beryldrum.mesh import frames
from beryldrum.mesh.configuration import ConfigurationState
from beryldrum.mesh.directory import Directory
from beryldrum.mesh.evacuation import EvacuationRead, Evacuations
from beryldrum.mesh.explain import Explainer
from beryldrum.mesh.follow import Follower
from beryldrum.mesh.frames import Document, Load, Member, NodeLoad, State
from beryldrum.mesh.graph import CallGraph
from beryldrum.mesh.propagation import Propagation
from beryldrum.mesh.quota import Quotas
from beryldrum.mesh.store import Store, Watch
from beryldrum.mesh.store_era import StoreEra
from beryldrum.mesh.summaries import Summaries

LATENCY_S = 0.001
COPY_S = 0.03
HEARTBEAT_S = 0.5
MAX_AGE_S = 4.6
REPORT_AGE_S = 1.25
CALL_TIMEOUT_S = 1.0


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        if timeout:
            self.clock.advance(timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, clock):
        super().__init__(_VirtualSelector(clock))
        self.time = clock.now


def run(case):
    """Run the coroutine function ``case``, which gets a clock, in virtual time."""
    clock = ManualClock()
    loop = _VirtualLoop(clock)
    try:
        loop.run_until_complete(case(clock))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _Document(NamedTuple):
    version: int


class SharedStore:
    """The store that all nodes call; it rejects those in ``rejected`` in the way ``mode``."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.records = [("config", 1)]
        """Key and value: a version, or whether a data centre is evacuated."""
        self.era = 0
        self.calls = 0
        self.callers = {}
        """When each node has called last, by address."""
        self.rejected = set()
        self.mode = "503"
        self.delay_s = 0.004
        self.changed = asyncio.Event()

    def write(self, key, value):
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, length):
        """Go back to the first ``length`` records, in a new era."""
        del self.records[length:]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def fail(self, timeout_s):
        if self.mode == "silent":
            await asyncio.sleep(timeout_s)
            raise LogUnresponsiveError("silent")
        await asyncio.sleep(LATENCY_S)
        raise LogUnresponsiveError("reset") if self.mode == "reset" else LogDownError(self.mode)


class NodeStore(Store):
    """The calls of one node."""

    def __init__(self, shared, address):
        self.shared = shared
        self.address = address

    async def _begin(self, wait_s):
        shared = self.shared
        shared.calls += 1
        shared.callers[self.address] = shared.clock.now()
        if self.address in shared.rejected:
            await shared.fail(wait_s + CALL_TIMEOUT_S)
        await asyncio.sleep(shared.delay_s)

    def _read(self, start, complete):
        records = self.shared.records
        end, era = len(records), self.shared.era
        newest = {key: (value, n + 1) for n, (key, value) in enumerate(records) if n >= start}
        config = newest.pop("config", None)
        prefix = "evacuate/"
        states = {k.removeprefix(prefix): v for k, v in newest.items() if k.startswith(prefix)}
        if complete:
            states = {name: state for name, state in states.items() if state[0] is not False}
        read = EvacuationRead(states, end, complete, era)
        text = str(config[0]).encode() if config else None
        return Watch(text, end, 0.0, read, era)

    async def configuration(self):
        await self._begin(0.0)
        return self._read(0, True)

    async def watch(self, position, wait_s):
        await self._begin(wait_s)
        shared = self.shared
        if position > len(shared.records):
            return self._read(0, True)
        if position == len(shared.records):
            ends_at = shared.clock.now() + wait_s
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await shared.changed.wait()
            if self.address in shared.rejected:
                # A poll that was held when the rejections began brings nothing either.
                await asyncio.sleep(ends_at - shared.clock.now())
                await shared.fail(CALL_TIMEOUT_S)
        if position < len(shared.records):
            return self._read(position, False)
        return Watch(None, position, wait_s, None, shared.era)

    async def register(self, member):
        raise NotImplementedError

    deregister = record_departures = remove_departures = record_era = register

    async def registry(self):
        raise NotImplementedError

    def close(self):
        pass


class _Link:
    def __init__(self, source, other):
        self.source = source
        self.other = other
        self.address = other.member.address

    def write(self, frame):
        message = frames.decode(frame[frames.LENGTH.size :])
        asyncio.get_running_loop().call_later(LATENCY_S, self.other.receive, message)

    async def request(self, message, timeout_s):
        await asyncio.sleep(COPY_S)
        other = self.other
        if not other.alive:
            raise PeerLostError(self.address, sent=True)
        state = other.configuration
        return Document(0, state.text, state.age_ms(), other.evacuations.entries())


class SimulatedNode:
    """What a node has of the components that follow the store."""

    def __init__(self, fleet, number, data_centre, deadline_s):
        clock, rng = fleet.clock, random.Random(f"{fleet.seed} {number}")
        self.fleet = fleet
        self.alive = True
        self.member = Member(f"10.0.{data_centre}.{number + 1}:1", f"dc{data_centre}", 1)
        self.directory = Directory(clock, self.member)
        self.configuration = ConfigurationState(clock)
        self.evacuations = Evacuations()
        self.era = StoreEra(clock)
        self.links = {}
        self._state_at = -1.0
        explainer = fleet.explainer
        adapter = mock.Mock()
        adapter.parse_document = lambda text: _Document(int(text))
        self.follower = Follower(
            clock,
            rng,
            NodeStore(fleet.store, self.member.address),
            adapter,
            self.configuration,
            self.directory,
            self.links,
            explainer,
            MAX_AGE_S,
            lambda: REPORT_AGE_S,
            deadline_s,
            self.evacuations,
            self.era,
        )
        self.follower.members_read.set()
        self.summaries = Summaries(
            clock,
            rng,
            self.directory,
            self.configuration,
            fleet.quotas,
            fleet.graph,
            explainer,
            lambda: NodeLoad(self.member, Load("shop")),
            self._ask,
            self._relay,
            lambda address: self.follower.copy_from(address, immediately=True),
            lambda peers: None,
            self.evacuations,
            self.era,
            self.follower.readers.has_reader,
        )
        self.propagation = Propagation(
            self.directory,
            self.follower,
            self.evacuations,
            explainer,
            self.summaries,
            self.broadcast,
            lambda: frames.encode(self.state()),
            self._open_link,
        )
        self.configuration.on_change.append(lambda _: self.broadcast())

    def connect(self, others):
        for other in others:
            if other is not self:
                self.directory.add(other.member)
                self.links[other.member.address] = _Link(self, other)
        for peer in self.directory.peers.values():
            if self.directory.exchanges_heartbeats(peer):
                self.directory.set_connected(peer, True)

    def state(self):
        """Return the state; it is made at most once per moment, since many nodes get it."""
        now = self.fleet.clock.now()
        if self._state_at != now:
            self._state_at, self._state = now, self._make_state()
        return self._state

    def _make_state(self):
        configuration = self.configuration
        proof_ms = configuration.age_ms()
        return State(
            self.member,
            Load("shop"),
            configuration.version,
            proof_ms,
            {},
            {},
            evacuations=self.evacuations.entries(),
            store_rejected=self.follower.readers.rejected,
            store_era=self.era.number,
            data_centre_count=self.directory.data_centre_count(),
        )

    def local_links(self):
        peers = [peer for peer in self.directory.peers.values() if peer.connected]
        return [self.links[peer.member.address] for peer in peers]

    def broadcast(self):
        self._state_at = -1.0
        frame = frames.encode(self.state())
        for link in self.local_links():
            link.write(frame)

    def _relay(self, frame):
        for link in self.local_links():
            link.write(frame)

    async def _open_link(self, peer, timeout_s):
        await asyncio.sleep(2 * LATENCY_S)
        return self.links[peer.member.address]

    async def _ask(self, peer, message, timeout_s):
        await asyncio.sleep(2 * LATENCY_S)
        other = self.fleet.nodes[peer.member.address]
        if not other.alive:
            raise PeerLostError(peer.member.address, sent=True)
        return frames.decode(frames.encode(other.summaries.make(0))[frames.LENGTH.size :])

    def receive(self, message, answered=False):
        if not self.alive:
            return
        if isinstance(message, frames.Summary):
            self.summaries.relayed(message)
            return
        now = self.fleet.clock.now() - LATENCY_S
        self.directory.apply_state(message, now, answered)
        self.era.learn(message.store_era)
        self.evacuations.merge(message.evacuations)
        if message.version > self.configuration.version:
            self.propagation.on_newer(message)
        elif answered and message.proof_ms >= 0:
            self.configuration.confirm(message.version, now - message.proof_ms / 1000)

    async def _heartbeats(self):
        while True:
            for link in self.local_links():
                if link.other.alive:
                    self.receive(link.other.state(), answered=True)
            await asyncio.sleep(HEARTBEAT_S)

    def start(self):
        # A node reads the members at its start.
        self.era.observe(self.fleet.store.era)
        runs = (self.follower.run, self.summaries.run, self._heartbeats)
        self.tasks = [asyncio.create_task(run()) for run in runs]

    def stop(self):
        """End the process, which closes its connections."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for other in self.fleet.nodes.values():
            peer = other.directory.peers.get(self.member.address)
            if peer is not None:
                other.directory.set_connected(peer, False)


class SimulatedFleet:
    """The nodes, evenly over ``data_centres``, and their store."""

    def __init__(self, clock, seed, hosts=75, data_centres=4, deadline_s=2.5):
        self.clock = clock
        self.seed = seed
        self.rng = random.Random(seed)
        self.deadline_s = deadline_s
        self.data_centres = data_centres
        self.store = SharedStore(clock)
        self.quotas = mock.create_autospec(Quotas, instance=True)
        self.quotas.data_centre_usages.return_value = {}
        self.graph = mock.create_autospec(CallGraph, instance=True)
        self.graph.merged.return_value = {}
        self.explainer = mock.create_autospec(Explainer, instance=True)
        self.nodes = {}
        for number in range(hosts):
            self._add(number)

    def _add(self, number):
        centres = self.data_centres
        node = SimulatedNode(self, number // centres, number % centres, self.deadline_s)
        self.nodes[node.member.address] = node
        return node

    def start(self):
        for node in self.nodes.values():
            node.connect(self.nodes.values())
        for node in self.nodes.values():
            node.start()

    def restart(self):
        """Kill all nodes at once and start new processes in their place."""
        for node in self.nodes.values():
            node.stop()
        hosts, self.nodes = len(self.nodes), {}
        for number in range(hosts):
            self._add(number)
        self.start()

    def readers(self):
        """Return the addresses of the nodes that have called the store most recently."""
        recent = self.clock.now() - 3.0
        callers = self.store.callers
        return [address for address, at in callers.items() if at > recent]

    async def until(self, condition, seconds):
        """Return after how many seconds ``condition()`` is true, or more than ``seconds``."""
        start = self.clock.now()
        while not condition() and self.clock.now() - start <= seconds:
            await asyncio.sleep(0.01)
        return self.clock.now() - start
