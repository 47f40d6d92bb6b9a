"""What callers and targets saw, and which promises that breaks."""

import time
from collections import Counter, deque
from typing import NamedTuple

__all__ = ["Checker", "ReceivedRequest", "SentRequest"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""

KEY_REVOCATION_S = 5.0
TARGET_DRAIN_S = 2.0
CONFIG_UPDATE_S = 2.0
STORE_FAULT_EXTRA_S = 5.0
"""What an unstable store may add to the time of a configuration."""

RATE_WINDOW_S = 5.0
DEADLINE_SLACK_MS = 500
SETTLE_S = 3.0
"""Time without faults after which a host's bounds in time hold."""


class SentRequest(NamedTuple):
    """A request that a caller sent; ``service`` is that of the host it was sent on."""

    request_id: str
    host: str
    service: str
    path: str
    key: str
    idempotent: bool
    timeout_ms: int
    sent_at: float


class ReceivedRequest(NamedTuple):
    """A request as a target got it; header names in lower case."""

    target: str
    service: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_at: float


class Checker:
    """All that was seen, checked as it comes."""

    def __init__(self, rate: float, burst: float) -> None:
        self.findings: list[str] = []
        self.outcome_counts: Counter[str] = Counter()
        self.sent_requests: dict[str, SentRequest] = {}
        self.run_counts: Counter[str] = Counter()
        self.key_owners: dict[str, str] = {}
        """Organisations by every key there ever was."""
        self.key_withdrawn_at: dict[str, float] = {}
        """When the withdrawal of a key was confirmed."""
        self.key_added_at: dict[str, float] = {}
        """When a key that is new was confirmed."""
        self.target_draining_at: dict[str, float] = {}
        """When the leaving of a target was confirmed."""
        self.route_changes: list[tuple[float, str]] = []
        """When the service of the route that moves was confirmed, and which."""
        self.faulty_until: dict[str, float] = {}
        """Until when a host, or the store, had a fault."""
        self._max_hot_runs = (rate * RATE_WINDOW_S + burst) * 1.1 + 20
        self._hot_runs: deque[float] = deque()
        self._refusals: dict[str, int] = {}

    def add_finding(self, violation: str, **details: object) -> None:
        """Note a broken promise."""
        self.findings.append(f"{violation}: {details}")

    def record_sent(self, request: SentRequest) -> None:
        """Note a request that is about to be sent."""
        self.sent_requests[request.request_id] = request

    def check_received(self, received: ReceivedRequest) -> None:
        """Check a request that a target begins to run."""
        headers = received.headers
        request_id = headers.get("x-request-id", "")
        request = self.sent_requests.get(request_id)
        if request is None or request.path != received.path:
            self.add_finding("runs what nobody asked for", id=request_id, path=received.path)
            return
        self.run_counts[request_id] += 1
        if not request.idempotent and self.run_counts[request_id] > 1:
            self.add_finding("runs twice", id=request_id)
        if "authorization" in headers:
            self.add_finding("a target sees the key", id=request_id)
        if headers.get("x-tenant", "") != self.key_owners.get(request.key, ""):
            self.add_finding("another organisation", id=request_id, seen=headers.get("x-tenant"))
        if headers.get("x-caller-service") != request.service:
            self.add_finding("another caller", id=request_id, seen=headers.get("x-caller-service"))
        if (
            int(headers.get("x-deadline-milliseconds", "0"))
            > request.timeout_ms + DEADLINE_SLACK_MS
        ):
            self.add_finding("more time than is left", id=request_id)
        if (
            request.sent_at
            > self.key_withdrawn_at.get(request.key, float("inf")) + KEY_REVOCATION_S
        ):
            self.add_finding("a withdrawn key works", id=request_id, host=request.host)
        draining_for_s = received.received_at - self.target_draining_at.get(
            received.target, float("inf")
        )
        if (
            draining_for_s > TARGET_DRAIN_S
            and request.sent_at > self.target_draining_at[received.target]
        ):
            self.add_finding(
                "a leaving target gets work", id=request_id, after_s=round(draining_for_s, 2)
            )
        if request.path.startswith("/move/"):
            self._check_route(request, received)
        if headers.get("x-tenant") == "hot":
            self._check_rate(received.received_at)

    def _check_rate(self, at: float) -> None:
        self._hot_runs.append(at)
        while self._hot_runs[0] < at - RATE_WINDOW_S:
            self._hot_runs.popleft()
        if len(self._hot_runs) > self._max_hot_runs:
            self.add_finding("over the rate", runs=len(self._hot_runs), most=self._max_hot_runs)
            self._hot_runs.clear()

    def _check_route(self, request: SentRequest, received: ReceivedRequest) -> None:
        store_healthy = self.is_healthy("store", request.sent_at)
        limit_s = CONFIG_UPDATE_S if store_healthy else CONFIG_UPDATE_S + STORE_FAULT_EXTRA_S
        allowed = [service for at, service in self.route_changes if at + limit_s >= request.sent_at]
        latest = [service for at, service in self.route_changes if at + limit_s < request.sent_at][
            -1:
        ]
        if received.service in allowed + latest or not self.is_healthy(
            request.host, request.sent_at
        ):
            return
        if store_healthy:
            self.add_finding("an old configuration", id=request.request_id, host=request.host)

    def is_healthy(self, host: str, at: float) -> bool:
        """Tell whether a host's bounds in time hold at a moment."""
        return at > self.faulty_until.get(host, float("-inf")) + SETTLE_S

    def check_response(
        self, request: SentRequest, status: int, signed: bool, complete: bool
    ) -> None:
        """Check an answer; ``whole`` tells whether the body is this request's."""
        self.outcome_counts[str(status)] += 1
        if status < 300 and not (signed and complete):
            self.add_finding("not its own whole answer", id=request.request_id, signed=signed)
        if status in NOT_RUN_STATUSES and not request.idempotent:
            self._refusals[request.request_id] = status
        if status == 401 and self._key_just_added(request):
            self.outcome_counts["denied a key just given"] += 1
        elif status in (400, 404) or (status == 401 and request.key not in self.key_withdrawn_at):
            self.outcome_counts["denied"] += 1

    def _key_just_added(self, request: SentRequest) -> bool:
        """Tell whether the configuration before a key may still be in force."""
        limit_s = (
            CONFIG_UPDATE_S
            if self.is_healthy("store", request.sent_at)
            else CONFIG_UPDATE_S + STORE_FAULT_EXTRA_S
        )
        return request.sent_at <= self.key_added_at.get(request.key, float("-inf")) + limit_s

    def record_lost(self, request: SentRequest, killed: bool) -> None:
        """Note a connection that ended without an answer; ``gone`` if its node was killed."""
        self.outcome_counts["lost"] += 1
        if not killed and self.run_counts[request.request_id]:
            self.add_finding(
                "an answer lost without a fault", id=request.request_id, host=request.host
            )

    def finish(self) -> None:
        """Check what only the end tells."""
        for request_id, status in self._refusals.items():
            if self.run_counts[request_id]:
                self.add_finding("'not run' is not true", id=request_id, status=status)
        if self.outcome_counts["denied"] > 5 + len(self.sent_requests) / 500:
            self.add_finding("proper requests denied", count=self.outcome_counts["denied"])

    @staticmethod
    def now() -> float:
        """Return the time that all entries go by."""
        return time.monotonic()
