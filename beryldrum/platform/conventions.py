"""Requests, answers and statements as they are on the platform's wire."""

import msgspec

from ..errors import DocumentError
from ..mesh.client import Response
from ..mesh.conventions import Asked, Conventions, Handover, Judgement, Leaving, Statement
from ..mesh.document import FleetDocument
from ..mesh.http import Header, HttpRequest
from ..mesh.target import DRAINING, READY, Announcement
from . import documents

__all__ = ["PlatformConventions"]

REQUEST_ID = b"X-Request-Id"
DEADLINE_MS = b"X-Deadline-Milliseconds"
SIGNATURE = b"x-server-signature"
ECHO, LEFT_MS = REQUEST_ID.lower(), DEADLINE_MS.lower()
ORGANISATION = b"X-Tenant"
EXPECTED_TARGET = b"X-Expected-Instance"
NOT_RUN = b"x-not-executed"
CALLER = b"X-Caller-Service"
MISDIRECTED = 421

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
OURS = frozenset(
    name.lower() for name in (b"Authorization", DEADLINE_MS, ORGANISATION, EXPECTED_TARGET, CALLER)
)
DROPPED = HOP_BY_HOP | OURS

HEARTBEAT = "instances.heartbeat"
LEAVE = "instances.deregister"


class _Information(msgspec.Struct):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    sequence: int
    cold_remaining_ms: float = 0


class _Heartbeat(msgspec.Struct):
    address: str
    information: _Information
    status: _Status
    born: int = 0


_heartbeat = msgspec.json.Decoder(_Heartbeat)


class PlatformConventions(Conventions):
    """The platform's headers and bodies."""

    echo = ECHO

    def asked(self, http_request: HttpRequest) -> Asked | None:
        headers = http_request.headers
        request_id = headers.get(ECHO, b"").decode("latin-1")
        left = headers.get(LEFT_MS, b"").strip()
        if (
            not request_id
            or (left and not left.isdigit())
            or not http_request.target.startswith("/")
        ):
            return None
        shown = headers.get(b"authorization")
        return Asked(
            request_id,
            headers.get(b"host", b"").partition(b":")[0].decode("latin-1").lower(),
            http_request.target.partition("?")[0],
            int(left) if left else -1,
            _key(shown) if shown else "",
        )

    def caller_of(self, request_id: str) -> str:
        # A target names its calls after the run that makes them.
        return request_id.rpartition(".")[0]

    def root_of(self, request_id: str) -> str:
        return request_id.partition(".")[0]

    def forwarded(self, lines: list[Header], organisation: str, caller: str) -> bytes:
        lost = _dropped(lines)
        kept = [b"%s: %s" % (name, value) for low, name, value in lines if low not in lost]
        kept.append(b"%s: %s" % (CALLER, caller.encode()))
        if organisation:
            kept.append(b"%s: %s" % (ORGANISATION, organisation.encode()))
        kept.append(b"")
        return b"\r\n".join(kept)

    def handover(self, told: Handover) -> bytes:
        return b"%s: %s\r\n%s: %d\r\n" % (
            EXPECTED_TARGET,
            told.target_id.encode(),
            DEADLINE_MS,
            told.left_ms,
        )

    def judge(self, response: Response) -> Judgement:
        if response.status == MISDIRECTED or response.header(NOT_RUN):
            return Judgement.NOT_RUN
        if 200 <= response.status < 300 and not response.header(SIGNATURE):
            return Judgement.NOT_ITS_OWN
        return Judgement.FAILED if response.status >= 500 else Judgement.ANSWERED

    def returned(self, response: Response) -> bytes:
        lost = _dropped(response.raw_headers)
        kept = [
            b"%s: %s" % (name, value)
            for low, name, value in response.raw_headers
            if low not in lost
        ]
        kept.append(b"")
        return b"\r\n".join(kept)

    def refusal(self, request_id: str, retry_after_s: float) -> bytes:
        head = b"%s: %s\r\n" % (REQUEST_ID, request_id.encode("latin-1")) if request_id else b""
        return head + (b"Retry-After: %.3f\r\n" % retry_after_s if retry_after_s > 0 else b"")

    def statement(self, http_request: HttpRequest) -> Statement | None:
        query = dict(
            part.partition("=")[::2] for part in http_request.target.partition("?")[2].split("&")
        )
        call, target_id = query.get("call", ""), query.get("of", "")
        if call == LEAVE and target_id:
            return Leaving(target_id)
        if call != HEARTBEAT or not target_id:
            return None
        try:
            said = _heartbeat.decode(http_request.body)
        except (msgspec.DecodeError, ValueError):
            return None
        info, status = said.information, said.status
        if status.state not in (READY, DRAINING) or info.slots < 1 or not info.service:
            return None
        return Announcement(
            target_id,
            info.service,
            said.address,
            info.zone,
            info.slots,
            status.state,
            status.sequence,
            status.cold_remaining_ms / 1000,
            said.born,
        )

    def document(self, text: bytes) -> FleetDocument:
        try:
            return documents.decode(text)
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as exc:
            raise DocumentError((f"configuration: {exc}",)) from exc


def _key(shown: bytes) -> str:
    scheme, _, key = shown.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _dropped(lines: list[Header]) -> frozenset[bytes]:
    """Return the names of the lines that concern one connection only, or are ours to set."""
    named = [value for low, _, value in lines if low == b"connection"]
    if not named or named in ([b"close"], [b"keep-alive"]):
        return DROPPED
    return DROPPED.union(*({part.strip().lower() for part in v.split(b",")} for v in named))
