"""Dividing a route's requests between services by weight."""

import random

from .document import Route

__all__ = ["Splitter"]


class Splitter:
    """Gives each service of a route its share, evenly from one request to the next.

    Each service earns its weight with every request, and the one that has earned
    most is chosen and pays the sum. Nodes start at random, or their first requests
    would all go to the heaviest service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._earned: dict[Route, list[float]] = {}

    def service(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        earned = self._earned.get(route)
        if earned is None:
            # Routes of earlier documents are not asked for again.
            self._earned = {r: e for r, e in self._earned.items() if r.name != route.name}
            earned = self._earned[route] = [self._rng.uniform(0, p.weight) for p in parts]
        for number, part in enumerate(parts):
            earned[number] += part.weight
        chosen = max(range(len(parts)), key=earned.__getitem__)
        earned[chosen] -= total
        return parts[chosen].service
