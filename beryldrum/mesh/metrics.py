"""Counters and latency histograms of a mesh node, served as text."""

from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from .frames import RetryDemand
from .http import HttpRequest, HttpResponse, HttpService
from .memory import FrontEndState
from .quota import RateState
from .zone_share import ShareState

__all__ = ["MeshMetrics", "OverloadState", "StoreState", "TargetState"]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
BUCKET_US = 100
"""Latencies are counted in buckets of this width, and added to the histogram on a scrape."""
MAX_BUCKET = MAX_LATENCY_US // BUCKET_US - 1
QUANTILES = (50.0, 90.0, 99.0, 99.9)

RATE_METRICS = {
    "granted": "granted_total",
    "refused": "refused_total",
    "beyond_part": "beyond_part_total",
    "part": "part",
    "level": "level",
}
"""Names of the metrics of a rate, by the field of :class:`.RateState`."""


class TargetState(NamedTuple):
    """The requests handed to the target since the start, by kind, and its statements.

    ``rate_limit`` is in requests per second, None if the target states none;
    ``notices_ignored`` counts the answers whose statements were ignored. ``cold_s`` is the
    time for which the limit of a cold target is in force, infinite until the target says,
    and None without one. ``health_checks`` counts them by result.
    """

    handed: Mapping[str, int]
    rate_limit: float | None
    notices_ignored: int
    cold_s: float | None = None
    health_checks: Mapping[str, int] = MappingProxyType({})


class StoreState(NamedTuple):
    """How this node stands to the store, and the data centres that are evacuated."""

    reads: bool
    rejected: bool
    era: int
    evacuated: list[str]


class OverloadState(NamedTuple):
    """What the entry refuses.

    ``admitted`` is the share admitted of the requests that reach a service through calls,
    where it is below 1, and ``retries`` the retries needed and allowed, where they are short.
    ``returns_promised`` and ``returns_seen`` count, since the start, the refused callers to
    which a delay was stated, and the requests recognised as those of returning callers.
    """

    admitted: Mapping[str, float]
    retries: Mapping[str, RetryDemand]
    returns_promised: int
    returns_seen: int


FRONT_END_METRICS = {
    "reserved_bytes": ("memory_reserved_bytes", "gauge"),
    "limit_bytes": ("memory_limit_bytes", "gauge"),
    "connections": ("client_connections", "gauge"),
    "shed": ("clients_shed_total", "counter"),
    "evicted": ("clients_evicted_total", "counter"),
    "runs_refused": ("runs_without_memory_total", "counter"),
}
"""Names and kinds of the metrics of the front end, by the field of :class:`.FrontEndState`."""


class MeshMetrics(HttpService):
    """The metrics of a node, in the Prometheus text format.

    ``rates`` returns the states of the organisations' rates, ``target`` that of the
    target on this host, ``store`` how the node stands to the store, ``overload`` what
    the entry refuses, ``zones`` the shares that stay in the data
    centre, and ``front_end`` what callers make the node hold.
    """

    def __init__(
        self,
        rates: Callable[[], list[RateState]] = list,
        target: Callable[[], TargetState] = lambda: TargetState({}, None, 0),
        store: Callable[[], StoreState] = lambda: StoreState(False, False, 0, []),
        overload: Callable[[], OverloadState] = lambda: OverloadState({}, {}, 0, 0),
        zones: Callable[[], ShareState] = lambda: ShareState({}, {}),
        front_end: Callable[[], FrontEndState] = lambda: FrontEndState(0, 0, 0, 0, 0, 0),
    ) -> None:
        self.requests: Counter[str] = Counter()
        self._rates = rates
        self._target = target
        self._store = store
        self._overload = overload
        self._zones = zones
        self._front_end = front_end
        self._buckets: Counter[int] = Counter()
        self._longest_hold_s = 0.0
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def count_request(self, outcome: str, seconds: float) -> None:
        """Count a request; its latency is recorded unless ``seconds`` is 0."""
        self.requests[outcome] += 1
        if seconds:
            self._buckets[min(MAX_BUCKET, int(seconds * 1e6 / BUCKET_US))] += 1

    def record_hold(self, seconds: float) -> None:
        """Record for how long the event loop ran nothing else, or the process was paused."""
        self._longest_hold_s = max(self._longest_hold_s, seconds)

    def text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        for bucket, count in self._buckets.items():
            self._histogram.record_value(max(1, bucket * BUCKET_US + BUCKET_US // 2), count)
        self._buckets.clear()
        lines = ["# TYPE beryldrum_requests_total counter"]
        for outcome, count in sorted(self.requests.items()):
            lines.append(f'beryldrum_requests_total{{outcome="{outcome}"}} {count}')
        lines.append("# TYPE beryldrum_answer_seconds summary")
        for quantile in QUANTILES:
            seconds = self._histogram.get_value_at_percentile(quantile) / 1e6
            lines.append(f'beryldrum_answer_seconds{{quantile="{quantile / 100:g}"}} {seconds:g}')
        lines.append(f"beryldrum_answer_seconds_count {self._histogram.get_total_count()}")
        lines.append("# TYPE beryldrum_loop_hold_seconds gauge")
        lines.append(f"beryldrum_loop_hold_seconds {self._longest_hold_s:g}")
        self._longest_hold_s = 0.0
        lines += (
            self._target_lines() + self._front_end_lines() + self._zone_lines() + self._rate_lines()
        )
        lines += self._store_lines() + self._overload_lines()
        return "\n".join(lines) + "\n"

    def _target_lines(self) -> list[str]:
        state = self._target()
        lines = ["# TYPE beryldrum_target_handed_total counter"]
        for kind, count in sorted(state.handed.items()):
            lines.append(f'beryldrum_target_handed_total{{kind="{kind}"}} {count}')
        lines.append("# TYPE beryldrum_target_statements_ignored_total counter")
        lines.append(f"beryldrum_target_statements_ignored_total {state.notices_ignored}")
        if state.rate_limit is not None:
            lines.append("# TYPE beryldrum_target_rate_limit gauge")
            lines.append(f"beryldrum_target_rate_limit {state.rate_limit:g}")
        if state.cold_s is not None:
            lines.append("# TYPE beryldrum_target_cold_seconds gauge")
            text = "+Inf" if state.cold_s == float("inf") else f"{state.cold_s:g}"
            lines.append(f"beryldrum_target_cold_seconds {text}")
        if state.health_checks:
            lines.append("# TYPE beryldrum_target_health_checks_total counter")
            for result, count in sorted(state.health_checks.items()):
                lines.append(f'beryldrum_target_health_checks_total{{result="{result}"}} {count}')
        return lines

    def _store_lines(self) -> list[str]:
        state = self._store()
        lines = []
        for name in ("reads", "rejected", "era"):
            lines.append(f"# TYPE beryldrum_store_{name} gauge")
            lines.append(f"beryldrum_store_{name} {int(getattr(state, name))}")
        lines.append("# TYPE beryldrum_evacuated gauge")
        for name in state.evacuated:
            label = msgspec.json.encode(name).decode()
            lines.append(f"beryldrum_evacuated{{data_centre={label}}} 1")
        return lines

    def _zone_lines(self) -> list[str]:
        state = self._zones()
        lines = ["# TYPE beryldrum_zone_stay_share gauge"]
        for service, share in sorted(state.stay.items()):
            label = msgspec.json.encode(service).decode()
            lines.append(f"beryldrum_zone_stay_share{{service={label}}} {share:.3f}")
        lines.append("# TYPE beryldrum_zone_left_total counter")
        for reason, count in sorted(state.left.items()):
            lines.append(f'beryldrum_zone_left_total{{reason="{reason}"}} {count}')
        return lines

    def _front_end_lines(self) -> list[str]:
        state = self._front_end()
        return [
            line
            for field, (name, kind) in FRONT_END_METRICS.items()
            for line in (
                f"# TYPE beryldrum_{name} {kind}",
                f"beryldrum_{name} {getattr(state, field)}",
            )
        ]

    def _rate_lines(self) -> list[str]:
        lines = []
        states = self._rates()
        for field, name in RATE_METRICS.items():
            kind = "counter" if name.endswith("_total") else "gauge"
            lines.append(f"# TYPE beryldrum_rate_{name} {kind}")
            for state in states:
                value = round(getattr(state, field), 4)
                organisation = msgspec.json.encode(state.organisation).decode()
                lines.append(f"beryldrum_rate_{name}{{organisation={organisation}}} {value}")
        return lines

    def _overload_lines(self) -> list[str]:
        admitted, retries, promised, seen = self._overload()
        needed = {service: demand.needed_per_s for service, demand in retries.items()}
        allowed = {service: demand.allowed_per_s for service, demand in retries.items()}
        lines = [
            "# TYPE beryldrum_returns_promised_total counter",
            f"beryldrum_returns_promised_total {promised}",
            "# TYPE beryldrum_returns_seen_total counter",
            f"beryldrum_returns_seen_total {seen}",
        ]
        for name, values in (
            ("trees_admitted", admitted),
            ("retries_needed_per_s", needed),
            ("retries_allowed_per_s", allowed),
        ):
            lines.append(f"# TYPE beryldrum_{name} gauge")
            lines += [
                f"beryldrum_{name}{{service={msgspec.json.encode(service).decode()}}} {value:g}"
                for service, value in values.items()
            ]
        return lines

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            200, b"Content-Type: text/plain; version=0.0.4\r\n", self.text().encode()
        )
