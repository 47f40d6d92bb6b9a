"""A non-blocking writer of log lines to a file descriptor."""

import os

__all__ = ["LineWriter"]

MAX_BUFFERED_BYTES = 1_048_576
"""Largest size of the buffer; while it is full, lines are dropped."""


class LineWriter:
    """A text stream for loggers that buffers its lines until :meth:`emit`.

    The file descriptor is made non-blocking, so that a reader which has stopped reading
    cannot block the process. ``dropped`` counts the lines for which there was no room.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Add text to the buffer, or drop it if that is full; returns its length."""
        if len(self._buffer) + len(text) > MAX_BUFFERED_BYTES:
            self.dropped += text.count("\n")
        else:
            self._buffer += text.encode("utf-8", "replace")
        return len(text)

    def flush(self) -> None:
        """Do nothing: loggers flush after each line. See :meth:`emit`."""

    def emit(self) -> None:
        """Write as much of the buffer as the file descriptor accepts without blocking."""
        while self._buffer:
            try:
                count = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, and there is no other place for the lines.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:count]
