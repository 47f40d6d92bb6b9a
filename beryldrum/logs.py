"""Structured logs, on standard error unless another stream is given."""

import logging
import sys
import time
from collections.abc import MutableMapping
from datetime import UTC, datetime
from typing import Any

import msgspec
import structlog

__all__ = ["setup"]

SECRET_FIELDS = frozenset(("key", "token", "authorization", "secret", "admin_token"))


def hide_secrets(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Blank out fields that may hold a key, whoever logs them."""
    for name in event.keys() & SECRET_FIELDS:
        event[name] = "hidden"
    return event


def stamp(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Add the time, or state the one given in milliseconds since the epoch."""
    given = event.get("timestamp")
    seconds = time.time() if given is None else given / 1000
    event["timestamp"] = datetime.fromtimestamp(seconds, UTC).isoformat().replace("+00:00", "Z")
    return event


def _dumps(event: Any, **_: Any) -> str:
    return msgspec.json.encode(event, enc_hook=repr).decode()


def setup(level: str, style: str, stream: Any = None) -> None:
    """Configure the log: ``level`` by name, ``style`` json or console."""
    render: Any = structlog.processors.JSONRenderer(_dumps)
    if style == "console":
        render = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            stamp,
            hide_secrets,
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )
