"""State shared by the filters of a node."""

from typing import NamedTuple

from .balance import Balancer
from .clock import Clock
from .config_replica import ConfigReplica
from .decisions import DecisionLog
from .keyring import Keyring
from .level import PathLevels
from .metrics import Metrics
from .retry import Budget
from .roster import Roster
from .runs import Runs

__all__ = ["SharedState"]


class SharedState(NamedTuple):
    """The components that the filters of a node share; ``node`` is its address."""

    clock: Clock
    node: str
    replica: ConfigReplica
    keyring: Keyring
    roster: Roster
    balancer: Balancer
    levels: PathLevels
    budget: Budget
    runs: Runs
    decisions: DecisionLog
    metrics: Metrics
