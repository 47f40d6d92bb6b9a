"""Keeps a node's configuration up to date, from the store or from other nodes.

Few nodes, the readers, follow the store with long polls and push a new version to the
others, which copy it together with the age of the reader's confirmation. A reader that the
store rejects, or does not answer in time, announces it, and others take over. A node whose
confirmation becomes older than that should be asks the store itself, so correctness does
not depend on which nodes are readers.

The same reads bring the operator's evacuations. A confirmation of the configuration is taken
over only after the evacuations that came with it, so it confirms these too.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from ..clock import Clock
from ..errors import DocumentError, LogError, PeerLostError
from .configuration import NEVER, ConfigurationState
from .conventions import WireAdapter
from .directory import Directory
from .document import FleetDocument
from .evacuation import Evacuations
from .explain import Explainer
from .frames import Document, DocumentRequest
from .links import Link
from .metrics import StoreState
from .readers import READERS_PER_DATA_CENTRE, Readers
from .store import Store, Watch
from .store_era import StoreEra

__all__ = ["STORE_RETRY_S", "Follower"]

COPY_TIMEOUT_S = 1.0
"""Time limit for the copy of another node's configuration."""

WATCH_SHARE = 0.45
"""Duration of a long poll, as a share of the time for which a confirmation is valid. It
is less than half, so that one answer may be lost."""

WATCH_SMALL_S = 1.5
"""Duration of a long poll in a small fleet; each data centre has two readers there."""

WATCH_MIN_S = 0.5
"""Shortest duration of a long poll, which bounds the number of calls."""

OVERDUE_S = 0.4
"""Time after which an answer is overdue, in addition to the duration of the long poll. A slow
store takes a quarter of a second."""

FAILOVER_S = 1.4
"""Time that a change takes at most after a long poll that a rejected reader has just begun.

It is the sum of: 0.4 s until its answer is overdue, 0.4 s for a round of successors without an
answer, 0.25 s for a read of a slow store, 0.25 s for pushes and copies within and between data
centres, and 0.1 s as a margin."""

MAX_NORMAL_WATCH_S = 2.0
"""Duration of a long poll that the age of a confirmation may show without being late."""

ERA_REREAD_S = 0.05
"""Delay before the store is read from its start in a new era."""

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
    for which a confirmation is valid, ``report_age_s`` returns the age that reports of other
    nodes can have, and ``deadline_s`` is the time within which a change is to be in force.
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
        deadline_s: float = 2.0,
        evacuations: Evacuations | None = None,
        era: StoreEra | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store
        self._adapter = adapter
        self._configuration = configuration
        self._directory = directory
        self._links = links
        self._explainer = explainer
        self._deadline_s = deadline_s
        self._evacuations = evacuations if evacuations is not None else Evacuations()
        self._era = era if era is not None else StoreEra(clock)
        self._report_age_s = report_age_s
        self._max_age_s = max_age_s
        self.readers = Readers(clock, directory)
        self.on_rejection: list[Callable[[], None]] = []
        """Called when the store begins or ceases to reject this node."""
        self.on_store_change: list[Callable[[], None]] = []
        """Called when the store had a newer configuration, or other evacuations."""
        self.store_up = True
        self._was_reader = False
        self._stored_version = -1
        """Version of the configuration that the store showed last, -1 if none."""
        self._wake = asyncio.Event()
        directory.on_readers_change.append(self._wake.set)
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
        first_poll, read_era = True, 0
        while True:
            reader = self._is_reader()
            if self._awaits_first_copy(started_at) or (
                not reader and (self._is_confirmed_recently() or not self._era.confirms)
            ):
                await self._sleep(AGE_CHECK_S * self._rng.uniform(0.8, 1.2))
                continue
            waits = reader or self._configuration.document is None
            wait_s = self._poll_s(first_poll) if waits else 0.0
            asked_at = self._clock.now()
            try:
                watch = await self._ask(position, wait_s)
            except LogError as exc:
                self._set_store_up(False, repr(exc))
                self._set_rejected(True)
                position = -1
                await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
                pause_s = min(STORE_RETRY_MAX_S, 2 * pause_s)
                continue
            self._set_store_up(True, "")
            self._set_rejected(False)
            pause_s = STORE_RETRY_S
            first_poll = not watch.waited_s
            self._era.observe(watch.era)
            if watch.era < self._era.number or (position >= 0 and watch.era != read_era):
                # The position, and what the answer confirms, were those of the era before.
                position = -1
                await self._sleep(ERA_REREAD_S)
                continue
            position, read_era = watch.position, watch.era
            changed = self._take(watch, asked_at)
            if self._era.take_reread():
                position = -1
            elif watch.text is None and not watch.waited_s and not changed:
                await self._sleep(STORE_RETRY_S)

    async def _ask(self, position: int, wait_s: float) -> Watch:
        """Read the store; announces when the answer is overdue, and goes on waiting for it."""
        # Without a configuration so far, wait in the store for the first one.
        if position < 0 and self._configuration.document is not None:
            call, wait_s = self._store.configuration(), 0.0
        else:
            call = self._store.watch(max(0, position), wait_s)
        task = asyncio.ensure_future(call)
        try:
            done, _ = await asyncio.wait({task}, timeout=wait_s + OVERDUE_S)
            if not done:
                self._set_rejected(True)
            return await task
        finally:
            task.cancel()

    def _take(self, watch: Watch, asked_at: float) -> bool:
        """Apply what a read has brought; returns whether anything changed.

        Evacuations come before the confirmation that includes them.
        """
        changed = False
        if watch.evacuations is not None:
            changed = self._evacuations.observe(watch.evacuations, self._era.settled_at(asked_at))
        version = self._configuration.version
        if watch.text is not None:
            self._stored_version = self._apply(watch.text, asked_at, "store")
        elif self._stored_version >= 0 and self._era.confirms_at(asked_at):
            self._configuration.confirm(self._stored_version, asked_at + watch.waited_s)
        changed = changed or self._configuration.version != version
        if changed:
            for callback in self.on_store_change:
                callback()
        return changed

    def _poll_s(self, first: bool) -> float:
        """Return the duration of a long poll, which is longer before the first configuration.

        The first one after a change, which ends the polls of all readers, is shorter, so
        that the readers' polls do not end at the same time.
        """
        if self._directory.large and self._configuration.document is not None:
            poll_s = max(WATCH_MIN_S, self._deadline_s - FAILOVER_S)
        else:
            poll_s = WATCH_SMALL_S
        poll_s = min(poll_s, self._max_age_s * WATCH_SHARE)
        if not first or self._configuration.document is None:
            return poll_s
        place, places = self.readers.slot()
        return poll_s * (place + 1) / places

    async def _sleep(self, seconds: float) -> None:
        """Wait, at most until the nodes that read the store may have to change."""
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()

    def _set_rejected(self, rejected: bool) -> None:
        if rejected != self.readers.rejected:
            self.readers.rejected_at = self._clock.now() if rejected else None
            for callback in self.on_rejection:
                callback()

    def _is_confirmed_recently(self) -> bool:
        normal_s = min(MAX_NORMAL_WATCH_S, self._max_age_s * WATCH_SHARE) + self._report_age_s()
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
        """Tell whether this node is a reader of the store, or asks whether it is served."""
        if self.readers.expire():
            for callback in self.on_rejection:
                callback()
        reader = self.readers.is_reader()
        if reader != self._was_reader:
            self._was_reader = reader
            self._explainer.event("store reader", reads=reader, rejected=self.readers.rejected)
        return reader or (self.readers.rejected and self.readers.probes())

    def state(self) -> StoreState:
        """Return how this node stands to the store, for the metrics."""
        evacuated = [e.data_centre for e in self._evacuations.entries() if e.evacuated]
        return StoreState(self._was_reader, self.readers.rejected, self._era.number, evacuated)

    def rank(self) -> int:
        """Return how many connected nodes of this data centre have a lower address."""
        return self.readers.rank()

    def _set_store_up(self, up: bool, error: str) -> None:
        if up != self.store_up:
            self._explainer.event("store recovered" if up else "store lost", error=error)
        self.store_up = up

    def _apply(self, text: bytes, confirmed_at: float, source: str) -> int:
        """Put a configuration in force if it is newer; returns its version, -1 if refused."""
        try:
            doc = self._adapter.parse_document(text)
        except DocumentError as exc:
            self._explainer.event("configuration refused", source=source, error=str(exc))
            return -1
        if source == "store" and not self._era.confirms_at(confirmed_at):
            # A newer one may have been lost with the store's last records.
            confirmed_at = NEVER
        if self._configuration.apply(doc, text, confirmed_at):
            self._explainer.event(
                "configuration in force",
                version=doc.version,
                source=source,
                proof_ms=self._configuration.age_ms(),
            )
        return doc.version

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
        self._evacuations.merge(answer.evacuations)
        if answer.text and answer.proof_ms >= 0:
            self._apply(answer.text, asked_at - answer.proof_ms / 1000, "peer")
