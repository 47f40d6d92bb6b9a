"""Connections between nodes: each opens one to every other that it hears.

Requests and their replies are matched by connection and sequence. A connection
on which a heartbeat gets no answer is given up: one that went silent is never
reset by the network.
"""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

from ..errors import FrameError, PeerLostError
from . import frames
from .deadlines import Deadlines

__all__ = ["Link", "LinkHandler", "LinkProtocol", "listen"]

CONNECT_TIMEOUT_S = 1.0
"""Two data centres answer within some ms; a host that is off answers never."""

ANSWERS = frames.Reply | frames.Document | frames.Grant | frames.Summary

MOST_UNSENT = 4 * 2**20
"""Unsent bytes beyond which a peer that does not read is given nothing new."""


class LinkHandler(ABC):
    """Takes the messages that other nodes send."""

    @abstractmethod
    def message(self, message: frames.Message, link: "LinkProtocol") -> None:
        """Handle a message that came over ``link``."""

    @abstractmethod
    def link_made(self, link: "LinkProtocol") -> None:
        """Note that ``link`` stands."""

    @abstractmethod
    def link_lost(self, link: "LinkProtocol") -> None:
        """Note that ``link`` has ended."""


class LinkProtocol(asyncio.Protocol):
    """The framing of one connection, in both directions."""

    def __init__(self, handler: LinkHandler) -> None:
        self._handler = handler
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._handler.link_made(self)

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer
        buffer += data
        start, size = 0, len(buffer)
        try:
            while size - start >= 4:
                (length,) = frames.LENGTH.unpack_from(buffer, start)
                if length > frames.MOST_FRAME:
                    raise FrameError(f"a frame of {length} bytes")
                end = start + 4 + length
                if end > size:
                    break
                message = frames.decode(bytes(memoryview(buffer)[start + 4 : end]))
                start = end
                self._handler.message(message, self)
        except FrameError:
            self.abort()
        del buffer[:start]

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._handler.link_lost(self)

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: frames.Message) -> None:
        """Send a message; on a connection that has ended it is dropped."""
        if self._transport is not None:
            self._transport.write(frames.encode(message))

    def write(self, frame: bytes) -> None:
        """Send a frame that has been encoded, for several nodes that get the same."""
        if self._transport is not None:
            self._transport.write(frame)

    def unsent(self) -> int:
        """Return how many bytes wait for the peer to read."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class Link(LinkHandler):
    """The connection to one other, opened anew when it is lost.

    ``heard`` is called with each answer to a heartbeat and when that was sent.
    """

    def __init__(
        self,
        address: str,
        heard: Callable[["Link", frames.State, float], None],
        deadlines: Deadlines,
    ) -> None:
        self.address = address
        self._heard = heard
        self._deadlines = deadlines
        self._protocol: LinkProtocol | None = None
        self._ended: asyncio.Future[None] | None = None
        self._made = asyncio.Event()
        self.used_at = float("-inf")
        """When something was last asked for on it."""
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._heartbeats: dict[int, float] = {}
        """When those were sent that have not been answered."""
        self._acked: float | None = None
        """When the heartbeat was sent that the next state answers."""
        self._sequences = itertools.count(1)
        self._heard_at = 0.0
        self._asked_at = 0.0

    @property
    def open(self) -> bool:
        """Whether the connection stands."""
        return self._protocol is not None and self._protocol.open

    def silent_s(self) -> float:
        """Return for how long the other side has owed every answer."""
        if not self._waiting and not self._heartbeats:
            return 0.0
        return asyncio.get_running_loop().time() - max(self._heard_at, self._asked_at)

    async def connect(self) -> None:
        """Open the connection; raises PeerLostError."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: LinkProtocol(self), host, int(port)
                )
        except (OSError, TimeoutError) as exc:
            raise PeerLostError(self.address, sent=False) from exc
        self._protocol = protocol
        self._ended = loop.create_future()
        self._made.set()
        if not protocol.open:
            self.link_lost(protocol)

    async def made(self, timeout_s: float) -> None:
        """Wait until the connection stands; raises PeerLostError."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._made.wait()
        except TimeoutError as exc:
            raise PeerLostError(self.address, sent=False) from exc

    @property
    def asking(self) -> bool:
        """Whether an answer is waited for."""
        return bool(self._waiting)

    async def ended(self) -> None:
        """Wait until the connection that was opened last has ended."""
        if self._ended is not None:
            await self._ended

    def link_made(self, link: LinkProtocol) -> None:
        self._heard_at = asyncio.get_running_loop().time()

    def message(self, message: frames.Message, link: LinkProtocol) -> None:
        self._heard_at = asyncio.get_running_loop().time()
        if isinstance(message, frames.HeartbeatAck):
            self._acked = self._heartbeats.pop(message.sequence, None)
        elif isinstance(message, frames.State):
            acked, self._acked = self._acked, None
            if acked is not None:
                self._heard(self, message, acked)
        elif isinstance(message, ANSWERS):
            fut = self._waiting.pop(message.sequence, None)
            if fut is not None and not fut.done():
                fut.set_result(message)

    def link_lost(self, link: LinkProtocol) -> None:
        if link is not self._protocol:
            return
        self._protocol = None
        self._made.clear()
        self._heartbeats.clear()
        waiting, self._waiting = self._waiting, {}
        for fut in waiting.values():
            if not fut.done():
                fut.set_exception(PeerLostError(self.address, sent=True))
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

    async def ask(self, message: Any, timeout_s: float) -> Any:
        """Send ``message`` and return its reply.

        Raises PeerLostError, which tells whether bytes may have left, and
        TimeoutError. A run that is no longer waited for is cancelled at the peer.
        """
        protocol = self._protocol
        if protocol is None or not protocol.open or protocol.unsent() > MOST_UNSENT:
            raise PeerLostError(self.address, sent=False)
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        if not self._waiting and not self._heartbeats:
            self._asked_at = self.used_at
        sequence = message.sequence = next(self._sequences)
        fut = self._waiting[sequence] = loop.create_future()
        protocol.send(message)
        deadline = self._deadlines.schedule(timeout_s, fut)
        try:
            return await fut
        except (TimeoutError, asyncio.CancelledError):
            if isinstance(message, frames.Run):
                protocol.send(frames.Cancel(sequence))
            raise
        finally:
            deadline.clear()
            self._waiting.pop(sequence, None)

    def heartbeat(self, sequence: int, frame: bytes, now: float) -> None:
        """Send a heartbeat that is already encoded; ``now`` is told with its answer."""
        if self._protocol is None:
            return
        if not self._waiting and not self._heartbeats:
            self._asked_at = asyncio.get_running_loop().time()
        self._heartbeats[sequence] = now
        self._protocol.write(frame)

    def tell(self, frame: bytes) -> None:
        """Send a message that has no reply and is already encoded."""
        if self._protocol is not None:
            self._protocol.write(frame)

    def abort(self) -> None:
        """End the connection at once."""
        if self._protocol is not None:
            self._protocol.abort()


async def listen(address: str, handler: LinkHandler) -> asyncio.Server:
    """Listen for other nodes; raises OSError when the address is taken."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: LinkProtocol(handler), host, int(port))
