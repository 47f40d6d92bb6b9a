"""Service documents: the routes, organisations and leaving targets of a service.

The team of a service maintains its document as YAML text. :func:`parse` returns a
validated :class:`ServiceDocument` or raises
:class:`~beryldrum.errors.DocumentError`, which lists every problem with its line,
its field and what was expected.
"""

import re
from typing import NamedTuple

from .errors import DocumentError
from .yamlfile import Problems, Section, load

__all__ = ["IMPORTANCES", "Quota", "Route", "ServiceDocument", "parse"]

IMPORTANCES = ("critical", "high", "normal", "low")
"""Importance levels, highest first; the lowest level is shed first."""

MAX_TIMEOUT_MS = 600_000
MAX_RETRIES = 16
MAX_SEATS = 256
MAX_RATE_PER_S = 1_000_000
SERVICE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Quota(NamedTuple):
    """Rate limit and weight of an organisation for one service, across the fleet.

    ``rate_per_s`` is in requests per second, ``burst`` in requests. ``weight`` is the
    organisation's share under overload, relative to the others.
    """

    rate_per_s: float
    burst: float
    weight: float


class Route(NamedTuple):
    """Requests of a service that are handled alike: ``methods`` on paths below ``path``.

    ``open`` routes accept external callers. ``importance`` is an index into
    :data:`IMPORTANCES`. ``retries`` limits the retries of a request end to end,
    including those of all calls made for it. ``timeout_ms`` is in milliseconds.
    """

    name: str
    path: str
    methods: tuple[str, ...]
    open: bool
    idempotent: bool
    importance: int
    retries: int
    timeout_ms: int


class ServiceDocument(NamedTuple):
    """A published or proposed document of a service.

    ``seats`` is the number of parts that rates and idempotency keys are split into,
    and ``leaving`` the addresses of targets that get no new requests.
    """

    service: str
    seats: int
    routes: tuple[Route, ...]
    organisations: dict[str, Quota]
    leaving: tuple[str, ...]

    def route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching path, or None."""
        best: Route | None = None
        for route in self.routes:
            if not _matches(route, method, path):
                continue
            if best is None or len(route.path) > len(best.path):
                best = route
        return best


def _matches(route: Route, method: str, path: str) -> bool:
    if method not in route.methods:
        return False
    prefix = route.path.rstrip("/")
    return path == prefix or path.startswith(prefix + "/") or path == route.path


def _build_route(section: Section) -> Route:
    route = Route(
        name=section.string("name"),
        path=section.string("path"),
        methods=section.strings("methods", None),
        open=section.boolean("open", False),
        idempotent=section.boolean("idempotent"),
        importance=IMPORTANCES.index(section.choice("importance", IMPORTANCES, "normal")),
        retries=section.integer("retries", 0, MAX_RETRIES, 0),
        timeout_ms=section.integer("timeout_ms", 1, MAX_TIMEOUT_MS, 2_000),
    )
    if not route.path.startswith("/"):
        section.add_problem("path", "expected a path that starts with /")
    section.reject_unknown_fields()
    return route


def _build_quota(section: Section) -> Quota:
    quota = Quota(
        rate_per_s=section.number("rate_per_s", 0, MAX_RATE_PER_S),
        burst=section.number("burst", 1, MAX_RATE_PER_S),
        weight=section.number("weight", 0.01, 1_000, 1),
    )
    section.reject_unknown_fields()
    return quota


def _build_document(section: Section) -> ServiceDocument:
    orgs = section.section("organisations")
    doc = ServiceDocument(
        service=section.string("service"),
        seats=section.integer("seats", 1, MAX_SEATS, 12),
        routes=tuple(_build_route(part) for part in section.sections("routes")),
        organisations={name: _build_quota(orgs.section(name)) for name in orgs.names()},
        leaving=section.strings("leaving"),
    )
    if not SERVICE_NAME.fullmatch(doc.service):
        section.add_problem("service", "expected lower-case letters, digits and hyphens")
    if not doc.routes:
        section.add_problem("routes", "expected one route or more")
    names = [route.name for route in doc.routes]
    if len(set(names)) != len(names):
        section.add_problem("routes", "two routes share a name")
    section.reject_unknown_fields()
    return doc


def parse(text: str, name: str = "document") -> ServiceDocument:
    """Return the validated document in ``text``.

    ``name`` is the file name in the problems. Raises DocumentError, which lists every
    problem found.
    """
    problems = Problems(name)
    doc = load(text, problems, _build_document)
    if problems.all():
        raise DocumentError(problems.all())
    assert isinstance(doc, ServiceDocument)
    return doc
