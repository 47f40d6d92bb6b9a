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

__all__ = [
    "Conventions",
    "Deregistration",
    "Handover",
    "RequestMetadata",
    "ResponseKind",
    "TargetMessage",
]


class RequestMetadata(NamedTuple):
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


class ResponseKind(Enum):
    """What an answer of a target means."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The target's own failure: it has run."""
    NOT_RUN = "not run"
    UNVERIFIED = "unverified"
    """A success that the target has not marked as its own."""


class Deregistration(NamedTuple):
    """A target's statement that it leaves for good."""

    target_id: str


TargetMessage = Announcement | Deregistration


class Conventions(ABC):
    """The names and formats of requests, answers, statements and documents."""

    request_id_header: bytes
    """Lower-case name of the header that names a request, and its answer."""

    @abstractmethod
    def parse_request(self, http_request: HttpRequest) -> RequestMetadata | None:
        """Return what a request says of itself, None where it says too little."""

    @abstractmethod
    def parent_request_id(self, request_id: str) -> str:
        """Return the id of the request whose run makes a call, empty if it is not told."""

    @abstractmethod
    def root_request_id(self, request_id: str) -> str:
        """Return the id of the request from outside that a call is made for, if told."""

    @abstractmethod
    def forwarded_headers(self, lines: list[Header], organisation: str, caller: str) -> bytes:
        """Return the header lines for the target, of a request from ``caller``'s host."""

    @abstractmethod
    def handover_headers(self, handover: Handover) -> bytes:
        """Return the header lines that are written at the hand-over."""

    @abstractmethod
    def classify(self, response: Response) -> ResponseKind:
        """Return what a target's answer means."""

    @abstractmethod
    def response_headers(self, response: Response) -> bytes:
        """Return the header lines of an answer for the caller."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float) -> bytes:
        """Return the header lines of an answer of our own; no pause where it is 0."""

    @abstractmethod
    def parse_target_message(self, http_request: HttpRequest) -> TargetMessage | None:
        """Return what a target states, None where it cannot be read."""

    @abstractmethod
    def parse_document(self, text: bytes) -> FleetDocument:
        """Return the configuration in ``text``; raises DocumentError."""
