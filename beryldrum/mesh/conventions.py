"""What a deployment calls things on the wire, as an interface.

The mesh decides; how a request states its deadline, or a target that it has not
run something, is for an adapter to know. Everything here translates and nothing
decides.
"""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from .client import Response
from .document import FleetDocument
from .http import Header, HttpRequest
from .target import Announcement

__all__ = ["Asked", "Conventions", "Handover", "Judgement", "Leaving", "Statement"]


class Asked(NamedTuple):
    """What a request says of itself; ``left_ms`` is -1 where it states no deadline."""

    request_id: str
    host: str
    path: str
    left_ms: int
    key: str


class Handover(NamedTuple):
    """What a target is told besides the caller's own header lines."""

    target_id: str
    left_ms: int


class Judgement(Enum):
    """What an answer of a target means."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The target's own failure: it has run."""
    NOT_RUN = "not run"
    NOT_ITS_OWN = "not its own"
    """A success that the target has not marked as its own."""


class Leaving(NamedTuple):
    """A target's statement that it leaves for good."""

    target_id: str


Statement = Announcement | Leaving


class Conventions(ABC):
    """The names and formats of requests, answers, statements and documents."""

    echo: bytes
    """Lower-case name of the header that names a request, and its answer."""

    @abstractmethod
    def asked(self, http_request: HttpRequest) -> Asked | None:
        """Return what a request says of itself, None where it says too little."""

    @abstractmethod
    def caller_of(self, request_id: str) -> str:
        """Return the id of the request whose run makes a call, empty if it is not told."""

    @abstractmethod
    def root_of(self, request_id: str) -> str:
        """Return the id of the request from outside that a call is made for, if told."""

    @abstractmethod
    def forwarded(self, lines: list[Header], organisation: str, caller: str) -> bytes:
        """Return the header lines for the target, of a request from ``caller``'s host."""

    @abstractmethod
    def handover(self, told: Handover) -> bytes:
        """Return the header lines that are written at the hand-over."""

    @abstractmethod
    def judge(self, response: Response) -> Judgement:
        """Return what a target's answer means."""

    @abstractmethod
    def returned(self, response: Response) -> bytes:
        """Return the header lines of an answer for the caller."""

    @abstractmethod
    def refusal(self, request_id: str, retry_after_s: float) -> bytes:
        """Return the header lines of an answer of our own; no pause where it is 0."""

    @abstractmethod
    def statement(self, http_request: HttpRequest) -> Statement | None:
        """Return what a target states, None where it cannot be read."""

    @abstractmethod
    def document(self, text: bytes) -> FleetDocument:
        """Return the configuration in ``text``; raises DocumentError."""
