"""Records what callers and targets observe, and checks it against the guarantees of the mesh."""

import time
from collections import Counter, deque
from typing import NamedTuple

__all__ = ["Checker", "ReceivedRequest", "SentRequest", "data_centre"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not been executed and never will be."""

KEY_REVOCATION_S = 5.0
TARGET_DRAIN_S = 2.0
CONFIG_UPDATE_S = 2.0
EVACUATION_S = 5.0
COLD_WINDOW_S = 1.0
STORE_FAULT_EXTRA_S = 5.0
"""Extra time that a configuration may take to come into force while the store is faulty."""

RATE_WINDOW_S = 5.0
DEADLINE_SLACK_MS = 500
SETTLE_S = 3.0
"""Time since the last fault of a host or the store after which its time limits apply."""


LIMIT_BINDS_AFTER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
TOLD_BEFORE_S = 0.5
"""Time since a host passed on a limit after which its requests count against it."""


def data_centre(host: str) -> str:
    """Return the data centre of a host."""
    return "dc" + host[-1]


class SentRequest(NamedTuple):
    """A request that a caller sent; ``service`` is the service of the caller's host."""

    request_id: str
    host: str
    service: str
    path: str
    key: str
    idempotent: bool
    timeout_ms: int
    sent_at: float


class ReceivedRequest(NamedTuple):
    """A request as a target received it, with header names in lower case."""

    target: str
    service: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_at: float
    host: str = ""


class Checker:
    """Records requests and responses and checks each one as it is reported.

    ``rate`` (requests per second) and ``burst`` (requests) are the limit of organisation
    ``hot``; ``most_cold`` is the most requests that a cold target may get in any second.
    Violations are added to ``findings``. All times are those of `now`.
    """

    def __init__(self, rate: float, burst: float, most_cold: float = float("inf")) -> None:
        self.findings: list[str] = []
        self.outcome_counts: Counter[str] = Counter()
        self.sent_requests: dict[str, SentRequest] = {}
        self.run_counts: Counter[str] = Counter()
        self.key_owners: dict[str, str] = {}
        """Organisation of every key that was ever valid."""
        self.withdrawn: dict[str, float] = {}
        """When the withdrawal of each key was confirmed."""
        self.added: dict[str, float] = {}
        """When each new key was confirmed."""
        self.draining: dict[str, float] = {}
        """When the draining of each target was confirmed, by target id."""
        self.route_changes: list[tuple[float, str]] = []
        """Time of confirmation and new service of each change of route ``move``."""
        self.faulty_until: dict[str, float] = {}
        """End of the latest fault of each host and of the store."""
        self.rate_limits: dict[str, float] = {}
        """The limit that each target states, by target id."""
        self._limited_since: dict[str, float] = {}
        """When a caller first got an answer with the present limit of each target."""
        self._told: dict[tuple[str, str, str], float] = {}
        """When each host first passed on a statement (``limit``, ``leaving``) of a target."""
        self._limited_arrivals: dict[str, deque[float]] = {}
        self._max_hot_runs = (rate * RATE_WINDOW_S + burst) * 1.1 + 20
        self._hot_runs: deque[float] = deque()
        self._refusals: dict[str, int] = {}
        self.evacuated: dict[str, float] = {}
        """When the present evacuation of each data centre was confirmed."""
        self.host_runs: Counter[str] = Counter()
        """Requests that the targets of each host started."""
        self.in_force: set[str] = set()
        """Evacuations known to be in force, which a fault of the store does not excuse."""
        self._most_cold = most_cold
        self._cold_arrivals: dict[str, deque[float]] = {}

    def add_finding(self, violation: str, **details: object) -> None:
        """Add a violation to the findings."""
        self.findings.append(f"{violation}: {details}")

    def limit_rate(self, target: str, rate: float | None) -> None:
        """Record that a target states another rate limit from now on, or none."""
        self.rate_limits.pop(target, None)
        self._limited_since.pop(target, None)
        self._limited_arrivals.pop(target, None)
        for key in [k for k in self._told if k[1:] == (target, "limit")]:
            del self._told[key]
        if rate is not None:
            self.rate_limits[target] = rate

    def record_statements(self, req: SentRequest, headers: dict[bytes, bytes]) -> None:
        """Record what a response states about its target, as a caller got it."""
        target, at = headers.get(b"x-instance-id", b"").decode(), self.now()
        if b"server-leaving" in headers:
            self._told.setdefault((req.host, target, "leaving"), at)
        if b"server-limit" in headers and target in self.rate_limits:
            self._limited_since.setdefault(target, at)
            self._told.setdefault((req.host, target, "limit"), at)

    def _told_at(self, host: str, target: str, statement: str) -> float:
        """Return when a host passed on a statement; infinite if a fault excuses it since."""
        at = self._told.get((host, target, statement), float("inf"))
        return at if self.faulty_until.get(host, float("-inf")) < at else float("inf")

    def _check_statements(self, req: SentRequest, received: ReceivedRequest) -> None:
        target, at = received.target, received.received_at
        if req.sent_at > self._told_at(req.host, target, "leaving") + TARGET_DRAIN_S:
            self.add_finding("request sent to a target that said it leaves", id=req.request_id)
        if at < self._told_at(req.host, target, "limit") + TOLD_BEFORE_S:
            return
        if at < self._limited_since[target] + LIMIT_BINDS_AFTER_S:
            return
        arrivals = self._limited_arrivals.setdefault(target, deque())
        arrivals.append(at)
        while arrivals[0] < at - LIMIT_WINDOW_S:
            arrivals.popleft()
        most = LIMIT_FACTOR * LIMIT_WINDOW_S * self.rate_limits[target] + LIMIT_SLACK
        if len(arrivals) > most:
            self.add_finding("over a target's limit", target=target, runs=len(arrivals), most=most)
            arrivals.clear()

    def record_sent(self, req: SentRequest) -> None:
        """Record a request that is about to be sent."""
        self.sent_requests[req.request_id] = req

    def check_received(self, received: ReceivedRequest) -> None:
        """Check a request that a target starts to execute."""
        headers = received.headers
        request_id = headers.get("x-request-id", "")
        req = self.sent_requests.get(request_id)
        if req is None or req.path != received.path:
            self.add_finding("runs what nobody asked for", id=request_id, path=received.path)
            return
        self.run_counts[request_id] += 1
        self.host_runs[received.host] += 1
        if not req.idempotent and self.run_counts[request_id] > 1:
            self.add_finding("runs twice", id=request_id)
        if "authorization" in headers:
            self.add_finding("a target sees the key", id=request_id)
        if headers.get("x-tenant", "") != self.key_owners.get(req.key, ""):
            self.add_finding("another organisation", id=request_id, seen=headers.get("x-tenant"))
        if headers.get("x-caller-service") != req.service:
            self.add_finding("another caller", id=request_id, seen=headers.get("x-caller-service"))
        if int(headers.get("x-deadline-milliseconds", "0")) > req.timeout_ms + DEADLINE_SLACK_MS:
            self.add_finding("more time than is left", id=request_id)
        if req.sent_at > self.withdrawn.get(req.key, float("inf")) + KEY_REVOCATION_S:
            self.add_finding("withdrawn key accepted", id=request_id, host=req.host)
        draining_for_s = received.received_at - self.draining.get(received.target, float("inf"))
        if draining_for_s > TARGET_DRAIN_S and req.sent_at > self.draining[received.target]:
            self.add_finding(
                "request sent to a draining target", id=request_id, after_s=round(draining_for_s, 2)
            )
        self._check_statements(req, received)
        self._check_evacuation(req, received)
        if req.path.startswith("/move/"):
            self._check_route(req, received)
        if headers.get("x-tenant") == "hot":
            self._check_rate(received.received_at)

    def _check_evacuation(self, req: SentRequest, received: ReceivedRequest) -> None:
        """Check that the entry did not choose, and the gate did not admit."""
        name = data_centre(received.host or " ")
        evacuated_at = self.evacuated.get(name, float("inf"))
        store_excuses = name not in self.in_force and not self.is_healthy("store", req.sent_at)
        if req.sent_at <= evacuated_at + EVACUATION_S or store_excuses:
            return
        hosts = {req.host, received.host}
        if any(self.is_healthy(host, req.sent_at) for host in hosts):
            self.add_finding(
                "request sent to an evacuated data centre",
                id=req.request_id,
                entry=req.host,
                gate=received.host,
                after_s=round(req.sent_at - evacuated_at, 2),
            )

    def check_cold_arrival(self, target: str) -> None:
        """Check a request or health check that a cold target gets; one answered 421 is none."""
        at = self.now()
        arrivals = self._cold_arrivals.setdefault(target, deque())
        arrivals.append(at)
        while arrivals[0] <= at - COLD_WINDOW_S:
            arrivals.popleft()
        if len(arrivals) > self._most_cold:
            self.add_finding("too many requests to a cold target", target=target, n=len(arrivals))
            arrivals.clear()

    def check_order(self, req: SentRequest, headers: dict[bytes, bytes]) -> None:
        """Check that a response belongs to the request whose turn it is."""
        answered = headers.get(b"x-request-id", req.request_id.encode()).decode()
        if answered != req.request_id:
            self.add_finding("response out of order", id=req.request_id, answered=answered)

    def _check_rate(self, at: float) -> None:
        self._hot_runs.append(at)
        while self._hot_runs[0] < at - RATE_WINDOW_S:
            self._hot_runs.popleft()
        if len(self._hot_runs) > self._max_hot_runs:
            self.add_finding("over the rate", runs=len(self._hot_runs), most=self._max_hot_runs)
            self._hot_runs.clear()

    def _check_route(self, req: SentRequest, received: ReceivedRequest) -> None:
        store_healthy = self.is_healthy("store", req.sent_at)
        limit_s = CONFIG_UPDATE_S if store_healthy else CONFIG_UPDATE_S + STORE_FAULT_EXTRA_S
        allowed = [service for at, service in self.route_changes if at + limit_s >= req.sent_at]
        latest = [service for at, service in self.route_changes if at + limit_s < req.sent_at][-1:]
        if received.service in allowed + latest or not self.is_healthy(req.host, req.sent_at):
            return
        if store_healthy:
            self.add_finding("outdated configuration used", id=req.request_id, host=req.host)

    def is_healthy(self, host: str, at: float) -> bool:
        """Return whether the time limits apply to a host (or ``store``) at time ``at``."""
        return at > self.faulty_until.get(host, float("-inf")) + SETTLE_S

    def check_response(self, req: SentRequest, status: int, signed: bool, complete: bool) -> None:
        """Check a response.

        ``signed`` tells whether it has the signature header of a target, ``complete`` whether
        the body is the full body expected for this request.
        """
        self.outcome_counts[str(status)] += 1
        if status < 300 and not (signed and complete):
            self.add_finding(
                "response incomplete, unsigned or of another request",
                id=req.request_id,
                signed=signed,
            )
        if status in NOT_RUN_STATUSES and not req.idempotent:
            self._refusals[req.request_id] = status
        if status == 401 and self._key_just_added(req):
            self.outcome_counts["denied a key just given"] += 1
        elif status in (400, 404) or (status == 401 and req.key not in self.withdrawn):
            self.outcome_counts["denied"] += 1

    def _key_just_added(self, req: SentRequest) -> bool:
        """Return whether the configuration without the key may still be in force."""
        limit_s = (
            CONFIG_UPDATE_S
            if self.is_healthy("store", req.sent_at)
            else CONFIG_UPDATE_S + STORE_FAULT_EXTRA_S
        )
        return req.sent_at <= self.added.get(req.key, float("-inf")) + limit_s

    def record_lost(self, req: SentRequest, killed: bool) -> None:
        """Record a connection that closed without a response.

        ``killed`` tells whether its node was killed, in which case a lost response is allowed.
        """
        self.outcome_counts["lost"] += 1
        if not killed and self.run_counts[req.request_id]:
            self.add_finding("response lost without a fault", id=req.request_id, host=req.host)

    def finish(self) -> None:
        """Run the checks that need the complete record."""
        for request_id, status in self._refusals.items():
            if self.run_counts[request_id]:
                self.add_finding("'not run' is not true", id=request_id, status=status)
        if self.outcome_counts["denied"] > 5 + len(self.sent_requests) / 500:
            self.add_finding("valid requests denied", count=self.outcome_counts["denied"])

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds used for all records."""
        return time.monotonic()
