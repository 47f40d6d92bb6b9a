"""Tells other nodes at once what must not wait for the next heartbeat or summary.

That is a newer configuration that the store had, an evacuation, and that the store rejects
this node. The nodes of the own data centre get the state by broadcast. In a large fleet the
first nodes of each other data centre get it, too, and bring it to the others there.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ..errors import PeerLostError
from .directory import Directory, Peer
from .evacuation import Evacuations
from .explain import Explainer
from .follow import Follower
from .frames import State
from .links import Link
from .summaries import Summaries

__all__ = ["Propagation"]

PUSH_TIMEOUT_S = 0.3
"""Time limit for opening a connection; after that, the next summary brings the change."""


class Propagation:
    """Pushes this node's state when the store or another node has changed it.

    ``broadcast`` sends the state to all nodes that a connection is open to, ``state`` returns
    the frame for one, and ``open_link`` its connection, which it opens if need be.
    """

    def __init__(
        self,
        directory: Directory,
        follower: Follower,
        evacuations: Evacuations,
        explainer: Explainer,
        summaries: Summaries,
        broadcast: Callable[[], None],
        state: Callable[[], bytes],
        open_link: Callable[[Peer, float], Awaitable[Link]],
    ) -> None:
        self._directory = directory
        self._follower = follower
        self._evacuations = evacuations
        self._explainer = explainer
        self._summaries = summaries
        self._broadcast = broadcast
        self._state = state
        self._open_link = open_link
        self._tasks: set[asyncio.Task[None]] = set()
        evacuations.on_change.append(self._on_evacuation)
        follower.on_rejection.append(self._on_rejection)
        follower.on_store_change.append(self._push_to_all)

    def on_newer(self, state: State) -> None:
        """Copy the newer configuration of the node whose state was received.

        Only the first node of a data centre copies it at once from another data centre, since
        it may be large.
        """
        address = state.member.address
        peer = self._directory.peers.get(address)
        if peer is None or self._directory.is_local(peer) or not self._directory.large:
            self._follower.copy_from(address)
        elif self._follower.rank() == 0:
            self._run(self._copy(peer))

    def _on_evacuation(self) -> None:
        names = [entry.data_centre for entry in self._evacuations.entries() if entry.evacuated]
        self._explainer.event("evacuations", data_centres=names)
        self._summaries.expire_cache()
        self._broadcast()

    def _on_rejection(self) -> None:
        # To other data centres only the first node's matters. Where the store rejects all,
        # dozens of nodes are rejected at once.
        if self._follower.rank() == 0:
            self._push_to_all()
        else:
            self._summaries.expire_cache()
            self._broadcast()

    def _push_to_all(self) -> None:
        self._summaries.expire_cache()
        self._broadcast()
        if self._directory.large:
            for peer in self._follower.readers.push_targets():
                self._run(self._push(peer))

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(self, peer: Peer) -> None:
        try:
            await self._open_link(peer, PUSH_TIMEOUT_S)
        except PeerLostError as exc:
            self._explainer.event(
                "configuration copy failed", peer=peer.member.address, error=repr(exc)
            )
        else:
            self._follower.copy_from(peer.member.address, immediately=True)

    async def _push(self, peer: Peer) -> None:
        try:
            link = await self._open_link(peer, PUSH_TIMEOUT_S)
            link.write(self._state())
        except PeerLostError as exc:
            self._explainer.event("state not pushed", peer=peer.member.address, error=repr(exc))
