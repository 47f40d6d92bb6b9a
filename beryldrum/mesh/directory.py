"""The peer directory: the other nodes of the fleet and their last known state.

In a small fleet every node exchanges heartbeats with every other. In a large one a node
does so only with the nodes of its own data centre. For each other data centre it applies
a summary made by one of the nodes there, and connects to a remote node only when it sends
work to it.
"""

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import xxhash

from ..clock import Clock
from .frames import Load, Member, NodeLoad, RetryDemand, State, Summary, TargetStatus
from .quota import Usage, UsageReport

__all__ = ["Directory", "Peer"]

FULL_MESH_MAX_NODES = 24
"""Largest number of nodes at which every node exchanges heartbeats with every other."""

PEER_EXPIRY_S = 60.0
"""Time without contact after which a node is removed. It is added again from the store
if it is still a member."""


SUMMARY_EXPIRY_S = 2.0
"""Time for which a node counts as serving after the last summary that included it."""

SUMMARY_SOURCE_TIMEOUT_S = 1.2
"""Time without a summary from a data centre's current source after which another source
is accepted. Counts of different sources cannot be compared."""

UNREACHABLE_RETRY_S = 1.0
"""Time for which a node is not selected after a connection to it failed, if it is known
only from summaries."""

RECENT_SERVICE_S = 2.0
"""Time for which the last load of a target that has stopped to serve tells what it took:
its node may report that before this one knows of the evacuation that caused it."""

LATENCY_EXPIRY_S = 3.0
"""Age at which a recorded latency is discarded, so that the target is tried again."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of the latency."""


class _Latency(NamedTuple):
    seconds: float
    at: float


class Peer:
    """Another node. ``last_seen_at`` is when its last state was requested."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.added_at = now
        self.last_seen_at = float("-inf")
        self.load = Load()
        self.last_served = Load()
        """The last load with which its target accepted requests."""
        self.served_at = float("-inf")
        """When that load was replaced by one of a target that accepts none."""
        self.target_status: TargetStatus | None = None
        """What its target has stated, as last reported; kept when the node restarts."""
        self.calls: dict[str, float] = {}
        self.uses: dict[str, Usage] = {}
        self.retry_demands: dict[str, RetryDemand] = {}
        self.states_received = 0
        self.stopping = False
        self.connected = False
        self.unanswered_s: Callable[[], float] = lambda: 0.0
        """Returns for how many seconds it has not answered any pending request or heartbeat."""
        self.summarised_at = float("-inf")
        """When the last summary of its data centre that included it was made."""
        self.unreachable_at = float("-inf")
        """When connecting to it last failed, or the connection was lost."""
        self.sent = 0
        """Runs sent to it since its last load report."""
        self.store_rejected = False
        """Whether it has announced that the store rejects it."""
        self.rejected_at = float("-inf")
        """When it announced that."""
        self._latencies: dict[str, _Latency] = {}

    def record_latency(
        self, route: str, seconds: float, now: float, succeeded: bool = True
    ) -> None:
        """Add a response time of a route to its moving average.

        A failure (``succeeded`` is false) counts only if it took longer than the average:
        a target that fails at once must not look fast.
        """
        old = self._latencies.get(route)
        fresh = old is not None and now - old.at < LATENCY_EXPIRY_S
        if not succeeded and not (old and fresh and seconds > old.seconds):
            return
        mean = old.seconds + LATENCY_WEIGHT * (seconds - old.seconds) if old and fresh else seconds
        self._latencies[route] = _Latency(mean, now)

    def mean_latency_s(self, route: str, now: float) -> float:
        """Return the average response time of a route in seconds, 0 if not known."""
        latency = self._latencies.get(route)
        return (
            latency.seconds if latency is not None and now - latency.at < LATENCY_EXPIRY_S else 0.0
        )

    def utilisation(self) -> float:
        """Return the share of its concurrency limit in use if one more run is sent to it."""
        load = self.load
        return (load.busy + self.sent + 1) / (load.limit or 1)


class _RemoteDataCentre:
    """The last summary of another data centre."""

    def __init__(self) -> None:
        self.source: Member | None = None
        self.at = float("-inf")
        self.received = 0
        self.uses: dict[str, Usage] = {}
        self.calls: dict[str, float] = {}
        self.has_reader = True
        self.served_at = float("-inf")
        """When the last summary according to which it has a reader was made."""
        self.retry_demands: dict[str, RetryDemand] = {}

    def report(self, name: str) -> UsageReport:
        """Return the rate use of the whole data centre.

        The report is identified by its source, since each source has counters of its own.
        """
        assert self.source is not None
        source = f"{self.source.address} {self.source.incarnation}"
        return UsageReport(name, xxhash.xxh32_intdigest(source.encode()), self.received, self.uses)


class Directory:
    """All other nodes, by address."""

    def __init__(self, clock: Clock, own: Member) -> None:
        self._clock = clock
        self.own = own
        self.peers: dict[str, Peer] = {}
        self._services: dict[str, list[Peer]] | None = None
        self._services_until = float("inf")
        self._data_centres: dict[str, _RemoteDataCentre] = {}
        self._reported_data_centres = 0
        """Largest number of data centres that another node has reported."""
        self.evacuated: Callable[[str], bool] = lambda data_centre: False
        """Tells whether the targets of a data centre are to get no requests."""
        self.membership_version = 0
        """Incremented when the result of :meth:`local_peers` may have changed."""
        self.large = False
        """Whether the fleet has ever exceeded the size of a full mesh."""
        self.on_readers_change: list[Callable[[], None]] = []
        """Called when the nodes that follow the store may have to change."""

    def is_local(self, peer: Peer) -> bool:
        """Tell whether a node is in this node's data centre."""
        return peer.member.data_centre == self.own.data_centre

    def exchanges_heartbeats(self, peer: Peer) -> bool:
        """Tell whether a connection to a node is kept open for heartbeats."""
        return not self.large or self.is_local(peer)

    def local_peers(self) -> list[Peer]:
        """Return the nodes of this data centre that are connected and not stopping."""
        return [
            p for p in self.peers.values() if p.connected and not p.stopping and self.is_local(p)
        ]

    def add(self, member: Member) -> Peer | None:
        """Add a node; returns its peer if it was not known before."""
        if member.address == self.own.address:
            return None
        known = self.peers.get(member.address)
        if known is not None:
            if member.incarnation > known.member.incarnation:
                known.member = member
            return None
        peer = self.peers[member.address] = Peer(member, self._clock.now())
        if len(self.peers) >= FULL_MESH_MAX_NODES:
            self._mark_large()
        return peer

    def _mark_large(self) -> None:
        if not self.large:
            self.large = True
            self.membership_version += 1

    def apply_summary(self, summary: Summary, asked_at: float) -> list[Peer]:
        """Apply a summary of another data centre; returns the nodes that were not known.

        Loads are accepted from any source, counts from only one source at a time.
        """
        new = []
        for node in summary.nodes:
            known = self.add(node.member)
            if known is not None:
                new.append(known)
            peer = self.peers.get(node.member.address)
            if peer is None or asked_at < peer.last_seen_at:
                continue
            if node.member.incarnation < peer.member.incarnation:
                continue
            peer.member = node.member
            peer.stopping = False
            peer.last_seen_at = peer.summarised_at = asked_at
            self.update_load(peer, node.load)
        remote = self._data_centres.setdefault(summary.source.data_centre, _RemoteDataCentre())
        if remote.source != summary.source and asked_at - remote.at <= SUMMARY_SOURCE_TIMEOUT_S:
            return new
        if asked_at > remote.at:
            remote.source, remote.at = summary.source, asked_at
            remote.received += 1
            remote.uses, remote.calls = summary.uses, summary.calls
            if summary.has_reader:
                remote.served_at = asked_at
            if remote.has_reader != summary.has_reader:
                remote.has_reader = summary.has_reader
                self._readers_changed()
            remote.retry_demands = summary.retry_demands
        return new

    def _readers_changed(self) -> None:
        for callback in self.on_readers_change:
            callback()

    def rejected_data_centres(self) -> set[str]:
        """Return the other data centres whose reader the store rejects."""
        found = {name for name, remote in self._data_centres.items() if not remote.has_reader}
        for peer in self.peers.values():
            # A rejected node of another data centre announces it before the next summary.
            if peer.store_rejected and not self.is_local(peer):
                remote = self._data_centres.get(peer.member.data_centre)
                if remote is None or peer.rejected_at > remote.served_at:
                    found.add(peer.member.data_centre)
        return found

    def local_loads(self) -> list[NodeLoad]:
        """Return the loads of this data centre's other nodes, for a summary."""
        return [NodeLoad(peer.member, peer.load) for peer in self.local_peers()]

    def mark_unreachable(self, peer: Peer) -> None:
        """Record that connecting to a node failed, or that the connection was lost."""
        peer.unreachable_at = self._clock.now()
        self._services = None

    def apply_state(self, state: State, asked_at: float, answered: bool = False) -> None:
        """Apply the state that a node reports.

        An ``answered`` state is a reply on this node's own connection. It comes from the
        process now at that address and is applied even if the incarnation went down,
        which happens when the clock was set back before a restart. A state that was not
        requested may be delayed, so it is dropped if it is of an earlier incarnation.
        """
        peer = self.peers.get(state.member.address)
        if peer is None:
            return
        if not answered and state.member.incarnation < peer.member.incarnation:
            return
        peer.member = state.member
        peer.last_seen_at = max(peer.last_seen_at, asked_at)
        peer.calls, peer.uses = state.calls, state.uses
        peer.retry_demands = state.retry_demands
        if state.data_centre_count:
            # A node that has just started may know only a few nodes of a large fleet.
            self._reported_data_centres = max(self._reported_data_centres, state.data_centre_count)
            self._mark_large()
        peer.states_received += 1
        if peer.stopping != state.stopping or peer.load.service != state.load.service:
            self._services = None
            self.membership_version += 1
        peer.stopping = state.stopping
        self.update_load(peer, state.load)
        if peer.store_rejected != state.store_rejected:
            peer.store_rejected = state.store_rejected
            if state.store_rejected:
                peer.rejected_at = self._clock.now()
            self._readers_changed()

    def update_load(self, peer: Peer, load: Load) -> None:
        """Store the load that a node reports."""
        if peer.load.service != load.service:
            self._services = None
        if peer.load.service and not load.service:
            peer.last_served, peer.served_at = peer.load, self._clock.now()
        peer.load = load
        peer.target_status = load.status or peer.target_status
        peer.sent = 0

    def set_connected(self, peer: Peer, connected: bool) -> None:
        """Record whether the connection to a node is established."""
        if peer.connected != connected:
            self._services = None
            self.membership_version += 1
            peer.connected = connected
            self._readers_changed()

    def evacuations_changed(self) -> None:
        """Apply that another result of ``evacuated`` may be in force."""
        self._services = None

    def evacuated_data_centres(self) -> set[str]:
        """Return the known data centres that are evacuated."""
        names = {peer.member.data_centre for peer in self.peers.values()}
        return {name for name in names | {self.own.data_centre} if self.evacuated(name)}

    def loads_in(self, data_centres: Collection[str]) -> list[Load]:
        """Return what the other nodes of data centres last reported while they served."""
        now = self._clock.now()
        found = []
        for peer in self.peers.values():
            if peer.member.data_centre not in data_centres:
                continue
            known = peer.connected or now - peer.summarised_at < SUMMARY_EXPIRY_S
            if peer.load.service and known:
                found.append(peer.load)
            elif not peer.load.service and now - peer.served_at < RECENT_SERVICE_S:
                found.append(peer.last_served)
        return found

    def serving(self, service: str) -> list[Peer]:
        """Return the reachable nodes whose target accepts requests of a service."""
        if self._services is None or self._clock.now() >= self._services_until:
            self._services = self._serving()
        return self._services.get(service, [])

    def _serving(self) -> dict[str, list[Peer]]:
        expiry_s = SUMMARY_EXPIRY_S / 8 if self.large else float("inf")
        self._services_until = self._clock.now() + expiry_s
        found: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            evacuated = self.evacuated(peer.member.data_centre)
            if peer.load.service and self.is_serving(peer) and not evacuated:
                found.setdefault(peer.load.service, []).append(peer)
        return found

    def is_serving(self, peer: Peer) -> bool:
        """Tell whether a node can be reached, as far as is known."""
        now = self._clock.now()
        summarised = (
            now - peer.summarised_at < SUMMARY_EXPIRY_S
            and now - peer.unreachable_at > UNREACHABLE_RETRY_S
        )
        return not peer.stopping and (peer.connected or (summarised and self.large))

    def reports(self) -> list[UsageReport]:
        """Return the rate use of all that share a rate with this node.

        These are the other nodes, or in a large fleet the other data centres.
        """
        if self.large:
            return [c.report(name) for name, c in self._data_centres.items() if c.source]
        return [self._report(peer) for peer in self.peers.values() if not peer.stopping]

    def local_reports(self) -> list[UsageReport]:
        """Return the rate use of the other nodes of this data centre, in a large fleet."""
        if not self.large:
            return []
        return [
            self._report(p) for p in self.peers.values() if p.states_received and self.is_local(p)
        ]

    @staticmethod
    def _report(peer: Peer) -> UsageReport:
        return UsageReport(
            peer.member.address, peer.member.incarnation, peer.states_received, peer.uses
        )

    def data_centre_count(self) -> int:
        """Return the number of data centres of a large fleet, 0 for a small one."""
        if not self.large:
            return 0
        names = {peer.member.data_centre for peer in self.peers.values()}
        return max(len(names | {self.own.data_centre}), self._reported_data_centres)

    def reachable_share(self) -> float:
        """Return the share of its part of a rate that this data centre may grant here.

        It is the share of the data centre's nodes that are connected, this node
        included. A node that went silent without reporting that it stops may be
        partitioned and still grant requests. Nothing is known yet of a data centre
        without a summary, so its part of the rate is left to it.
        """
        if not self.large:
            return 1.0
        reported = 1 + sum(c.source is not None for c in self._data_centres.values())
        local = [
            p
            for p in self.peers.values()
            if p.states_received and not p.stopping and self.is_local(p)
        ]
        connected = sum(peer.connected for peer in local)
        return (connected + 1) / (len(local) + 1) * min(1.0, reported / self.data_centre_count())

    def local_demands(self) -> dict[str, float]:
        """Return the other local nodes' summed demand by organisation, as in :class:`Usage`."""
        sums: dict[str, float] = {}
        for peer in self.local_peers():
            for name, usage in peer.uses.items():
                sums[name] = sums.get(name, 0.0) + usage.demand
        return sums

    def calls(self) -> list[Mapping[str, float]]:
        """Return the call graph edges that others have learnt, a mapping for each."""
        learnt: list[Mapping[str, float]] = [peer.calls for peer in self.peers.values()]
        return learnt + [remote.calls for remote in self._data_centres.values()]

    def retry_demands(self) -> list[Mapping[str, RetryDemand]]:
        """Return the retry demands that other nodes report, or in a large fleet the summaries.

        Reports that are not renewed expire with the connection or the summary.
        """
        if not self.large:
            return [p.retry_demands for p in self.peers.values() if p.connected and not p.stopping]
        recent = [self._data_centres[name].retry_demands for name in self.recent_data_centres()]
        return self.local_retry_demands() + recent

    def local_retry_demands(self) -> list[Mapping[str, RetryDemand]]:
        """Return the retry demands of the other nodes of this data centre."""
        return [peer.retry_demands for peer in self.local_peers()]

    def summary_age_s(self, data_centre: str) -> float:
        """Return the age of the last summary of a data centre, infinite without one."""
        remote = self._data_centres.get(data_centre)
        return self._clock.now() - remote.at if remote else float("inf")

    def recent_data_centres(self) -> list[str]:
        """Return the other data centres whose last summary has not expired."""
        now = self._clock.now()
        return [name for name, c in self._data_centres.items() if now - c.at < SUMMARY_EXPIRY_S]

    def peers_by_data_centre(self) -> dict[str, list[Peer]]:
        """Return the nodes of each other data centre."""
        found: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if not self.is_local(peer):
                found.setdefault(peer.member.data_centre, []).append(peer)
        return found

    def expire_peers(self) -> list[Peer]:
        """Remove the nodes without recent contact, and return them."""
        now = self._clock.now()
        gone = [
            p
            for p in self.peers.values()
            if not p.connected and now - max(p.last_seen_at, p.added_at) > PEER_EXPIRY_S
        ]
        for peer in gone:
            del self.peers[peer.member.address]
        if gone:
            self._services = None
        return gone
