"""Loopback ports for processes that tests start.

Several test runs may share a machine. Each reserves whole blocks of ports, so that none
hands out a port that another is about to bind.
"""

import contextlib
import itertools
import random
import socket
from collections.abc import Iterator

__all__ = ["PortAllocator", "free_address", "free_port"]

PORT_RANGE = (12_000, 32_000)
"""Below the kernel's ephemeral ports: otherwise an outgoing connection could take a port
before the process that it is meant for binds it."""

BLOCK_SIZE = 500
LOOPBACK = "127.0.0.1"


class PortAllocator:
    """Hands out free ports from blocks that no other allocator uses.

    A block is reserved by its first port, which is bound for UDP as long as the allocator
    exists.

    >>> ports = PortAllocator()
    >>> ports.free_port() != ports.free_port()
    True
    """

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        """Sockets that keep the blocks of this allocator from others."""
        self._ports = self._reserved_ports()

    def free_port(self) -> int:
        """Return a port that has not been handed out and that is free.

        Raises RuntimeError if other allocators use all that is left.
        """
        for port in self._ports:
            if _is_free(port):
                return port
        raise RuntimeError("all blocks of ports are in use")

    def _reserved_ports(self) -> Iterator[int]:
        starts = list(range(*PORT_RANGE, BLOCK_SIZE))
        random.SystemRandom().shuffle(starts)
        blocks = (range(start + 1, start + BLOCK_SIZE) for start in starts if self._reserve(start))
        return itertools.chain.from_iterable(blocks)

    def _reserve(self, port: int) -> bool:
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            sock.close()
            return False
        self._reservations.append(sock)
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind((LOOPBACK, port))
        return True
    return False


_allocator = PortAllocator()


def free_port() -> int:
    """Return a free port of this process's blocks."""
    return _allocator.free_port()


def free_address() -> str:
    """Return a loopback address with a free port, as ``host:port``."""
    return f"{LOOPBACK}:{free_port()}"
