"""Home nodes: which node of a data centre decides on the rate of an organisation.

A small organisation may send one or two requests per second over hundreds of entries.
No entry sees enough of them to hold a part of the rate, so the entries of a data centre
ask one of its nodes, the *home node*, for each request. There is no election: each node
ranks the nodes that it can reach by rendezvous hashing of their address and the
organisation's name, and asks the first. Where two nodes rank differently for a moment,
both home nodes give out the same part, which the tolerance of the rate covers. A node
that can reach only some of its data centre gives out only their share
(:attr:`.Quotas.share`).
"""

from collections.abc import Awaitable, Callable

import xxhash

from ..errors import PeerLostError
from .directory import Directory, Peer
from .explain import Explainer
from .frames import Grant, GrantRequest, GrantReturn, Message
from .quota import Quotas

__all__ = ["RateHomes"]

HOME_TIMEOUT_S = 0.25
"""Time limit for the answer of a home node, which is in the same data centre."""

MAX_HOMES_ASKED = 2
"""Home nodes that are asked for one request before this node decides locally."""

SUSPECT_AFTER_S = 0.4
"""Silence after which a node is not asked while other nodes answer."""


class RateHomes:
    """Takes requests from the rates of organisations, here or at their home nodes.

    ``ask`` sends a message to a node and returns its reply, ``send`` sends one that
    has none.
    """

    def __init__(
        self,
        quotas: Quotas,
        directory: Directory,
        explainer: Explainer,
        ask: Callable[[Peer, GrantRequest, float], Awaitable[Grant]],
        send: Callable[[Peer, Message], None],
    ) -> None:
        self._quotas = quotas
        self._directory = directory
        self._explainer = explainer
        self._ask = ask
        self._send = send
        self._directory_changes = -1
        self._nodes: list[Peer | None] = []
        self._ranked: dict[str, list[Peer | None]] = {}

    async def take(self, organisation: str) -> int:
        """Take one request; returns 0, or the milliseconds until another may be admitted."""
        if not self._directory.large or not self._quotas.is_limited(organisation):
            return self._take_locally(organisation)
        for home in self._homes(organisation):
            if home is None:
                break
            try:
                grant = await self._ask(home, GrantRequest(0, organisation), HOME_TIMEOUT_S)
            except (PeerLostError, TimeoutError) as exc:
                address = home.member.address
                self._explainer.event("home silent", peer=address, error=repr(exc))
                continue
            return 0 if grant.granted else max(1, grant.wait_ms)
        return self._take_locally(organisation)

    def give_back(self, organisation: str) -> None:
        """Return a request that has not run."""
        homes = self._homes(organisation) if self._directory.large else []
        if homes and homes[0] is not None:
            self._send(homes[0], GrantReturn(organisation))
        else:
            self._quotas.give_back(organisation)

    def grant(self, ask: GrantRequest) -> Grant:
        """Answer another node that takes this one for the home node."""
        wait_ms = self._take_locally(ask.organisation)
        return Grant(ask.sequence, wait_ms == 0, wait_ms)

    def _take_locally(self, organisation: str) -> int:
        if self._quotas.take(organisation):
            return 0
        return 1 + int(self._quotas.wait_s(organisation) * 1000)

    def _homes(self, organisation: str) -> list[Peer | None]:
        """Return the nodes to ask in turn; None is this node."""
        directory = self._directory
        if self._directory_changes != directory.membership_version:
            self._directory_changes = directory.membership_version
            self._ranked.clear()
            self._nodes = [None, *directory.local_peers()]
        ranked = self._ranked.get(organisation)
        if ranked is None:
            own = directory.own.address

            def rank(node: Peer | None) -> int:
                address = own if node is None else node.member.address
                return xxhash.xxh32_intdigest(f"{address} {organisation}".encode())

            ranked = self._ranked[organisation] = sorted(self._nodes, key=rank)
        responsive = [
            n
            for n in ranked[: MAX_HOMES_ASKED + 2]
            if n is None or n.unanswered_s() < SUSPECT_AFTER_S
        ]
        return (responsive or ranked)[:MAX_HOMES_ASKED]
