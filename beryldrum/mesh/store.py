"""What a node asks of the platform's store: the configuration and its members.

:class:`Store` is the interface, in this project's own terms; an adapter speaks
to the store. Calls raise :class:`~beryldrum.errors.LogError` where the store did
not answer, or answered that it cannot.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .frames import Member

__all__ = ["Store", "Watch"]


class Watch(NamedTuple):
    """The outcome of waiting for a change.

    ``text`` is the configuration where it changed, ``position`` where to wait from
    next. ``waited_s`` is how long the store itself held the question open before it
    answered that nothing had changed.
    """

    text: bytes | None
    position: int
    waited_s: float


class Store(ABC):
    """The store that keeps what must outlive the processes."""

    @abstractmethod
    async def configuration(self) -> Watch:
        """Return the configuration in force; ``text`` is None before the first."""

    @abstractmethod
    async def watch(self, position: int, wait_s: float) -> Watch:
        """Wait up to ``wait_s`` for a configuration after ``position``."""

    @abstractmethod
    async def register(self, member: Member) -> None:
        """Add or renew a member."""

    @abstractmethod
    async def deregister(self, address: str) -> None:
        """Drop the member at an address."""

    @abstractmethod
    async def members(self) -> list[Member]:
        """Return all members that are registered."""

    @abstractmethod
    def close(self) -> None:
        """End the connections."""
