"""Connections between nodes.

A node opens one connection to each peer that it exchanges heartbeats with. Replies
are matched to requests by connection and sequence number. A connection on which a
heartbeat is not answered is aborted, since the network may never reset it.
"""

import asyncio
import itertools
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, cast

from ..errors import FrameError, PeerLostError
from . import frames
from .deadlines import Deadlines
from .http import MemoryBudget, report_exception

__all__ = ["Link", "LinkHandler", "LinkProtocol", "listen"]

CONNECT_TIMEOUT_S = 1.0
"""Another data centre answers within a few milliseconds; a host that is off, never."""

REPLIES = frames.Reply | frames.Document | frames.Grant | frames.Summary

MAX_UNSENT_BYTES = 4 * 2**20
"""Size of the write buffer above which no new request is sent to a peer that does not
read."""


class LinkHandler(ABC):
    """Receives the messages and events of connections to other nodes."""

    @abstractmethod
    def message(self, message: frames.Message, link: "LinkProtocol") -> None:
        """Handle a message received on ``link``."""

    def too_large(self, tag: int, sequence: int, link: "LinkProtocol") -> None:  # noqa: B027
        """Handle a message that was skipped, since there is no memory for it.

        ``tag`` and ``sequence`` are those of the message.
        """

    @abstractmethod
    def link_opened(self, link: "LinkProtocol") -> None:
        """Handle the opening of ``link``."""

    @abstractmethod
    def link_closed(self, link: "LinkProtocol") -> None:
        """Handle the closing of ``link``, by either side."""


class LinkProtocol(asyncio.Protocol):
    """Encodes and decodes the frames of one connection.

    What large frames and the write buffer take counts towards ``memory``. A large frame
    for which there is none is skipped.
    """

    def __init__(self, handler: LinkHandler, memory: MemoryBudget | None = None) -> None:
        self._handler = handler
        self._memory = memory or MemoryBudget(sys.maxsize)
        self._buffer = bytearray()
        self._reserved = 0
        """Bytes reserved for the large frame that is being received."""
        self._skip = 0
        """Bytes still to come of a frame that is skipped."""
        self._unsent = 0
        """Bytes of the memory budget in use for the write buffer."""
        self._write_paused = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._handler.link_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._skip:
            skipped = min(self._skip, len(data))
            self._skip -= skipped
            data = data[skipped:]
        buffer = self._buffer
        buffer += data
        start, size = 0, len(buffer)
        try:
            while size - start >= 4:
                (length,) = frames.LENGTH.unpack_from(buffer, start)
                if length > frames.MAX_FRAME_BYTES:
                    raise FrameError(f"frame too large: {length} bytes")
                end = start + 4 + length
                if end > size:
                    if length >= frames.LARGE_BODY_BYTES and not self._reserved:
                        start = self._reserve_frame(length, start, end)
                    break
                self._release_frame()
                with memoryview(buffer)[start + 4 : end] as body:
                    self._handle(body)
                start = end
        except FrameError as exc:
            report_exception(exc, "the frames of a node")
            self.abort()
        del buffer[:start]

    def _reserve_frame(self, length: int, start: int, end: int) -> int:
        """Reserve memory for a large frame, or skip it.

        Returns the position in the buffer up to which that is done with.
        """
        size = len(self._buffer)
        if size - start < 4 + frames.PEEK_BYTES:
            return start
        # The buffer, which reserves an eighth in advance, and the decoded message.
        wanted = length * 9 // 8 + length
        first = bytes(self._buffer[start + 4 : start + 4 + frames.PEEK_BYTES])
        tag, sequence = frames.peek(first)
        if tag not in (frames.RUN_TAG, frames.REPLY_TAG):
            # The states of a large fleet do not come from clients.
            self._memory.charge(wanted)
            self._reserved = wanted
            return start
        if self._memory.reserve(wanted):
            self._reserved = wanted
            return start
        self._skip = end - size
        self._handler.too_large(tag, sequence, self)
        return size

    def _release_frame(self) -> None:
        self._memory.release(self._reserved)
        self._reserved = 0

    def pause_writing(self) -> None:
        self._write_paused = True
        self._count_unsent(self.unsent_bytes())

    def resume_writing(self) -> None:
        self._write_paused = False
        self._memory.release(self._unsent)
        self._unsent = 0

    def _count_unsent(self, size: int) -> None:
        self._unsent += size
        self._memory.charge(size)

    def _handle(self, body: memoryview) -> None:
        try:
            self._handler.message(frames.decode(body), self)
        except Exception as exc:
            # Other requests use the connection, so it goes on without this message.
            report_exception(exc, "a message of a node")

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._release_frame()
        self.resume_writing()
        self._handler.link_closed(self)

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: frames.Message) -> None:
        """Send a message; it is dropped if the connection is closed."""
        if self._transport is not None:
            self.write(frames.encode_buffer(message))

    def write(self, frame: bytes | bytearray) -> None:
        """Send an encoded frame; one frame can be sent to several nodes."""
        if self._transport is None:
            return
        if self._write_paused:
            self._count_unsent(len(frame))
        self._transport.write(frame)

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the write buffer."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def abort(self) -> None:
        """Close the connection without flushing its buffer."""
        if self._transport is not None:
            self._transport.abort()


class Link(LinkHandler):
    """The connection to one peer; it can be opened again after it was lost.

    ``on_state`` is called with each state that answers a heartbeat, and with the time
    at which that heartbeat was sent.
    """

    def __init__(
        self,
        address: str,
        on_state: Callable[["Link", frames.State, float], None],
        deadlines: Deadlines,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self._memory = memory or MemoryBudget(sys.maxsize)
        self._on_state = on_state
        self._deadlines = deadlines
        self._protocol: LinkProtocol | None = None
        self._closed: asyncio.Future[None] | None = None
        self._opened = asyncio.Event()
        self.used_at = float("-inf")
        """Loop time of the last request."""
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._heartbeats: dict[int, float] = {}
        """Send times of the heartbeats that have not been answered, by sequence number."""
        self._acked_sent_at: float | None = None
        """Send time of the acknowledged heartbeat that the next state answers."""
        self._sequence_numbers = itertools.count(1)
        self._last_received_at = 0.0
        self._pending_since = 0.0

    @property
    def open(self) -> bool:
        """Whether the connection is open."""
        return self._protocol is not None and self._protocol.open

    def silent_s(self) -> float:
        """Return for how many seconds the peer has sent nothing while answers are due."""
        if not self._pending and not self._heartbeats:
            return 0.0
        return asyncio.get_running_loop().time() - max(self._last_received_at, self._pending_since)

    async def connect(self) -> None:
        """Open the connection; raises PeerLostError if that fails."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: LinkProtocol(self, self._memory), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            raise PeerLostError(self.address, sent=False) from exc
        self._protocol = protocol
        self._closed = loop.create_future()
        self._opened.set()
        if not protocol.open:
            self.link_closed(protocol)

    async def wait_open(self, timeout_s: float) -> None:
        """Wait until the connection is open; raises PeerLostError after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._opened.wait()
        except TimeoutError as exc:
            raise PeerLostError(self.address, sent=False) from exc

    @property
    def has_pending(self) -> bool:
        """Whether a request is waiting for its reply."""
        return bool(self._pending)

    async def wait_closed(self) -> None:
        """Wait until the connection that was opened last is closed."""
        if self._closed is not None:
            await self._closed

    def link_opened(self, link: LinkProtocol) -> None:
        self._last_received_at = asyncio.get_running_loop().time()

    def message(self, message: frames.Message, link: LinkProtocol) -> None:
        self._last_received_at = asyncio.get_running_loop().time()
        if isinstance(message, frames.HeartbeatAck):
            self._acked_sent_at = self._heartbeats.pop(message.sequence, None)
        elif isinstance(message, frames.State):
            acked_sent_at, self._acked_sent_at = self._acked_sent_at, None
            if acked_sent_at is not None:
                self._on_state(self, message, acked_sent_at)
        elif isinstance(message, REPLIES):
            fut = self._pending.pop(message.sequence, None)
            if fut is not None and not fut.done():
                fut.set_result(message)

    def too_large(self, tag: int, sequence: int, link: LinkProtocol) -> None:
        fut = self._pending.pop(sequence, None)
        if fut is not None and not fut.done():
            # The target has answered, but there is no room for it.
            fut.set_exception(PeerLostError(self.address, sent=True))

    def link_closed(self, link: LinkProtocol) -> None:
        if link is not self._protocol:
            return
        self._protocol = None
        self._opened.clear()
        self._heartbeats.clear()
        pending, self._pending = self._pending, {}
        for fut in pending.values():
            if not fut.done():
                fut.set_exception(PeerLostError(self.address, sent=True))
        if self._closed is not None and not self._closed.done():
            self._closed.set_result(None)

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send ``message`` and return its reply.

        Raises PeerLostError, whose ``sent`` tells whether bytes may have been sent, and
        TimeoutError after ``timeout_s`` seconds. On a time-out or cancellation a run is
        cancelled at the peer.
        """
        protocol = self._protocol
        if protocol is None or not protocol.open or protocol.unsent_bytes() > MAX_UNSENT_BYTES:
            raise PeerLostError(self.address, sent=False)
        size = len(message.body) if isinstance(message, frames.Run) else 0
        if size >= frames.LARGE_BODY_BYTES:
            # Room for the frame, which the connection counts when it has to keep it.
            if not self._memory.reserve(size):
                raise PeerLostError(self.address, sent=False)
            self._memory.release(size)
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        if not self._pending and not self._heartbeats:
            self._pending_since = self.used_at
        sequence = message.sequence = next(self._sequence_numbers)
        fut = self._pending[sequence] = loop.create_future()
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
            self._pending.pop(sequence, None)
            # See Pool.request: an exception would keep the message in memory.
            del fut

    def heartbeat(self, sequence: int, frame: bytes, now: float) -> None:
        """Send an encoded heartbeat; ``now`` is passed to ``on_state`` with its answer."""
        if self._protocol is None:
            return
        if not self._pending and not self._heartbeats:
            self._pending_since = asyncio.get_running_loop().time()
        self._heartbeats[sequence] = now
        self._protocol.write(frame)

    def write(self, frame: bytes) -> None:
        """Send an encoded message that has no reply; dropped if the link is closed."""
        if self._protocol is not None:
            self._protocol.write(frame)

    def abort(self) -> None:
        """Close the connection without flushing its buffer."""
        if self._protocol is not None:
            self._protocol.abort()


async def listen(
    address: str, handler: LinkHandler, memory: MemoryBudget | None = None
) -> asyncio.Server:
    """Listen for other nodes on ``host:port``; raises OSError if the address is in use."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: LinkProtocol(handler, memory), host, int(port))
