"""Who gives out the rate of an organisation within a data centre.

The load it answers: a request or two a second of a small organisation over hundreds
of entries. No entry sees enough of them to hold a part of the rate, so the entries of
a data centre ask one node of it, the *home*, for each request. Nobody elects it: each
node ranks the nodes that it hears by a hash of their address and the organisation's
name, and asks the first. Where two nodes disagree for a moment both give out the same
part, which the tolerance of the rate covers; a node that hears only some of its data
centre gives out only their share (:attr:`.Quotas.share`).
"""

from collections.abc import Awaitable, Callable

import xxhash

from ..errors import PeerLostError
from .directory import Directory, Peer
from .explain import Explainer
from .frames import Grant, GrantRequest, GrantReturn, Message
from .quota import Quotas

__all__ = ["RateHomes"]

ASK_S = 0.25
"""Time within which a home has answered: it is in the same data centre."""

MOST_ASKED = 2
"""Homes that are asked for one request, before this node decides by itself."""

SUSPECT_S = 0.4
"""Silence from which on a node is not asked while there are others."""


class RateHomes:
    """Takes requests out of the rates of organisations, here or at their homes.

    ``ask`` sends a message to a node and returns its reply, ``tell`` sends one that
    has none.
    """

    def __init__(
        self,
        quotas: Quotas,
        directory: Directory,
        explainer: Explainer,
        ask: Callable[[Peer, GrantRequest, float], Awaitable[Grant]],
        tell: Callable[[Peer, Message], None],
    ) -> None:
        self._quotas = quotas
        self._directory = directory
        self._explainer = explainer
        self._ask = ask
        self._tell = tell
        self._changes = -1
        self._nodes: list[Peer | None] = []
        self._ranked: dict[str, list[Peer | None]] = {}

    async def take(self, organisation: str) -> int:
        """Take one request; returns 0, or the milliseconds until there may be another."""
        if not self._directory.large or not self._quotas.limits(organisation):
            return self._here(organisation)
        for home in self._homes(organisation):
            if home is None:
                break
            try:
                grant = await self._ask(home, GrantRequest(0, organisation), ASK_S)
            except (PeerLostError, TimeoutError) as exc:
                address = home.member.address
                self._explainer.event("home silent", peer=address, error=repr(exc))
                continue
            return 0 if grant.granted else max(1, grant.wait_ms)
        return self._here(organisation)

    def give_back(self, organisation: str) -> None:
        """Return a request that has not run."""
        homes = self._homes(organisation) if self._directory.large else []
        if homes and homes[0] is not None:
            self._tell(homes[0], GrantReturn(organisation))
        else:
            self._quotas.give_back(organisation)

    def grant(self, ask: GrantRequest) -> Grant:
        """Answer another node's question."""
        wait_ms = self._here(ask.organisation)
        return Grant(ask.sequence, wait_ms == 0, wait_ms)

    def _here(self, organisation: str) -> int:
        if self._quotas.take(organisation):
            return 0
        return 1 + int(self._quotas.wait_s(organisation) * 1000)

    def _homes(self, organisation: str) -> list[Peer | None]:
        """Return the nodes to ask in turn; None is this one."""
        directory = self._directory
        if self._changes != directory.membership_version:
            self._changes = directory.membership_version
            self._ranked.clear()
            self._nodes = [None, *directory.local_peers()]
        ranked = self._ranked.get(organisation)
        if ranked is None:
            own = directory.own.address

            def rank(node: Peer | None) -> int:
                address = own if node is None else node.member.address
                return xxhash.xxh32_intdigest(f"{address} {organisation}".encode())

            ranked = self._ranked[organisation] = sorted(self._nodes, key=rank)
        answering = [
            n for n in ranked[: MOST_ASKED + 2] if n is None or n.unanswered_s() < SUSPECT_S
        ]
        return (answering or ranked)[:MOST_ASKED]
