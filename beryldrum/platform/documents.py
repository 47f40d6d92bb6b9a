"""Decodes the operator's configuration record into a :class:`FleetDocument`.

For a check of the record, its rows are decoded one by one, with their faults.
"""

import re
from collections.abc import Iterator
from typing import Annotated, Any, TypeVar

import msgspec

from ..mesh.document import (
    FleetDocument,
    Limits,
    Organisation,
    Route,
    Service,
    WeightedService,
)
from ..mesh.document_check import (
    Change,
    Draft,
    Finding,
    OrganisationRow,
    Place,
    RouteRow,
    Severity,
    Table,
)

__all__ = ["decode", "read_draft", "record_change", "record_place"]

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
        return [self.record(row) for row in self.rows]

    def record(self, row: list[Any]) -> dict[str, Any]:
        """Return a row as a dictionary by column, without null values."""
        return {
            name: value for name, value in zip(self.columns, row, strict=True) if value is not None
        }


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

_Row = TypeVar("_Row", _Route, _Service, _Organisation)

_RECORD_TABLES = {Table.ORGANISATIONS: "tenants"}
"""Names of tables in the record where they differ."""

_RECORD_FIELDS = {
    (Table.DOCUMENT, "requires_keys"): "tenants",
    (Table.ROUTES, "prefix"): "path_prefix",
    (Table.ROUTES, "service_weights"): "service, weighted_services",
    (Table.ROUTES, "idempotent"): "kind",
    (Table.ROUTES, "timeout_s"): "timeout_ms",
    (Table.ROUTES, "latency_objective_s"): "target_latency_ms",
    (Table.ROUTES, "open"): "public",
    (Table.ROUTES, "regions"): "allowed_regions",
    (Table.SERVICES, "cold_s"): "cold_start_s",
    (Table.ORGANISATIONS, "rate_per_s"): "requests_per_s",
    (Table.ORGANISATIONS, "keys"): "api_keys",
    (Table.ORGANISATIONS, "regions"): "allowed_regions",
    (Table.LIMITS, "header_bytes"): "max_header_bytes",
    (Table.LIMITS, "body_bytes"): "max_body_bytes",
    (Table.LIMITS, "header_s"): "header_timeout_ms",
    (Table.LIMITS, "idle_s"): "idle_timeout_ms",
}
"""Names of fields in the record where they differ."""


def decode(text: bytes) -> FleetDocument:
    """Return the document in ``text``, as JSON.

    Raises MsgspecError for JSON or fields that cannot be decoded, and ValueError for a
    row whose length differs from the columns or a route without a service.
    """
    cfg = _decoder.decode(text)
    tenants = cfg.tenants if isinstance(cfg.tenants, _Table) else None
    services = [msgspec.convert(record, _Service) for record in cfg.services.records()]
    return FleetDocument(
        cfg.version,
        tuple(_route(msgspec.convert(record, _Route)) for record in cfg.routes.records()),
        {row.name: _service(row) for row in services},
        _organisations(tenants) if tenants else {},
        tenants is not None,
        _limits(cfg.limits),
    )


def read_draft(text: bytes) -> tuple[Draft | None, list[Finding]]:
    """Return the rows in ``text`` that can be decoded, and the faults of the others.

    The rows are None if the record as a whole cannot be decoded.
    """
    try:
        cfg = _decoder.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return None, [Finding(Severity.ERROR, Place(Table.DOCUMENT), str(exc))]
    faults: list[Finding] = []
    tenants = cfg.tenants if isinstance(cfg.tenants, _Table) else None
    routes = []
    for number, row in _rows(cfg.routes, Table.ROUTES, _Route, faults):
        try:
            route = _route(row)
        except ValueError as exc:
            place = Place(Table.ROUTES, number, "service_weights")
            faults.append(Finding(Severity.ERROR, place, str(exc)))
            continue
        stated = "target_latency_ms" in cfg.routes.record(cfg.routes.rows[number - 1])
        routes.append(RouteRow(number, route, row.target_latency_ms / 1000 if stated else None))
    services = [
        (number, _service(row))
        for number, row in _rows(cfg.services, Table.SERVICES, _Service, faults)
    ]
    organisations = [
        OrganisationRow(number, _organisation(row), frozenset(filter(None, row.api_keys)))
        for number, row in _rows(tenants, Table.ORGANISATIONS, _Organisation, faults)
    ]
    draft = Draft(
        cfg.version,
        tuple(routes),
        tuple(services),
        tuple(organisations),
        tenants is not None,
        _limits(cfg.limits),
    )
    return draft, faults


def _rows(
    table: _Table | None, name: Table, cls: type[_Row], faults: list[Finding]
) -> Iterator[tuple[int, _Row]]:
    """Yield the numbered rows that can be decoded, and append the faults of the others."""
    if table is None:
        return
    for number, row in enumerate(table.rows, 1):
        if len(row) != len(table.columns):
            message = f"{len(row)} values for {len(table.columns)} columns"
            faults.append(Finding(Severity.ERROR, Place(name, number), message))
            continue
        try:
            yield number, msgspec.convert(table.record(row), cls)
        except msgspec.ValidationError as exc:
            # The message has types and names of fields, never a value.
            field = re.search(r"at `\$\.(\w+)|field `(\w+)`", str(exc))
            place = Place(name, number, field[1] or field[2] if field else "")
            faults.append(Finding(Severity.ERROR, place, str(exc)))


def record_place(place: Place) -> dict[str, Any]:
    """Return a place by the names of the record."""
    return {
        "table": _RECORD_TABLES.get(place.table, place.table.value),
        "row": place.row,
        "field": _RECORD_FIELDS.get((place.table, place.field), place.field),
    }


def record_change(change: Change) -> dict[str, Any]:
    """Return a change by the names, and in the units, of the record."""
    field = _RECORD_FIELDS.get((change.table, change.field), change.field)
    before, after = change.before, change.after
    if field.endswith("_ms"):
        before, after = round(before * 1000, 6), round(after * 1000, 6)
    elif field == "kind":
        before, after = _kind(before), _kind(after)
    before, after = _shortest(before), _shortest(after)
    table = _RECORD_TABLES.get(change.table, change.table.value)
    return change._asdict() | {"table": table, "field": field, "before": before, "after": after}


def _shortest(value: Any) -> Any:
    return int(value) if isinstance(value, float) and value.is_integer() else value


def _kind(idempotent: bool) -> str:
    return IDEMPOTENT_KIND if idempotent else f"not {IDEMPOTENT_KIND}"


def _organisations(tenants: _Table) -> dict[str, Organisation]:
    found: dict[str, Organisation] = {}
    for record in tenants.records():
        row = msgspec.convert(record, _Organisation)
        org = _organisation(row)
        # A request without a key has an empty one.
        found.update((key, org) for key in row.api_keys if key)
    return found


def _organisation(row: _Organisation) -> Organisation:
    return Organisation(
        row.name, row.priority, row.requests_per_s, row.burst, frozenset(row.allowed_regions)
    )


def _service(row: _Service) -> Service:
    return Service(row.name, row.health_path, row.cold_start_s, row.cold_per_s)


def _limits(row: _Limits) -> Limits:
    return Limits(
        row.max_header_bytes,
        row.max_body_bytes,
        row.header_timeout_ms / 1000,
        row.idle_timeout_ms / 1000,
    )


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
