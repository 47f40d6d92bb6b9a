"""Call graph: which services a request reaches, learnt from the calls of targets.

When a service deep in the call graph is overloaded, only requests that reach it should
be refused at the entry. A call whose run is known counts for that run's route. Where
calls do not carry a mark of their run, a node compares the number of runs of each route
that its target began with the number of calls that it made, window by window, and
attributes the calls to routes by non-negative least squares.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..clock import Clock
from .document import Route

__all__ = ["CallGraph"]

WINDOW_S = 0.5
"""Length of the windows in which runs and calls are counted."""

DECAY = 0.97
"""Weight that earlier windows keep when one is added: half after some 12 s."""

UPDATE_STEPS = 8
"""Steps of the multiplicative update per window, starting from the previous weights."""

MIN_CALLS_PER_RUN = 0.3
"""Calls per run above which a route is taken to need the called route's service."""

Pair = tuple[str, str]


class CallGraph:
    """Calls per run, by the route run at this node and the route called."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._runs: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._run_totals: dict[str, float] = {}
        self._marked_calls: dict[Pair, float] = {}
        self._run_products: dict[Pair, float] = {}
        self._call_products: dict[Pair, float] = {}
        self._weights: dict[Pair, float] = {}
        self._services: dict[str, str] = {}
        self._callees: dict[str, set[str]] = {}
        self._reachable: dict[str, frozenset[str]] = {}

    def load(self, services: Mapping[str, str]) -> None:
        """Replace the mapping of route names to services."""
        self._services = dict(services)
        self._reachable.clear()

    def record_run(self, route: str) -> None:
        """Count a run that begins at the target of this node."""
        self._runs[route] += 1

    def record_call(self, route: str, run: str) -> None:
        """Count a call by the target of this node.

        ``run`` is the route of the run that makes it, or empty if not known.
        """
        if run:
            self._marked_calls[run, route] = self._marked_calls.get((run, route), 0.0) + 1.0
        else:
            self._calls[route] += 1

    def calls(self) -> dict[str, float]:
        """Return the calls per run learnt here, keyed by ``run>called``."""
        return {
            f"{a}>{b}": round(w, 2) for (a, b), w in self._weights.items() if w >= MIN_CALLS_PER_RUN
        }

    def tick(self, others: Iterable[Mapping[str, float]]) -> None:
        """Learn from the last window, if it has ended, and from ``others``' calls per run."""
        now = self._clock.now()
        if now - self._window_start < WINDOW_S:
            return
        self._window_start = now
        self._learn()
        self._callees = {}
        for edge, weight in self.merged(others).items():
            if weight >= MIN_CALLS_PER_RUN:
                caller, _, callee = edge.partition(">")
                self._callees.setdefault(caller, set()).add(callee)
        self._reachable.clear()

    def merged(self, others: Iterable[Mapping[str, float]]) -> dict[str, float]:
        """Return the mean calls per run of this node and ``others``.

        A caller's mean is taken over those that know any of its calls.
        """
        sums: dict[str, float] = {}
        reporters: Counter[str] = Counter()
        for learnt in [self.calls(), *others]:
            reporters.update({edge.partition(">")[0] for edge in learnt})
            for edge, weight in learnt.items():
                sums[edge] = sums.get(edge, 0.0) + weight
        return {edge: w / reporters[edge.partition(">")[0]] for edge, w in sums.items()}

    def _learn(self) -> None:
        runs, calls = self._runs, self._calls
        self._runs, self._calls = Counter(), Counter()
        for table in (self._run_products, self._call_products, self._marked_calls):
            for pair in table:
                table[pair] *= DECAY
        for route in self._run_totals.keys() | runs.keys():
            self._run_totals[route] = self._run_totals.get(route, 0.0) * DECAY + runs[route]
        if self._marked_calls:
            self._weights = {
                (run, called): count / max(1.0, self._run_totals.get(run, 0.0))
                for (run, called), count in self._marked_calls.items()
            }
        elif calls or self._call_products:
            self._fit(runs, calls)

    def _fit(self, runs: Counter[str], calls: Counter[str]) -> None:
        """Fit the weights by non-negative least squares with multiplicative updates."""
        for one, count in runs.items():
            for two, other in runs.items():
                pair = (one, two)
                self._run_products[pair] = self._run_products.get(pair, 0.0) + count * other
            for called, times in calls.items():
                pair = (one, called)
                self._call_products[pair] = self._call_products.get(pair, 0.0) + count * times
        for _ in range(UPDATE_STEPS):
            self._weights = {
                (one, called): self._updated_weight(one, called, product)
                for (one, called), product in self._call_products.items()
            }

    def _updated_weight(self, one: str, called: str, call_product: float) -> float:
        old = self._weights.get((one, called), 1.0)
        explained = sum(
            product * self._weights.get((two, called), 1.0)
            for (first, two), product in self._run_products.items()
            if first == one
        )
        return old * call_product / explained if explained > 0 else old

    @property
    def has_calls(self) -> bool:
        """Whether any call is known."""
        return bool(self._callees)

    def is_leaf(self, route: Route) -> bool:
        """Tell whether runs of ``route`` are not known to need any call."""
        return route.name not in self._callees

    def reachable_services(self, route: Route) -> frozenset[str]:
        """Return the services that requests of ``route`` may reach."""
        found = self._reachable.get(route.name)
        if found is None:
            found = self._reachable[route.name] = self._walk(route)
        return found

    def _walk(self, route: Route) -> frozenset[str]:
        if not self._callees:
            # While no call is known, a request may reach any service.
            return frozenset(self._services.values())
        seen, todo = {route.name}, [route.name]
        while todo:
            for name in self._callees.get(todo.pop(), ()):
                if name not in seen:
                    seen.add(name)
                    todo.append(name)
        services = {self._services[name] for name in seen if name in self._services}
        return frozenset(services | {part.service for part in route.service_weights})
