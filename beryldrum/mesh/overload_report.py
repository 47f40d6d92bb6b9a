"""What a node reports of an overload: a log line a second, and metrics."""

from collections.abc import Callable

import msgspec

from ..clock import Clock
from .admission import AdmissionController
from .completion import CallCompletion
from .explain import Explainer
from .frames import Load
from .metrics import OverloadState
from .returns import Returns

__all__ = ["OverloadReport"]

LOG_PERIOD_S = 1.0
"""Shortest interval between log lines about overload."""


class OverloadReport:
    """Reports the load of the local gate and what the entry refuses.

    ``own_load`` returns the load of the target on this host.
    """

    def __init__(
        self,
        clock: Clock,
        explainer: Explainer,
        own_load: Callable[[], Load],
        admission: AdmissionController,
        completion: CallCompletion,
        returns: Returns,
    ) -> None:
        self._clock = clock
        self._explainer = explainer
        self._own_load = own_load
        self._admission = admission
        self._completion = completion
        self._returns = returns
        self._logged_at = 0.0

    def state(self) -> OverloadState:
        """Return the state for the metrics."""
        return OverloadState(
            self._admission.admitted_trees(),
            self._completion.totals(),
            self._returns.promised,
            self._returns.seen,
        )

    def log(self) -> None:
        """Log the gate's load and the admitted shares while there is an overload."""
        load, now = self._own_load(), self._clock.now()
        shares, state = self._admission.admitted_shares(), self.state()
        overloaded = load.full >= 1.0 or shares or state.admitted
        if now - self._logged_at < LOG_PERIOD_S or not overloaded:
            return
        self._logged_at = now
        if state.admitted:
            retries = {
                service: msgspec.structs.asdict(demand) for service, demand in state.retries.items()
            }
            self._explainer.event(
                "short of retries", admitted_trees=state.admitted, retries=retries
            )
        fields = {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in msgspec.structs.asdict(load).items()
        }
        returns = {"promised": state.returns_promised, "seen": state.returns_seen}
        self._explainer.event("short of room", admitted=shares, returns=returns, **fields)
