"""State shared by the filters of a node."""

from typing import NamedTuple

from .balance import Balancer
from .clock import Clock
from .config_replica import ConfigReplica
from .decisions import DecisionLog
from .keyring import Keyring
from .level import PathLevels
from .membership import Membership
from .metrics import Metrics
from .retry import RetryBudget
from .runs import Runs

__all__ = ["SharedState"]


class SharedState(NamedTuple):
    """The components that the filters of a node share; ``node`` is its address."""

    clock: Clock
    node: str
    replica: ConfigReplica
    keyring: Keyring
    membership: Membership
    balancer: Balancer
    levels: PathLevels
    budget: RetryBudget
    runs: Runs
    decisions: DecisionLog
    metrics: Metrics
