"""Connections between nodes: one multiplexed connection to each peer in use.

A :class:`Peer` owns the connection that this node opened to another; a
:class:`PeerServer` owns those that others opened. Responses are matched by
connection and sequence, so a late or a crossed one reaches nobody else.
"""

import asyncio
import contextlib
import functools
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from . import wire
from .errors import FrameError, PeerLostError

__all__ = ["Handler", "Peer", "PeerServer", "Peers"]

CONNECT_TIMEOUT_S = 1.0
MOST_UNSENT = 4 * 2**20

Handler = Callable[[Any], Awaitable[Any]]
"""Takes an ``Envelope`` and returns the response, or None for none."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Peer:
    """The connection to one other node, opened when it is first needed."""

    def __init__(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        self.address = address
        self.late = 0
        self._tls = tls
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._sequence = 0

    async def _open(self) -> asyncio.StreamWriter:
        async with self._opening:
            if self._writer is not None:
                return self._writer
            host, port = split_address(self.address)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, port, ssl=self._tls)
            except (OSError, TimeoutError) as exc:
                raise PeerLostError(self.address, sent=False) from exc
            self._writer = writer
            self._reading = asyncio.create_task(self._read(reader, writer))
            return writer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                envelope = wire.decode(await wire.read_frame(reader))
                fut = self._waiting.pop(envelope.sequence, None)
                if fut is None or fut.done():
                    self.late += 1
                else:
                    fut.set_result(envelope)
        except (OSError, asyncio.IncompleteReadError, FrameError):
            pass
        finally:
            self._lose(writer)

    def _lose(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if self._writer is writer:
            self._writer = None
        waiting, self._waiting = self._waiting, {}
        for fut in waiting.values():
            if not fut.done():
                fut.set_exception(PeerLostError(self.address, sent=True))

    async def ask(self, envelope: Any, timeout_s: float) -> Any:
        """Send ``envelope`` and return the response.

        Raises PeerLostError, which tells whether bytes may have left, and TimeoutError.
        A wait that is given up sends a cancel.
        """
        writer = self._writer or await self._open()
        if writer.transport.get_write_buffer_size() > MOST_UNSENT:
            # A frozen peer reads nothing: refuse before anything is sent.
            raise PeerLostError(self.address, sent=False)
        self._sequence += 1
        sequence = envelope.sequence = self._sequence
        frame = wire.encode(envelope)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = fut
        writer.write(frame)
        timer = asyncio.get_running_loop().call_later(timeout_s, self._expire, fut)
        try:
            return await fut
        except (TimeoutError, asyncio.CancelledError):
            self._cancel(sequence)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(sequence, None)

    @staticmethod
    def _expire(fut: asyncio.Future[Any]) -> None:
        if not fut.done():
            fut.set_exception(TimeoutError())

    def _cancel(self, sequence: int) -> None:
        if self._writer is not None:
            envelope = wire.types.Envelope(sequence=sequence, cancel=True)
            self._writer.write(wire.encode(envelope))

    async def tell(self, envelope: Any) -> None:
        """Send ``envelope`` without waiting for a response; raises PeerLostError."""
        writer = self._writer or await self._open()
        envelope.sequence = 0
        writer.write(wire.encode(envelope))

    async def close(self) -> None:
        """Close the connection."""
        if self._reading is not None:
            self._reading.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reading


class Peers:
    """The peers of a node, by address."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._peers: dict[str, Peer] = {}

    def __getitem__(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address, self._tls)
        return peer

    async def close(self) -> None:
        """Close every connection."""
        for peer in self._peers.values():
            await peer.close()


def _forget(running: dict[int, asyncio.Task[None]], slot: int, _: asyncio.Task[None]) -> None:
    running.pop(slot, None)


class PeerServer:
    """The listener for other nodes."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        """Listen on ``address``; raises OSError when it is taken."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port, ssl=tls)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[int, asyncio.Task[None]] = {}
        self._connections.add(writer)
        try:
            while True:
                envelope = wire.decode(await wire.read_frame(reader))
                if envelope.cancel:
                    task = running.get(envelope.sequence)
                    if task is not None:
                        task.cancel()
                    continue
                task = asyncio.create_task(self._answer(envelope, writer))
                slot = envelope.sequence or -id(task)
                running[slot] = task
                task.add_done_callback(functools.partial(_forget, running, slot))
        except (OSError, asyncio.IncompleteReadError, FrameError):
            pass
        finally:
            for task in list(running.values()):
                task.cancel()
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, envelope: Any, writer: asyncio.StreamWriter) -> None:
        response = await self._handler(envelope)
        if response is None or envelope.sequence == 0 or writer.is_closing():
            return
        response.sequence = envelope.sequence
        response.response = True
        writer.write(wire.encode(response))

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()
