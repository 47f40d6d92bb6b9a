"""Messages between the nodes of a fleet, and their framing.

A frame is a four-byte big-endian length and one message in MessagePack. Times are
sent as remaining time or as ages, so that the clocks of hosts are never compared.
"""

import struct
from typing import Annotated

import msgspec

from ..errors import FrameError
from .decoding import DECODE_ERRORS
from .quota import Usage

__all__ = [
    "LARGE_BODY_BYTES",
    "LENGTH",
    "MAX_FRAME_BYTES",
    "PEEK_BYTES",
    "REPLY_TAG",
    "RUN_TAG",
    "Address",
    "Cancel",
    "Document",
    "DocumentRequest",
    "Evacuation",
    "Grant",
    "GrantRequest",
    "GrantReturn",
    "Heartbeat",
    "HeartbeatAck",
    "Load",
    "Member",
    "Message",
    "NodeLoad",
    "Reply",
    "RetryDemand",
    "Run",
    "State",
    "Summary",
    "SummaryRequest",
    "TargetStatus",
    "decode",
    "encode",
    "encode_buffer",
    "peek",
]

MAX_FRAME_BYTES = 72 * 2**20
"""Size limit of a frame: the largest body that a document may allow, and its headers."""

FIELD_BYTES = 65_536
"""More than the fields of a message beside a body take."""

LARGE_BODY_BYTES = 262_144
"""Size of a body from which the buffer of its frame is allocated at once."""

PEEK_BYTES = 32
"""Bytes at the start of a message that contain its tag and sequence number."""

LENGTH = struct.Struct(">I")


OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT = "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"

Address = Annotated[str, msgspec.Meta(pattern=rf"\A{OCTET}(\.{OCTET}){{3}}:{PORT}\Z")]
"""An IPv4 address and a port."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A number of things, or of milliseconds."""

Version = Annotated[int, msgspec.Meta(ge=-1, le=2**53)]
"""The version of a configuration, -1 before the first."""

Age = Annotated[int, msgspec.Meta(ge=-1, le=2**53)]
"""The age of a confirmation in milliseconds, -1 without one."""

Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]
"""A finite quantity."""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A node. ``incarnation`` is the wall-clock time of its start, in milliseconds."""

    address: Address
    data_centre: str
    incarnation: Count


class TargetStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a target has stated about itself: its limit in answers, or that it leaves.

    ``incarnation`` identifies the start of the target. ``rate_limit`` is in requests per
    second, None if the target states none.
    """

    incarnation: Count
    rate_limit: Amount | None
    leaving: bool

    def stricter(self, other: "TargetStatus") -> "TargetStatus":
        """Return the stricter of each statement, where the newer one is not known."""
        limits = [s.rate_limit for s in (self, other) if s.rate_limit is not None]
        return TargetStatus(
            self.incarnation, min(limits, default=None), self.leaving or other.leaving
        )


class Load(msgspec.Struct, array_like=True):
    """The load of a gate. ``service`` is empty where no target accepts work.

    ``busy`` counts the runs in flight and the queued requests, ``limit`` is the maximum
    of runs in flight, ``run_ms`` the smoothed run time, ``failed`` the smoothed share of
    failed runs, and ``full`` the mean of running and waiting requests divided by the
    limit. ``status`` is None if the target has stated neither a limit nor that it leaves.
    """

    service: str = ""
    busy: Count = 0
    limit: Count = 0
    run_ms: Amount = 0.0
    failed: Amount = 0.0
    full: Amount = 0.0
    queued: Count = 0
    status: TargetStatus | None = None


class Evacuation(msgspec.Struct, array_like=True, frozen=True):
    """Whether the operator has asked that no request goes to a data centre's targets.

    ``era`` and ``position`` are those of the store's record; of two entries the one with the
    higher pair is newer.
    """

    data_centre: str
    evacuated: bool
    era: Count
    position: Count


class RetryDemand(msgspec.Struct, array_like=True, frozen=True):
    """The retries per second that a node's calls to a service need, and those it may send."""

    needed_per_s: Amount
    allowed_per_s: Amount


RUN_TAG = 1


class Run(msgspec.Struct, array_like=True, tag=RUN_TAG):
    """Asks a node to hand a request to its target."""

    sequence: int
    service: str
    method: str
    path: str
    head: bytes
    """Header lines for the target, each terminated by CR LF."""
    body: bytes
    organisation: str
    priority: Count
    left_ms: Count
    due_ms: Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
    """Remaining time of the route's latency objective; negative once it is over."""
    request_id: str
    idempotent: bool
    route: str
    is_retry: bool = False
    """Whether the request, or a run that made it as a call, was handed over before."""


REPLY_TAG = 2


class Reply(msgspec.Struct, array_like=True, tag=REPLY_TAG):
    """The outcome of a :class:`Run`; ``reason`` is empty if the target answered."""

    sequence: int
    outcome: int
    status: Annotated[int, msgspec.Meta(ge=0, le=999)]
    head: bytes = b""
    body: bytes = b""
    reason: str = ""
    retry_after_ms: Count = 0
    load: Load | None = None
    handed: bool = False
    """Whether the request was handed to the target."""


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancels the run with the same sequence number, whose reply is no longer awaited."""

    sequence: int


class State(msgspec.Struct, array_like=True, tag=4):
    """The state of a node, sent after a :class:`HeartbeatAck` or unsolicited.

    ``proof_ms`` is the age of its confirmation of configuration ``version``, -1 for
    none. ``uses`` has its use of the rate of each organisation, ``calls`` the calls
    that its target makes per run, by the routes run and called.
    """

    member: Member
    load: Load
    version: Version
    proof_ms: Age
    uses: dict[str, Usage]
    calls: dict[str, Amount]
    stopping: bool = False
    data_centre_count: Count = 0
    """Number of data centres known to a node of a large fleet; 0 in a small fleet."""
    evacuations: list[Evacuation] = []
    store_rejected: bool = False
    """Whether the store does not serve this node, so that it cannot be a reader."""
    retry_demands: dict[str, RetryDemand] = {}
    """By service; only services whose retries are short."""
    store_era: Count = 0
    """The highest era of the store that the node knows."""


class Heartbeat(msgspec.Struct, array_like=True, tag=7):
    """Asks for the state of a node.

    ``member`` identifies the sender in the first heartbeat of a connection, and
    ``target_status`` is what it has last heard of the receiver's target: the receiver may
    have restarted since. A ``brief`` state leaves out ``uses`` and ``calls``, where the
    data centre's summary has them.
    """

    sequence: int
    member: Member | None = None
    brief: bool = False
    target_status: TargetStatus | None = None


class HeartbeatAck(msgspec.Struct, array_like=True, tag=8):
    """Answers a heartbeat; the next frame is the node's state."""

    sequence: int


class DocumentRequest(msgspec.Struct, array_like=True, tag=5):
    """Asks for the configuration in force."""

    sequence: int


class Document(msgspec.Struct, array_like=True, tag=6):
    """The configuration as stored, and the age of its last confirmation."""

    sequence: int
    text: bytes
    proof_ms: Age
    evacuations: list[Evacuation] = []


class NodeLoad(msgspec.Struct, array_like=True):
    """A node and its load, as last reported to a node of its data centre."""

    member: Member
    load: Load


class SummaryRequest(msgspec.Struct, array_like=True, tag=9):
    """Asks a node of another data centre for a :class:`Summary`."""

    sequence: int


class Summary(msgspec.Struct, array_like=True, tag=10):
    """The view that node ``source`` has of its data centre.

    It is relayed to other nodes with unchanged contents; ``age_ms`` is an upper bound on
    its age when it is sent. The counts in ``uses`` begin at the start of ``source``.
    """

    sequence: int
    source: Member
    age_ms: Count
    nodes: list[NodeLoad]
    uses: dict[str, Usage]
    calls: dict[str, Amount]
    version: Version
    proof_ms: Age
    evacuations: list[Evacuation] = []
    has_reader: bool = True
    """False while the store rejects one of the data centre's readers."""
    retry_demands: dict[str, RetryDemand] = {}
    """The sums of the data centre's nodes."""
    store_era: Count = 0


class GrantRequest(msgspec.Struct, array_like=True, tag=11):
    """Asks the home node of an organisation's rate to admit one request."""

    sequence: int
    organisation: str


class Grant(msgspec.Struct, array_like=True, tag=12):
    """Answers a :class:`GrantRequest`; if refused, the next may succeed after ``wait_ms``."""

    sequence: int
    granted: bool
    wait_ms: Count


class GrantReturn(msgspec.Struct, array_like=True, tag=13):
    """Returns a grant whose request has not run."""

    organisation: str


Message = (
    Run
    | Reply
    | Cancel
    | State
    | Heartbeat
    | HeartbeatAck
    | DocumentRequest
    | Document
    | SummaryRequest
    | Summary
    | GrantRequest
    | Grant
    | GrantReturn
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame of ``message``."""
    return bytes(encode_buffer(message))


def encode_buffer(message: Message) -> bytearray:
    """Return the frame of ``message`` without another copy of its body."""
    size = len(message.body) if isinstance(message, Run | Reply) else 0
    # A buffer that is grown while it is filled takes up to half as much again.
    buffer = bytearray(LENGTH.size + (size + FIELD_BYTES if size >= LARGE_BODY_BYTES else 0))
    _encoder.encode_into(message, buffer, LENGTH.size)
    LENGTH.pack_into(buffer, 0, len(buffer) - LENGTH.size)
    return buffer


def peek(body: bytes) -> tuple[int, int]:
    """Return the tag and sequence number of a message from its first ``PEEK_BYTES``.

    The sequence number is -1 if the message has none.
    """
    # An array header of one, three or five bytes.
    position = {0xDC: 3, 0xDD: 5}.get(body[0], 1)
    values = []
    for _ in range(2):
        kind = body[position]
        size = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}.get(kind, 0)
        if not size and kind > 0x7F:
            values.append(-1)
            continue
        number = body[position + 1 : position + 1 + size]
        values.append(int.from_bytes(number, "big") if size else kind)
        position += 1 + size
    return values[0], values[1]


def decode(body: bytes | memoryview) -> Message:
    """Return the message in a frame's body; raises FrameError."""
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise FrameError(str(exc)) from exc
