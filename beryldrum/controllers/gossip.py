"""Gossip of adverts, direct key withdrawals and the log offset."""

import asyncio
import random
from typing import Any

from .. import wire
from ..cluster_state import ClusterState
from ..config_replica import ConfigReplica
from ..errors import PeerLostError
from ..keyring import Keyring
from ..membership import Advert, Membership
from ..messages import from_advert, to_advert
from ..peer import Peers
from .base import PEER_TIMEOUT_S, Controller

__all__ = ["GossipController"]

T = wire.types


class GossipController(Controller):
    """Gossips adverts, direct key withdrawals and the offset of the cluster state.

    Each round sends recent changes to random peers. Every ``ANTI_ENTROPY_ROUNDS``
    rounds, digests are exchanged too, to repair what was lost. An offset higher
    than this node's own wakes the :class:`NewsController`.
    """

    pause_s = 1.0
    FANOUT = 2
    ANTI_ENTROPY_ROUNDS = 10

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        replica: ConfigReplica,
        keyring: Keyring,
        seeds: tuple[str, ...],
        wake_event: asyncio.Event,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._replica = replica
        self._keyring = keyring
        self._seeds = [seed for seed in seeds if seed != membership.own.node]
        self._wake_event = wake_event
        self._rng = rng
        self._round = 0
        self._tasks: set[asyncio.Task[None]] = set()
        replica.changes.subscribe(self._on_change)

    def _on_change(self, state: ClusterState) -> None:
        if state.offset:
            self.send_now()

    def send_now(self) -> None:
        """Send a gossip message to a few peers immediately."""
        task = asyncio.ensure_future(
            self._send_round(self._membership.gossip_partners(self.FANOUT + 1), False)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def step(self) -> None:
        self._membership.tick()
        self._round += 1
        partners = self._membership.gossip_partners(self.FANOUT)
        few_known = len(self._membership) < 3
        if self._seeds and (few_known or self._round % self.ANTI_ENTROPY_ROUNDS == 1):
            partners.append(self._rng.choice(self._seeds))
        full = few_known or self._round % self.ANTI_ENTROPY_ROUNDS == 1
        await self._send_round(partners, full)

    async def _send_round(self, partners: list[str], full: bool) -> None:
        rumours = self._membership.take_rumours()
        sends = [self._send(node, rumours, full) for node in dict.fromkeys(partners)]
        await asyncio.gather(*sends)

    async def _send(self, node: str, adverts: list[Advert], full: bool) -> None:
        try:
            message = T.Envelope(gossip=self._message(adverts, full))
            if not full:
                await self._peers[node].tell(message)
                return
            answer = (await self._peers[node].ask(message, PEER_TIMEOUT_S)).gossip
            self.receive(answer)
            wanted = self._membership.differing_adverts(answer.digests)
            if wanted:
                await self._peers[node].tell(T.Envelope(gossip=self._message(wanted, False)))
        except (PeerLostError, TimeoutError):
            return

    def _message(self, adverts: list[Advert], answer: bool) -> Any:
        return T.Gossip(
            node=self._membership.own.node,
            offset=self._replica.state.offset,
            adverts=[to_advert(advert) for advert in adverts],
            withdrawn=sorted(self._keyring.withdrawn),
            digests=self._membership.digests() if answer else {},
            answer=answer,
        )

    def receive(self, gossip: Any) -> None:
        """Merge the content of a peer's gossip message."""
        self._membership.merge(from_advert(advert) for advert in gossip.adverts)
        newly_withdrawn = [key_id for key_id in gossip.withdrawn if self._keyring.withdraw(key_id)]
        if newly_withdrawn:
            self.send_now()
        if gossip.offset > self._replica.state.offset:
            self._wake_event.set()

    def answer(self, gossip: Any) -> Any:
        """Merge a gossip message and return the answer, or None if none is wanted."""
        self.receive(gossip)
        if not gossip.answer:
            return None
        return self._message(self._membership.differing_adverts(gossip.digests), True)
