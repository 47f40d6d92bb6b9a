"""Which services a request comes to, learnt from what targets call.

The load it answers: a service deep in the graph is full, and only requests that
come to it should be refused at the entry. A call whose run is known counts for
that run's route. Where calls bear no mark of their run, a node compares, window by
window, how many runs of each route its target began with how many calls it made;
least squares with weights that are not negative tell the calls by route.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..clock import Clock
from .document import Route

__all__ = ["CallGraph"]

WINDOW_S = 0.5
"""Windows over which runs and calls are counted."""

FORGET = 0.97
"""Weight that a window keeps when the next one is added: half after some 12 s."""

STEPS = 8
"""Steps of the multiplicative update a window; it goes on from the last weights."""

NEEDED = 0.3
"""Calls a run from which a route is taken to need a service."""

Pair = tuple[str, str]


class CallGraph:
    """Calls per run, by route run here and route called."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since = clock.now()
        self._runs: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._ran: dict[str, float] = {}
        self._made: dict[Pair, float] = {}
        self._products: dict[Pair, float] = {}
        self._mixed: dict[Pair, float] = {}
        self._weights: dict[Pair, float] = {}
        self._services: dict[str, str] = {}
        self._next: dict[str, set[str]] = {}
        self._reached: dict[str, frozenset[str]] = {}

    def load(self, services: Mapping[str, str]) -> None:
        """Take up the service of each route, by its name."""
        self._services = dict(services)
        self._reached.clear()

    def ran(self, route: str) -> None:
        """Count a run that begins at the target here."""
        self._runs[route] += 1

    def called(self, route: str, run: str) -> None:
        """Count a call that the target here makes; ``run`` is empty if not known."""
        if run:
            self._made[run, route] = self._made.get((run, route), 0.0) + 1.0
        else:
            self._calls[route] += 1

    def calls(self) -> dict[str, float]:
        """Return what was learnt here, as ``run>called`` and calls per run."""
        return {f"{a}>{b}": round(w, 2) for (a, b), w in self._weights.items() if w >= NEEDED}

    def tick(self, others: Iterable[Mapping[str, float]]) -> None:
        """Take up what the ``others`` learnt, and the last window."""
        now = self._clock.now()
        if now - self._since < WINDOW_S:
            return
        self._since = now
        self._learn()
        self._next = {}
        for edge, weight in self.merged(others).items():
            if weight >= NEEDED:
                above, _, below = edge.partition(">")
                self._next.setdefault(above, set()).add(below)
        self._reached.clear()

    def merged(self, others: Iterable[Mapping[str, float]]) -> dict[str, float]:
        """Return the means of what was learnt here and by ``others``."""
        sums: dict[str, float] = {}
        voices: Counter[str] = Counter()
        for learnt in [self.calls(), *others]:
            voices.update({edge.partition(">")[0] for edge in learnt})
            for edge, weight in learnt.items():
                sums[edge] = sums.get(edge, 0.0) + weight
        return {edge: w / voices[edge.partition(">")[0]] for edge, w in sums.items()}

    def _learn(self) -> None:
        runs, calls = self._runs, self._calls
        self._runs, self._calls = Counter(), Counter()
        for table in (self._products, self._mixed, self._made):
            for pair in table:
                table[pair] *= FORGET
        for route in self._ran.keys() | runs.keys():
            self._ran[route] = self._ran.get(route, 0.0) * FORGET + runs[route]
        if self._made:
            self._weights = {
                (run, called): made / max(1.0, self._ran.get(run, 0.0))
                for (run, called), made in self._made.items()
            }
        elif calls or self._mixed:
            self._compare(runs, calls)

    def _compare(self, runs: Counter[str], calls: Counter[str]) -> None:
        for one, count in runs.items():
            for two, other in runs.items():
                pair = (one, two)
                self._products[pair] = self._products.get(pair, 0.0) + count * other
            for called, times in calls.items():
                pair = (one, called)
                self._mixed[pair] = self._mixed.get(pair, 0.0) + count * times
        for _ in range(STEPS):
            self._weights = {
                (one, called): self._step(one, called, mixed)
                for (one, called), mixed in self._mixed.items()
            }

    def _step(self, one: str, called: str, mixed: float) -> float:
        old = self._weights.get((one, called), 1.0)
        explained = sum(
            product * self._weights.get((two, called), 1.0)
            for (first, two), product in self._products.items()
            if first == one
        )
        return old * mixed / explained if explained > 0 else old

    @property
    def learnt(self) -> bool:
        """Whether any call is known."""
        return bool(self._next)

    def calls_nothing(self, route: Route) -> bool:
        """Tell whether no call is known that runs of ``route`` need."""
        return route.name not in self._next

    def reached(self, route: Route) -> frozenset[str]:
        """Return the services that requests of ``route`` come to."""
        found = self._reached.get(route.name)
        if found is None:
            found = self._reached[route.name] = self._walk(route)
        return found

    def _walk(self, route: Route) -> frozenset[str]:
        if not self._next:
            # Until any call is known each service may be on the way.
            return frozenset(self._services.values())
        seen, todo = {route.name}, [route.name]
        while todo:
            for name in self._next.get(todo.pop(), ()):
                if name not in seen:
                    seen.add(name)
                    todo.append(name)
        services = {self._services[name] for name in seen if name in self._services}
        return frozenset(services | {part.service for part in route.weighted_services})
