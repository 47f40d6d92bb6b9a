"""The platform's wire formats for requests, answers and target messages."""

import math
from typing import Annotated

import msgspec

from ..errors import DocumentError
from ..mesh.client import Response
from ..mesh.conventions import (
    Deregistration,
    Handover,
    RequestMetadata,
    ResponseKind,
    TargetHealth,
    TargetMessage,
    TargetNotice,
    WireAdapter,
)
from ..mesh.decoding import DECODE_ERRORS
from ..mesh.document import FleetDocument
from ..mesh.http import Header, HttpRequest
from ..mesh.target import DRAINING, READY, Announcement
from . import documents

__all__ = ["PlatformAdapter"]

REQUEST_ID = b"X-Request-Id"
DEADLINE_MS = b"X-Deadline-Milliseconds"
SIGNATURE = b"x-server-signature"
REQUEST_ID_LOWER, DEADLINE_MS_LOWER = REQUEST_ID.lower(), DEADLINE_MS.lower()
ORGANISATION = b"X-Tenant"
EXPECTED_TARGET = b"X-Expected-Instance"
NOT_RUN = b"x-not-executed"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
LEAVING_VALUES = {b"0", b"1"}
NOTHING_STATED = TargetNotice(None, False)
CALLER_SERVICE = b"X-Caller-Service"
COLD_MS = b"x-cold-milliseconds"
TARGET_ID = b"x-instance-id"
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
RESERVED = frozenset(
    name.lower()
    for name in (b"Authorization", DEADLINE_MS, ORGANISATION, EXPECTED_TARGET, CALLER_SERVICE)
)
STRIPPED = HOP_BY_HOP | RESERVED

MAX_NUMBER = 1e9
"""A higher limit or time that a target states is taken for this one."""

MAX_DEADLINE_DIGITS = 12
"""Digits of a deadline in milliseconds; all longer ones are beyond any route's timeout."""

HEARTBEAT = "instances.heartbeat"
DEREGISTER = "instances.deregister"


_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Information(msgspec.Struct):
    service: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _Status(msgspec.Struct):
    state: str
    sequence: _Number
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=86_400_000)] = 0


class _Heartbeat(msgspec.Struct):
    address: str
    information: _Information
    status: _Status
    born: _Number = 0


class _Start(msgspec.Struct):
    born: _Number = 0


_start_decoder = msgspec.json.Decoder(_Start)
_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)


class PlatformAdapter(WireAdapter):
    """Translates the platform's headers and bodies."""

    request_id_header = REQUEST_ID_LOWER
    not_run_statuses = frozenset((408, MISDIRECTED, 429, 503))

    def parse_request(self, http_request: HttpRequest) -> RequestMetadata | None:
        headers = http_request.headers
        request_id = headers.get(REQUEST_ID_LOWER, b"").decode("latin-1")
        deadline = headers.get(DEADLINE_MS_LOWER, b"").strip()
        if (
            not request_id
            or (deadline and not deadline.isdigit())
            or not http_request.target.startswith("/")
        ):
            return None
        authorization = headers.get(b"authorization")
        return RequestMetadata(
            request_id,
            headers.get(b"host", b"").partition(b":")[0].decode("latin-1").lower(),
            http_request.target.partition("?")[0],
            int(deadline[:MAX_DEADLINE_DIGITS]) if deadline else -1,
            _bearer_key(authorization) if authorization else "",
        )

    def parent_request_id(self, request_id: str) -> str:
        # A target names its calls by appending "." and a suffix to the id of the run.
        return request_id.rpartition(".")[0]

    def root_request_id(self, request_id: str) -> str:
        return request_id.partition(".")[0]

    def forwarded_headers(
        self, raw_headers: list[Header], organisation: str, caller_service: str
    ) -> bytes:
        stripped = _headers_to_strip(raw_headers)
        lines = [
            b"%s: %s" % (name, value) for low, name, value in raw_headers if low not in stripped
        ]
        lines.append(b"%s: %s" % (CALLER_SERVICE, caller_service.encode()))
        if organisation:
            lines.append(b"%s: %s" % (ORGANISATION, organisation.encode()))
        lines.append(b"")
        return b"\r\n".join(lines)

    def handover_headers(self, handover: Handover) -> bytes:
        return b"%s: %s\r\n%s: %d\r\n" % (
            EXPECTED_TARGET,
            handover.target_id.encode(),
            DEADLINE_MS,
            handover.left_ms,
        )

    def classify(self, response: Response) -> ResponseKind:
        if response.status == MISDIRECTED or NOT_RUN in response.headers:
            return ResponseKind.NOT_RUN
        if 200 <= response.status < 300 and not response.header(SIGNATURE):
            return ResponseKind.UNVERIFIED
        return ResponseKind.FAILED if response.status >= 500 else ResponseKind.ANSWERED

    def target_notice(self, response: Response) -> TargetNotice | None:
        kind = self.classify(response)
        if response.status == MISDIRECTED or kind is ResponseKind.UNVERIFIED:
            return None
        if RATE_LIMIT not in response.headers and LEAVING not in response.headers:
            return NOTHING_STATED
        limits = {value for low, _, value in response.raw_headers if low == RATE_LIMIT}
        leaving = {value.strip() for low, _, value in response.raw_headers if low == LEAVING}
        rates = {_number(value) for value in limits}
        rate_limit = rates.pop() if len(rates) == 1 else None
        limit_readable = rate_limit is not None or not limits
        readable = limit_readable and leaving <= LEAVING_VALUES
        problem = "" if readable else f"limit {sorted(limits)}, leaving {sorted(leaving)}"
        return TargetNotice(rate_limit, b"1" in leaving, problem, limit_readable)

    def target_health(self, response: Response) -> TargetHealth | None:
        cold_ms = _number(response.header(COLD_MS))
        target_id = response.header(TARGET_ID).strip().decode("latin-1")
        if response.status == MISDIRECTED or cold_ms is None or not target_id:
            return None
        return TargetHealth(target_id, cold_ms / 1000)

    def response_headers(self, response: Response) -> bytes:
        stripped = _headers_to_strip(response.raw_headers)
        lines = [
            b"%s: %s" % (name, value)
            for low, name, value in response.raw_headers
            if low not in stripped
        ]
        lines.append(b"")
        return b"\r\n".join(lines)

    def refusal_headers(self, request_id: str, retry_after_s: float) -> bytes:
        head = b"%s: %s\r\n" % (REQUEST_ID, request_id.encode("latin-1")) if request_id else b""
        return head + (b"Retry-After: %.3f\r\n" % retry_after_s if retry_after_s > 0 else b"")

    def parse_target_message(self, http_request: HttpRequest) -> TargetMessage | None:
        query = dict(
            part.partition("=")[::2] for part in http_request.target.partition("?")[2].split("&")
        )
        call, target_id = query.get("call", ""), query.get("of", "")
        if call == DEREGISTER and target_id:
            return Deregistration(target_id, _stated_start_ms(http_request.body))
        if call != HEARTBEAT or not target_id:
            return None
        try:
            beat = _heartbeat_decoder.decode(http_request.body)
        except DECODE_ERRORS:
            return None
        info, status = beat.information, beat.status
        if status.state not in (READY, DRAINING) or not info.service:
            return None
        return Announcement(
            target_id,
            info.service,
            beat.address,
            info.zone,
            info.slots,
            status.state,
            status.sequence,
            status.cold_remaining_ms / 1000,
            beat.born,
        )

    def parse_document(self, text: bytes) -> FleetDocument:
        try:
            return documents.decode(text)
        except (*DECODE_ERRORS, KeyError, TypeError) as exc:
            raise DocumentError((f"configuration: {exc}",)) from exc


def _stated_start_ms(body: bytes) -> int:
    try:
        return _start_decoder.decode(body).born if body else 0
    except DECODE_ERRORS:
        return 0


def _number(value: bytes) -> float | None:
    try:
        # Python's digit separators are not part of the format.
        number = math.nan if b"_" in value else float(value)
    except ValueError:
        return None
    return min(number, MAX_NUMBER) if math.isfinite(number) and number >= 0.0 else None


def _bearer_key(authorization: bytes) -> str:
    scheme, _, key = authorization.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _headers_to_strip(raw_headers: list[Header]) -> frozenset[bytes]:
    """Return the names of hop-by-hop headers and of headers that only the node sets."""
    connection_values = [value for low, _, value in raw_headers if low == b"connection"]
    if not connection_values or connection_values in ([b"close"], [b"keep-alive"]):
        return STRIPPED
    return STRIPPED.union(
        *({part.strip().lower() for part in v.split(b",")} for v in connection_values)
    )
