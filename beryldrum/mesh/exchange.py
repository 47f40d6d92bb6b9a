"""A request on its way from the entry to a gate, and the reply on its way back."""

from typing import NamedTuple

from ..request import REASONS, Outcome, Reason
from .document import Route
from .frames import Reply, Run

__all__ = ["AdmittedRequest", "answered", "not_run", "reason_of", "unknown"]


class AdmittedRequest(NamedTuple):
    """A request that the entry has admitted; times are clock seconds."""

    route: Route
    service: str
    method: str
    path: str
    head: bytes
    body: bytes
    organisation: str
    priority: int
    due: float
    deadline: float
    request_id: str
    is_retry: bool
    """Whether it is called by a run that was handed over before."""

    def run(self, now: float, is_retry: bool) -> Run:
        """Return the message that asks a node to run it, once more if ``repeated``."""
        return Run(
            0,
            self.service,
            self.method,
            self.path,
            self.head,
            self.body,
            self.organisation,
            self.priority,
            max(0, int((self.deadline - now) * 1000)),
            int((self.due - now) * 1000),
            self.request_id,
            self.route.idempotent,
            self.route.name,
            is_retry or self.is_retry,
        )


def not_run(reason: Reason, retry_after_ms: int = 0, handed: bool = False) -> Reply:
    """Return the refusal of a request that surely was not started."""
    return Reply(
        0, int(Outcome.NOT_RUN), reason.status, b"", b"", reason.type, retry_after_ms, None, handed
    )


def unknown(reason: Reason, handed: bool = True) -> Reply:
    """Return the outcome of a request that may or may not have run."""
    return Reply(0, int(Outcome.UNKNOWN), reason.status, b"", b"", reason.type, 0, None, handed)


def answered(status: int, head: bytes, body: bytes) -> Reply:
    """Return a target's whole answer."""
    return Reply(0, int(Outcome.ANSWERED), status, head, body, "", 0, None, True)


def reason_of(reply: Reply) -> Reason | None:
    """Return why a request was not answered, None where it was."""
    return REASONS.get(reply.reason)
