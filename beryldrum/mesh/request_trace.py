"""Selects the log lines of one request from the logs of several nodes.

The lines of the request and of the calls made for it are returned in the order of their
time stamps. On request they include events around them that concern no single request,
such as a lost peer or a new configuration.
"""

import json
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

__all__ = ["LogLine", "parse_lines", "trace_request"]

HIDDEN = frozenset(("event", "level", "timestamp", "request", "step", "outcome"))


class LogLine(NamedTuple):
    """A structured line; ``source`` is the text before the JSON, such as a host name."""

    at: datetime
    source: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = self.fields
        what = [fields.get("step", ""), fields.get("outcome", ""), fields.get("request", "")]
        inputs = [f"{name}={value}" for name, value in fields.items() if name not in HIDDEN]
        words = [self.at.isoformat(), self.source, fields.get("event", ""), *what, *inputs]
        return " ".join(word for word in words if word)


def parse_lines(texts: Iterable[str], source: str) -> list[LogLine]:
    """Return the structured lines among ``texts``; others are skipped.

    ``source`` is used for lines that have no text before the JSON.
    """
    found = []
    for text in texts:
        before, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.fromisoformat(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        found.append(LogLine(at, before.strip() or source, fields))
    return found


def trace_request(
    lines: Iterable[LogLine], request_id: str, around_s: float = 0.0
) -> list[LogLine]:
    """Return the lines of a request and of the calls made for it, by time.

    With ``around_s``, lines of no single request are included from that many seconds
    before the first to as many after the last.
    """
    listed = sorted(lines, key=lambda line: line.at)
    own = [line for line in listed if _belongs_to(line, request_id)]
    if not own or not around_s:
        return own
    margin = timedelta(seconds=around_s)
    first, last = own[0].at - margin, own[-1].at + margin
    chosen = {id(line) for line in own}
    return [
        line
        for line in listed
        if id(line) in chosen or ("request" not in line.fields and first <= line.at <= last)
    ]


def _belongs_to(line: LogLine, request_id: str) -> bool:
    request = str(line.fields.get("request", ""))
    return request == request_id or request.startswith(request_id + ".")
