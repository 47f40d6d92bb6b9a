"""Administrative HTTP endpoints, for operators and for the target on this host."""

import hmac
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from .errors import RecordError
from .ledger import TAKEOVER_ERRORS
from .records import from_fields
from .target import Target

if TYPE_CHECKING:
    from .node import Node

__all__ = ["Admin"]


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


class Admin:
    """Handles the requests below ``/.beryldrum/``.

    Requests on the callers' listener must carry the operators' token. The egress
    listener is reachable from this host only and requires none.
    """

    def __init__(self, node: "Node", token: str) -> None:
        self._node = node
        self._token = token

    async def handle_authenticated(self, raw: web.BaseRequest, body: bytes) -> web.Response:
        """Answer a request on the callers' listener, which must carry the operators' token."""
        token = raw.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            return _json({"error": "operators' token missing or wrong"}, 403)
        if raw.path.endswith("/announce"):
            return _json({"error": "targets announce on the egress listener"}, 403)
        return await self.handle_local(raw, body)

    async def handle_local(self, raw: web.BaseRequest, body: bytes) -> web.Response:
        """Answer a request from this host, without authentication."""
        name = raw.path.rpartition("/")[2]
        try:
            match raw.method, name:
                case "POST", "announce":
                    return self._announce(body)
                case "GET", "status":
                    return _json(self.status())
                case "POST", "withdraw":
                    return self._withdraw(body)
        except (msgspec.DecodeError, RecordError) as exc:
            return _json({"error": str(exc)}, 400)
        return _json({"error": "no such operation"}, 404)

    def _announce(self, body: bytes) -> web.Response:
        fields = msgspec.json.decode(body, type=dict[str, Any])
        self._node.announce(from_fields(Target, fields))
        return _json({"data_centre": self._node.cfg.data_centre})

    def _withdraw(self, body: bytes) -> web.Response:
        key_id = msgspec.json.decode(body, type=dict[str, str]).get("key_id", "")
        if not key_id:
            return _json({"error": "key_id: missing"}, 400)
        self._node.keyring.withdraw(key_id)
        self._node.gossip.send_now()
        return _json({"withdrawn": key_id})

    def status(self) -> dict[str, Any]:
        """Return the state of the node, to be encoded as JSON for operators."""
        node = self._node
        state = node.replica.state
        age_s = node.replica.age_s()
        return {
            "node": node.cfg.node,
            "data_centre": node.cfg.data_centre,
            "draining": node.local_target.draining,
            "offset": state.offset,
            "news_age_s": round(age_s, 3) if age_s < 1e9 else None,
            "log": node.log.state,
            "state_digest": state.digest(),
            "versions": {s: state.version(s) for s in state.versions},
            "members": [a._asdict() for a in sorted(node.membership.adverts())],
            "suspected": node.balancer.suspected(),
            "seats": [
                f"{service}/{number}" for service, number in sorted(node.seat_table.held_seats())
            ],
            "seats_settling": node.seat_table.count_settling(
                TAKEOVER_ERRORS * node.cfg.clock_error_ms
            ),
            "seats_vacant": {s: state.count_vacant_seats(s) for s in state.documents},
            "accounts": self._accounts(),
            "gate": self._gate(),
            "ledger_keys": {s: len(ledger) for s, ledger in node.service_state.ledgers.items()},
            "counts": dict(node.metrics.totals),
            "added_us": {"p50": node.metrics.added_us(50), "p99": node.metrics.added_us(99)},
        }

    def _accounts(self) -> dict[str, Any]:
        accounts = {}
        for (service, organisation), account in self._node.service_state.accounts.items():
            lent, borrowed = account.loans()
            accounts[f"{service}/{organisation}"] = {
                "own": account.seat_limit._asdict(),
                "lent": lent._asdict(),
                "borrowed": borrowed._asdict(),
                "tokens": round(account.tokens, 2),
            }
        return accounts

    def _gate(self) -> dict[str, Any] | None:
        current = self._node.local_target.current
        if current is None:
            return None
        return {**current.client.target._asdict(), **current.gate.load()._asdict()}
