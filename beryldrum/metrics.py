"""Counters, gauges and a latency histogram, sent to statsd once per second."""

import asyncio
from collections import Counter

import statsd
from hdrh.histogram import HdrHistogram

from .peer import split_address

__all__ = ["Metrics"]

FLUSH_PERIOD_S = 1.0
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2


class Metrics:
    """The metrics of a node.

    ``address`` is the ``ip:port`` of statsd; if empty, nothing is sent.
    """

    def __init__(self, address: str = "") -> None:
        self.totals: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._added = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._client = None
        if address:
            host, port = split_address(address)
            self._client = statsd.StatsClient(host, port, prefix="beryldrum")

    def count(self, name: str) -> None:
        """Increment the counter ``name``."""
        self.totals[name] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._gauges[name] = value

    def record_added(self, seconds: float) -> None:
        """Record the latency that this node added to a call."""
        self._added.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def added_us(self, percentile: float) -> int:
        """Return a percentile (0 to 100) of the added latency, in microseconds."""
        return int(self._added.get_value_at_percentile(percentile))

    def flush(self) -> None:
        """Send the changed counters and all gauges to statsd."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in self.totals.items():
                if total != self._sent[name]:
                    pipe.incr(name, total - self._sent[name])
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            pipe.gauge("added.p50_us", self.added_us(50))
            pipe.gauge("added.p99_us", self.added_us(99))
        self._sent = self.totals.copy()

    async def run(self) -> None:
        """Flush once per period until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()
