"""Slow start: what a target may get while it is cold, and how long it counts as cold.

Load pattern: a target that has just started, or whose caches are cold again, takes only a
few requests per second and crashes beyond that, while its peers take hundreds. The node
beside a target hands over all of its requests, so it keeps the limit for the whole fleet,
exactly and over any window of a second, and paces the requests within it.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from .document import FleetDocument
from .settings import MeshSettings

__all__ = ["ColdLimit", "ColdPolicy", "ColdRate", "Sending"]

WINDOW_S = 1.05
"""Window over which requests are counted: a second, and a margin for the varying time from
the write of a request until the target reads it."""

BURST_S = 0.25
"""Time whose requests may start at once after an idle period."""

HEARTBEAT_DELAY_S = 4.0
"""Longest time for which a heartbeat is on its way: most take milliseconds, some seconds."""

UNKNOWN_RATE_WAIT_S = 1.0
"""Stated wait where it is not known yet when a cold target takes requests."""


class ColdRate(NamedTuple):
    """The rate at which a cold target is used, and the most that it may get in any second.

    Both are 0 while the rate is not known.
    """

    per_s: float
    most: int

    def pace(self) -> float:
        """Return the rate in requests per second at which requests start."""
        return min(self.per_s, self.most / WINDOW_S)

    def burst(self) -> float:
        """Return the number of requests that may start at once.

        Pace and burst leave one of ``most`` for a health check, if they can.
        """
        pace = self.pace()
        return max(1.0, min(pace * BURST_S, self.most - pace - 1.0))


class ColdPolicy:
    """Determines from settings and configuration how the targets of a service start."""

    def __init__(
        self,
        settings: Callable[[], MeshSettings],
        document: Callable[[], FleetDocument | None],
    ) -> None:
        self._settings = settings
        self._document = document

    def rate(self, service: str) -> ColdRate | None:
        """Return the rate for a service's cold targets, None if they need no limit."""
        cfg, doc = self._settings(), self._document()
        if not cfg.cold_rate_overshoot:
            return None
        if doc is None:
            return ColdRate(0.0, 0)
        row = doc.services.get(service)
        if row is None or not row.cold_per_s:
            return None
        most = row.cold_per_s * cfg.cold_rate_overshoot + cfg.cold_rate_slack
        return ColdRate(row.cold_per_s, math.floor(most))

    def health_path(self, service: str) -> str:
        """Return the path of the service's health page, empty if it has none."""
        doc = self._document()
        row = doc.services.get(service) if doc else None
        return row.health_path if row else ""


class Sending:
    """One started request: counted as sent when called, or given back by :meth:`close`."""

    def __init__(self, limit: "ColdLimit") -> None:
        self._limit: ColdLimit | None = limit

    def __call__(self) -> None:
        limit, self._limit = self._limit, None
        if limit is not None:
            limit.sent()

    def close(self) -> None:
        """Give the start back unless the request was sent."""
        limit, self._limit = self._limit, None
        if limit is not None:
            limit.give_back()


class ColdLimit:
    """The limit of one target while it is cold.

    A request counts from its start until a second after it is written: opening a
    connection may take up to a second, so that requests which were started evenly may be
    written together.

    >>> from beryldrum.clock import ManualClock
    >>> limit = ColdLimit(ManualClock())
    >>> limit.configure(ColdRate(10.0, 20))
    >>> limit.delay_s()
    0.0
    >>> limit.state(5.0)
    >>> limit.delay_s()
    0.1
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: ColdRate | None = None
        self._cold_until = float("-inf")
        self._doubted_at: float | None = None
        """When the target began to count as cold until it says that it is not."""
        self._trusted_from = float("-inf")
        """From when on a heartbeat can only have been sent after the doubt began."""
        self._unsent = 0
        """Requests that were started and are not written yet."""
        self._sent: deque[float] = deque(maxlen=0)
        """When the last ones were written."""
        self._available = 0.0
        """Requests that may start now, as of ``_refilled_at``; none when the limit begins,
        since an earlier process may have used them."""
        self._refilled_at = self._known_from = clock.now()

    def configure(self, rate: ColdRate | None) -> None:
        """Set the rate, None for no limit."""
        if rate != self._rate:
            self._refill()
            if self._rate is None:
                self._available = 0.0
            self._rate = rate
            self._sent = deque(self._sent, maxlen=rate.most if rate else 0)

    def state(self, cold_s: float) -> None:
        """Apply a heartbeat: the target is cold for ``cold_s`` from its receipt.

        One that may have been sent before the doubt began can only prolong that.
        """
        now = self._clock.now()
        if now < self._trusted_from:
            self._set(max(self._cold_until, now + cold_s), self._doubted_at)
        else:
            self._set(now + cold_s, None)

    def doubt(self) -> None:
        """Count the target as cold until it says that it is not."""
        now = self._clock.now()
        self._trusted_from = now + HEARTBEAT_DELAY_S
        self._set(self._cold_until, now)

    def answer(self, cold_s: float, asked_at: float) -> None:
        """Apply an answer of the health page, which was asked for at ``asked_at``."""
        if self._doubted_at is None or asked_at >= self._doubted_at:
            self._set(self._clock.now() + cold_s, None)

    def _set(self, cold_until: float, doubted_at: float | None) -> None:
        was_cold = self.cold
        self._cold_until, self._doubted_at = cold_until, doubted_at
        if self.cold and not was_cold:
            self._available, self._refilled_at = 0.0, self._clock.now()

    @property
    def cold(self) -> bool:
        """Whether the target counts as cold, with or without a limit."""
        return self._doubted_at is not None or self._clock.now() < self._cold_until

    @property
    def doubted(self) -> bool:
        """Whether the target only counts as cold until it says what it is."""
        return self._doubted_at is not None

    @property
    def limited(self) -> bool:
        """Whether the limit is in force."""
        return self._rate is not None and self.cold

    def cold_s(self) -> float:
        """Return for how many seconds the target is cold, infinite while it is in doubt."""
        if self._doubted_at is not None:
            return float("inf")
        return max(0.0, self._cold_until - self._clock.now())

    def delay_s(self, starts: int = 1) -> float:
        """Return the seconds until ``starts`` more requests may have started."""
        rate = self._rate
        if rate is None or not self.cold:
            return 0.0
        self._refill()
        pace = rate.pace()
        paced_s = (starts - self._available) / pace if pace else UNKNOWN_RATE_WAIT_S
        wait_s = max(0.0, paced_s, self._window_delay_s(rate))
        return min(wait_s, self.cold_s())

    def has_room(self) -> bool:
        """Tell whether a health check may be sent now; it needs no turn in the pace."""
        rate = self._rate
        return rate is None or not self.cold or not self._window_delay_s(rate)

    def _window_delay_s(self, rate: ColdRate) -> float:
        """Return the seconds until one more request stays within any window."""
        now = self._clock.now()
        if rate.pace() + rate.burst() + 1.0 > rate.most and now < self._known_from + WINDOW_S:
            # What an earlier process has sent within the window is not known.
            return self._known_from + WINDOW_S - now
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        if self._unsent + len(self._sent) < rate.most:
            return 0.0
        return self._sent[0] + WINDOW_S - now if self._sent else UNKNOWN_RATE_WAIT_S

    def take(self) -> None:
        """Count the start of a request."""
        self._unsent += 1
        if self.limited:
            self._refill()
            self._available -= 1.0

    def sending(self) -> Sending:
        """Return the handle of a request that was started."""
        return Sending(self)

    def sent(self) -> None:
        """Record that a request which was started is written now."""
        self._unsent -= 1
        self._sent.append(self._clock.now())

    def give_back(self) -> None:
        """Return a start whose request was not written."""
        self._unsent -= 1
        if self.limited:
            self._available += 1.0

    def capacity(self, run_s: float, slots: int) -> int:
        """Return how many of ``slots`` the limit fills, with runs of ``run_s`` seconds.

        One more is counted, for the request that waits for its turn.
        """
        if self._rate is None or not self.cold:
            return slots
        return min(slots, 1 + math.ceil(self._rate.pace() * run_s))

    def _refill(self) -> None:
        now = self._clock.now()
        if self._rate is not None:
            earned = (now - self._refilled_at) * self._rate.pace()
            self._available = min(self._rate.burst(), self._available + earned)
        self._refilled_at = now
