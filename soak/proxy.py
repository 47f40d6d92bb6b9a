"""A loopback TCP proxy that delays, blocks (in one direction or both) or resets connections."""

import asyncio
import contextlib

from beryldrum.errors import FrameError
from beryldrum.mesh import frames

__all__ = ["LinkFault", "Proxy"]

READ_BYTES = 65_536
POLL_PERIOD_S = 0.02


class LinkFault:
    """Network faults of one host, shared by all proxies on its connections."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.block_egress = False
        """Whether data that the host sends is held back."""
        self.block_ingress = False


class Proxy:
    """Forwards connections to one upstream address.

    ``owner`` is the host behind ``upstream``; ``faults`` maps host names to their faults.
    ``source`` is the host that connects. If it is empty, the first frame of a connection
    identifies the host.
    """

    def __init__(
        self, upstream: str, faults: dict[str, LinkFault], owner: str = "", source: str = ""
    ) -> None:
        self._upstream = upstream
        self._faults = faults
        self._owner = owner
        self._source = source
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.host_names: dict[str, str] = {}
        """Host names by advertised address."""

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream_writer}
        self._writers |= writers
        source = [self._source]
        relays = [
            asyncio.create_task(self._relay(reader, upstream_writer, source, False)),
            asyncio.create_task(self._relay(upstream_reader, writer, source, True)),
        ]
        await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        for relay in relays:
            relay.cancel()
        for end in writers:
            end.close()
        self._writers -= writers

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: list[str],
        from_upstream: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if not source[0]:
                    source[0] = self._identify_sender(data)
                sender, receiver = (
                    (self._owner, source[0]) if from_upstream else (source[0], self._owner)
                )
                await self._apply_faults(sender, receiver)
                writer.write(data)
                await writer.drain()

    async def _apply_faults(self, sender: str, receiver: str) -> None:
        sender_fault, receiver_fault = (
            self._faults.get(sender, LinkFault()),
            self._faults.get(receiver, LinkFault()),
        )
        if sender_fault.delay_s or receiver_fault.delay_s:
            await asyncio.sleep(sender_fault.delay_s + receiver_fault.delay_s)
        while sender_fault.block_egress or receiver_fault.block_ingress:
            await asyncio.sleep(POLL_PERIOD_S)

    def _identify_sender(self, data: bytes) -> str:
        (length,) = frames.LENGTH.unpack_from(data)
        try:
            message = frames.decode(data[4 : 4 + length])
        except FrameError:
            return ""
        return self.host_names.get(getattr(message, "member", frames.Member("", "", 0)).address, "")
