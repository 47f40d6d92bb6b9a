"""The base class of controllers."""

import asyncio
from abc import ABC, abstractmethod

import structlog

from ..errors import LogError, PeerLostError, RecordError

__all__ = ["PEER_TIMEOUT_S", "Controller"]

logger = structlog.get_logger()

PEER_TIMEOUT_S = 1.0


class Controller(ABC):
    """A background task that runs ``step`` repeatedly, ``pause_s`` seconds apart."""

    pause_s = 1.0

    @abstractmethod
    async def step(self) -> None:
        """Do one iteration of the work."""

    async def run(self) -> None:
        """Run steps until cancelled; a step that fails is logged and tried again."""
        while True:
            try:
                await self.step()
            except (LogError, PeerLostError, TimeoutError, RecordError) as exc:
                logger.debug(
                    "controller step failed", controller=type(self).__name__, error=repr(exc)
                )
            await asyncio.sleep(self.pause_s)
