"""The event loop of a mesh node: asyncio's own, with fewer system calls.

asyncio polls its sockets before each round of callbacks, also when callbacks are
ready to run. A request passes several such rounds, so most polls would find nothing.
"""

import asyncio
import selectors

__all__ = ["new_event_loop"]

ROUNDS = 3
"""Rounds of callbacks that may run before sockets are looked at again."""


class PatientSelector(selectors.EpollSelector):
    """Looks at sockets when there is nothing else to do, or after some rounds."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0 and self._skipped < ROUNDS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new loop; the caller closes it."""
    return asyncio.SelectorEventLoop(PatientSelector())
