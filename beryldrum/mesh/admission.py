"""Admission control at the entry while a service is overloaded.

When more requests arrive than the most loaded service on their path can serve, the
entry admits a share of them, the most important of those that reach this service, and
refuses the rest before their first hop. The share is computed from the share that was
admitted recently and the load that it caused at the service, so it does not overshoot
while an earlier change is still taking effect. The priority of a request includes a
hash of its id, so all entries refuse the same requests of one importance. Of the
requests exactly at the threshold, which have equal hashes, a random share is admitted.

A service may have no reachable target, for instance since its data centre is cut off.
Requests that need it would fail only after other services have worked on them. They
are refused before they run, except a few that show whether the service is still called.
"""

import random
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..request import ADMIT_ALL_LEVEL

__all__ = ["AdmissionController"]

UPDATE_PERIOD_S = 0.1
"""Period at which thresholds are recomputed."""

DECAY = 0.85
"""Weight that past arrivals keep per period: half after 0.4 s, which is about the time
until a change of admission takes effect at a service deep in the graph."""

LOAD_SETPOINT = 0.93
"""Load at which a service is kept: almost full, with hardly any queue."""

CORRECTION_EXPONENT = 0.8
"""Exponent of the correction; below 1, the control loop settles in spite of its delay."""

MIN_CORRECTION, MAX_CORRECTION = 0.3, 1.25
"""Bounds of the correction. An idle service may only just have lost its requests, so
admission rises slowly."""

MIN_ADMITTED_SHARE = 0.05
"""Minimum share that is admitted, so that the end of an overload is noticed."""


class _Arrivals:
    """The requests that reach one service, by priority."""

    def __init__(self) -> None:
        self.counts = [0.0] * ADMIT_ALL_LEVEL
        self.offered = 0.0
        self.admitted = 0.0
        self.threshold = ADMIT_ALL_LEVEL
        self.threshold_share = 1.0
        """Share of the requests at the threshold that is admitted."""
        self.had_target = True
        """Whether the service had a target at the last update."""

    def admitted_share(self) -> float:
        """Return the share that was admitted recently."""
        return self.admitted / self.offered if self.offered >= 1.0 else 1.0

    def set_share(self, share: float) -> None:
        """Set the threshold so that ``share`` of the arrivals is admitted."""
        self.threshold, self.threshold_share = ADMIT_ALL_LEVEL, 1.0
        if share >= 1.0:
            return
        remaining = self.offered * share
        for priority, count in enumerate(self.counts):
            if count > 0.0 and remaining < count:
                self.threshold, self.threshold_share = priority, remaining / count
                return
            remaining -= count

    def decay(self) -> None:
        """Reduce the weight of past arrivals."""
        self.counts = [count * DECAY for count in self.counts]
        self.offered *= DECAY
        self.admitted *= DECAY


class AdmissionController:
    """Decides which requests one entry admits.

    ``load`` returns the load of a service, where 1 is full, or None if the service has
    no reachable target.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, load: Callable[[str], float | None]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._load = load
        self._services: dict[str, _Arrivals] = {}
        self._updated_at = clock.now()

    def admits(self, priority: int, services: Iterable[str]) -> bool:
        """Count a request that reaches ``services`` and tell whether it is admitted."""
        if self._clock.now() - self._updated_at >= UPDATE_PERIOD_S:
            self._update()
        found, refusing = [], []
        for service in services:
            arrivals = self._services.get(service)
            if arrivals is None:
                arrivals = self._services[service] = _Arrivals()
            found.append(arrivals)
            if not self._passes(arrivals, priority):
                refusing.append(arrivals)
        # A request that one service refuses does not reach the others.
        reached = found if not refusing else refusing if len(refusing) == 1 else []
        for arrivals in reached:
            arrivals.counts[min(priority, ADMIT_ALL_LEVEL - 1)] += 1.0
            arrivals.offered += 1.0
            arrivals.admitted += not refusing
        return not refusing

    def has_target(self, service: str) -> bool:
        """Tell whether a service has a reachable target."""
        return self._load(service) is not None

    def _passes(self, arrivals: _Arrivals, priority: int) -> bool:
        if priority == arrivals.threshold:
            return self._rng.random() < arrivals.threshold_share
        return priority < arrivals.threshold

    def _update(self) -> None:
        self._updated_at = self._clock.now()
        for service, arrivals in self._services.items():
            full = self._load(service)
            if full is None:
                arrivals.set_share(MIN_ADMITTED_SHARE)
            else:
                if not arrivals.had_target:
                    # The share refused without a target says nothing about capacity now.
                    arrivals.admitted = arrivals.offered
                ratio = LOAD_SETPOINT / max(0.01, full)
                correction = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio**CORRECTION_EXPONENT))
                arrivals.set_share(max(MIN_ADMITTED_SHARE, arrivals.admitted_share() * correction))
            arrivals.had_target = full is not None
            arrivals.decay()

    def admitted_shares(self) -> dict[str, float]:
        """Return the share admitted recently, by service, where less than 1."""
        shares = {name: round(a.admitted_share(), 2) for name, a in self._services.items()}
        return {name: share for name, share in shares.items() if share < 1.0}
