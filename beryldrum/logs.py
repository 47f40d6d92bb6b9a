"""Configuration of structured logging."""

import logging
import reprlib
import sys
import time
from collections.abc import MutableMapping
from datetime import UTC, datetime
from typing import Any

import msgspec
import structlog

__all__ = ["setup"]

_short_repr = reprlib.Repr()
"""Cuts the values of a line that could not be encoded as they are."""
_short_repr.maxstring = _short_repr.maxother = 200

SECRET_FIELDS = frozenset(("key", "token", "authorization", "secret", "admin_token"))


def redact_secrets(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Replace the values of fields that may contain a secret, whichever module logs them."""
    for name in event.keys() & SECRET_FIELDS:
        event[name] = "hidden"
    return event


def add_timestamp(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Set ``timestamp`` to the current time in ISO 8601, UTC.

    A ``timestamp`` that the event already has, in milliseconds since the epoch, is
    converted instead.
    """
    given = event.get("timestamp")
    seconds = time.time() if given is None else given / 1000
    event["timestamp"] = datetime.fromtimestamp(seconds, UTC).isoformat().replace("+00:00", "Z")
    return event


def _to_json(event: Any, **_: Any) -> str:
    try:
        return msgspec.json.encode(event, enc_hook=repr).decode()
    except (ValueError, OverflowError, RecursionError, TypeError):
        # A line about an odd value must not fail because of it.
        fields = {name: _short_repr.repr(value) for name, value in event.items()}
        return msgspec.json.encode(fields).decode("utf-8", "replace")


def setup(level: str, log_format: str, stream: Any = None) -> None:
    """Configure structlog.

    ``level`` is a level name such as ``info`` and ``log_format`` is ``json`` or
    ``console``. Lines go to ``stream``, by default standard error.
    """
    renderer: Any = structlog.processors.JSONRenderer(_to_json)
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            add_timestamp,
            redact_secrets,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )
