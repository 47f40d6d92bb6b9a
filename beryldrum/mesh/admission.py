"""Which requests are admitted at the entry while a service is short of room.

The load it answers: more requests come than the fullest service on their way can
serve. The share that it can take is filled with the most important requests of
those that come to it; the rest is refused whole, before its first hop. Within one
rank the same requests are refused everywhere, by a hash of their id.
"""

import random
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..request import NO_LEVEL
from .pressure import WHOLE

__all__ = ["Admission"]

PERIOD_S = 0.1
"""Period at which thresholds are worked out anew."""

FORGET = 0.93
"""Weight that past arrivals keep in a period: half after a second."""


class _Arrivals:
    """Arrivals by priority of the requests that come to one service."""

    def __init__(self) -> None:
        self.counts = [0.0] * NO_LEVEL
        self.threshold = NO_LEVEL
        self.part = 1.0

    def divide(self, share: float) -> None:
        """Set the threshold so that ``share`` of the arrivals lies beneath it."""
        wanted = sum(self.counts) * share
        self.threshold, self.part = NO_LEVEL, 1.0
        for priority, count in enumerate(self.counts):
            if count > 0.0 and wanted < count:
                self.threshold, self.part = priority, max(0.0, wanted / count)
                return
            wanted -= count

    def fade(self) -> None:
        """Let past arrivals count for less."""
        self.counts = [count * FORGET for count in self.counts]


class Admission:
    """Decides at one entry. ``share`` returns what a service can take."""

    def __init__(self, clock: Clock, rng: random.Random, share: Callable[[str], float]) -> None:
        self._clock = clock
        self._rng = rng
        self._share = share
        self._services: dict[str, _Arrivals] = {}
        self._at = clock.now()

    def admits(self, priority: int, services: Iterable[str]) -> bool:
        """Count a request that comes to ``services`` and tell whether it is admitted."""
        if self._clock.now() - self._at >= PERIOD_S:
            self._renew()
        admitted = True
        for service in services:
            arrivals = self._services.get(service)
            if arrivals is None:
                arrivals = self._services[service] = _Arrivals()
            arrivals.counts[min(priority, NO_LEVEL - 1)] += 1.0
            if priority > arrivals.threshold:
                admitted = False
            elif priority == arrivals.threshold:
                admitted = admitted and self._rng.random() < arrivals.part
        return admitted

    def _renew(self) -> None:
        self._at = self._clock.now()
        for service, arrivals in self._services.items():
            share = self._share(service)
            if share >= WHOLE:
                arrivals.threshold, arrivals.part = NO_LEVEL, 1.0
            else:
                arrivals.divide(share)
            arrivals.fade()
