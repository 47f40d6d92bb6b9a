"""When refused callers are told to come back, and how they are recognised when they do.

Most callers repeat a refused request once, on a new connection with a new id, and wait for
the stated time or a third of the time that they have left, whichever is less. During a long
overload, callers that come back within half a second are refused again. Where the latency
objective and the time left leave room, a deep overload therefore delays them until shortly
before the end of that room, at a time for which this entry expects few others: some then
come back after the overload has ended, and their answers are still in time.

A caller that has less time left than the route's callers usually have is taken for one that
was refused before. Entries place it in the better half of the cohorts of its kind, see
:mod:`.entry`. A caller that states too short a time gains no more than that, and only as many
are recognised as have been refused. Nothing depends on whether callers return, or where: the
counts of an entry are estimates, and a restarted node begins without any.
"""

import random
from math import exp, log
from typing import NamedTuple

from ..clock import Clock
from ..request import COHORTS
from .document import Route

__all__ = ["Returns", "Shortage"]

SHORT_DELAY_MS = 150.0, 350.0
"""Range of the delay by default, per rank, and in a slight overload."""

MIN_ROOM_MS = 1_000
"""Room for the delay below which the default is kept: with less, the later answers miss the
objective, and callers do not outlast the overload any better."""

MAX_CALLER_SHARE = 1 / 3
"""Share of the time left that callers wait at most."""

OBJECTIVE_RUNS, DEADLINE_RUNS = 1.5, 2.0
"""Run times kept free before the latency objective and before the time left is over."""

DEEP_REFUSED_SHARE = 0.3
"""Share of refused requests above which an overload is deep. The share is a mean over some
0.6 s, so that a short overload does not count as deep."""

MIN_ROOM_USED = 0.8
"""Share of the room that is used at least in a deep overload. In replays, 0.5 and 0 let more
callers be refused twice."""

CANDIDATES = 3
"""Delays drawn at random, of which that with the fewest expected callers is taken."""

SLOT_MS = 100
"""Length of the intervals for which expected callers are counted."""

MAX_SLOTS = 64
"""Number of intervals that are kept. The longest delay that is stated covers 20."""

LONGEST_TIME_WINDOW_S = 30.0
"""Period for which the longest time that a route's callers state is kept, at least."""

RETURN_MARGIN_MS = 100
"""Time less than the longest from which a caller counts as returning: it has waited at least
150 ms, while the transfer takes up to 8 ms."""

RETURNS_PER_REFUSAL = 2.0
"""Callers recognised per refusal, since others may have been refused by other entries."""

REFUSAL_HALF_LIFE_S = 2.0
"""Half-life of the refusals that count; the longest delay stated is two seconds."""


class Shortage(NamedTuple):
    """A refusal for lack of capacity.

    ``admitted`` is the share admitted recently of the requests that reach the service that
    refused, ``run_s`` the time that a run of the route takes.
    """

    admitted: float
    run_s: float


class _RouteCallers:
    """What is known of the callers of one route."""

    def __init__(self, now: float) -> None:
        self._longest_ms = 0
        self._earlier_longest_ms = 0
        self._window_start = now
        self._credit = 0.0
        self._credit_at = now

    def observe(self, left_ms: int, now: float) -> None:
        """Record the time that a caller states."""
        if now - self._window_start >= LONGEST_TIME_WINDOW_S:
            self._earlier_longest_ms, self._longest_ms = self._longest_ms, 0
            self._window_start = now
        self._longest_ms = max(self._longest_ms, left_ms)

    def longest_ms(self) -> int:
        return max(self._longest_ms, self._earlier_longest_ms)

    def refused(self, now: float) -> None:
        self._credit = self._credit_now(now) + RETURNS_PER_REFUSAL
        self._credit_at = now

    def take_refusal(self, now: float) -> bool:
        """Use one refusal up for a caller that seems to return; False if there is none."""
        credit = self._credit_now(now)
        if credit < 1.0:
            return False
        self._credit, self._credit_at = credit - 1.0, now
        return True

    def _credit_now(self, now: float) -> float:
        return self._credit * exp((self._credit_at - now) * log(2.0) / REFUSAL_HALF_LIFE_S)


class Returns:
    """Decides on the delays of refused callers at one entry and recognises their return."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._routes: dict[str, _RouteCallers] = {}
        self._expected: dict[int, int] = {}
        """Callers that have been told to return, by interval."""
        self.promised = 0
        """Number of refused callers to which a delay has been stated."""
        self.seen = 0
        """Number of requests that were recognised as those of returning callers."""

    def is_returning(self, route: Route, left_ms: int) -> bool:
        """Tell whether a request is that of a caller which was refused before.

        ``left_ms`` is the time that the caller states, negative if none.
        """
        if left_ms < 0:
            return False
        callers, now = self._callers(route), self._clock.now()
        callers.observe(left_ms, now)
        if left_ms > callers.longest_ms() - RETURN_MARGIN_MS or not callers.take_refusal(now):
            return False
        self.seen += 1
        return True

    def default_delay_ms(self, priority: int) -> int:
        """Return the delay for a refused request about which nothing more is known."""
        # Less important requests are delayed longer; the delay is random to spread retries.
        return int(self._rng.uniform(*SHORT_DELAY_MS) * max(1, priority // COHORTS))

    def delay_ms(self, route: Route, priority: int, left_ms: int, shortage: Shortage) -> int:
        """Return the time after which the caller of a refused request should return."""
        now = self._clock.now()
        self._callers(route).refused(now)
        self.promised += 1
        room_ms = self._room_ms(route, left_ms, shortage.run_s * 1000)
        if room_ms < MIN_ROOM_MS:
            return self.default_delay_ms(priority)
        depth = min(1.0, (1.0 - shortage.admitted) / DEEP_REFUSED_SHARE)
        earliest, latest = SHORT_DELAY_MS
        earliest += depth * (room_ms * MIN_ROOM_USED - earliest)
        latest += depth * (room_ms - latest)
        now_ms = now * 1000
        delays = [self._rng.uniform(earliest, latest) for _ in range(CANDIDATES)]
        delay_ms = min(
            delays, key=lambda delay: self._expected.get(int((now_ms + delay) / SLOT_MS), 0)
        )
        self._expect(int((now_ms + delay_ms) / SLOT_MS))
        return int(delay_ms)

    def has_room(self, route: Route, left_ms: int, run_s: float) -> bool:
        """Tell whether a caller that is refused can return and be answered in time."""
        return self._room_ms(route, left_ms, run_s * 1000) >= MIN_ROOM_MS

    def _room_ms(self, route: Route, left_ms: int, run_ms: float) -> float:
        return min(
            left_ms * MAX_CALLER_SHARE,
            left_ms - run_ms * DEADLINE_RUNS,
            route.latency_objective_s * 1000 - run_ms * OBJECTIVE_RUNS,
        )

    def _expect(self, slot: int) -> None:
        self._expected[slot] = self._expected.get(slot, 0) + 1
        if len(self._expected) > MAX_SLOTS:
            del self._expected[min(self._expected)]

    def _callers(self, route: Route) -> _RouteCallers:
        callers = self._routes.get(route.name)
        if callers is None:
            callers = self._routes[route.name] = _RouteCallers(self._clock.now())
        return callers
