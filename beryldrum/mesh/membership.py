"""Registers a node as a member, and reads the other members and the departures."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..clock import Clock
from ..errors import LogError
from .departures import DepartureRecorder
from .directory import Directory, Peer
from .explain import Explainer
from .follow import STORE_RETRY_S, Follower
from .frames import Member
from .local_target import LocalTarget
from .store import Registry, Store
from .store_era import StoreEra

__all__ = ["Membership"]

MEMBERS_POLL_S = 30.0
"""Period at which the members are read from the store, to find nodes that were missed."""

MEMBERS_POLL_LARGE_S = 180.0
"""That period in a large fleet, except for the first node of each data centre."""

ERA_SPREAD_S = 1.0
"""Time over which the nodes of a large fleet register again in a new era of the store."""

DEPARTURE_RETENTION_S = 600.0
"""Time after which the departures of a host that no longer exists are removed."""


class Membership:
    """The entry of node ``member`` in the store, and what it learns from the others'.

    ``connect`` is called with nodes that were not known, and ``on_departures`` when the
    store shows that the local target has left.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        store: Store,
        member: Member,
        directory: Directory,
        target: LocalTarget,
        departures: DepartureRecorder,
        follower: Follower,
        era: StoreEra,
        explainer: Explainer,
        connect: Callable[[list[Peer]], None],
        on_departures: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._store = store
        self._member = member
        self._directory = directory
        self._target = target
        self._departures = departures
        self._follower = follower
        self._era = era
        self._explainer = explainer
        self._registered = False
        self._new_era = asyncio.Event()
        era.on_change.append(self._on_era)
        self._connect = connect
        self._on_departures = on_departures

    async def run(self) -> None:
        """Register as a member, and read the other members periodically.

        The node registers before it reads, so that of two nodes that start at the same
        time at least one finds the other.
        """
        while True:
            try:
                self._new_era.clear()
                if not self._registered:
                    # Set before the call: a new era that begins meanwhile takes it back.
                    self._registered = True
                    await self._register()
                registry = await self._store.registry()
                self._era.observe(registry.era)
                self._era.settle(registry.settled_era)
                members = registry.members
                if registry.unreadable:
                    self._explainer.event("store entries ignored", keys=registry.unreadable[:10])
                if not self._target.departures_known:
                    self._restore_departures(registry)
                # All are added before connecting, so that a large fleet is recognised first.
                new = [self._directory.add(member) for member in members]
                self._connect([peer for peer in new if peer is not None])
                self._follower.members_read.set()
                # A delayed deregistration of an earlier process may have removed it.
                current = registry.era == self._era.number
                self._registered = self._member in members and current
                first = not self._directory.large or not self._follower.rank()
                period_s = MEMBERS_POLL_S if first or not self._registered else MEMBERS_POLL_LARGE_S
                rank = self._follower.rank()
                # Before the era is settled, hosts that exist may be missing in the store.
                if not rank and self._era.settled:
                    await self.remove_old_departures(registry)
                    if registry.settled_era < registry.era:
                        await self._store.record_era(self._era.number)
                period_s *= self._rng.uniform(0.8, 1.2)
                if not self._era.settled and not (rank and self._target.departures_known):
                    period_s = self._era.settles_in_s() + STORE_RETRY_S
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(period_s):
                        await self._new_era.wait()
                if self._new_era.is_set() and self._directory.large:
                    await asyncio.sleep(self._rng.uniform(0.0, ERA_SPREAD_S))
            except LogError as exc:
                self._explainer.event("members not read", error=repr(exc))
                self._follower.members_read.set()
                await asyncio.sleep(STORE_RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _register(self) -> None:
        try:
            await self._store.register(self._member)
        except LogError:
            self._registered = False
            raise

    def _on_era(self) -> None:
        """Write again what the store may have lost, and read what it has."""
        self._explainer.event("store era", number=self._era.number)
        self._registered = False
        self._departures.rewrite()
        self._new_era.set()

    def _restore_departures(self, registry: Registry) -> None:
        record = registry.departures.get(self._member.address)
        targets = record.targets if record else {}
        if not self._era.confirms:
            # The store may have lost some, so a target is used only once it goes on.
            self._target.announcements.restore(targets)
            return
        self._departures.restore(targets)
        if targets:
            self._explainer.event("departures restored", targets=targets)
        if self._target.restore_departures(targets):
            self._on_departures()

    async def remove_old_departures(self, registry: Registry) -> None:
        """Remove the departures of hosts that are no longer registered."""
        registered = {member.address for member in registry.members}
        before_ms = self._clock.wall_ms() - DEPARTURE_RETENTION_S * 1000
        old = [
            address
            for address, departures in registry.departures.items()
            if address not in registered and departures.recorded_ms < before_ms
        ]
        if old:
            await self._store.remove_departures(old)

    async def deregister(self) -> None:
        """Remove this node from the members."""
        try:
            await self._store.deregister(self._member.address)
        except LogError as exc:
            # The member stays registered; others find that its address does not answer.
            self._explainer.event("still registered", error=repr(exc))
