"""What a process may hold of other processes' bytes and connections."""

import contextlib
import ctypes

__all__ = ["budget_bytes", "max_connections", "return_large_blocks"]

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
