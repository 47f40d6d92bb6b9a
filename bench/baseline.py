"""Baseline nodes to compare with: ``python -m bench.baseline MODE --settings FILE``.

``none`` has no control: every request is handed over at once. ``static`` has a
fixed limit of the announced slots, no queue, and refuses beyond it. Both retry
plainly: three attempts at every hop, whatever the failure was.
"""

import argparse
from typing import Any

import uvloop
from result import Err, Ok, Result

from beryldrum import logs, request, settings
from beryldrum.clock import Clock
from beryldrum.gate import Admission, Gate
from beryldrum.limit import StaticLimit
from beryldrum.local_target import LocalTarget
from beryldrum.node import Node, serve
from beryldrum.pipeline import RequestPipeline
from beryldrum.request import Outcome, Reason, Reply, Request, not_run
from beryldrum.routing import RetryFilter
from beryldrum.target import Target

ATTEMPTS = 3
UNLIMITED = 1_000_000


class PlainGate(Gate[Any]):
    """A fixed limit without queue, importance, fairness or deadlines."""

    def __init__(self, clock: Clock, slots: int) -> None:
        super().__init__(clock, StaticLimit(slots))

    def offer(self, item: Any, req: Request) -> Result[Admission, Reason]:
        """Start at once, or refuse."""
        if self.in_flight >= self.limit.value:
            return Err(request.SHED)
        self.level._admitted = 0
        self.in_flight += 1
        return Ok(Admission.START)


class PlainRetry(RetryFilter):
    """Three attempts at every hop."""

    async def handle(self, req: Request, next_handler: Any) -> Reply:
        """Try until answered below 500, at most three times."""
        reply = not_run(request.NO_TARGET)
        for attempt in range(1, ATTEMPTS + 1):
            choice = self._choose(req, frozenset())
            if choice is None or not self._before_deadline(req):
                break
            self._log_decision(req, choice, attempt)
            reply = await self._to_node(choice.node)(req)
            if reply.outcome is Outcome.ANSWERED and reply.status < 500:
                break
            if reply.reason is request.OVER_RATE:
                break
        return reply


class PlainPresence(LocalTarget):
    """A target behind a plain gate; ``limited`` bounds it to its slots."""

    limited = False

    def make_gate(self, target: Target) -> Gate[Any]:
        """Return the plain gate."""
        return PlainGate(self._clock, target.slots if self.limited else UNLIMITED)


class PlainPath(RequestPipeline):
    """A path with the plain retries."""

    def make_retry(self) -> RetryFilter:
        """Return the plain retries."""
        return PlainRetry(self._shared, self._to_node)


class Baseline(Node):
    """A node with the baseline's decisions."""

    local_target_class = PlainPresence
    pipeline_class = PlainPath


def main() -> None:
    """Run a baseline node."""
    parser = argparse.ArgumentParser(prog="bench.baseline", description=__doc__)
    parser.add_argument("mode", choices=("none", "static"))
    parser.add_argument("--settings", required=True)
    args = parser.parse_args()
    PlainPresence.limited = args.mode == "static"
    cfg = settings.read(args.settings)
    logs.setup(cfg.log_level, cfg.log_format)

    async def run() -> None:
        await serve(Baseline(cfg))

    uvloop.run(run())


if __name__ == "__main__":
    main()
