"""What the filters between a caller and the nodes share."""

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
    """What the filters of a node share."""

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
