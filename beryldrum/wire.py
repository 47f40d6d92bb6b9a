"""Framing and encoding of the messages between nodes.

The messages are defined in ``wire.thrift``, which is parsed when this module is imported,
so there is no generated code. A frame is a four-byte big-endian length followed by one
encoded ``Envelope``.
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
"""Maximum size of a frame's body in bytes."""

LENGTH_PREFIX = struct.Struct(">I")

types: Any = thriftpy2.load(
    str(Path(__file__).with_name("wire.thrift")), module_name="beryldrum_wire_thrift"
)
"""The message types, by their names in ``wire.thrift``."""

PAYLOAD_FIELDS = tuple(
    name
    for _, name, *_ in types.Envelope.thrift_spec.values()
    if name not in ("sequence", "response")
)

_factory: Any = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]


def encode(envelope: Any) -> bytes:
    """Return the frame of an ``Envelope``; raises FrameError if it exceeds ``MAX_FRAME``."""
    body: bytes = serialize(envelope, _factory)
    if len(body) > MAX_FRAME:
        raise FrameError(f"frame of {len(body)} bytes exceeds the size limit")
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Any:
    """Return the ``Envelope`` encoded in ``body``; raises FrameError if it is malformed."""
    try:
        envelope = deserialize(types.Envelope(), body, _factory)
    except Exception as exc:
        raise FrameError(str(exc)) from exc
    # The codec skips unknown fields, so invalid bytes may decode without an error.
    if all(getattr(envelope, name) is None for name in PAYLOAD_FIELDS):
        raise FrameError("envelope without content")
    return envelope


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame's body.

    Raises FrameError if it exceeds ``MAX_FRAME``, and IncompleteReadError at the end of the
    stream.
    """
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_FRAME:
        raise FrameError(f"frame of {length} bytes exceeds the size limit")
    return await reader.readexactly(length)
