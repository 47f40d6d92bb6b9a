"""Baseline nodes for comparison: ``python -m bench.baseline MODE --settings FILE``.

With ``none``, every request is passed to the target at once. With ``static``, a
fixed concurrency limit equal to the announced slots applies; requests beyond it are
refused without queueing. Both make up to three attempts at every hop, whatever the
failure was, except after a refusal by a rate limit.
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

MAX_ATTEMPTS = 3
UNLIMITED_SLOTS = 1_000_000


class PlainGate(Gate[Any]):
    """A fixed concurrency limit without queue, priorities, fairness or deadlines."""

    def __init__(self, clock: Clock, slots: int) -> None:
        super().__init__(clock, StaticLimit(slots))

    def offer(self, item: Any, req: Request) -> Result[Admission, Reason]:
        """Admit the request at once, or refuse it when the limit is reached."""
        if self.in_flight >= self.limit.value:
            return Err(request.SHED)
        self.level._admitted = 0
        self.in_flight += 1
        return Ok(Admission.START)


class PlainRetry(RetryFilter):
    """Up to three attempts at every hop, without a retry budget."""

    async def handle(self, req: Request, next_handler: Any) -> Reply:
        """Attempt the request until it is answered with a status below 500."""
        reply = not_run(request.NO_TARGET)
        for attempt in range(1, MAX_ATTEMPTS + 1):
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


class PlainLocalTarget(LocalTarget):
    """A target behind a plain gate; ``limited`` applies its slots as the limit."""

    limited = False

    def make_gate(self, target: Target) -> Gate[Any]:
        """Return a gate with the static limit, or in effect without one."""
        return PlainGate(self._clock, target.slots if self.limited else UNLIMITED_SLOTS)


class PlainPipeline(RequestPipeline):
    """A request pipeline with plain retries."""

    def make_retry(self) -> RetryFilter:
        """Return the plain retry filter."""
        return PlainRetry(self._shared, self._to_node)


class BaselineNode(Node):
    """A node with the plain gate and plain retries."""

    local_target_class = PlainLocalTarget
    pipeline_class = PlainPipeline


def main() -> None:
    """Run a baseline node until it is stopped."""
    parser = argparse.ArgumentParser(prog="bench.baseline", description=__doc__)
    parser.add_argument("mode", choices=("none", "static"))
    parser.add_argument("--settings", required=True)
    args = parser.parse_args()
    PlainLocalTarget.limited = args.mode == "static"
    cfg = settings.read(args.settings)
    logs.setup(cfg.log_level, cfg.log_format)

    async def run() -> None:
        await serve(BaselineNode(cfg))

    uvloop.run(run())


if __name__ == "__main__":
    main()
