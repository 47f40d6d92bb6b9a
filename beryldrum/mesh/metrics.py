"""Counters and latency histograms of a mesh node, served as text."""

from collections import Counter
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from .http import HttpRequest, HttpResponse, HttpService
from .quota import RateState

__all__ = ["MeshMetrics"]

HIGHEST_US = 60_000_000
DIGITS = 2
STEP_US = 100
"""Times are counted in steps of this size, and put into the histogram when it is read."""
MOST_STEPS = HIGHEST_US // STEP_US - 1
QUANTILES = (50.0, 90.0, 99.0, 99.9)

RATE_KINDS = {
    "granted": "granted_total",
    "refused": "refused_total",
    "beyond_part": "beyond_part_total",
    "part": "part",
    "level": "level",
}
"""The names of the metrics of a rate, by the fields of its state."""


class MeshMetrics(HttpService):
    """The metrics of a node, in the Prometheus text format.

    ``rates`` returns how the rates of organisations stand.
    """

    def __init__(self, rates: Callable[[], list[RateState]] = list) -> None:
        self.requests: Counter[str] = Counter()
        self._rates = rates
        self._steps: Counter[int] = Counter()
        self._seconds = HdrHistogram(1, HIGHEST_US, DIGITS)

    def request(self, outcome: str, seconds: float) -> None:
        """Count the outcome of a request, and the time of one that was answered."""
        self.requests[outcome] += 1
        if seconds:
            self._steps[min(MOST_STEPS, int(seconds * 1e6 / STEP_US))] += 1

    def text(self) -> str:
        """Return all metrics, a line each."""
        for step, count in self._steps.items():
            self._seconds.record_value(max(1, step * STEP_US + STEP_US // 2), count)
        self._steps.clear()
        lines = ["# TYPE beryldrum_requests_total counter"]
        for outcome, count in sorted(self.requests.items()):
            lines.append(f'beryldrum_requests_total{{outcome="{outcome}"}} {count}')
        lines.append("# TYPE beryldrum_answer_seconds summary")
        for quantile in QUANTILES:
            seconds = self._seconds.get_value_at_percentile(quantile) / 1e6
            lines.append(f'beryldrum_answer_seconds{{quantile="{quantile / 100:g}"}} {seconds:g}')
        lines.append(f"beryldrum_answer_seconds_count {self._seconds.get_total_count()}")
        lines += self._rate_lines()
        return "\n".join(lines) + "\n"

    def _rate_lines(self) -> list[str]:
        lines = []
        states = self._rates()
        for field, name in RATE_KINDS.items():
            kind = "counter" if name.endswith("_total") else "gauge"
            lines.append(f"# TYPE beryldrum_rate_{name} {kind}")
            for state in states:
                value = round(getattr(state, field), 4)
                organisation = msgspec.json.encode(state.organisation).decode()
                lines.append(f"beryldrum_rate_{name}{{organisation={organisation}}} {value}")
        return lines

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            200, b"Content-Type: text/plain; version=0.0.4\r\n", self.text().encode()
        )
