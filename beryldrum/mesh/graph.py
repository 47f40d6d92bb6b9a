"""Call graph: which services a request reaches, learnt from the calls of targets.

When a service deep in the call graph is overloaded, only requests that reach it should
be refused at the entry. A call whose run is known counts for that run's route. Where
calls do not carry a mark of their run, a node compares the number of runs of each route
that its target began with the number of calls that it made, window by window, and
attributes the calls to routes by non-negative least squares.

Only the busiest routes are learnt one by one. The others of a service are learnt as one,
its group, so that neither the work nor the messages between nodes grow with the routes.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from operator import mul

from ..clock import Clock
from .document import Route

__all__ = ["CallGraph"]

WINDOW_S = 0.5
"""Length of the windows in which runs and calls are counted."""

DECAY = 0.97
"""Weight that earlier windows keep when one is added: half after some 12 s."""

MIN_TOTAL = 0.01
"""Value below which decayed counts and products are dropped."""

UPDATE_STEPS = 8
"""Steps of the multiplicative update per window, starting from the previous weights."""

MIN_CALLS_PER_RUN = 0.3
"""Calls per run above which a route is taken to need the called route's service."""

MAX_ROUTES = 16
"""Number of routes run, and of routes called, that a node learns one by one."""

GROUP_PREFIX = "*"
"""Begins the name of a group, which ends with its service."""

Pair = tuple[str, str]


class _BusiestRoutes:
    """The routes with the highest decaying counts, ``MAX_ROUTES`` at most."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self._names: set[str] = set()

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def update(self, counts: Mapping[str, float]) -> set[str]:
        """Add the counts of a window; returns the routes that are no longer among the busiest."""
        _decay(self.totals)
        for name, count in counts.items():
            self.totals[name] = self.totals.get(name, 0.0) + count
        before, self._names = self._names, set(self.totals)
        if len(self.totals) > MAX_ROUTES:
            # A route is displaced only by one that is twice as busy, so that few change.
            rank = {n: total * (2.0 if n in before else 1.0) for n, total in self.totals.items()}
            self._names = set(sorted(rank, key=rank.__getitem__)[-MAX_ROUTES:])
        return before - self._names


def _decay(table: dict[str, float] | dict[Pair, float]) -> None:
    """Reduce all values, and drop those that have become negligible."""
    kept = {key: value * DECAY for key, value in table.items() if value * DECAY >= MIN_TOTAL}
    table.clear()
    table.update(kept)  # type: ignore[arg-type]


class CallGraph:
    """Calls per run, by the route run at this node and the route called, or their groups."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_start = clock.now()
        self._runs: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._marked: Counter[Pair] = Counter()
        self._run_routes = _BusiestRoutes()
        self._called_routes = _BusiestRoutes()
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
            self._marked[run, route] += 1
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
        runs, calls, marked = self._runs, self._calls, self._marked
        self._runs, self._calls, self._marked = Counter(), Counter(), Counter()
        called = calls.copy()
        for (_, route), count in marked.items():
            called[route] += count
        for table in (self._run_products, self._call_products, self._marked_calls):
            _decay(table)
        self._merge_into_groups(self._run_routes.update(runs), self._called_routes.update(called))
        for (run, route), count in marked.items():
            pair = (self._name(run, self._run_routes), self._name(route, self._called_routes))
            self._marked_calls[pair] = self._marked_calls.get(pair, 0.0) + count
        if self._marked_calls:
            totals = self._grouped(self._run_routes.totals, self._run_routes)
            self._weights = {
                (run, route): count / max(1.0, totals.get(run, 0.0))
                for (run, route), count in self._marked_calls.items()
            }
        elif calls or self._call_products:
            self._fit(
                self._grouped(runs, self._run_routes), self._grouped(calls, self._called_routes)
            )

    def _group(self, route: str) -> str:
        return GROUP_PREFIX + self._services.get(route, "")

    def _name(self, route: str, busiest: _BusiestRoutes) -> str:
        return route if route in busiest else self._group(route)

    def _grouped(self, counts: Mapping[str, float], busiest: _BusiestRoutes) -> dict[str, float]:
        """Return the counts of the busiest routes, and of the groups of the others."""
        return _renamed(counts, {route: self._name(route, busiest) for route in counts})

    def _merge_into_groups(self, runs: set[str], called: set[str]) -> None:
        """Add what is known of routes to that of their groups.

        Sums and products of counts are additive, so nothing is lost by it.
        """
        if not runs and not called:
            return
        run_names = {route: self._group(route) for route in runs}
        called_names = {route: self._group(route) for route in called}
        self._run_products = _renamed_pairs(self._run_products, run_names, run_names)
        self._call_products = _renamed_pairs(self._call_products, run_names, called_names)
        self._marked_calls = _renamed_pairs(self._marked_calls, run_names, called_names)

    def _fit(self, runs: Mapping[str, float], calls: Mapping[str, float]) -> None:
        """Fit the weights by non-negative least squares with multiplicative updates."""
        for one, count in runs.items():
            for two, other in runs.items():
                pair = (one, two)
                self._run_products[pair] = self._run_products.get(pair, 0.0) + count * other
            for called, times in calls.items():
                pair = (one, called)
                self._call_products[pair] = self._call_products.get(pair, 0.0) + count * times
        names = sorted({one for pair in self._run_products for one in pair})
        products = {
            one: [self._run_products.get((one, two), 0.0) for two in names] for one in names
        }
        weights: dict[Pair, float] = {}
        for called in {called for _, called in self._call_products}:
            column = [self._weights.get((one, called), 1.0) for one in names]
            targets = [self._call_products.get((one, called), 0.0) for one in names]
            for _ in range(UPDATE_STEPS):
                column = [
                    _updated_weight(old, target, sum(map(mul, products[one], column)))
                    for one, old, target in zip(names, column, targets, strict=True)
                ]
            weights |= {
                (one, called): weight
                for one, weight, target in zip(names, column, targets, strict=True)
                if target > 0.0
            }
        self._weights = weights

    @property
    def has_calls(self) -> bool:
        """Whether any call is known."""
        return bool(self._callees)

    def is_leaf(self, route: Route) -> bool:
        """Tell whether runs of ``route`` are not known to need any call."""
        return not self._called_by(route.name)

    def _called_by(self, name: str) -> set[str]:
        """Return the routes, or groups of routes, that runs of a route call."""
        found = self._callees.get(name)
        return found if found is not None else self._callees.get(self._group(name), set())

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
            for name in self._called_by(todo.pop()):
                if name not in seen:
                    seen.add(name)
                    todo.append(name)
        services = {self._service(name) for name in seen} - {""}
        return frozenset(services | {part.service for part in route.service_weights})

    def _service(self, name: str) -> str:
        """Return the service of a route or a group, empty if not known."""
        if name.startswith(GROUP_PREFIX):
            return name.removeprefix(GROUP_PREFIX)
        return self._services.get(name, "")


def _updated_weight(old: float, target: float, explained: float) -> float:
    # Without a window that had both the run and the call, nothing is known of the pair.
    return old * target / explained if target > 0.0 and explained > 0.0 else old


def _renamed(table: Mapping[str, float], names: Mapping[str, str]) -> dict[str, float]:
    """Return ``table`` with keys replaced as in ``names``, adding the values of equal keys."""
    found: dict[str, float] = {}
    for key, value in table.items():
        new = names.get(key, key)
        found[new] = found.get(new, 0.0) + value
    return found


def _renamed_pairs(
    table: Mapping[Pair, float], firsts: Mapping[str, str], seconds: Mapping[str, str]
) -> dict[Pair, float]:
    """Return ``table`` with both parts of its keys replaced, adding the values of equal keys."""
    found: dict[Pair, float] = {}
    for (one, two), value in table.items():
        pair = (firsts.get(one, one), seconds.get(two, two))
        found[pair] = found.get(pair, 0.0) + value
    return found
