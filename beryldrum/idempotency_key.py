"""Generation of idempotency keys whose home node is reachable.

Callers may generate keys themselves. In a data centre that is partitioned off, though,
most of those have a home outside and cannot run. A key generated here has its home on
this node, else on a responsive node, nearby if possible.
"""

from collections.abc import Callable

import msgspec
import uuid6

from .balance import Balancer
from .chain import Filter, Handler
from .config_replica import ConfigReplica
from .ledger import seat_for_key
from .membership import READY, Membership
from .request import NO_ROUTE, Outcome, Reply, Request, not_run

__all__ = ["KEY_PATH", "IdempotencyKeyFilter", "generate_key"]

KEY_PATH = "/.beryldrum/idempotency-key"
MAX_DRAWS = 2_000


def generate_key(service: str, seats: int, wanted: frozenset[int]) -> str:
    """Return a new key with a wanted seat, or with any after ``MAX_DRAWS`` draws."""
    key = str(uuid6.uuid7())
    for _ in range(MAX_DRAWS):
        if seat_for_key(service, key, seats) in wanted:
            break
        key = str(uuid6.uuid7())
    return key


class IdempotencyKeyFilter(Filter):
    """Answers ``POST /service/.beryldrum/idempotency-key`` with a new key.

    ``holds`` returns whether this node currently holds a seat of a service.
    """

    def __init__(
        self,
        replica: ConfigReplica,
        membership: Membership,
        balancer: Balancer,
        holds: Callable[[str, int], bool],
    ) -> None:
        self._replica = replica
        self._membership = membership
        self._balancer = balancer
        self._holds = holds

    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        if req.path != KEY_PATH or req.method != "POST":
            return await next_handler(req)
        doc = self._replica.state.documents.get(req.service)
        if doc is None:
            return not_run(NO_ROUTE)
        key = generate_key(req.service, doc.seats, self._reachable_seats(req.service))
        body = msgspec.json.encode({"idempotency_key": key})
        headers = (("Content-Type", "application/json"),)
        return Reply(Outcome.ANSWERED, 200, headers, body)

    def _reachable_seats(self, service: str) -> frozenset[int]:
        seats = self._replica.state.seats.get(service, {})
        own = frozenset(n for n in seats if self._holds(service, n))
        if own:
            return own
        answering = {n: s.node for n, s in seats.items() if self._is_responsive(s.node)}
        near = frozenset(n for n, node in answering.items() if self._in_own_data_centre(node))
        return near or frozenset(answering)

    def _is_responsive(self, node: str) -> bool:
        advert = self._membership.get(node)
        ready = advert is not None and advert.state == READY
        return ready and node not in self._balancer.suspected()

    def _in_own_data_centre(self, node: str) -> bool:
        advert = self._membership.get(node)
        return advert is not None and advert.data_centre == self._membership.own.data_centre
