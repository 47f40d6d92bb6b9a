"""Interface of the adapter to a deployment's wire conventions.

An adapter knows, for example, in which header a request states its deadline and how
a target reports that it has not run a request. It only translates between the wire
and the types of this package; all decisions are made by the mesh.
"""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple

from .client import Response
from .document import FleetDocument
from .http import Header, HttpRequest
from .target import Announcement

__all__ = [
    "Deregistration",
    "Handover",
    "RequestMetadata",
    "ResponseKind",
    "TargetHealth",
    "TargetMessage",
    "TargetNotice",
    "WireAdapter",
]


class RequestMetadata(NamedTuple):
    """The metadata of a request; ``left_ms`` is -1 if it states no deadline.

    ``key`` is the API key, empty if there is none.
    """

    request_id: str
    host: str
    path: str
    left_ms: int
    key: str


class Handover(NamedTuple):
    """Information for the target that is added to the caller's headers.

    ``target_id`` is the target that the request is meant for, ``left_ms`` the remaining
    time.
    """

    target_id: str
    left_ms: int


class ResponseKind(Enum):
    """Kinds of answers of a target."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The target ran the request and failed."""
    NOT_RUN = "not run"
    UNVERIFIED = "unverified"
    """A success without the target's signature, which something else may have sent."""


class TargetNotice(NamedTuple):
    """What an answer of a target states about the target itself.

    ``rate_limit`` is the number of requests per second that it takes from all hosts
    together, or None if it states none. ``leaving`` tells that it is shutting down.
    ``problem`` says what could not be read, and ``limit_readable`` is False if that
    concerns the limit.
    """

    rate_limit: float | None
    leaving: bool
    problem: str = ""
    limit_readable: bool = True


class TargetHealth(NamedTuple):
    """What a health page states: the target that answers, and for how long it is cold."""

    target_id: str
    cold_s: float


class Deregistration(NamedTuple):
    """A target's message that it is shutting down for good.

    ``born_ms`` is the wall-clock time of its start, 0 where it is not stated.
    """

    target_id: str
    born_ms: int = 0


TargetMessage = Announcement | Deregistration


class WireAdapter(ABC):
    """Translates requests, answers, target messages and configurations."""

    request_id_header: bytes
    """Lower-case name of the header with the request id, in requests and answers."""

    not_run_statuses: frozenset[int]
    """Statuses by which a caller knows that its request has not run and never will."""

    @abstractmethod
    def parse_request(self, http_request: HttpRequest) -> RequestMetadata | None:
        """Return the metadata of a request, or None if some is missing or malformed."""

    @abstractmethod
    def parent_request_id(self, request_id: str) -> str:
        """Return the id of the request whose run made this call, empty if unknown."""

    @abstractmethod
    def root_request_id(self, request_id: str) -> str:
        """Return the id of the external request that this call serves.

        It is the id of the request itself if that is not a call.
        """

    @abstractmethod
    def forwarded_headers(
        self, raw_headers: list[Header], organisation: str, caller_service: str
    ) -> bytes:
        """Return the header lines to send to the target, each ended by CR LF.

        ``caller_service`` is the service on the host where the request entered the mesh.
        """

    @abstractmethod
    def handover_headers(self, handover: Handover) -> bytes:
        """Return the header lines that are added when a request is handed over."""

    @abstractmethod
    def classify(self, response: Response) -> ResponseKind:
        """Return the kind of a target's answer."""

    @abstractmethod
    def target_notice(self, response: Response) -> TargetNotice | None:
        """Return what an answer states about its target.

        It is None for an answer that may be from something other than the target.
        """

    @abstractmethod
    def target_health(self, response: Response) -> TargetHealth | None:
        """Return what an answer of a health page states, or None if it is malformed."""

    @abstractmethod
    def response_headers(self, response: Response) -> bytes:
        """Return the header lines of a target's answer to send to the caller."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float) -> bytes:
        """Return the header lines of a node's own response; no Retry-After if that is 0."""

    @abstractmethod
    def parse_target_message(self, http_request: HttpRequest) -> TargetMessage | None:
        """Return the message of a target, or None if it is malformed."""

    @abstractmethod
    def parse_document(self, text: bytes) -> FleetDocument:
        """Return the configuration in ``text``; raises DocumentError if it is invalid."""
