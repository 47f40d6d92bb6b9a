"""The nodes that this node knows, and what each last said of itself.

In a small fleet each node hears every other. In a large one it hears the nodes of
its own data centre, and of each other data centre a summary that one of the nodes
there makes; links to nodes elsewhere are opened when work is sent to them.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import xxhash

from ..clock import Clock
from .frames import Load, Member, NodeLoad, State, Summary
from .quota import Usage, UsageReport

__all__ = ["Directory", "Peer"]

SMALL_FLEET = 24
"""Nodes up to which each hears every other."""

FORGET_S = 60.0
"""A node that has not been heard of for this long is forgotten; the store names it
again if it is still a member."""


TOLD_LIFE_S = 2.0
"""Time for which a node counts as serving after a summary has named it last."""

SOURCE_LIFE_S = 1.2
"""Silence of the node that summarises a data centre after which another one's summary
is taken: their counts cannot be compared."""

UNREACHED_S = 1.0
"""Time for which a node of another data centre that was not reached is left alone."""

TOOK_LIFE_S = 3.0
"""Age from which on a time that was seen says nothing: the target is tried again."""

TOOK_WEIGHT = 0.2
"""Weight of the newest time in the smoothed one."""


class _Took(NamedTuple):
    seconds: float
    at: float


class Peer:
    """Another node. ``heard_at`` is when its last state was asked for."""

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.added_at = now
        self.heard_at = float("-inf")
        self.load = Load()
        self.calls: dict[str, float] = {}
        self.uses: dict[str, Usage] = {}
        self.states = 0
        """How many states were heard of it."""
        self.stopping = False
        self.connected = False
        self.silent: Callable[[], float] = lambda: 0.0
        """Tells for how many seconds it has owed every answer."""
        self.told_at = float("-inf")
        """When a summary of its data centre named it last."""
        self.unreached_at = float("-inf")
        """When a connection to it could not be opened, or was lost."""
        self.sent = 0
        """Runs given to it since its load was last heard."""
        self._took: dict[str, _Took] = {}

    def took(self, route: str, seconds: float, now: float, good: bool = True) -> None:
        """Note how long it took to answer a request of a route.

        A failure counts only where it took longer: one that comes at once does not
        make a target a fast one.
        """
        old = self._took.get(route)
        fresh = old is not None and now - old.at < TOOK_LIFE_S
        if not good and not (old and fresh and seconds > old.seconds):
            return
        mean = old.seconds + TOOK_WEIGHT * (seconds - old.seconds) if old and fresh else seconds
        self._took[route] = _Took(mean, now)

    def usual_s(self, route: str, now: float) -> float:
        """Return how long it takes to answer a request of a route, 0 if not known."""
        took = self._took.get(route)
        return took.seconds if took is not None and now - took.at < TOOK_LIFE_S else 0.0

    def fullness(self) -> float:
        """Return the share of its limit that its target uses, with one more."""
        load = self.load
        return (load.busy + self.sent + 1) / (load.limit or 1)


class _Centre:
    """What was last told of another data centre."""

    def __init__(self) -> None:
        self.source: Member | None = None
        self.at = float("-inf")
        self.heard = 0
        self.uses: dict[str, Usage] = {}
        self.calls: dict[str, float] = {}

    def report(self, name: str) -> UsageReport:
        """Return what its nodes together have used; another source counts from anew."""
        assert self.source is not None
        source = f"{self.source.address} {self.source.incarnation}"
        return UsageReport(name, xxhash.xxh32_intdigest(source.encode()), self.heard, self.uses)


class Directory:
    """All other nodes, by address."""

    def __init__(self, clock: Clock, own: Member) -> None:
        self._clock = clock
        self.own = own
        self.peers: dict[str, Peer] = {}
        self._services: dict[str, list[Peer]] | None = None
        self._services_until = float("inf")
        self._centres: dict[str, _Centre] = {}
        self._centres_told = 0
        """Data centres that a companion knows of."""
        self.changes = 0
        """Counts what may change the nodes of the own data centre that are heard."""
        self.large = False
        """Whether the fleet has ever been too large for each to hear every other."""

    def near(self, peer: Peer) -> bool:
        """Tell whether a node is in the own data centre."""
        return peer.member.data_centre == self.own.data_centre

    def heard_directly(self, peer: Peer) -> bool:
        """Tell whether a connection to a node is kept for its heartbeats."""
        return not self.large or self.near(peer)

    def companions(self) -> list[Peer]:
        """Return the nodes of the own data centre that are connected and not stopping."""
        return [p for p in self.peers.values() if p.connected and not p.stopping and self.near(p)]

    def add(self, member: Member) -> Peer | None:
        """Add a node that was named by others; returns it when it is new."""
        if member.address == self.own.address:
            return None
        known = self.peers.get(member.address)
        if known is not None:
            if member.incarnation > known.member.incarnation:
                known.member = member
            return None
        peer = self.peers[member.address] = Peer(member, self._clock.now())
        if len(self.peers) >= SMALL_FLEET:
            self._grow()
        return peer

    def _grow(self) -> None:
        if not self.large:
            self.large = True
            self.changes += 1

    def summarised(self, summary: Summary, asked_at: float) -> list[Peer]:
        """Take up a summary of another data centre; returns the nodes that are new.

        Loads are taken from any source, counts only from one at a time.
        """
        new = []
        for node in summary.nodes:
            known = self.add(node.member)
            if known is not None:
                new.append(known)
            peer = self.peers.get(node.member.address)
            if peer is None or asked_at < peer.heard_at:
                continue
            if node.member.incarnation < peer.member.incarnation:
                continue
            peer.member = node.member
            peer.stopping = False
            peer.heard_at = peer.told_at = asked_at
            self.loaded(peer, node.load)
        centre = self._centres.setdefault(summary.source.data_centre, _Centre())
        if centre.source != summary.source and asked_at - centre.at <= SOURCE_LIFE_S:
            return new
        if asked_at > centre.at:
            centre.source, centre.at = summary.source, asked_at
            centre.heard += 1
            centre.uses, centre.calls = summary.uses, summary.calls
        return new

    def node_loads(self) -> list[NodeLoad]:
        """Return the nodes of the own data centre that are heard, for a summary."""
        return [NodeLoad(peer.member, peer.load) for peer in self.companions()]

    def unreached(self, peer: Peer) -> None:
        """Note that a node of another data centre could not be reached."""
        peer.unreached_at = self._clock.now()
        self._services = None

    def heard(self, state: State, asked_at: float, answered: bool = False) -> None:
        """Take up what a node says of itself.

        What it ``answered`` on our own connection is said by whoever is at its address
        now, also where its clock was set back before it started. What comes unasked
        may be late, so an earlier incarnation says nothing there.
        """
        peer = self.peers.get(state.member.address)
        if peer is None:
            return
        if not answered and state.member.incarnation < peer.member.incarnation:
            return
        peer.member = state.member
        peer.heard_at = max(peer.heard_at, asked_at)
        peer.calls, peer.uses = state.calls, state.uses
        if state.centres:
            # A node that has just started may know a few of a large fleet.
            self._centres_told = max(self._centres_told, state.centres)
            self._grow()
        peer.states += 1
        if peer.stopping != state.stopping or peer.load.service != state.load.service:
            self._services = None
            self.changes += 1
        peer.stopping = state.stopping
        self.loaded(peer, state.load)

    def loaded(self, peer: Peer, load: Load) -> None:
        """Take up the load that a node states."""
        if peer.load.service != load.service:
            self._services = None
        peer.load = load
        peer.sent = 0

    def connected(self, peer: Peer, connected: bool) -> None:
        """Note that the connection to a node stands, or has ended."""
        if peer.connected != connected:
            self._services = None
            self.changes += 1
        peer.connected = connected

    def serving(self, service: str) -> list[Peer]:
        """Return the nodes that can be reached and whose target takes a service's work."""
        if self._services is None or self._clock.now() >= self._services_until:
            self._services = self._serving()
        return self._services.get(service, [])

    def _serving(self) -> dict[str, list[Peer]]:
        now = self._clock.now()
        self._services_until = now + TOLD_LIFE_S / 8 if self.large else float("inf")
        found: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if peer.stopping or not peer.load.service:
                continue
            told = now - peer.told_at < TOLD_LIFE_S and now - peer.unreached_at > UNREACHED_S
            if peer.connected or (told and self.large):
                found.setdefault(peer.load.service, []).append(peer)
        return found

    def reports(self) -> list[UsageReport]:
        """Return what the others that share a rate with this node have said to use."""
        if self.large:
            return [c.report(name) for name, c in self._centres.items() if c.source]
        return [self._report(peer) for peer in self.peers.values() if not peer.stopping]

    def companion_reports(self) -> list[UsageReport]:
        """Return what the nodes of the own data centre have admitted."""
        if not self.large:
            return []
        return [self._report(p) for p in self.peers.values() if p.states and self.near(p)]

    @staticmethod
    def _report(peer: Peer) -> UsageReport:
        return UsageReport(peer.member.address, peer.member.incarnation, peer.states, peer.uses)

    def centres(self) -> int:
        """Return the number of data centres of a large fleet, 0 for a small one."""
        if not self.large:
            return 0
        names = {peer.member.data_centre for peer in self.peers.values()}
        return max(len(names | {self.own.data_centre}), self._centres_told)

    def share(self) -> float:
        """Return the part of the own data centre that is heard, this node included.

        Nodes that are silent without having said that they stop may be cut off, and
        serve what they can. Of a data centre that has not been heard of yet nothing is
        known either, so its part is left to it.
        """
        if not self.large:
            return 1.0
        told = 1 + sum(c.source is not None for c in self._centres.values())
        near = [p for p in self.peers.values() if p.states and not p.stopping and self.near(p)]
        heard = sum(peer.connected for peer in near)
        return (heard + 1) / (len(near) + 1) * min(1.0, told / self.centres())

    def demands(self) -> dict[str, float]:
        """Return what companions are asked for by organisation, in the unit of a use."""
        sums: dict[str, float] = {}
        for peer in self.companions():
            for name, use in peer.uses.items():
                sums[name] = sums.get(name, 0.0) + use.demand
        return sums

    def calls(self) -> list[Mapping[str, float]]:
        """Return what others learnt of the calls that targets make."""
        heard: list[Mapping[str, float]] = [peer.calls for peer in self.peers.values()]
        return heard + [centre.calls for centre in self._centres.values()]

    def summary_age_s(self, data_centre: str) -> float:
        """Return the age of the newest summary of a data centre, infinite without one."""
        centre = self._centres.get(data_centre)
        return self._clock.now() - centre.at if centre else float("inf")

    def heard_centres(self) -> list[str]:
        """Return the other data centres of which a summary has come lately."""
        now = self._clock.now()
        return [name for name, c in self._centres.items() if now - c.at < TOLD_LIFE_S]

    def data_centres(self) -> dict[str, list[Peer]]:
        """Return the nodes of each other data centre."""
        found: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if not self.near(peer):
                found.setdefault(peer.member.data_centre, []).append(peer)
        return found

    def forget(self) -> list[Peer]:
        """Drop the nodes that were not heard of for long, and return them."""
        now = self._clock.now()
        gone = [
            p
            for p in self.peers.values()
            if not p.connected and now - max(p.heard_at, p.added_at) > FORGET_S
        ]
        for peer in gone:
            del self.peers[peer.member.address]
        if gone:
            self._services = None
        return gone
