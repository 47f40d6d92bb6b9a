"""Messages between the nodes of a fleet, and their framing.

A frame is a four-byte big-endian length and one message in MessagePack. Times
travel as what is left of them, so that no two hosts compare clocks.
"""

import struct

import msgspec

from ..errors import FrameError
from .quota import Usage

__all__ = [
    "LENGTH",
    "MOST_FRAME",
    "Cancel",
    "Document",
    "DocumentAsk",
    "GiveBack",
    "Grant",
    "GrantAsk",
    "Heartbeat",
    "HeartbeatAck",
    "Load",
    "Member",
    "Message",
    "NodeLoad",
    "Reply",
    "Run",
    "State",
    "Summary",
    "SummaryAsk",
    "decode",
    "encode",
]

MOST_FRAME = 72 * 2**20
"""Largest frame in bytes: the largest body that a document may allow, and its headers."""

LENGTH = struct.Struct(">I")


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A node: ``incarnation`` is the wall-clock millisecond of its start."""

    address: str
    data_centre: str
    incarnation: int


class Load(msgspec.Struct, array_like=True):
    """A gate's state. ``service`` is empty where no target takes work.

    ``busy`` counts runs in flight and queued requests, ``limit`` bounds the runs in
    flight, ``run_ms`` is the smoothed time of a run, ``failed`` the smoothed share of
    runs that failed, and ``full`` the mean of what ran and waited against the limit.
    """

    service: str = ""
    busy: int = 0
    limit: int = 0
    run_ms: float = 0.0
    failed: float = 0.0
    full: float = 0.0
    queued: int = 0


class Run(msgspec.Struct, array_like=True, tag=1):
    """Asks a node to have its target run a request."""

    sequence: int
    service: str
    method: str
    path: str
    head: bytes
    """Header lines for the target, each ended by CR LF."""
    body: bytes
    organisation: str
    priority: int
    left_ms: int
    due_ms: int
    """What is left of the time within which an answer is worth most."""
    request_id: str
    idempotent: bool
    route: str
    repeated: bool = False
    """Whether it, or a run that it is called by, has been handed over before."""


class Reply(msgspec.Struct, array_like=True, tag=2):
    """The outcome of a :class:`Run`; ``reason`` is empty for an answer of the target."""

    sequence: int
    outcome: int
    status: int
    head: bytes = b""
    body: bytes = b""
    reason: str = ""
    retry_after_ms: int = 0
    load: Load | None = None
    handed: bool = False
    """Whether the request reached the target."""


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Ends the run with the same sequence: nobody waits for it."""

    sequence: int


class State(msgspec.Struct, array_like=True, tag=4):
    """What a node says of itself, unasked or behind a :class:`HeartbeatAck`.

    ``proof_ms`` is the age of its proof that ``version`` is in force, -1 for none.
    ``uses`` are its uses of the rates of organisations, ``calls`` the calls that its
    target makes per run, by the routes run and called.
    """

    member: Member
    load: Load
    version: int
    proof_ms: int
    uses: dict[str, Usage]
    calls: dict[str, float]
    stopping: bool = False
    centres: int = 0
    """Data centres of a large fleet, as far as the node knows; 0 in a small one."""


class Heartbeat(msgspec.Struct, array_like=True, tag=7):
    """Asks for the state of a node; ``member`` is who asks, on a new connection.

    The state is ``brief``, without uses and calls, where the sum of its data centre
    tells these.
    """

    sequence: int
    member: Member | None = None
    brief: bool = False


class HeartbeatAck(msgspec.Struct, array_like=True, tag=8):
    """Answers a heartbeat; the frame behind it is the node's state."""

    sequence: int


class DocumentAsk(msgspec.Struct, array_like=True, tag=5):
    """Asks for the configuration in force."""

    sequence: int


class Document(msgspec.Struct, array_like=True, tag=6):
    """The configuration as it stands in the store, and the age of its proof."""

    sequence: int
    text: bytes
    proof_ms: int


class NodeLoad(msgspec.Struct, array_like=True):
    """A node and its load, as a node of its data centre last heard of it."""

    member: Member
    load: Load


class SummaryAsk(msgspec.Struct, array_like=True, tag=9):
    """Asks a node of another data centre for its view of that data centre."""

    sequence: int


class Summary(msgspec.Struct, array_like=True, tag=10):
    """A data centre, as its node ``source`` sees it; relayed to others unchanged.

    ``age_ms`` is the time since it was asked for, when it is relayed. The counts in
    ``uses`` began when ``source`` was started.
    """

    sequence: int
    source: Member
    age_ms: int
    nodes: list[NodeLoad]
    uses: dict[str, Usage]
    calls: dict[str, float]
    version: int
    proof_ms: int


class GrantAsk(msgspec.Struct, array_like=True, tag=11):
    """Asks the home of an organisation's rate for one request."""

    sequence: int
    organisation: str


class Grant(msgspec.Struct, array_like=True, tag=12):
    """Answers a :class:`GrantAsk`; where it is refused, ``wait_ms`` is until the next."""

    sequence: int
    granted: bool
    wait_ms: int


class GiveBack(msgspec.Struct, array_like=True, tag=13):
    """Returns a granted request that has not run."""

    organisation: str


Message = (
    Run
    | Reply
    | Cancel
    | State
    | Heartbeat
    | HeartbeatAck
    | DocumentAsk
    | Document
    | SummaryAsk
    | Summary
    | GrantAsk
    | Grant
    | GiveBack
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame of ``message``."""
    buffer = bytearray(LENGTH.size)
    _encoder.encode_into(message, buffer, LENGTH.size)
    LENGTH.pack_into(buffer, 0, len(buffer) - LENGTH.size)
    return bytes(buffer)


def decode(body: bytes | memoryview) -> Message:
    """Return the message in a frame's body; raises FrameError."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise FrameError(str(exc)) from exc
