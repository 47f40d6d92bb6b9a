"""What a process may hold of other processes' bytes and connections."""

import contextlib
import ctypes
from typing import NamedTuple

from ..clock import Clock
from .explain import Explainer
from .http import MemoryBudget
from .http_listener import HttpListener

__all__ = [
    "FrontEndState",
    "ShortageLog",
    "budget_bytes",
    "max_connections",
    "return_large_blocks",
]

LOG_S = 1.0
"""Shortest interval between log lines about shortages."""

PROCESS_MB = 40
"""Memory of a process without requests: 32 MB were measured, and the state of a fleet."""

BUDGET_SHARE = 0.88
"""Part of the rest that may be in use; what else is free is lost to fragmentation."""

MIN_BUDGET_SHARE = 0.2
"""Share of the memory that may be used where that leaves less."""

RESERVED_DESCRIPTORS = 200
"""Descriptors kept for files."""

CLIENT_SHARE = 0.75
"""Share of the other descriptors that callers may use. The rest is for the target, other
nodes and the store."""


def budget_bytes(memory_mb: int) -> int:
    """Return the bytes that other processes may make one of ``memory_mb`` hold."""
    return int(max(memory_mb * MIN_BUDGET_SHARE, (memory_mb - PROCESS_MB) * BUDGET_SHARE) * 2**20)


def max_connections(file_descriptors: int) -> int:
    """Return the connections that callers may have open."""
    return int((file_descriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE)


MMAP_THRESHOLD_OPTION = -3
MMAP_THRESHOLD_BYTES = 262_144
"""Size from which a block is mapped by itself. By default glibc raises it up to 32 MiB when
such blocks are freed, and the memory of bodies then stays with the process."""


def return_large_blocks() -> None:
    """Make the C library return the memory of large blocks as soon as they are freed."""
    with contextlib.suppress(OSError, AttributeError):
        # Other C libraries have no such option, and other ways.
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)


class FrontEndState(NamedTuple):
    """What callers make a node hold, and what was refused for it since the start."""

    reserved_bytes: int
    limit_bytes: int
    connections: int
    shed: int
    """Clients given up for memory."""
    evicted: int
    """Connections closed or refused for descriptors."""
    runs_refused: int
    """Runs of other nodes for which there was no memory."""


class ShortageLog:
    """Logs when clients or runs were refused for memory or descriptors."""

    def __init__(self, clock: Clock, explainer: Explainer, memory: MemoryBudget) -> None:
        self._clock = clock
        self._explainer = explainer
        self._memory = memory
        self.listener: HttpListener | None = None
        """The listener for callers."""
        self.runs_refused = 0
        self._logged_at = float("-inf")
        self._logged = (0, 0, 0)

    def state(self) -> FrontEndState:
        """Return the current state, for metrics."""
        clients = self.listener.connections if self.listener else None
        return FrontEndState(
            self._memory.reserved,
            self._memory.limit,
            len(clients) if clients else 0,
            clients.shed_count if clients else 0,
            clients.evicted_count if clients else 0,
            self.runs_refused,
        )

    def tick(self) -> None:
        """Write a line if something was refused since the last one."""
        state, now = self.state(), self._clock.now()
        counts = (state.shed, state.evicted, state.runs_refused)
        if counts == self._logged or now - self._logged_at < LOG_S:
            return
        shed, evicted, runs = (new - old for new, old in zip(counts, self._logged, strict=True))
        self._logged, self._logged_at = counts, now
        self._explainer.event(
            "clients given up",
            shed=shed,
            evicted=evicted,
            runs_refused=runs,
            connections=state.connections,
            reserved_bytes=state.reserved_bytes,
            limit_bytes=state.limit_bytes,
        )
