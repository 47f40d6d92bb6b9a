"""The runs in flight at a node's own target, by context token.

The token is all that a target sees of a request's context. A call that the
target makes with the token inherits the organisation, priority, deadline and a
part of the retry allowance of the run. A token of no run in flight is ignored.
"""

import secrets

from .clock import Clock
from .request import ADMIT_ALL_LEVEL, Request
from .retry import RetryAllowance

__all__ = ["Run", "Runs"]

TOKEN_BYTES = 16


class Run:
    """A request that is running at the target."""

    def __init__(self, req: Request, clock: Clock) -> None:
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.request = req
        self.allowance = RetryAllowance(req.allowance)
        self.failed_deeper = False
        self.path_level = ADMIT_ALL_LEVEL
        self._clock = clock
        self._started = clock.now()
        self._calls_in_flight = 0
        self._waiting_since = 0.0
        self._waited_s = 0.0

    def call_started(self) -> None:
        """Record that the target has started a call to another service."""
        if not self._calls_in_flight:
            self._waiting_since = self._clock.now()
        self._calls_in_flight += 1

    def call_ended(self) -> None:
        """Record the end of a call."""
        self._calls_in_flight -= 1
        if not self._calls_in_flight:
            self._waited_s += self._clock.now() - self._waiting_since

    def durations(self) -> tuple[float, float]:
        """Return the duration of the run so far and the target's own part of it.

        The target's own part excludes the time in which at least one call that it
        made was in flight.
        """
        total = self._clock.now() - self._started
        return total, max(0.0, total - self._waited_s)


class Runs:
    """The registry of runs in flight."""

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
        """Remove a run; its token is invalid from now on."""
        self._runs.pop(run.token, None)

    def get(self, token: str) -> Run | None:
        """Return the run that a token identifies, or None."""
        return self._runs.get(token)
