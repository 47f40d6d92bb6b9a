"""Controllers: background tasks that each maintain one part of a node's state.

They exchange messages with other nodes. The decisions are made by plain classes
outside this package.
"""

from .base import Controller
from .configuration import LogController, NewsController
from .gossip import GossipController
from .loans import LoanController
from .seats import SeatController

__all__ = [
    "Controller",
    "GossipController",
    "LoanController",
    "LogController",
    "NewsController",
    "SeatController",
]
