"""Framing and encoding of the messages between nodes.

The messages are defined in ``wire.thrift``, which is read when this module is
imported, so no generator is needed. A frame is a four-byte big-endian length
and one encoded ``Envelope``.
"""

import asyncio
import struct
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from .errors import FrameError

__all__ = ["MAX_FRAME", "decode", "encode", "read_frame", "types"]

MAX_FRAME = 16 * 2**20
"""Largest frame in bytes."""

LENGTH = struct.Struct(">I")

types: Any = thriftpy2.load(
    str(Path(__file__).with_name("wire.thrift")), module_name="beryldrum_wire_thrift"
)
"""The message types, by the names that they have in ``wire.thrift``."""

PAYLOAD_FIELDS = tuple(
    name
    for _, name, *_ in types.Envelope.thrift_spec.values()
    if name not in ("sequence", "response")
)

_factory: Any = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]


def encode(envelope: Any) -> bytes:
    """Return the frame of an ``Envelope``; raises FrameError when too large."""
    body: bytes = serialize(envelope, _factory)
    if len(body) > MAX_FRAME:
        raise FrameError(f"a frame of {len(body)} bytes")
    return LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Any:
    """Return the ``Envelope`` in ``body``; raises FrameError."""
    try:
        envelope = deserialize(types.Envelope(), body, _factory)
    except Exception as exc:
        raise FrameError(str(exc)) from exc
    # The codec passes over what it does not know, so garbage may decode.
    if all(getattr(envelope, name) is None for name in PAYLOAD_FIELDS):
        raise FrameError("an envelope without content")
    return envelope


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame's body.

    Raises FrameError when it is too large, IncompleteReadError at the end.
    """
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_FRAME:
        raise FrameError(f"a frame of {length} bytes")
    return await reader.readexactly(length)
