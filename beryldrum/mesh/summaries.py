"""What the data centres of a large fleet tell each other.

Any node can summarise its data centre, since it hears all nodes of it. In each other
data centre a node that is ranked by a hash, and not elected, asks for the summary and
relays it to the nodes around it; where none has come the second in rank does it too.
So what a node sends and receives grows with its data centre and the number of data
centres, not with the fleet.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import xxhash

from ..clock import Clock
from ..errors import PeerLostError
from .configuration import ConfigurationState
from .directory import Directory, Peer
from .explain import Explainer
from .frames import NodeLoad, Summary, SummaryRequest, encode
from .graph import CallGraph
from .quota import Quotas

__all__ = ["SUMMARY_S", "Summaries"]

SUMMARY_S = 0.4
"""Period at which another data centre's summary is asked for."""

ASK_S = 0.35
"""Time within which it has come; half of the way of a slow link and some work."""

ASKERS = 2
"""Nodes of a data centre that may ask for the summary of each other one; all but the
first in rank ask only where it has not come."""

OVERDUE_S = 0.7
"""Age of the last summary from which on it has not come."""

MADE_LIFE_S = 0.1
"""Time for which a summary is sent again before it is made anew."""

TIMER_S = 1e-3
"""Error of the clock that a relayed age may have."""


class Summaries:
    """Makes the summary of the own data centre, and takes up those of others.

    ``own`` returns this node and its load, ``ask`` sends a message to a node and
    returns its answer, ``relay`` sends a frame to all nodes of the own data centre,
    ``newer_at`` is called with a node whose configuration is newer, and ``met`` with
    nodes that were not known.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        news: ConfigurationState,
        quotas: Quotas,
        graph: CallGraph,
        explainer: Explainer,
        own: Callable[[], NodeLoad | None],
        ask: Callable[[Peer, SummaryRequest, float], Awaitable[Summary]],
        relay: Callable[[bytes], None],
        newer_at: Callable[[str], None],
        met: Callable[[list[Peer]], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._news = news
        self._quotas = quotas
        self._graph = graph
        self._explainer = explainer
        self._own = own
        self._ask = ask
        self._relay = relay
        self._newer_at = newer_at
        self._met = met
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._sources: dict[str, str] = {}
        """The node of each data centre that answered last."""
        self._failed: dict[str, float] = {}
        """When nodes were asked in vain."""
        self._made: Summary | None = None
        self._made_at = float("-inf")

    def make(self, sequence: int) -> Summary:
        """Return the summary of the own data centre, which may be a little old."""
        now = self._clock.now()
        if self._made is None or now - self._made_at >= MADE_LIFE_S:
            self._made, self._made_at = self._summary(), now
        self._made.sequence = sequence
        self._made.age_ms = int((now - self._made_at) * 1000) + 1
        return self._made

    def _summary(self) -> Summary:
        directory = self._directory
        own = self._own()
        nodes = directory.local_loads() + ([own] if own is not None else [])
        uses = self._quotas.summary(directory.local_demands())
        calls = self._graph.merged([p.calls for p in directory.local_peers()])
        proof_ms = self._news.age_ms()
        return Summary(0, directory.own, 0, nodes, uses, calls, self._news.version, proof_ms)

    def relayed(self, summary: Summary) -> None:
        """Take up a summary that a node of the own data centre has asked for.

        It may have waited for this process to run again, so it proves nothing of the
        configuration; the node that asked tells of its own proof when it is asked.
        """
        made_at = self._clock.now() - summary.age_ms / 1000 - TIMER_S
        self._met(self._directory.apply_summary(summary, made_at))

    async def run(self) -> None:
        """Ask for the summaries that this node is to ask for, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_S * self._rng.uniform(0.9, 1.1))
            if not self._directory.large:
                continue
            for name, peers in self._directory.peers_by_data_centre().items():
                running = self._asking.get(name)
                if (running is None or running.done()) and self._asks(name):
                    self._asking[name] = asyncio.create_task(self._fetch(name, peers))

    def _asks(self, name: str) -> bool:
        """Tell whether this node is one of those that ask for a data centre's summary."""

        def rank(address: str) -> int:
            return xxhash.xxh32_intdigest(f"{name} {address}".encode())

        own = rank(self._directory.own.address)
        ahead = sum(rank(p.member.address) < own for p in self._directory.local_peers())
        return not ahead or (ahead < ASKERS and self._directory.summary_age_s(name) > OVERDUE_S)

    async def _fetch(self, name: str, peers: list[Peer]) -> None:
        peer = self._source(name, peers)
        asked_at = self._clock.now()
        try:
            summary = await self._ask(peer, SummaryRequest(0), ASK_S)
        except (PeerLostError, TimeoutError) as exc:
            self._failed[peer.member.address] = asked_at
            if self._sources.pop(name, None) is not None:
                self._explainer.event(
                    "summary not told", peer=peer.member.address, centre=name, error=repr(exc)
                )
            return
        self._sources[name] = peer.member.address
        made_at = asked_at - summary.age_ms / 1000
        self._met(self._directory.apply_summary(summary, made_at))
        if summary.proof_ms >= 0:
            # The proof's age was told when the summary was made.
            self._news.confirm(summary.version, made_at - summary.proof_ms / 1000)
        if summary.version > self._news.version:
            self._newer_at(peer.member.address)
        summary.sequence = 0
        summary.age_ms = int((self._clock.now() - made_at) * 1000) + 1
        self._relay(encode(summary))

    def _source(self, name: str, peers: list[Peer]) -> Peer:
        """Return whom to ask: who answered last, else the one that failed longest ago."""
        last = self._sources.get(name)
        own = self._directory.own.address

        def order(peer: Peer) -> tuple[float, int]:
            address = peer.member.address
            failed_at = max(self._failed.get(address, 0.0), peer.unreachable_at)
            return failed_at, xxhash.xxh32_intdigest(f"{own} {address}".encode())

        for peer in peers:
            if peer.member.address == last and not peer.stopping:
                return peer
        return min(peers, key=order)
