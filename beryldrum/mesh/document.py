"""The document that states a whole fleet: routes, services, organisations, limits.

A :class:`FleetDocument` is checked and complete when it is made; who decodes one
raises :class:`~beryldrum.errors.DocumentError` instead of making a partial one.
"""

from typing import NamedTuple

__all__ = ["FleetDocument", "Limits", "Organisation", "Route", "WeightedService"]


class WeightedService(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix that share one treatment.

    ``priority`` ranks routes, 0 is shed last. ``attempts`` bounds the targets that
    one request may be handed to. ``timeout_s`` bounds how long a caller is kept
    waiting; an answer within ``objective_s`` is worth most.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    attempts: int
    priority: int
    open: bool


class Organisation(NamedTuple):
    """A customer; ``rate_per_s`` 0 means no limit, ``priority`` None the route's."""

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


class Limits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_s: float = 3.0
    idle_s: float = 15.0


class FleetDocument:
    """One version of the configuration of the fleet."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: frozenset[str],
        organisations: dict[str, Organisation],
        limits: Limits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.organisations = organisations
        """Organisations by each key that they hold."""
        self.limits = limits
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def requires_keys(self) -> bool:
        """Whether requests have to show a key."""
        return bool(self.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None.

        Prefixes begin and end with a slash, so only the slashes of the path are
        tried.
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
        """Return the organisations that have a rate, by name."""
        return {org.name: org for org in self.organisations.values() if org.rate_per_s > 0}
