"""Traffic splitting: dividing a route's requests between services by weight."""

import random

from .document import Route

__all__ = ["Splitter"]


class Splitter:
    """Chooses services by smooth weighted round robin.

    With every request each service is credited its weight; the service with the highest
    credit is chosen and debited the sum of the weights. Credits start at random, or the
    first request of every node would go to the service with the greatest weight.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[Route, list[float]] = {}

    def service(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        parts = route.service_weights
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credit = self._credits.get(route)
        if credit is None:
            # Drop this route's entry of earlier documents, which is not used again.
            self._credits = {r: c for r, c in self._credits.items() if r.name != route.name}
            credit = self._credits[route] = [self._rng.uniform(0, p.weight) for p in parts]
        for number, part in enumerate(parts):
            credit[number] += part.weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= total
        return parts[chosen].service
