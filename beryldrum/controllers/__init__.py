"""The controllers of a node's state: each a task that owns one matter.

They talk to other nodes by messages and to the rest of the node through the
plain classes that hold the decisions.
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
