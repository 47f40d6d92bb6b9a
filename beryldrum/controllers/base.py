"""What every controller is: a task with one matter."""

import asyncio
from abc import ABC, abstractmethod

import structlog

from ..errors import LogError, PeerLostError, RecordError

__all__ = ["PEER_TIMEOUT_S", "Controller"]

logger = structlog.get_logger()

PEER_TIMEOUT_S = 1.0


class Controller(ABC):
    """A task with one matter. ``step`` is run again and again."""

    pause_s = 1.0

    @abstractmethod
    async def step(self) -> None:
        """Do the work of one period."""

    async def run(self) -> None:
        """Run steps until cancelled; one that fails is logged, not the end."""
        while True:
            try:
                await self.step()
            except (LogError, PeerLostError, TimeoutError, RecordError) as exc:
                logger.debug("step failed", controller=type(self).__name__, error=repr(exc))
            await asyncio.sleep(self.pause_s)
