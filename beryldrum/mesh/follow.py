"""How a node learns of the configuration: from the store, or from other nodes.

Two nodes of a data centre hold a question to the store open and push what is new to
the others, which copy it and go by the age of the readers' proof. Whoever has an
older proof than that asks the store itself, so nothing rests on who reads.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from ..clock import Clock
from ..errors import DocumentError, LogError, PeerLostError
from .conventions import WireAdapter
from .directory import Directory
from .document import FleetDocument
from .explain import Explainer
from .frames import Document, DocumentRequest
from .links import Link
from .news import FleetNews
from .store import Store

__all__ = ["STORE_PAUSE_S", "Follower"]

COPY_S = 1.0
"""Time within which another node has sent its configuration."""

WATCH_SHARE = 0.45
"""Part of the time for which a proof counts that the store holds the question for a
new configuration open: less than half, so that one answer may be lost."""

WATCH_MOST_S = 2.0
"""How long the store holds that question open at most."""

READERS = 2
"""Nodes of a data centre that follow the store; the others hear of it from them. Two, as
one may be cut off from the store without knowing."""

READING_CENTRES = 2
"""Data centres of a large fleet whose readers follow the store."""

FAR_COPY_S = 0.4
"""Time after which a newer configuration is copied from another data centre; until then
the readers of the own one have it, and a large one costs bytes between data centres."""

FIRST_COPY_S = 1.2
"""Time for which a node of a large fleet waits for its first configuration from others;
two nodes of each data centre ask the store for it."""

MEMBERS_READ_S = 0.5
"""Time that a node which has just started waits to learn of the others."""

RELAY_S = 0.5
"""Time that a proof from another data centre takes longer than one from the own."""

OWN_PROOF_S = 0.8
"""Time before a proof runs out in which a node asks the store for one itself."""

LAG_POLL_S = 0.2
"""Period at which a node that does not follow the store looks whether its proof is older
than one that the readers hold; then it asks the store itself."""

STORE_PAUSE_S = 0.3
STORE_PAUSE_MOST_S = 1.2
"""Pauses after calls to the store that failed: each is longer than the one before."""


class Follower:
    """Brings the configuration of the store to one node, and the proof of it.

    ``links`` are the connections to the nodes in ``directory``, ``proof_s`` is for how
    long a proof counts, and ``news_s`` returns the age of what other nodes say.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        store: Store,
        adapter: WireAdapter,
        news: FleetNews,
        directory: Directory,
        links: Mapping[str, Link],
        explainer: Explainer,
        proof_s: float,
        news_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store
        self._adapter = adapter
        self._news = news
        self._directory = directory
        self._links = links
        self._explainer = explainer
        self._longest_s = min(WATCH_MOST_S, proof_s * WATCH_SHARE)
        self._news_s = news_s
        self._proof_s = proof_s
        self.store_up = True
        self.members_read = asyncio.Event()
        """Set when the store has told the members, or has not."""
        self._copying: asyncio.Task[None] | None = None
        self._behind_since: float | None = None
        """Since when a newer version than the one in force here is known of."""
        news.changed.append(self._caught_up)

    # The store.

    async def run(self) -> None:
        """Follow the store as a reader, or ask it when the others lag, until cancelled."""
        position, pause_s = -1, STORE_PAUSE_S
        # How the configuration is to come depends on the size of the fleet.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_READ_S):
                await self.members_read.wait()
        started_at = self._clock.now()
        while True:
            reads = self._reads()
            if self._expects_copy(started_at) or (not reads and self._proof_is_recent()):
                await asyncio.sleep(LAG_POLL_S * self._rng.uniform(0.8, 1.2))
                continue
            # Uneven, or all readers would ask at once after each change.
            waits = reads or self._news.document is None
            wait_s = self._longest_s * self._rng.uniform(0.6, 1.0) if waits else 0.0
            asked_at = self._clock.now()
            try:
                # Before the first, the store may have to wait for it, too.
                if position < 0 and self._news.document is not None:
                    watch = await self._store.configuration()
                else:
                    watch = await self._store.watch(max(0, position), wait_s)
                self._store_state(True, "")
                pause_s = STORE_PAUSE_S
                position = watch.position
            except LogError as exc:
                self._store_state(False, repr(exc))
                position = -1
                await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                pause_s = min(STORE_PAUSE_MOST_S, 2 * pause_s)
                continue
            if watch.text is not None:
                self._read(watch.text, asked_at, "store")
            elif self._news.version >= 0:
                self._news.confirm(self._news.version, asked_at + watch.waited_s)
            if watch.text is None and not watch.waited_s:
                await asyncio.sleep(STORE_PAUSE_S)

    def _proof_is_recent(self) -> bool:
        usual_s = self._longest_s + self._news_s()
        if self._directory.large:
            # Proofs of other data centres come by way of a node of the own one.
            usual_s = min(usual_s + RELAY_S, self._proof_s - OWN_PROOF_S)
        return self._news.age_s() < usual_s

    def _expects_copy(self, started_at: float) -> bool:
        """Tell whether another node is to bring the first configuration.

        Goes by the nodes that are known: none is connected to just after the start.
        """
        directory = self._directory
        if self._news.document is not None or not directory.large:
            return False
        own = directory.own.address
        near = [p for p in directory.peers.values() if directory.near(p)]
        ahead = sum(peer.member.address < own for peer in near)
        return ahead >= READERS and self._clock.now() - started_at < FIRST_COPY_S

    def _reads(self) -> bool:
        """Tell whether this node is one of those that follow the store."""
        own = self._directory.own
        if self._directory.large:
            centres = sorted([own.data_centre, *self._directory.heard_centres()])
            if own.data_centre not in centres[:READING_CENTRES]:
                return False
        return self.ahead() < READERS

    def ahead(self) -> int:
        """Return how many nodes of the own data centre come before this one."""
        own = self._directory.own
        return sum(p.member.address < own.address for p in self._directory.companions())

    def _store_state(self, up: bool, error: str) -> None:
        if up != self.store_up:
            self._explainer.belief("store regained" if up else "store lost", error=error)
        self.store_up = up

    def _read(self, text: bytes, proved_at: float, source: str) -> None:
        try:
            doc = self._adapter.parse_document(text)
        except DocumentError as exc:
            self._explainer.belief("configuration refused", source=source, error=str(exc))
            return
        if self._news.take_up(doc, text, proved_at):
            self._explainer.belief(
                "configuration in force",
                version=doc.version,
                source=source,
                proof_ms=self._news.age_ms(),
            )

    # Other nodes.

    def newer_at(self, address: str, at_once: bool = False) -> None:
        """Take over the newer configuration of a node, unless that is under way.

        From another data centre only where no reader of the own one brings it soon,
        or ``at_once``.
        """
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        peer, link = self._directory.peers.get(address), self._links.get(address)
        if peer is None or link is None:
            return
        far = peer.member.data_centre != self._directory.own.data_centre
        wait = not at_once and self._news.document is not None
        if far and wait and now - self._behind_since < FAR_COPY_S:
            return
        if self._copying is None or self._copying.done():
            self._copying = asyncio.create_task(self._copy(link))

    def _caught_up(self, doc: FleetDocument) -> None:
        self._behind_since = None

    async def _copy(self, link: Link) -> None:
        asked_at = self._clock.now()
        try:
            answer = await link.request(DocumentRequest(0), COPY_S)
        except (PeerLostError, TimeoutError) as exc:
            self._explainer.belief("configuration not copied", peer=link.address, error=repr(exc))
            return
        assert isinstance(answer, Document)
        if answer.text and answer.proof_ms >= 0:
            self._read(answer.text, asked_at - answer.proof_ms / 1000, "peer")
