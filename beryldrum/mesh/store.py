"""The interface to the platform's store, which holds the configuration and the members.

An adapter implements :class:`Store` for a given platform. Calls raise
:class:`~beryldrum.errors.LogError` if the store does not answer or answers with a failure.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .frames import Member

__all__ = ["Store", "Watch"]


class Watch(NamedTuple):
    """The result of a read or a long poll.

    ``text`` is the configuration if it has changed, ``position`` the argument of the
    next :meth:`Store.watch`. ``waited_s`` is how long the store held the request open
    before it answered that nothing had changed.
    """

    text: bytes | None
    position: int
    waited_s: float


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
    async def members(self) -> list[Member]:
        """Return all registered members."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""
