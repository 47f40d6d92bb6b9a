"""State exchange between the data centres of a large fleet.

Any node can summarise its data centre, since it gets the states of all nodes there. In
each other data centre, one node requests the summary and relays it to the nodes of its
own data centre. It is not elected but the first in rendezvous hashing; where no summary
arrives, the second in rank requests it too. So the traffic of a node grows with its data
centre and the number of data centres, not with the fleet.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import xxhash

from ..clock import Clock
from ..errors import PeerLostError
from .completion import total_demands
from .configuration import ConfigurationState
from .directory import Directory, Peer
from .evacuation import Evacuations
from .explain import Explainer
from .frames import NodeLoad, RetryDemand, Summary, SummaryRequest, encode
from .graph import CallGraph
from .quota import Quotas
from .store_era import StoreEra

__all__ = ["SUMMARY_PERIOD_S", "Summaries"]

SUMMARY_PERIOD_S = 0.4
"""Period at which another data centre's summary is requested."""

REQUEST_TIMEOUT_S = 0.35
"""Time limit of a request: half the delay of a slow link plus processing time."""

MAX_REQUESTERS = 2
"""Nodes of a data centre that may request the summary of another one; all but the first
in rank request it only when it is overdue."""

OVERDUE_S = 0.7
"""Age of the last summary above which the next one is overdue."""

CACHE_LIFE_S = 0.1
"""Time for which a summary is cached before it is recomputed."""

CLOCK_ERROR_S = 1e-3
"""Clock error that the age of a relayed summary may have."""


class Summaries:
    """Makes the summary of the own data centre and applies those of others.

    ``own_load`` returns this node and its load, ``ask`` sends a message to a node and
    returns its reply, ``relay`` sends a frame to all nodes of the own data centre,
    ``on_newer_config`` is called with the address of a node whose configuration is
    newer, and ``on_new_nodes`` with nodes that were not known. ``has_reader`` tells whether
    the store serves the reader of the own data centre, and ``own_retry_demands`` returns the
    retries that this node's calls need, where they are short.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        configuration: ConfigurationState,
        quotas: Quotas,
        graph: CallGraph,
        explainer: Explainer,
        own_load: Callable[[], NodeLoad | None],
        ask: Callable[[Peer, SummaryRequest, float], Awaitable[Summary]],
        relay: Callable[[bytes], None],
        on_newer_config: Callable[[str], None],
        on_new_nodes: Callable[[list[Peer]], None],
        evacuations: Evacuations | None = None,
        era: StoreEra | None = None,
        has_reader: Callable[[], bool] = lambda: True,
        own_retry_demands: Callable[[], Mapping[str, RetryDemand]] = dict,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._configuration = configuration
        self._quotas = quotas
        self._graph = graph
        self._explainer = explainer
        self._own_load = own_load
        self._ask = ask
        self._relay = relay
        self._on_newer_config = on_newer_config
        self._on_new_nodes = on_new_nodes
        self._evacuations = evacuations if evacuations is not None else Evacuations()
        self._era = era if era is not None else StoreEra(clock)
        self._has_reader = has_reader
        self._own_retry_demands = own_retry_demands
        self._requests: dict[str, asyncio.Task[None]] = {}
        self._sources: dict[str, str] = {}
        """The node of each data centre that sent the last summary."""
        self._failed_at: dict[str, float] = {}
        """When the last request to a node failed, by address."""
        self._cached: Summary | None = None
        self._cached_at = float("-inf")

    def make(self, sequence: int) -> Summary:
        """Return the summary of the own data centre, made anew or from the cache."""
        now = self._clock.now()
        if self._cached is None or now - self._cached_at >= CACHE_LIFE_S:
            self._cached, self._cached_at = self._summary(), now
        self._cached.sequence = sequence
        self._cached.age_ms = int((now - self._cached_at) * 1000) + 1
        return self._cached

    def _summary(self) -> Summary:
        directory = self._directory
        own = self._own_load()
        nodes = directory.local_loads() + ([own] if own is not None else [])
        uses = self._quotas.data_centre_usages(directory.local_demands())
        calls = self._graph.merged([p.calls for p in directory.local_peers()])
        proof_ms = self._configuration.age_ms()
        return Summary(
            0,
            directory.own,
            0,
            nodes,
            uses,
            calls,
            self._configuration.version,
            proof_ms,
            self._evacuations.entries(),
            self._has_reader(),
            store_era=self._era.number,
            retry_demands=total_demands(
                [self._own_retry_demands(), *directory.local_retry_demands()]
            ),
        )

    def expire_cache(self) -> None:
        """Do not send the cached summary again: this node has learnt what others need soon."""
        self._cached_at = float("-inf")

    def _apply(self, summary: Summary, made_at: float) -> None:
        self._on_new_nodes(self._directory.apply_summary(summary, made_at))
        self._era.learn(summary.store_era)
        self._evacuations.merge(summary.evacuations)

    def relayed(self, summary: Summary) -> None:
        """Apply a summary that another node of the own data centre requested and relayed.

        It may have been delayed while this process was paused, so it does not
        confirm the configuration. The node that requested it reports its own
        confirmation when it is asked.
        """
        made_at = self._clock.now() - summary.age_ms / 1000 - CLOCK_ERROR_S
        self._apply(summary, made_at)

    async def run(self) -> None:
        """Request the summaries that this node is responsible for, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_PERIOD_S * self._rng.uniform(0.9, 1.1))
            if not self._directory.large:
                continue
            for name, peers in self._directory.peers_by_data_centre().items():
                running = self._requests.get(name)
                if (running is None or running.done()) and self._is_requester(name):
                    self._requests[name] = asyncio.create_task(self._fetch(name, peers))

    def _is_requester(self, name: str) -> bool:
        """Tell whether this node is to request a data centre's summary now."""

        def rank(address: str) -> int:
            return xxhash.xxh32_intdigest(f"{name} {address}".encode())

        own = rank(self._directory.own.address)
        ahead = sum(rank(p.member.address) < own for p in self._directory.local_peers())
        return not ahead or (
            ahead < MAX_REQUESTERS and self._directory.summary_age_s(name) > OVERDUE_S
        )

    async def _fetch(self, name: str, peers: list[Peer]) -> None:
        peer = self._source(name, peers)
        requested_at = self._clock.now()
        try:
            summary = await self._ask(peer, SummaryRequest(0), REQUEST_TIMEOUT_S)
        except (PeerLostError, TimeoutError) as exc:
            self._failed_at[peer.member.address] = requested_at
            if self._sources.pop(name, None) is not None:
                self._explainer.event(
                    "summary not told", peer=peer.member.address, centre=name, error=repr(exc)
                )
            return
        self._sources[name] = peer.member.address
        made_at = requested_at - summary.age_ms / 1000
        self._apply(summary, made_at)
        if summary.proof_ms >= 0:
            # ``proof_ms`` is the age of the confirmation when the summary was made.
            self._configuration.confirm(summary.version, made_at - summary.proof_ms / 1000)
        if summary.version > self._configuration.version:
            self._on_newer_config(peer.member.address)
        summary.sequence = 0
        summary.age_ms = int((self._clock.now() - made_at) * 1000) + 1
        self._relay(encode(summary))

    def _source(self, name: str, peers: list[Peer]) -> Peer:
        """Return the node that answered last, else the one that failed longest ago."""
        last = self._sources.get(name)
        own = self._directory.own.address

        def order(peer: Peer) -> tuple[float, int]:
            address = peer.member.address
            failed_at = max(self._failed_at.get(address, 0.0), peer.unreachable_at)
            return failed_at, xxhash.xxh32_intdigest(f"{own} {address}".encode())

        for peer in peers:
            if peer.member.address == last and not peer.stopping:
                return peer
        return min(peers, key=order)
