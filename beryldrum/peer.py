"""Connections between nodes: one multiplexed connection per peer and direction.

A :class:`Peer` owns the connection that this node opened to another node, and a
:class:`PeerServer` those that other nodes opened to this one. Responses are matched to
requests by connection and sequence number, so a response that arrives late or out of
order is never delivered to another request.
"""

import asyncio
import contextlib
import functools
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from . import wire
from .errors import FrameError, PeerLostError

__all__ = ["EnvelopeHandler", "Peer", "PeerServer", "Peers"]

CONNECT_TIMEOUT_S = 1.0
MAX_UNSENT_BYTES = 4 * 2**20

EnvelopeHandler = Callable[[Any], Awaitable[Any]]
"""Processes an ``Envelope`` and returns the response, or None to send none."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``ip:port``; IPv6 addresses stand in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Peer:
    """A connection to another node, opened on first use and reopened after a loss.

    ``late_responses`` counts the responses for which no request was waiting any more.
    """

    def __init__(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        self.address = address
        self.late_responses = 0
        self._tls = tls
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._open_lock = asyncio.Lock()
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._sequence = 0

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._open_lock:
            if self._writer is not None:
                return self._writer
            host, port = split_address(self.address)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, port, ssl=self._tls)
            except (OSError, TimeoutError) as exc:
                raise PeerLostError(self.address, sent=False) from exc
            self._writer = writer
            self._reader_task = asyncio.create_task(self._read_responses(reader, writer))
            return writer

    async def _read_responses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                envelope = wire.decode(await wire.read_frame(reader))
                fut = self._pending.pop(envelope.sequence, None)
                if fut is None or fut.done():
                    self.late_responses += 1
                else:
                    fut.set_result(envelope)
        except (OSError, asyncio.IncompleteReadError, FrameError):
            pass
        finally:
            self._connection_lost(writer)

    def _connection_lost(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if self._writer is writer:
            self._writer = None
        pending, self._pending = self._pending, {}
        for fut in pending.values():
            if not fut.done():
                fut.set_exception(PeerLostError(self.address, sent=True))

    async def ask(self, envelope: Any, timeout_s: float) -> Any:
        """Send ``envelope`` and return the response.

        Raises PeerLostError, which tells whether part of the request may have been sent,
        and TimeoutError after ``timeout_s``. On time-out or cancellation a cancel message
        is sent to the peer.
        """
        writer = self._writer or await self._connect()
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # A hung peer reads nothing: fail while it is certain that nothing was sent.
            raise PeerLostError(self.address, sent=False)
        self._sequence += 1
        sequence = envelope.sequence = self._sequence
        frame = wire.encode(envelope)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = fut
        writer.write(frame)
        timer = asyncio.get_running_loop().call_later(timeout_s, self._expire, fut)
        try:
            return await fut
        except (TimeoutError, asyncio.CancelledError):
            self._send_cancel(sequence)
            raise
        finally:
            timer.cancel()
            self._pending.pop(sequence, None)

    @staticmethod
    def _expire(fut: asyncio.Future[Any]) -> None:
        if not fut.done():
            fut.set_exception(TimeoutError())

    def _send_cancel(self, sequence: int) -> None:
        if self._writer is not None:
            envelope = wire.types.Envelope(sequence=sequence, cancel=True)
            self._writer.write(wire.encode(envelope))

    async def tell(self, envelope: Any) -> None:
        """Send ``envelope`` without waiting for a response; raises PeerLostError."""
        writer = self._writer or await self._connect()
        envelope.sequence = 0
        writer.write(wire.encode(envelope))

    async def close(self) -> None:
        """Close the connection; pending requests fail with PeerLostError."""
        if self._reader_task is not None:
            self._reader_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader_task


class Peers:
    """The peers of a node by address, created on first access."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._peers: dict[str, Peer] = {}

    def __getitem__(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address, self._tls)
        return peer

    async def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            await peer.close()


def _remove_task(
    running: dict[int, asyncio.Task[None]], running_key: int, _: asyncio.Task[None]
) -> None:
    running.pop(running_key, None)


class PeerServer:
    """Accepts connections of other nodes and processes their messages concurrently."""

    def __init__(self, handler: EnvelopeHandler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        """Listen on ``address`` (``ip:port``); raises OSError when it is in use."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve_connection, host, port, ssl=tls)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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
                running_key = envelope.sequence or -id(task)
                running[running_key] = task
                task.add_done_callback(functools.partial(_remove_task, running, running_key))
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
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()
