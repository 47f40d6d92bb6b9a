"""Keeps a node's configuration up to date, from the store or from other nodes.

Two nodes of a data centre, its readers, follow the store with long polls and push a new
version to the others, which copy it together with the age of the reader's confirmation.
A node whose confirmation becomes older than that should be asks the store itself, so
correctness does not depend on which nodes are readers.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from ..clock import Clock
from ..errors import DocumentError, LogError, PeerLostError
from .configuration import ConfigurationState
from .conventions import WireAdapter
from .directory import Directory
from .document import FleetDocument
from .explain import Explainer
from .frames import Document, DocumentRequest
from .links import Link
from .store import Store

__all__ = ["STORE_RETRY_S", "Follower"]

COPY_TIMEOUT_S = 1.0
"""Time limit for the copy of another node's configuration."""

WATCH_SHARE = 0.45
"""Duration of a long poll, as a share of the time for which a confirmation is valid. It
is less than half, so that one answer may be lost."""

WATCH_MAX_S = 2.0
"""Longest duration of a long poll."""

READERS_PER_DATA_CENTRE = 2
"""Nodes of a data centre that follow the store. There are two, since one may lose its
connection to the store without noticing."""

READING_DATA_CENTRES = 2
"""Data centres of a large fleet whose readers follow the store."""

REMOTE_COPY_DELAY_S = 0.4
"""Time after which a newer configuration is copied from another data centre. By then the
local readers normally have it, and large copies between data centres are avoided."""

FIRST_COPY_TIMEOUT_S = 1.2
"""Time for which a node of a large fleet waits for a copy of its first configuration. Two
nodes of each data centre read it from the store instead."""

MEMBERS_READ_TIMEOUT_S = 0.5
"""Time for which a node waits at its start for the member list."""

RELAY_DELAY_S = 0.5
"""Additional delay of a confirmation that comes from another data centre."""

REFRESH_MARGIN_S = 0.8
"""Time before its confirmation expires at which a node asks the store itself."""

AGE_CHECK_S = 0.2
"""Period at which a node that is not a reader checks whether its confirmation is older than
a reader's should be, and if so asks the store."""

STORE_RETRY_S = 0.3
STORE_RETRY_MAX_S = 1.2
"""First and longest delay between retries of failed store calls; it doubles each time."""


class Follower:
    """Updates a node's :class:`.ConfigurationState` from the store and from other nodes.

    ``links`` are the connections to the nodes in ``directory``, ``max_age_s`` is the time
    for which a confirmation is valid, and ``report_age_s`` returns the age that reports of
    other nodes can have.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        store: Store,
        adapter: WireAdapter,
        configuration: ConfigurationState,
        directory: Directory,
        links: Mapping[str, Link],
        explainer: Explainer,
        max_age_s: float,
        report_age_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store
        self._adapter = adapter
        self._configuration = configuration
        self._directory = directory
        self._links = links
        self._explainer = explainer
        self._watch_s = min(WATCH_MAX_S, max_age_s * WATCH_SHARE)
        self._report_age_s = report_age_s
        self._max_age_s = max_age_s
        self.store_up = True
        self.members_read = asyncio.Event()
        """Set after the first attempt to read the members, also if it failed."""
        self._copy_task: asyncio.Task[None] | None = None
        self._behind_since: float | None = None
        """When this node learnt of a version newer than its own, None if it has the newest."""
        configuration.on_change.append(self._on_change)

    # The store.

    async def run(self) -> None:
        """Follow the store as a reader, else ask it if confirmations are late, until cancelled."""
        position, pause_s = -1, STORE_RETRY_S
        # The member list tells if the fleet is large, and so if a copy is to be awaited.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_READ_TIMEOUT_S):
                await self.members_read.wait()
        started_at = self._clock.now()
        while True:
            reader = self._is_reader()
            if self._awaits_first_copy(started_at) or (
                not reader and self._is_confirmed_recently()
            ):
                await asyncio.sleep(AGE_CHECK_S * self._rng.uniform(0.8, 1.2))
                continue
            # Random, so that not all readers ask at the same time after each change.
            waits = reader or self._configuration.document is None
            wait_s = self._watch_s * self._rng.uniform(0.6, 1.0) if waits else 0.0
            asked_at = self._clock.now()
            try:
                # Without a configuration so far, wait in the store for the first one.
                if position < 0 and self._configuration.document is not None:
                    watch = await self._store.configuration()
                else:
                    watch = await self._store.watch(max(0, position), wait_s)
                self._set_store_up(True, "")
                pause_s = STORE_RETRY_S
                position = watch.position
            except LogError as exc:
                self._set_store_up(False, repr(exc))
                position = -1
                await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                pause_s = min(STORE_RETRY_MAX_S, 2 * pause_s)
                continue
            if watch.text is not None:
                self._apply(watch.text, asked_at, "store")
            elif self._configuration.version >= 0:
                self._configuration.confirm(self._configuration.version, asked_at + watch.waited_s)
            if watch.text is None and not watch.waited_s:
                await asyncio.sleep(STORE_RETRY_S)

    def _is_confirmed_recently(self) -> bool:
        normal_s = self._watch_s + self._report_age_s()
        if self._directory.large:
            # Confirmations of other data centres are relayed by a local node.
            normal_s = min(normal_s + RELAY_DELAY_S, self._max_age_s - REFRESH_MARGIN_S)
        return self._configuration.age_s() < normal_s

    def _awaits_first_copy(self, started_at: float) -> bool:
        """Tell whether the first configuration is expected from another node.

        Counts known nodes, since just after the start none is connected yet.
        """
        directory = self._directory
        if self._configuration.document is not None or not directory.large:
            return False
        own = directory.own.address
        local = [p for p in directory.peers.values() if directory.is_local(p)]
        ahead = sum(peer.member.address < own for peer in local)
        return (
            ahead >= READERS_PER_DATA_CENTRE
            and self._clock.now() - started_at < FIRST_COPY_TIMEOUT_S
        )

    def _is_reader(self) -> bool:
        """Tell whether this node is a reader of the store."""
        own = self._directory.own
        if self._directory.large:
            data_centres = sorted([own.data_centre, *self._directory.recent_data_centres()])
            if own.data_centre not in data_centres[:READING_DATA_CENTRES]:
                return False
        return self.rank() < READERS_PER_DATA_CENTRE

    def rank(self) -> int:
        """Return how many connected nodes of this data centre have a lower address."""
        own = self._directory.own
        return sum(p.member.address < own.address for p in self._directory.local_peers())

    def _set_store_up(self, up: bool, error: str) -> None:
        if up != self.store_up:
            self._explainer.event("store recovered" if up else "store lost", error=error)
        self.store_up = up

    def _apply(self, text: bytes, confirmed_at: float, source: str) -> None:
        try:
            doc = self._adapter.parse_document(text)
        except DocumentError as exc:
            self._explainer.event("configuration refused", source=source, error=str(exc))
            return
        if self._configuration.apply(doc, text, confirmed_at):
            self._explainer.event(
                "configuration in force",
                version=doc.version,
                source=source,
                proof_ms=self._configuration.age_ms(),
            )

    # Other nodes.

    def copy_from(self, address: str, immediately: bool = False) -> None:
        """Copy the newer configuration of a node, unless a copy is in progress.

        It is copied from another data centre only if no local reader provides it within
        ``REMOTE_COPY_DELAY_S``, if the node has none yet, or ``immediately``.
        """
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        peer, link = self._directory.peers.get(address), self._links.get(address)
        if peer is None or link is None:
            return
        remote = peer.member.data_centre != self._directory.own.data_centre
        wait = not immediately and self._configuration.document is not None
        if remote and wait and now - self._behind_since < REMOTE_COPY_DELAY_S:
            return
        if self._copy_task is None or self._copy_task.done():
            self._copy_task = asyncio.create_task(self._copy(link))

    def _on_change(self, doc: FleetDocument) -> None:
        self._behind_since = None

    async def _copy(self, link: Link) -> None:
        asked_at = self._clock.now()
        try:
            answer = await link.request(DocumentRequest(0), COPY_TIMEOUT_S)
        except (PeerLostError, TimeoutError) as exc:
            self._explainer.event("configuration copy failed", peer=link.address, error=repr(exc))
            return
        assert isinstance(answer, Document)
        if answer.text and answer.proof_ms >= 0:
            self._apply(answer.text, asked_at - answer.proof_ms / 1000, "peer")
