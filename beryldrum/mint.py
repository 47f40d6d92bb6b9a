"""Idempotency keys whose home can be reached from here.

A caller may make its own keys. In a data centre that is cut off, though, most of
those have a home outside and cannot run. A key asked for here is drawn until its
home is this node, or one nearby that answers.
"""

from collections.abc import Callable

import msgspec
import uuid6

from .balance import Balancer
from .chain import Filter, Step
from .ledger import seat_for_key
from .membership import READY, Membership
from .news import News
from .request import NO_ROUTE, Outcome, Reply, Request, not_run

__all__ = ["PATH", "MintFilter", "mint"]

PATH = "/.beryldrum/idempotency-key"
DRAWS = 2_000


def mint(service: str, seats: int, wanted: frozenset[int]) -> str:
    """Return a new key whose seat is a wanted one, or any if none is drawn."""
    key = str(uuid6.uuid7())
    for _ in range(DRAWS):
        if seat_for_key(service, key, seats) in wanted:
            break
        key = str(uuid6.uuid7())
    return key


class MintFilter(Filter):
    """Answers a caller that asks for a key: ``POST /service/.beryldrum/idempotency-key``.

    ``holds`` tells whether this node may use a seat of a service now.
    """

    def __init__(
        self,
        news: News,
        roster: Membership,
        balancer: Balancer,
        holds: Callable[[str, int], bool],
    ) -> None:
        self._news = news
        self._roster = roster
        self._balancer = balancer
        self._holds = holds

    async def handle(self, req: Request, step: Step) -> Reply:
        if req.path != PATH or req.method != "POST":
            return await step(req)
        doc = self._news.fleet.documents.get(req.service)
        if doc is None:
            return not_run(NO_ROUTE)
        key = mint(req.service, doc.seats, self._reachable(req.service))
        body = msgspec.json.encode({"idempotency_key": key})
        headers = (("Content-Type", "application/json"),)
        return Reply(Outcome.ANSWERED, 200, headers, body)

    def _reachable(self, service: str) -> frozenset[int]:
        seats = self._news.fleet.seats.get(service, {})
        own = frozenset(n for n in seats if self._holds(service, n))
        if own:
            return own
        answering = {n: s.node for n, s in seats.items() if self._answers(s.node)}
        near = frozenset(n for n, node in answering.items() if self._near(node))
        return near or frozenset(answering)

    def _answers(self, node: str) -> bool:
        advert = self._roster.get(node)
        ready = advert is not None and advert.state == READY
        return ready and node not in self._balancer.suspected()

    def _near(self, node: str) -> bool:
        advert = self._roster.get(node)
        return advert is not None and advert.data_centre == self._roster.own.data_centre
