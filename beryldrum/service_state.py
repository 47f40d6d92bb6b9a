"""The per-service state of a node: rate accounts and idempotency ledgers."""

import asyncio

from .clock import Clock
from .config_replica import ConfigReplica
from .ledger import Ledger, seat_for_key
from .request import Reply
from .seats import SeatTable
from .settings import Settings
from .shares import Account, RateLimit

__all__ = ["ServiceState"]

TaskLedger = Ledger[asyncio.Task[Reply]]


class ServiceState:
    """Rate accounts by service and organisation, ledgers by service.

    Both are created on first use.
    """

    def __init__(
        self, clock: Clock, cfg: Settings, replica: ConfigReplica, seats: SeatTable
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._replica = replica
        self._seats = seats
        self.accounts: dict[tuple[str, str], Account] = {}
        self.ledgers: dict[str, TaskLedger] = {}

    def account(self, service: str, organisation: str) -> Account:
        """Return this node's account of an organisation at a service."""
        account = self.accounts.get((service, organisation))
        if account is None:
            account = self.accounts[service, organisation] = Account(self._clock)
            self._set_seats(service, organisation, account)
        return account

    def update_accounts(self) -> None:
        """Update all accounts to the current documents and seats."""
        for (service, organisation), account in self.accounts.items():
            self._set_seats(service, organisation, account)

    def _set_seats(self, service: str, organisation: str, account: Account) -> None:
        doc = self._replica.state.documents.get(service)
        quota = doc.organisations.get(organisation) if doc else None
        if doc is None or quota is None:
            account.set_seats({})
            return
        limit = RateLimit(quota.rate_per_s, quota.burst).scaled(1 / doc.seats)
        account.set_seats(self._seats.seat_shares(service, limit))

    def accept_return(self, loan: str, tokens: float) -> None:
        """Return a loan to the account that granted it."""
        for account in self.accounts.values():
            account.accept_return(loan, tokens)

    def ledger(self, service: str) -> TaskLedger:
        """Return this node's ledger of a service."""
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = Ledger(
                self._clock,
                round(self._cfg.idempotency_life_s * 1000),
                self._cfg.clock_error_ms,
                lambda key: self._held_since_ms(service, key),
                self._cfg.ledger_entries,
                self._cfg.ledger_bytes,
            )
        return ledger

    def _held_since_ms(self, service: str, key: str) -> int | None:
        doc = self._replica.state.documents.get(service)
        if doc is None:
            return None
        return self._seats.held_since_ms(service, seat_for_key(service, key, doc.seats))

    def holds_seat(self, service: str, number: int) -> bool:
        """Return whether this node may use a seat now."""
        return self._seats.held_since_ms(service, number) is not None
