"""A request as the entry sends it to a node, and constructors of its replies."""

from typing import NamedTuple

from ..request import REASONS, Outcome, Reason
from .document import Route
from .frames import Reply, Run
from .residency import ANY_REGION, Regions

__all__ = ["AdmittedRequest", "answered", "not_run", "reason_of", "request_head", "unknown"]


class AdmittedRequest(NamedTuple):
    """A request that passed the checks at the entry.

    ``due``, ``run_until`` and ``deadline`` are clock seconds: the time for an answer in time,
    the time that its target gets, and the time for which the entry waits.
    """

    route: Route
    service: str
    method: str
    path: str
    head: bytes
    body: bytes
    organisation: str
    priority: int
    due: float
    run_until: float
    deadline: float
    request_id: str
    is_retry: bool
    """Whether it is a call made by a run that is a retry."""
    regions: Regions = ANY_REGION

    def to_run(self, now: float, is_retry: bool) -> Run:
        """Return the message that asks a node to run it; ``is_retry`` marks a retry."""
        return Run(
            0,
            self.service,
            self.method,
            self.path,
            self.head,
            self.body,
            self.organisation,
            self.priority,
            max(0, int((self.run_until - now) * 1000)),
            int((self.due - now) * 1000),
            self.request_id,
            self.route.idempotent,
            self.route.name,
            is_retry or self.is_retry,
        )


def request_head(run: Run, handover_headers: bytes) -> bytes:
    """Return the head of a run's request to its target."""
    has_body = bool(run.body) or run.method in ("POST", "PUT", "PATCH")
    return b"%s %s HTTP/1.1\r\n%s%s%s\r\n" % (
        run.method.encode("latin-1"),
        run.path.encode("latin-1"),
        run.head,
        handover_headers,
        b"Content-Length: %d\r\n" % len(run.body) if has_body else b"",
    )


def not_run(reason: Reason, retry_after_ms: int = 0, handed: bool = False) -> Reply:
    """Return the refusal of a request that no target has started."""
    return Reply(
        0, int(Outcome.NOT_RUN), reason.status, b"", b"", reason.type, retry_after_ms, None, handed
    )


def unknown(reason: Reason, handed: bool = True) -> Reply:
    """Return the reply for a request that may or may not have run."""
    return Reply(0, int(Outcome.UNKNOWN), reason.status, b"", b"", reason.type, 0, None, handed)


def answered(status: int, head: bytes, body: bytes) -> Reply:
    """Return the reply with a target's complete answer."""
    return Reply(0, int(Outcome.ANSWERED), status, head, body, "", 0, None, True)


def reason_of(reply: Reply) -> Reason | None:
    """Return the reason for which a request was not answered, or None if it was."""
    return REASONS.get(reply.reason)
