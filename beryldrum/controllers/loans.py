"""Borrowing and lending of rate and burst between nodes."""

import asyncio
import contextlib
import random
import uuid
from collections.abc import Callable
from typing import Any

from .. import wire
from ..clock import Clock
from ..config_replica import ConfigReplica
from ..decisions import Decision, DecisionLog
from ..errors import PeerLostError
from ..membership import Membership
from ..peer import Peers
from ..shares import Account, RateLimit
from .base import PEER_TIMEOUT_S

__all__ = ["LoanController"]

T = wire.types


class LoanController:
    """Borrows rate and burst from other holders of the service's seats.

    It does not run periodically: a task starts when a request finds the account
    empty. A holder that did not answer is skipped for ``UNREACHABLE_BACKOFF_S``
    seconds, and one that had nothing to lend for ``EMPTY_BACKOFF_S`` seconds.
    """

    MAX_LENDERS_ASKED = 6
    MAX_REMEMBERED_LOANS = 10_000
    UNREACHABLE_BACKOFF_S = 1.0
    EMPTY_BACKOFF_S = 0.25

    def __init__(
        self,
        account: Callable[[str, str], Account],
        replica: ConfigReplica,
        membership: Membership,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        decisions: DecisionLog,
    ) -> None:
        self._account = account
        self._replica = replica
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._pending: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._lenders: dict[str, str] = {}
        self._skip_until: dict[tuple[str, str, str], float] = {}

    def borrow(self, service: str, organisation: str) -> "asyncio.Future[None]":
        """Start to request loans, unless a task for it runs already.

        The future is done when enough was borrowed or no holder is left to ask.
        """
        key = (service, organisation)
        task = self._pending.get(key)
        if task is None:
            task = self._pending[key] = asyncio.create_task(self._borrow_from_holders(*key))
            task.add_done_callback(lambda _: self._pending.pop(key, None))
        return task

    async def _borrow_from_holders(self, service: str, organisation: str) -> None:
        account = self._account(service, organisation)
        for node in self._holders(service, organisation)[: self.MAX_LENDERS_ASKED]:
            shortfall = account.shortfall()
            if shortfall.rate_per_s <= 0 and shortfall.burst <= 0:
                return
            await self._request_loan(service, organisation, node, shortfall)

    def _holders(self, service: str, organisation: str) -> list[str]:
        now = self._clock.now()
        own = self._membership.own
        holders = {s.node for s in self._replica.state.seats.get(service, {}).values() if s.node}
        available = [
            node
            for node in sorted(holders - {own.node})
            if self._skip_until.get((node, service, organisation), 0.0) <= now
        ]
        self._rng.shuffle(available)
        return sorted(available, key=lambda node: not self._is_local(node))

    def _is_local(self, node: str) -> bool:
        advert = self._membership.get(node)
        return advert is not None and advert.data_centre == self._membership.own.data_centre

    async def _request_loan(
        self, service: str, organisation: str, node: str, shortfall: RateLimit
    ) -> None:
        loan = uuid.uuid4().hex
        asked_at = self._clock.now()
        ask = T.LoanAsk(service, organisation, loan, shortfall.rate_per_s, shortfall.burst)
        try:
            answer = await self._peers[node].ask(T.Envelope(loan_ask=ask), PEER_TIMEOUT_S)
        except (PeerLostError, TimeoutError):
            self._skip_until[node, service, organisation] = asked_at + self.UNREACHABLE_BACKOFF_S
            return
        grant = answer.loan_grant
        if grant.rate_per_s <= 0 and grant.burst <= 0:
            self._skip_until[node, service, organisation] = asked_at + self.EMPTY_BACKOFF_S
            return
        self._remember_lender(loan, node)
        account = self._account(service, organisation)
        account.borrow(loan, RateLimit(grant.rate_per_s, grant.burst), grant.tokens, asked_at)
        self._decisions.record(
            Decision("borrow", "own rate share used up", "", service, organisation, node)
        )

    def _remember_lender(self, loan: str, node: str) -> None:
        self._lenders[loan] = node
        if len(self._lenders) > self.MAX_REMEMBERED_LOANS:
            del self._lenders[next(iter(self._lenders))]

    def grant(self, ask: Any) -> Any:
        """Return the loan that this node grants to a peer."""
        account = self._account(ask.service_name, ask.organisation)
        limit, tokens = account.lend(ask.loan, RateLimit(ask.rate_per_s, ask.burst))
        return T.LoanGrant(ask.loan, limit.rate_per_s, limit.burst, tokens)

    async def return_all(self, accounts: list[Account]) -> None:
        """Return all loans to their lenders, before shutdown."""
        for account in accounts:
            await self._return_to_lenders(account.return_loans())

    async def return_idle(self, accounts: list[Account]) -> None:
        """Return loans that are no longer needed, so that others can borrow."""
        for account in accounts:
            if account.has_borrowed:
                await self._return_to_lenders(account.return_idle_loans())

    async def _return_to_lenders(self, returned: list[tuple[str, float]]) -> None:
        for loan, tokens in returned:
            node = self._lenders.get(loan)
            if node is None:
                continue
            message = T.Envelope(loan_return=T.LoanReturn(loan, tokens))
            with contextlib.suppress(PeerLostError):
                await self._peers[node].tell(message)
