"""What the filters between a caller and the nodes share."""

from typing import NamedTuple

from .balance import Balancer
from .clock import Clock
from .decisions import DecisionLog
from .keyring import Keyring
from .level import PathLevels
from .membership import Membership
from .metrics import Metrics
from .news import News
from .retry import RetryBudget
from .runs import Runs

__all__ = ["Shared"]


class Shared(NamedTuple):
    """What the filters of a node share."""

    clock: Clock
    node: str
    news: News
    keyring: Keyring
    roster: Membership
    balancer: Balancer
    levels: PathLevels
    budget: RetryBudget
    runs: Runs
    decisions: DecisionLog
    metrics: Metrics
