"""Decodes the operator's configuration record into a :class:`FleetDocument`."""

from typing import Annotated, Any

import msgspec

from ..mesh.document import (
    FleetDocument,
    Limits,
    Organisation,
    Route,
    Service,
    WeightedService,
)

__all__ = ["decode"]

IDEMPOTENT_KIND = "safe"
"""Kind of a route whose requests may run more than once."""

DEFAULT_TIMEOUT_S = 600.0
"""Timeout of a route that states none."""


_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]


class _Table(msgspec.Struct):
    columns: list[str]
    rows: list[list[Any]]

    def records(self) -> list[dict[str, Any]]:
        """Return the rows as dictionaries by column, without null values."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=True)
                if value is not None
            }
            for row in self.rows
        ]


class _Limits(msgspec.Struct):
    max_header_bytes: _Number = Limits().header_bytes
    max_body_bytes: _Number = Limits().body_bytes
    header_timeout_ms: _Amount = Limits().header_s * 1000
    idle_timeout_ms: _Amount = Limits().idle_s * 1000


class _Config(msgspec.Struct):
    version: _Number
    routes: _Table
    services: _Table
    tenants: _Table | msgspec.UnsetType = msgspec.UNSET
    """Not set where requests need no key; without a row, no key is valid."""
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _WeightedService(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str = ""
    weighted_services: list[_WeightedService] = []
    timeout_ms: _Amount = DEFAULT_TIMEOUT_S * 1000
    target_latency_ms: _Amount = 0
    attempts: _Number = 1
    priority: _Number = 0
    public: bool = False
    allowed_regions: list[str] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    cold_start_s: _Amount = 0
    cold_per_s: _Amount = 0


class _Organisation(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Number | None = None
    requests_per_s: _Amount = 0
    burst: _Amount = 0
    allowed_regions: list[str] = []


_decoder = msgspec.json.Decoder(_Config)


def decode(text: bytes) -> FleetDocument:
    """Return the document in ``text``, as JSON.

    Raises MsgspecError for JSON or fields that cannot be decoded, and ValueError for a
    row whose length differs from the columns or a route without a service.
    """
    cfg = _decoder.decode(text)
    tenants = cfg.tenants if isinstance(cfg.tenants, _Table) else None
    services = [msgspec.convert(record, _Service) for record in cfg.services.records()]
    limits = cfg.limits
    return FleetDocument(
        cfg.version,
        tuple(_route(msgspec.convert(record, _Route)) for record in cfg.routes.records()),
        {
            row.name: Service(row.name, row.health_path, row.cold_start_s, row.cold_per_s)
            for row in services
        },
        _organisations(tenants) if tenants else {},
        tenants is not None,
        Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _organisations(tenants: _Table) -> dict[str, Organisation]:
    found: dict[str, Organisation] = {}
    for record in tenants.records():
        row = msgspec.convert(record, _Organisation)
        org = Organisation(
            row.name,
            row.priority,
            row.requests_per_s,
            row.burst,
            frozenset(row.allowed_regions),
        )
        # A request without a key has an empty one.
        found.update((key, org) for key in row.api_keys if key)
    return found


def _route(row: _Route) -> Route:
    weighted = tuple(WeightedService(part.service, part.weight) for part in row.weighted_services)
    if not weighted and not row.service:
        raise ValueError(f"route {row.name} names no service")
    return Route(
        row.name,
        row.host.lower(),
        row.path_prefix,
        weighted or (WeightedService(row.service, 1.0),),
        row.kind == IDEMPOTENT_KIND,
        row.timeout_ms / 1000,
        (row.target_latency_ms or row.timeout_ms) / 1000,
        max(1, row.attempts),
        row.priority,
        row.public,
        frozenset(row.allowed_regions),
    )
