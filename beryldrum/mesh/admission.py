"""Admission control at the entry while a service is overloaded.

When more requests arrive than the most loaded service on their path can serve, the
entry admits a share of them, the most important of those that reach this service, and
refuses the rest before their first hop. The share is computed from the share that was
admitted recently and the load that it caused at the service, so it does not overshoot
while an earlier change is still taking effect. The priority of a request includes a
hash of its id, so all entries refuse the same requests of one importance. Of the
requests exactly at the threshold, which have equal hashes, a random share is admitted.

All targets of a service may refuse or fail a share of their calls. A request that makes
several calls then completes only if the retries that are allowed carry it. Requests that
reach the service through calls are admitted, the most important first, up to the number
whose retries are allowed. A request sent to the service itself needs no more than one
retry and is held only to the load.

A service may have no reachable target, for instance since its data centre is cut off.
Requests that need it would fail only after other services have worked on them. They
are refused before they run, except a few that show whether the service is still called.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping

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
IDLE_S = 5.0
"""Time without a request after which the share admitted before says nothing about a service
that has room. It rises with requests only, and would refuse some after any pause."""

MIN_ADMITTED_SHARE = 0.05
"""Minimum share that is admitted, so that the end of an overload is noticed."""


COMPLETION_DECAY = 0.9
"""Decay of arrivals that reach a service through calls: half after 0.7 s. A change of
admission shows in the retries that nodes of other data centres report after 0.4 to 1.2 s."""

COMPLETION_SETPOINT = 0.93
"""Share of the allowed retries that admitted requests may need. In replays, 1.4 to 3 let more
requests of low importance complete by chance, and fewer of the most important ones."""

MAX_COMPLETION_CORRECTION = 10.0
"""Upper bound of the correction while retries suffice. It is higher than that for the load:
when the failures end, admission must rise within a second, and the number of retries needed
tells how far. With 1.25 it took some six seconds."""

MIN_KIND_SHARE = 0.03
"""Share of the requests of each kind that is admitted however short retries are."""


class _Arrivals:
    """The requests that reach one service, by priority."""

    def __init__(self, decay: float = DECAY) -> None:
        self._decay = decay
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
        self.counts = [count * self._decay for count in self.counts]
        self.offered *= self._decay
        self.admitted *= self._decay


class AdmissionController:
    """Decides which requests one entry admits.

    ``load`` returns the load of a service, where 1 is full, or None if the service has
    no reachable target. ``retries_needed`` returns the retries that the calls to a service
    need, as a share of those allowed.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        load: Callable[[str], float | None],
        retries_needed: Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._load = load
        self._retries_needed = retries_needed
        self._services: dict[str, _Arrivals] = {}
        self._trees: dict[str, _Arrivals] = {}
        """The requests that reach a service through calls, by service."""
        self._updated_at = clock.now()

    def admits(self, priority: int, services: Iterable[str], called: Collection[str] = ()) -> bool:
        """Count a request that reaches ``services`` and tell whether it is admitted.

        It reaches those of ``services`` that are in ``called`` through calls.
        """
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
        for service in called:
            arrivals = self._trees.get(service)
            if arrivals is None:
                arrivals = self._trees[service] = _Arrivals(COMPLETION_DECAY)
            found.append(arrivals)
            if not self._passes(arrivals, priority) and self._rng.random() >= MIN_KIND_SHARE:
                refusing.append(arrivals)
        # A request that one service refuses does not reach the others.
        reached = found if not refusing else refusing if len(refusing) == 1 else []
        for arrivals in reached:
            arrivals.counts[min(priority, ADMIT_ALL_LEVEL - 1)] += 1.0
            arrivals.offered += 1.0
            arrivals.admitted += not refusing
        return not refusing

    def admitted_share(self, service: str) -> float:
        """Return the share of the requests for a service that was admitted recently."""
        arrivals = self._services.get(service)
        return arrivals.admitted_share() if arrivals is not None else 1.0

    def has_target(self, service: str) -> bool:
        """Tell whether a service has a reachable target."""
        return self._load(service) is not None

    def _passes(self, arrivals: _Arrivals, priority: int) -> bool:
        if priority == arrivals.threshold:
            return self._rng.random() < arrivals.threshold_share
        return priority < arrivals.threshold

    def _update(self) -> None:
        now = self._clock.now()
        idle, self._updated_at = now - self._updated_at >= IDLE_S, now
        for service, arrivals in self._services.items():
            full = self._load(service)
            if full is None:
                arrivals.set_share(MIN_ADMITTED_SHARE)
            else:
                if not arrivals.had_target or (idle and full < LOAD_SETPOINT):
                    # The share refused before says nothing about capacity now.
                    arrivals.admitted = arrivals.offered
                ratio = LOAD_SETPOINT / max(0.01, full)
                correction = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio**CORRECTION_EXPONENT))
                arrivals.set_share(max(MIN_ADMITTED_SHARE, arrivals.admitted_share() * correction))
            arrivals.had_target = full is not None
            arrivals.decay()
        for service, arrivals in self._trees.items():
            ratio = COMPLETION_SETPOINT / max(0.01, self._retries_needed(service))
            correction = min(
                MAX_COMPLETION_CORRECTION, max(MIN_CORRECTION, ratio**CORRECTION_EXPONENT)
            )
            arrivals.set_share(max(MIN_KIND_SHARE, arrivals.admitted_share() * correction))
            arrivals.decay()

    def min_admitted_share(self, services: Iterable[str], called: Collection[str] = ()) -> float:
        """Return the least share admitted recently by any service that a request reaches."""
        reached = [self._services.get(name) for name in services]
        reached += [self._trees.get(name) for name in called]
        return min((a.admitted_share() for a in reached if a is not None), default=1.0)

    def admitted_trees(self) -> dict[str, float]:
        """Return the share admitted recently of requests with calls, where less than 1."""
        return _shares(self._trees)

    def admitted_shares(self) -> dict[str, float]:
        """Return the share admitted recently, by service, where less than 1."""
        return _shares(self._services)


def _shares(arrivals: Mapping[str, _Arrivals]) -> dict[str, float]:
    shares = {name: round(a.admitted_share(), 2) for name, a in arrivals.items()}
    return {name: share for name, share in shares.items() if share < 1.0}
