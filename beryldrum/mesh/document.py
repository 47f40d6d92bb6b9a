"""The configuration of a fleet: routes, services, organisations and limits.

A :class:`FleetDocument` is always valid and complete; a decoder raises
:class:`~beryldrum.errors.DocumentError` for anything else.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["FleetDocument", "Limits", "Organisation", "Route", "Service", "WeightedService"]


class WeightedService(NamedTuple):
    """A service that receives a share of a route's requests, by its relative weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """The rules for requests of one host and path prefix.

    ``priority`` ranks routes, with 0 shed last. ``attempts`` is the number of targets
    that one request may be handed to. ``timeout_s`` bounds the time to an answer;
    requests are scheduled to be answered within ``latency_objective_s``. Requests on an
    ``open`` route need no API key.
    """

    name: str
    host: str
    prefix: str
    service_weights: tuple[WeightedService, ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    attempts: int
    priority: int
    open: bool
    regions: frozenset[str] = frozenset()
    """The regions in which its requests may be processed; empty for any."""


class Organisation(NamedTuple):
    """A customer.

    ``priority`` is its rank, with 0 shed last, or None to use that of the route.
    ``rate_per_s`` is its limit in requests per second, 0 for none.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    regions: frozenset[str] = frozenset()
    """The regions in which its requests may be processed; empty for any."""


class Service(NamedTuple):
    """A service and what is known of its targets.

    A target that is cold takes ``cold_per_s`` requests per second, 0 for no limit.
    ``health_path`` is the path of its health page, empty if it has none.
    """

    name: str
    health_path: str = ""
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(NamedTuple):
    """Limits on the size of requests and on the time for sending them."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_s: float = 3.0
    idle_s: float = 15.0


class FleetDocument:
    """One version of the configuration.

    ``requires_keys`` tells whether requests need an API key, except on open routes. It does
    not follow from ``organisations``, which is also empty when no key is left.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, Service],
        organisations: dict[str, Organisation],
        requires_keys: bool,
        limits: Limits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        """Services by name."""
        self.organisations = organisations
        """Organisations by API key; one may have several keys."""
        self.requires_keys = requires_keys
        self.regions_by_organisation = {
            org.name: org.regions for org in organisations.values() if org.regions
        }
        """The regions of the organisations that name any, by name."""
        self.limits = limits
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` whose prefix is the longest match, or None.

        Prefixes begin and end with a slash, so only the parts of ``path`` up to a slash
        are looked up.
        """
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def rate_limited(self) -> dict[str, Organisation]:
        """Return the organisations that have a rate limit, by name."""
        return {org.name: org for org in self.organisations.values() if org.rate_per_s > 0}
