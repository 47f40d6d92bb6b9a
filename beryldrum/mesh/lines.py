"""Standard output for log lines, written in batches and without ever waiting."""

import os

__all__ = ["LineWriter"]

MOST_BYTES = 1_048_576
"""Bytes that wait for a reader that does not read, beyond which lines are dropped."""


class LineWriter:
    """A text stream as loggers want it, on a file descriptor that may be full.

    Lines are gathered until :meth:`emit`; ``dropped`` counts those left out.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Add text; returns its length."""
        if len(self._buffer) + len(text) > MOST_BYTES:
            self.dropped += text.count("\n")
        else:
            self._buffer += text.encode("utf-8", "replace")
        return len(text)

    def flush(self) -> None:
        """Do nothing: loggers flush after each line, see :meth:`emit`."""

    def emit(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            try:
                count = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            del self._buffer[:count]
