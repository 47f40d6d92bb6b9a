"""A listening address of the HTTP/1.1 server."""

import asyncio
import time

from .http import HttpService, MemoryBudget
from .http_connection import ServerConnection
from .shedding import Clients

__all__ = ["HttpListener"]


class HttpListener:
    """A listening address and the connections accepted on it.

    With ``max_connections``, idle connections are closed for new ones beyond that number.
    """

    def __init__(
        self, service: HttpService, memory: MemoryBudget, max_connections: int | None = None
    ) -> None:
        self.service = service
        self.memory = memory
        self.connections: Clients[ServerConnection] = Clients(max_connections)
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``, as ``host:port``; raises OSError if it is in use."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, int(port), backlog=1024)

    def _accept(self) -> ServerConnection:
        return ServerConnection(self.service, self.memory, self.connections)

    @property
    def address(self) -> str:
        """The ``host:port`` address that the listener is bound to."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def sweep(self) -> None:
        """Close the connections whose time limits are exceeded."""
        now = time.monotonic()
        for conn in self.connections:
            conn.sweep(now)

    def unsent_bytes(self) -> int:
        """Return the number of bytes of answers that clients have not taken yet."""
        return sum(conn.unsent_bytes() for conn in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in self.connections:
            if conn.idle:
                conn.close()

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
