"""The runs in flight at a node's own target, by the token that the target holds.

The token is all that a target sees of a request's context. A call it makes with
the token inherits organisation, priority, deadline and a part of the allowance;
a token that is not of a run in flight gives nothing.
"""

import secrets

from .clock import Clock
from .request import ADMIT_ALL_LEVEL, Request
from .retry import Allowance

__all__ = ["Run", "Runs"]

TOKEN_BYTES = 16


class Run:
    """A request that the target is working on."""

    def __init__(self, req: Request, clock: Clock) -> None:
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.request = req
        self.allowance = Allowance(req.allowance)
        self.failed_deeper = False
        self.path_level = ADMIT_ALL_LEVEL
        self._clock = clock
        self._started = clock.now()
        self._calls = 0
        self._call_since = 0.0
        self._waited_s = 0.0

    def call_started(self) -> None:
        """Note that the target waits for a call it made."""
        if not self._calls:
            self._call_since = self._clock.now()
        self._calls += 1

    def call_ended(self) -> None:
        """Note the end of a call."""
        self._calls -= 1
        if not self._calls:
            self._waited_s += self._clock.now() - self._call_since

    def seconds(self) -> tuple[float, float]:
        """Return the time of the run, and of that the target's own."""
        total = self._clock.now() - self._started
        return total, max(0.0, total - self._waited_s)


class Runs:
    """The runs in flight."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[str, Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def start(self, req: Request) -> Run:
        """Register a run and return it."""
        run = Run(req, self._clock)
        self._runs[run.token] = run
        return run

    def end(self, run: Run) -> None:
        """Forget a run; its token is void from now on."""
        self._runs.pop(run.token, None)

    def get(self, token: str) -> Run | None:
        """Return the run with a token, or None."""
        return self._runs.get(token)
