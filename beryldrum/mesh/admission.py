"""Which requests are admitted at the entry while a service is short of room.

The load it answers: more requests come than the fullest service on their way can
serve. A part of them is admitted, the most important of those that come to that
service; the rest is refused whole, before its first hop. The part follows from
what was admitted lately and how full that has made the service, so it does not
run away while a change is still on its way. Within one rank the same requests are
refused everywhere, by a hash of their id; of those right at the threshold, the hash
of which is the same, a part is drawn.

Where a service has no target that can be reached, say since its data centre is cut
off, what comes to it would fail after the work above. All but a few requests, which
tell whether it is still called, are refused while they have not run.
"""

import random
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..request import ADMIT_ALL_LEVEL

__all__ = ["Admission"]

PERIOD_S = 0.1
"""Period at which thresholds are worked out anew."""

FORGET = 0.85
"""Weight that past arrivals keep in a period: half after 0.4 s, which is about the
time until what was admitted is felt at a service deep in the graph."""

WANTED = 0.93
"""How full a service is to be: all but full, with no queue to speak of."""

GAIN = 0.8
"""Exponent of the correction; below one it settles in spite of the delay."""

LEAST_CORRECTION, MOST_CORRECTION = 0.3, 1.25
"""Bounds on the correction: a service that is empty may only just have been left alone."""

LEAST_PART = 0.05
"""Part that is admitted at least, so that the end of an overload is seen."""


class _Arrivals:
    """The requests that come to one service, by priority."""

    def __init__(self) -> None:
        self.counts = [0.0] * ADMIT_ALL_LEVEL
        self.offered = 0.0
        self.admitted = 0.0
        self.threshold = ADMIT_ALL_LEVEL
        self.marginal = 1.0
        self.served = True
        """Whether the service had a target."""

    def part(self) -> float:
        """Return the part that was admitted lately."""
        return self.admitted / self.offered if self.offered >= 1.0 else 1.0

    def divide(self, part: float) -> None:
        """Set the threshold so that ``part`` of the arrivals lies beneath it."""
        self.threshold, self.marginal = ADMIT_ALL_LEVEL, 1.0
        if part >= 1.0:
            return
        wanted = self.offered * part
        for priority, count in enumerate(self.counts):
            if count > 0.0 and wanted < count:
                self.threshold, self.marginal = priority, wanted / count
                return
            wanted -= count

    def fade(self) -> None:
        """Let past arrivals count for less."""
        self.counts = [count * FORGET for count in self.counts]
        self.offered *= FORGET
        self.admitted *= FORGET


class Admission:
    """Decides at one entry. ``full`` returns how full a service is, None without targets."""

    def __init__(
        self, clock: Clock, rng: random.Random, full: Callable[[str], float | None]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._full = full
        self._services: dict[str, _Arrivals] = {}
        self._at = clock.now()

    def admits(self, priority: int, services: Iterable[str]) -> bool:
        """Count a request that comes to ``services`` and tell whether it is admitted."""
        if self._clock.now() - self._at >= PERIOD_S:
            self._renew()
        found, refusing = [], []
        for service in services:
            arrivals = self._services.get(service)
            if arrivals is None:
                arrivals = self._services[service] = _Arrivals()
            found.append(arrivals)
            if not self._passes(arrivals, priority):
                refusing.append(arrivals)
        # What another service refuses does not come to this one.
        reached = found if not refusing else refusing if len(refusing) == 1 else []
        for arrivals in reached:
            arrivals.counts[min(priority, ADMIT_ALL_LEVEL - 1)] += 1.0
            arrivals.offered += 1.0
            arrivals.admitted += not refusing
        return not refusing

    def served(self, service: str) -> bool:
        """Tell whether a service has a target."""
        return self._full(service) is not None

    def _passes(self, arrivals: _Arrivals, priority: int) -> bool:
        if priority == arrivals.threshold:
            return self._rng.random() < arrivals.marginal
        return priority < arrivals.threshold

    def _renew(self) -> None:
        self._at = self._clock.now()
        for service, arrivals in self._services.items():
            full = self._full(service)
            if full is None:
                arrivals.divide(LEAST_PART)
            else:
                if not arrivals.served:
                    # What was refused meanwhile says nothing of the room there is now.
                    arrivals.admitted = arrivals.offered
                ratio = WANTED / max(0.01, full)
                correction = min(MOST_CORRECTION, max(LEAST_CORRECTION, ratio**GAIN))
                arrivals.divide(max(LEAST_PART, arrivals.part() * correction))
            arrivals.served = full is not None
            arrivals.fade()

    def parts(self) -> dict[str, float]:
        """Return the part that was admitted lately, of services that were short of room."""
        parts = {name: round(a.part(), 2) for name, a in self._services.items()}
        return {name: part for name, part in parts.items() if part < 1.0}
