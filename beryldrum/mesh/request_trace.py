"""A request's story, put together from the log lines of many nodes.

The lines of the request itself and of the calls made for it come in the order of
their time stamps; on asking, so do the changes of belief around them, such as a
peer that was lost or a configuration that came into force.
"""

import json
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

__all__ = ["Line", "read", "story"]

HIDDEN = frozenset(("event", "level", "timestamp", "request", "step", "outcome"))


class Line(NamedTuple):
    """A structured line; ``source`` is what stood before it, such as a host's name."""

    at: datetime
    source: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = self.fields
        what = [fields.get("step", ""), fields.get("outcome", ""), fields.get("request", "")]
        inputs = [f"{name}={value}" for name, value in fields.items() if name not in HIDDEN]
        words = [self.at.isoformat(), self.source, fields.get("event", ""), *what, *inputs]
        return " ".join(word for word in words if word)


def read(texts: Iterable[str], source: str) -> list[Line]:
    """Return the structured lines among ``texts``; others are passed over."""
    found = []
    for text in texts:
        before, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.fromisoformat(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        found.append(Line(at, before.strip() or source, fields))
    return found


def story(lines: Iterable[Line], request_id: str, around_s: float = 0.0) -> list[Line]:
    """Return the lines of a request and of the calls made for it, by time.

    With ``around_s``, changes of belief up to so many seconds before and after are
    among them.
    """
    listed = sorted(lines, key=lambda line: line.at)
    own = [line for line in listed if _concerns(line, request_id)]
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


def _concerns(line: Line, request_id: str) -> bool:
    request = str(line.fields.get("request", ""))
    return request == request_id or request.startswith(request_id + ".")
