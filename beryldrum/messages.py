"""Conversion of requests, replies and adverts to wire messages and back.

Deadlines are sent as the remaining time, so that clocks of two hosts are never compared.
"""

from typing import Any

from . import request, wire
from .membership import Advert
from .request import Headers, Outcome, Reply, Request

__all__ = ["from_advert", "from_call", "from_reply", "to_advert", "to_call", "to_reply"]


def _flat(headers: Headers) -> list[str]:
    return [part for pair in headers for part in pair]


def _pairs(flat: list[str]) -> Headers:
    return tuple(zip(flat[::2], flat[1::2], strict=True))


def to_call(req: Request, left_s: float, home: bool) -> Any:
    """Return the message that forwards ``req``; ``left_s`` is the time to its deadline."""
    return wire.types.Call(
        service_name=req.service,
        route=req.route,
        method=req.method,
        path=req.path,
        headers=_flat(req.headers),
        body=req.body,
        organisation=req.organisation,
        priority=req.priority,
        remaining_ms=int(left_s * 1000),
        allowance=req.allowance,
        request_id=req.request_id,
        idempotency_key=req.idempotency_key,
        depth=req.depth,
        home=home,
        idempotent=req.idempotent,
    )


def from_call(call: Any, now: float) -> Request:
    """Return the request of a call message received at ``now`` (seconds)."""
    return Request(
        service=call.service_name,
        route=call.route,
        method=call.method,
        path=call.path,
        headers=_pairs(call.headers),
        body=call.body,
        organisation=call.organisation,
        priority=call.priority,
        deadline=now + call.remaining_ms / 1000,
        allowance=call.allowance,
        request_id=call.request_id,
        idempotency_key=call.idempotency_key,
        idempotent=call.idempotent,
        depth=call.depth,
    )


def to_reply(reply: Reply) -> Any:
    """Return the message that answers a call."""
    return wire.types.Reply(
        outcome=int(reply.outcome),
        status=reply.status,
        headers=_flat(reply.headers),
        body=reply.body,
        reason=reply.reason.type if reply.reason else "",
        retry_after_ms=reply.retry_after_ms,
        allowance=reply.allowance,
        level=reply.level,
        deeper=reply.deeper,
        load_permille=reply.load_permille,
        path_level=reply.path_level,
        target_us=reply.target_us,
    )


def from_reply(message: Any) -> Reply:
    """Return the reply of a reply message."""
    return Reply(
        outcome=Outcome(message.outcome),
        status=message.status,
        headers=_pairs(message.headers),
        body=message.body,
        reason=request.REASONS.get(message.reason),
        retry_after_ms=message.retry_after_ms,
        allowance=message.allowance,
        level=message.level,
        deeper=message.deeper,
        load_permille=message.load_permille,
        path_level=message.path_level,
        target_us=message.target_us,
    )


def to_advert(advert: Advert) -> Any:
    """Return the wire form of an advert, as sent by gossip."""
    return wire.types.Advert(*advert)


def from_advert(message: Any) -> Advert:
    """Return the advert from its wire form."""
    return Advert(
        message.node,
        message.incarnation,
        message.sequence,
        message.data_centre,
        message.service_name,
        message.target,
        message.state,
        message.slots,
    )
