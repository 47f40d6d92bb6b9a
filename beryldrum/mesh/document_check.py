"""Checks of a fleet's configuration before it is sent, and what it changes.

A :class:`~beryldrum.mesh.document.FleetDocument` has lost what the checks are about: of two
services of the same name it keeps one, and it has no organisation without a key.
So the checks work on the rows of the record, a :class:`Draft`. No text made here contains an
API key.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from .document import Limits, Organisation, Route, Service
from .residency import allowed_regions
from .settings import MeshSettings

__all__ = [
    "Change",
    "Draft",
    "Finding",
    "OrganisationRow",
    "Place",
    "RouteRow",
    "Severity",
    "Table",
    "check",
    "check_version",
    "compare",
]

MIN_RATE_PER_S = 0.2
"""Rate below which a limit is reported: one request in five seconds. So low a rate is more
likely a mistaken unit than intended."""


class Severity(StrEnum):
    """How serious a finding is; notes do not count as warnings."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


class Table(StrEnum):
    """The parts of a configuration."""

    DOCUMENT = "document"
    ROUTES = "routes"
    SERVICES = "services"
    ORGANISATIONS = "organisations"
    LIMITS = "limits"


class Place(NamedTuple):
    """Where something was found; ``row`` counts from 1 and is 0 outside of a table.

    ``field`` is that of the row's type in :mod:`~beryldrum.mesh.document`, or ``keys``.
    """

    table: Table
    row: int = 0
    field: str = ""


class Finding(NamedTuple):
    """A fault, or something that is probably not intended."""

    severity: Severity
    place: Place
    message: str


class RouteRow(NamedTuple):
    """A route; ``stated_objective_s`` is None where the record states no objective."""

    number: int
    route: Route
    stated_objective_s: float | None


class OrganisationRow(NamedTuple):
    """An organisation and its API keys."""

    number: int
    organisation: Organisation
    keys: frozenset[str]


class Draft(NamedTuple):
    """The rows of a configuration that can be decoded."""

    version: int
    routes: tuple[RouteRow, ...]
    services: tuple[tuple[int, Service], ...]
    organisations: tuple[OrganisationRow, ...]
    requires_keys: bool
    limits: Limits


class Change(NamedTuple):
    """A difference from the version in force.

    ``name`` is that of the route, service or organisation. ``before`` and ``after`` are
    None for one that is added or removed as a whole, which has no ``field``, and the
    numbers of removed and added keys where the field is ``keys``.
    """

    table: Table
    kind: str
    name: str
    field: str = ""
    before: Any = None
    after: Any = None


def check(draft: Draft) -> list[Finding]:
    """Return what is found in a configuration, table by table."""
    return [
        *_check_routes(draft),
        *_check_services(draft),
        *_check_organisations(draft),
        *_check_limits(draft.limits),
    ]


def check_version(draft: Draft, in_force: Draft) -> list[Finding]:
    """Return whether nodes would refuse a configuration because of its version."""
    place = Place(Table.DOCUMENT, 0, "version")
    if draft.version < in_force.version:
        message = f"{draft.version} is lower than {in_force.version}, which is in force"
        return [Finding(Severity.ERROR, place, message)]
    if draft.version == in_force.version and compare(draft, in_force):
        message = f"{draft.version} is in force with another content, so nodes ignore this one"
        return [Finding(Severity.WARNING, place, message)]
    return []


def _check_routes(draft: Draft) -> Iterator[Finding]:
    services = {service.name for _, service in draft.services}
    rows_by_prefix: dict[tuple[str, str], int] = {}
    rows_by_name: dict[str, int] = {}
    for number, route, stated_objective_s in draft.routes:

        def found(severity: Severity, field: str, message: str, number: int = number) -> Finding:
            return Finding(severity, Place(Table.ROUTES, number, field), message)

        first = rows_by_prefix.setdefault((route.host, route.prefix), number)
        if first != number:
            message = f"same host and prefix as row {first}, which never matches"
            yield found(Severity.ERROR, "prefix", message)
        first = rows_by_name.setdefault(route.name, number)
        if first != number:
            yield found(Severity.WARNING, "name", f"same name as row {first}")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            message = "does not begin and end with a slash, so it never matches"
            yield found(Severity.ERROR, "prefix", message)
        for part in route.service_weights:
            if part.service not in services:
                message = f"service {part.service!r} is not listed"
                yield found(Severity.ERROR, "service_weights", message)
            if part.weight == 0:
                message = f"service {part.service!r} has a weight of 0"
                yield found(Severity.WARNING, "service_weights", message)
        if route.timeout_s == 0:
            yield found(Severity.ERROR, "timeout_s", "0 leaves no time to answer")
        if stated_objective_s == 0:
            message = "0 is no objective; the timeout is used"
            yield found(Severity.WARNING, "latency_objective_s", message)
        if route.timeout_s < route.latency_objective_s:
            message = "below the latency objective"
            yield found(Severity.WARNING, "timeout_s", message)
        ratio = MeshSettings._field_defaults["retry_ratio"]
        if route.attempts - 1 > ratio:
            message = (
                f"{route.attempts} is an upper bound: by default the retry budget of a "
                f"service carries {ratio:g} retries per request"
            )
            yield found(Severity.NOTE, "attempts", message)


def _check_services(draft: Draft) -> Iterator[Finding]:
    used = {part.service for row in draft.routes for part in row.route.service_weights}
    rows_by_name: dict[str, int] = {}
    for number, service in draft.services:
        first = rows_by_name.setdefault(service.name, number)
        if first != number:
            place = Place(Table.SERVICES, number, "name")
            message = f"same name as row {first}, which has no effect"
            yield Finding(Severity.ERROR, place, message)
        elif service.name not in used:
            place = Place(Table.SERVICES, number, "name")
            yield Finding(Severity.WARNING, place, f"no route names {service.name!r}")
        if service.cold_per_s > 0 and service.cold_s == 0:
            place = Place(Table.SERVICES, number, "cold_per_s")
            message = "a rate of cold targets, without a cold start time"
            yield Finding(Severity.WARNING, place, message)


def _check_organisations(draft: Draft) -> Iterator[Finding]:
    rows_by_name: dict[str, int] = {}
    rows_by_key: dict[str, int] = {}
    for number, org, keys in draft.organisations:

        def found(severity: Severity, field: str, message: str, number: int = number) -> Finding:
            return Finding(severity, Place(Table.ORGANISATIONS, number, field), message)

        first = rows_by_name.setdefault(org.name, number)
        if first != number:
            yield found(Severity.ERROR, "name", f"same name as row {first}")
        if not keys:
            message = f"{org.name!r} has no key, so no request is counted as its own"
            yield found(Severity.WARNING, "keys", message)
        owners = Counter(rows_by_key.setdefault(key, number) for key in keys)
        for owner, count in sorted(owners.items()):
            if owner != number:
                message = f"shares {count} of its keys with the organisation in row {owner}"
                yield found(Severity.ERROR, "keys", message)
        if 0 < org.rate_per_s < MIN_RATE_PER_S:
            message = "below one request in 5 s"
            yield found(Severity.WARNING, "rate_per_s", message)
        if org.rate_per_s > 0 and org.burst == 0:
            yield found(Severity.WARNING, "burst", "a rate without a burst")
        barred = [
            row.route.name
            for row in draft.routes
            if allowed_regions(org.regions, row.route.regions) == frozenset()
        ]
        if barred:
            message = f"{org.name!r} has no region in common with {_enumerate(barred)}"
            yield found(Severity.WARNING, "regions", message)


def _check_limits(limits: Limits) -> Iterator[Finding]:
    if limits.header_bytes == 0:
        place = Place(Table.LIMITS, 0, "header_bytes")
        yield Finding(Severity.ERROR, place, "0 refuses every request")
    if limits.body_bytes == 0:
        place = Place(Table.LIMITS, 0, "body_bytes")
        yield Finding(Severity.WARNING, place, "0 refuses every request with a body")


def _enumerate(names: list[str], limit: int = 5) -> str:
    more = f" and {len(names) - limit} more" if len(names) > limit else ""
    return "routes " + ", ".join(map(repr, names[:limit])) + more


def compare(draft: Draft, in_force: Draft) -> list[Change]:
    """Return what a configuration changes in the one in force, apart from the version."""
    return [
        *_compare_fields(Table.LIMITS, "", in_force.limits, draft.limits),
        *_compare_fields(
            Table.DOCUMENT,
            "",
            _KeyRequirement(in_force.requires_keys),
            _KeyRequirement(draft.requires_keys),
        ),
        *_compare_rows(
            Table.ROUTES,
            {row.route.name: row.route for row in in_force.routes},
            {row.route.name: row.route for row in draft.routes},
        ),
        *_compare_rows(
            Table.SERVICES,
            {service.name: service for _, service in in_force.services},
            {service.name: service for _, service in draft.services},
        ),
        *_compare_rows(
            Table.ORGANISATIONS,
            {row.organisation.name: row.organisation for row in in_force.organisations},
            {row.organisation.name: row.organisation for row in draft.organisations},
        ),
        *_compare_keys(in_force, draft),
    ]


class _KeyRequirement(NamedTuple):
    requires_keys: bool


_Row = Route | Service | Organisation


def _compare_rows(
    table: Table, before: Mapping[str, _Row], after: Mapping[str, _Row]
) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Change(table, "added", name)
        elif name not in after:
            yield Change(table, "removed", name)
        else:
            yield from _compare_fields(table, name, before[name], after[name])


def _compare_fields(
    table: Table,
    name: str,
    before: _Row | Limits | _KeyRequirement,
    after: _Row | Limits | _KeyRequirement,
) -> Iterator[Change]:
    for field, old, new in zip(before._fields, before, after, strict=True):
        if old != new:
            yield Change(table, "changed", name, field, _plain(old), _plain(new))


def _plain(value: Any) -> Any:
    """Return a value of a row as JSON has it."""
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return {part.service: part.weight for part in value}
    return value


def _compare_keys(in_force: Draft, draft: Draft) -> Iterator[Change]:
    before, after = _keys_by_name(in_force), _keys_by_name(draft)
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name, frozenset()), after.get(name, frozenset())
        if old != new:
            yield Change(
                Table.ORGANISATIONS, "changed", name, "keys", len(old - new), len(new - old)
            )


def _keys_by_name(draft: Draft) -> dict[str, frozenset[str]]:
    found: dict[str, frozenset[str]] = {}
    for row in draft.organisations:
        name = row.organisation.name
        found[name] = found.get(name, frozenset()) | row.keys
    return found
