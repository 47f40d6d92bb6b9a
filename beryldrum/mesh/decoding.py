"""Decoding of bytes that something else than this node has written."""

import struct

import msgspec

__all__ = ["DECODE_ERRORS"]

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError, struct.error)
"""What decoding of untrusted bytes can raise. Beside malformed data there is nesting that is
too deep, and numbers that are decoded but cannot be converted."""
