"""The document that a service team owns: routes, organisations and leaving targets.

A document is YAML text; :func:`parse` checks it and returns a
:class:`ServiceDocument`, or raises :class:`~beryldrum.errors.DocumentError` with
every fault, its line, its field and what was expected.
"""

import re
from typing import NamedTuple

from .errors import DocumentError
from .yamlfile import Faults, Section, load

__all__ = ["IMPORTANCES", "Quota", "Route", "ServiceDocument", "parse"]

IMPORTANCES = ("critical", "high", "normal", "low")
"""Importance levels, the first is shed last."""

MAX_TIMEOUT_MS = 600_000
MAX_RETRIES = 16
MAX_SEATS = 256
MAX_RATE_PER_S = 1_000_000
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Quota(NamedTuple):
    """What an organisation is owed of one service, across the whole fleet."""

    rate_per_s: float
    burst: float
    weight: float


class Route(NamedTuple):
    """A set of requests of a service that share one treatment.

    ``importance`` indexes :data:`IMPORTANCES`. ``retries`` bounds the further
    attempts of a request end to end, whatever calls it makes.
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
    """An accepted or proposed document of one service."""

    service: str
    seats: int
    routes: tuple[Route, ...]
    organisations: dict[str, Quota]
    leaving: tuple[str, ...]

    def route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching path, or None."""
        found: Route | None = None
        for route in self.routes:
            if not _matches(route, method, path):
                continue
            if found is None or len(route.path) > len(found.path):
                found = route
        return found


def _matches(route: Route, method: str, path: str) -> bool:
    if method not in route.methods:
        return False
    prefix = route.path.rstrip("/")
    return path == prefix or path.startswith(prefix + "/") or path == route.path


def _route(section: Section) -> Route:
    route = Route(
        name=section.text("name"),
        path=section.text("path"),
        methods=section.texts("methods", None),
        open=section.flag("open", False),
        idempotent=section.flag("idempotent"),
        importance=IMPORTANCES.index(section.choice("importance", IMPORTANCES, "normal")),
        retries=section.integer("retries", 0, MAX_RETRIES, 0),
        timeout_ms=section.integer("timeout_ms", 1, MAX_TIMEOUT_MS, 2_000),
    )
    if not route.path.startswith("/"):
        section.fail("path", "expected a path that starts with /")
    section.close()
    return route


def _quota(section: Section) -> Quota:
    quota = Quota(
        rate_per_s=section.number("rate_per_s", 0, MAX_RATE_PER_S),
        burst=section.number("burst", 1, MAX_RATE_PER_S),
        weight=section.number("weight", 0.01, 1_000, 1),
    )
    section.close()
    return quota


def _build(section: Section) -> ServiceDocument:
    orgs = section.section("organisations")
    doc = ServiceDocument(
        service=section.text("service"),
        seats=section.integer("seats", 1, MAX_SEATS, 12),
        routes=tuple(_route(part) for part in section.sections("routes")),
        organisations={name: _quota(orgs.section(name)) for name in orgs.names()},
        leaving=section.texts("leaving"),
    )
    if not NAME.fullmatch(doc.service):
        section.fail("service", "expected lower-case letters, digits and hyphens")
    if not doc.routes:
        section.fail("routes", "expected one route or more")
    names = [route.name for route in doc.routes]
    if len(set(names)) != len(names):
        section.fail("routes", "two routes share a name")
    section.close()
    return doc


def parse(text: str, name: str = "document") -> ServiceDocument:
    """Return the checked document in ``text``; ``name`` is used in faults.

    Raises DocumentError with every fault found.
    """
    faults = Faults(name)
    doc = load(text, faults, _build)
    if faults.all():
        raise DocumentError(faults.all())
    assert isinstance(doc, ServiceDocument)
    return doc
