"""Counters and timers, gathered in memory and sent to statsd once a second."""

import asyncio
from collections import Counter

import statsd
from hdrh.histogram import HdrHistogram

from .peer import split_address

__all__ = ["Metrics"]

PERIOD_S = 1.0
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2


class Metrics:
    """The metrics of a node. ``address`` is that of statsd, empty for none."""

    def __init__(self, address: str = "") -> None:
        self.totals: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._added = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._client = None
        if address:
            host, port = split_address(address)
            self._client = statsd.StatsClient(host, port, prefix="beryldrum")

    def count(self, name: str) -> None:
        """Count an event."""
        self.totals[name] += 1

    def gauge(self, name: str, value: float) -> None:
        """State a present value."""
        self._gauges[name] = value

    def record_added(self, seconds: float) -> None:
        """Record the time that this node added to a call."""
        self._added.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def added_us(self, percentile: float) -> int:
        """Return a percentile of the added time, in microseconds."""
        return int(self._added.get_value_at_percentile(percentile))

    def flush(self) -> None:
        """Send what has changed."""
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
        """Send once a period until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.flush()
