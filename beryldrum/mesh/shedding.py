"""Which clients are disconnected when memory or descriptors run short.

Addresses clients that take memory or connections and make no progress: bodies that stop
before their end, long responses that are not read, connections without a request. Callers
that send whole requests and read the responses are not affected, whatever the others do.
"""

import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

__all__ = ["Client", "Clients", "Standing"]

STALL_S = 1.0
"""Time without a byte after which a client counts as stalled. Retransmissions on a lossy
path take some hundred milliseconds."""

MIN_HELD_BYTES = 16_384
"""Memory below which disconnecting a client is not worth it."""

EVICTED_SHARE = 1 / 32
"""Share of the connections that is closed at once when there are too many, so that a flood
of connections does not need a search for each."""

SPARE_BYTES = 1_048_576
"""Memory that stalled clients have to release beyond a shortage, for the same reason."""

FRUITLESS_S = 0.05
"""Time for which no client is searched for after none was found."""


class Standing(NamedTuple):
    """What a client makes the node hold, and how it keeps what it has promised."""

    held: int
    """Bytes of unfinished bodies and of responses that it has not taken."""
    stalled_s: float
    """Seconds since it last sent or took a byte."""
    kept: float
    """Share of the body that it has sent, or of the responses that it has taken."""

    def worth(self) -> tuple[bool, float]:
        """Return the order in which clients are kept; the lowest is given up first."""
        if self.stalled_s >= STALL_S:
            return False, -self.stalled_s
        return True, self.kept


class Client(ABC):
    """A client's connection."""

    @abstractmethod
    def standing(self, now: float) -> Standing | None:
        """Return the client's standing, or None if it holds nothing that it could give up."""

    @abstractmethod
    def shed(self) -> None:
        """Refuse or disconnect the client, and release what it holds."""

    @abstractmethod
    def idle_since(self) -> tuple[bool, float] | None:
        """Return whether it has ever sent a request, and the time of its last byte.

        Returns None while a request of it is in progress.
        """

    @abstractmethod
    def evict(self) -> None:
        """Close the connection, whose descriptor is needed."""


ClientT = TypeVar("ClientT", bound=Client)


class Clients(Generic[ClientT]):
    """The open connections of a listener, at most ``limit``."""

    def __init__(
        self, limit: int | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._open: dict[ClientT, None] = {}
        self._search_at = float("-inf")
        self.shed_count = 0
        """Clients given up for memory."""
        self.evicted_count = 0
        """Connections closed for descriptors."""

    def __iter__(self) -> Iterator[ClientT]:
        return iter(list(self._open))

    def __len__(self) -> int:
        return len(self._open)

    def add(self, client: ClientT) -> bool:
        """Add a connection; returns False if there are too many and none can be closed."""
        if self._limit is not None and len(self._open) >= self._limit and not self._evict():
            self.evicted_count += 1
            return False
        self._open[client] = None
        return True

    def discard(self, client: ClientT) -> None:
        """Remove a connection."""
        self._open.pop(client, None)

    def _evict(self) -> bool:
        """Close the connections that have been idle longest, first those without a request."""
        assert self._limit is not None
        idle = [(since, client) for client in self._open if (since := client.idle_since())]
        idle.sort(key=lambda entry: entry[0])
        evicted = idle[: max(1, int(self._limit * EVICTED_SHARE))]
        for _, client in evicted:
            # Its descriptor is free in the next round of the event loop.
            self.discard(client)
            client.evict()
        self.evicted_count += len(evicted)
        return bool(evicted)

    def shed(self, size: int, requester: object) -> None:
        """Give up the least worth clients until these have released ``size`` bytes.

        Stops before ``requester``, on whose behalf the memory is needed.
        """
        now = self._clock()
        if now < self._search_at:
            return
        candidates = [
            (standing.worth(), standing.held, client)
            for client in self._open
            if (standing := client.standing(now)) and standing.held >= MIN_HELD_BYTES
        ]
        candidates.sort(key=lambda entry: entry[0])
        missing = size
        for (progresses, _), held, client in candidates:
            if missing <= (0 if progresses else -SPARE_BYTES) or client is requester:
                break
            client.shed()
            self.shed_count += 1
            missing -= held
        if missing == size:
            self._search_at = now + FRUITLESS_S
