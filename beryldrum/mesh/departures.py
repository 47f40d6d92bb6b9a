"""Records in the store which targets of this host have left.

Nodes tell each other that a target has left, but all of them may be killed at once. A
heartbeat that was under way meanwhile must not bring the target back, so its leaving is
confirmed only when the store has it.
"""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..errors import LogError
from .explain import Explainer
from .store import Departures, Store

__all__ = ["DepartureRecorder"]

RETRY_S = 0.3
"""Delay before a failed write is tried again."""


class DepartureRecorder:
    """Writes the departures of the host whose node is at ``address``.

    ``departures`` returns them as in :class:`.Departures`.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        address: str,
        explainer: Explainer,
        departures: Callable[[], dict[str, int]],
    ) -> None:
        self._clock = clock
        self._store = store
        self._address = address
        self._explainer = explainer
        self._departures = departures
        self._recorded: dict[str, int] = {}
        """What the store is known to have."""
        self._rewrites = 0
        self._restored = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def complete(self) -> bool:
        """Whether the store has all departures."""
        return self._departures().items() <= self._recorded.items()

    def restore(self, targets: dict[str, int]) -> None:
        """Note what the store had when this process started."""
        self._recorded = targets | self._recorded
        self._restored.set()

    def rewrite(self) -> None:
        """Write all departures again, since the store may have lost them."""
        if self._restored.is_set():
            self._recorded = {}
            self._rewrites += 1
            if not self.complete and (self._task is None or self._task.done()):
                self._task = asyncio.create_task(self._write())

    async def record(self, timeout_s: float) -> bool:
        """Record all departures; returns whether the store has them within ``timeout_s``.

        What could not be written in that time is tried again until it is.
        """
        if not self.complete:
            if self._task is None or self._task.done():
                self._task = asyncio.create_task(self._write())
            await asyncio.wait({self._task}, timeout=timeout_s)
        return self.complete

    async def _write(self) -> None:
        # A record replaces the one of an earlier process, which has to be read before.
        await self._restored.wait()
        while not self.complete:
            targets, rewrites = self._departures(), self._rewrites
            try:
                record = Departures(targets, self._clock.wall_ms())
                await self._store.record_departures(self._address, record)
            except LogError as exc:
                self._explainer.event("departure not recorded", error=repr(exc))
                await asyncio.sleep(RETRY_S)
            else:
                if rewrites == self._rewrites:
                    self._recorded = targets

    def stop(self) -> None:
        """Stop trying."""
        if self._task is not None:
            self._task.cancel()
