"""The interface to the platform's store.

It holds the configuration, the members and the targets that have left.

An adapter implements :class:`Store` for a given platform. Calls raise
:class:`~beryldrum.errors.LogError` if the store does not answer or answers with a failure.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .evacuation import EvacuationRead
from .frames import Member

__all__ = ["Departures", "Registry", "Store", "Watch"]


class Watch(NamedTuple):
    """The result of a read or a long poll.

    ``text`` is the configuration if it has changed, ``position`` the argument of the
    next :meth:`Store.watch`. ``waited_s`` is how long the store held the request open
    before it answered that nothing had changed. ``evacuations`` is what the records read say
    of them, None if there are none.
    """

    text: bytes | None
    position: int
    waited_s: float
    evacuations: EvacuationRead | None = None
    era: int = 0


class Departures(NamedTuple):
    """The targets that have left a host.

    ``targets`` has the latest start of each, in wall-clock milliseconds, by target id.
    ``recorded_ms`` is the wall-clock time of the record.
    """

    targets: dict[str, int]
    recorded_ms: int


class Registry(NamedTuple):
    """All registered members, and the departures by the address of their host's node.

    ``unreadable`` has the keys of entries that something else has written.
    """

    members: list[Member]
    departures: dict[str, Departures]
    unreadable: list[str]
    era: int = 0
    settled_era: int = 0
    """The last era of which a node has recorded that it is settled."""


class Store(ABC):
    """The store for data that must outlive the nodes' processes."""

    @abstractmethod
    async def configuration(self) -> Watch:
        """Read the configuration in force; ``text`` is None before the first."""

    @abstractmethod
    async def watch(self, position: int, wait_s: float) -> Watch:
        """Wait up to ``wait_s`` for a configuration after ``position``."""

    @abstractmethod
    async def register(self, member: Member) -> None:
        """Add or renew a member."""

    @abstractmethod
    async def deregister(self, address: str) -> None:
        """Remove the member at an address."""

    @abstractmethod
    async def registry(self) -> Registry:
        """Return all registered members and departures."""

    @abstractmethod
    async def record_departures(self, address: str, departures: Departures) -> None:
        """Replace the departures of the host whose node is at an address."""

    @abstractmethod
    async def remove_departures(self, addresses: list[str]) -> None:
        """Remove the departures of hosts that no longer exist."""

    @abstractmethod
    async def record_era(self, number: int) -> None:
        """Record that the store has, in this era, again what was written before."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""
