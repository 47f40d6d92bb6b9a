"""Clocks, injected so that tests and benchmarks can control time.

``now`` keeps counting while the process is paused and while the machine is suspended;
leases and loans depend on that. ``wall_ms`` is the time of day. It is used only where
times of two hosts are compared, and there with an explicit margin for clock error.
"""

import time
from abc import ABC, abstractmethod
from functools import partial

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of monotonic time and of the time of day."""

    @abstractmethod
    def now(self) -> float:
        """Return elapsed seconds since an arbitrary start."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """The clock of the operating system."""

    # Called about ten times per request; a partial avoids a Python frame per call.
    now = staticmethod(partial(time.clock_gettime, time.CLOCK_BOOTTIME))

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only by :meth:`advance`.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start: float = 0.0, wall_ms: int = 1_800_000_000_000) -> None:
        self._now = start
        self._wall_start_ms = wall_ms - int(start * 1000)

    def now(self) -> float:
        return self._now

    def wall_ms(self) -> int:
        return self._wall_start_ms + round(self._now * 1000)

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds``."""
        self._now += seconds
