"""What callers and targets saw, and which promises that breaks."""

import time
from collections import Counter, deque
from typing import NamedTuple

__all__ = ["Arrival", "Asked", "Book"]

REFUSED = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""

REVOKE_S = 5.0
DRAIN_S = 2.0
CONFIG_S = 2.0
STRETCH_S = 5.0
"""What an unstable store may add to the time of a configuration."""

QUOTA_WINDOW_S = 5.0
DEADLINE_SLACK_MS = 500
IN_TOUCH_S = 3.0
"""Time without faults after which a host's bounds in time hold."""


class Asked(NamedTuple):
    """A request that a caller sent; ``service`` is that of the host it was sent on."""

    request_id: str
    host: str
    service: str
    path: str
    key: str
    idempotent: bool
    left_ms: int
    sent_at: float


class Arrival(NamedTuple):
    """A request as a target got it; header names in lower case."""

    target: str
    service: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float


class Book:
    """All that was seen, checked as it comes."""

    def __init__(self, rate: float, burst: float) -> None:
        self.findings: list[str] = []
        self.counts: Counter[str] = Counter()
        self.asked: dict[str, Asked] = {}
        self.ran: Counter[str] = Counter()
        self.owners: dict[str, str] = {}
        """Organisations by every key there ever was."""
        self.withdrawn: dict[str, float] = {}
        """When the withdrawal of a key was confirmed."""
        self.given: dict[str, float] = {}
        """When a key that is new was confirmed."""
        self.left: dict[str, float] = {}
        """When the leaving of a target was confirmed."""
        self.moved: list[tuple[float, str]] = []
        """When the service of the route that moves was confirmed, and which."""
        self.unwell: dict[str, float] = {}
        """Until when a host, or the store, had a fault."""
        self._most = (rate * QUOTA_WINDOW_S + burst) * 1.1 + 20
        self._hot: deque[float] = deque()
        self._refused: dict[str, int] = {}

    def finding(self, promise: str, **what: object) -> None:
        """Note a broken promise."""
        self.findings.append(f"{promise}: {what}")

    def sent(self, asked: Asked) -> None:
        """Note a request that is about to be sent."""
        self.asked[asked.request_id] = asked

    def arrived(self, arrival: Arrival) -> None:
        """Check a request that a target begins to run."""
        headers = arrival.headers
        request_id = headers.get("x-request-id", "")
        asked = self.asked.get(request_id)
        if asked is None or asked.path != arrival.path:
            self.finding("runs what nobody asked for", id=request_id, path=arrival.path)
            return
        self.ran[request_id] += 1
        if not asked.idempotent and self.ran[request_id] > 1:
            self.finding("runs twice", id=request_id)
        if "authorization" in headers:
            self.finding("a target sees the key", id=request_id)
        if headers.get("x-tenant", "") != self.owners.get(asked.key, ""):
            self.finding("another organisation", id=request_id, seen=headers.get("x-tenant"))
        if headers.get("x-caller-service") != asked.service:
            self.finding("another caller", id=request_id, seen=headers.get("x-caller-service"))
        if int(headers.get("x-deadline-milliseconds", "0")) > asked.left_ms + DEADLINE_SLACK_MS:
            self.finding("more time than is left", id=request_id)
        if asked.sent_at > self.withdrawn.get(asked.key, float("inf")) + REVOKE_S:
            self.finding("a withdrawn key works", id=request_id, host=asked.host)
        late_s = arrival.at - self.left.get(arrival.target, float("inf"))
        if late_s > DRAIN_S and asked.sent_at > self.left[arrival.target]:
            self.finding("a leaving target gets work", id=request_id, after_s=round(late_s, 2))
        if asked.path.startswith("/move/"):
            self._route(asked, arrival)
        if headers.get("x-tenant") == "hot":
            self._rate(arrival.at)

    def _rate(self, at: float) -> None:
        self._hot.append(at)
        while self._hot[0] < at - QUOTA_WINDOW_S:
            self._hot.popleft()
        if len(self._hot) > self._most:
            self.finding("over the rate", runs=len(self._hot), most=self._most)
            self._hot.clear()

    def _route(self, asked: Asked, arrival: Arrival) -> None:
        store_well = self.well("store", asked.sent_at)
        bound_s = CONFIG_S if store_well else CONFIG_S + STRETCH_S
        allowed = [service for at, service in self.moved if at + bound_s >= asked.sent_at]
        latest = [service for at, service in self.moved if at + bound_s < asked.sent_at][-1:]
        if arrival.service in allowed + latest or not self.well(asked.host, asked.sent_at):
            return
        if store_well:
            self.finding("an old configuration", id=asked.request_id, host=asked.host)

    def well(self, host: str, at: float) -> bool:
        """Tell whether a host's bounds in time hold at a moment."""
        return at > self.unwell.get(host, float("-inf")) + IN_TOUCH_S

    def answered(self, asked: Asked, status: int, signed: bool, whole: bool) -> None:
        """Check an answer; ``whole`` tells whether the body is this request's."""
        self.counts[str(status)] += 1
        if status < 300 and not (signed and whole):
            self.finding("not its own whole answer", id=asked.request_id, signed=signed)
        if status in REFUSED and not asked.idempotent:
            self._refused[asked.request_id] = status
        if status == 401 and self._just_given(asked):
            self.counts["denied a key just given"] += 1
        elif status in (400, 404) or (status == 401 and asked.key not in self.withdrawn):
            self.counts["denied"] += 1

    def _just_given(self, asked: Asked) -> bool:
        """Tell whether the configuration before a key may still be in force."""
        bound_s = CONFIG_S if self.well("store", asked.sent_at) else CONFIG_S + STRETCH_S
        return asked.sent_at <= self.given.get(asked.key, float("-inf")) + bound_s

    def lost(self, asked: Asked, gone: bool) -> None:
        """Note a connection that ended without an answer; ``gone`` if its node was killed."""
        self.counts["lost"] += 1
        if not gone and self.ran[asked.request_id]:
            self.finding("an answer lost without a fault", id=asked.request_id, host=asked.host)

    def close(self) -> None:
        """Check what only the end tells."""
        for request_id, status in self._refused.items():
            if self.ran[request_id]:
                self.finding("'not run' is not true", id=request_id, status=status)
        if self.counts["denied"] > 5 + len(self.asked) / 500:
            self.finding("proper requests denied", count=self.counts["denied"])

    @staticmethod
    def now() -> float:
        """Return the time that all entries go by."""
        return time.monotonic()
