"""Which target of a service gets a request.

A :class:`Balancer` chooses among the targets that the roster knows by what this
node has seen itself: failures, load and admission levels that came back on
replies. Targets of the own data centre go first; of two drawn at random the
less loaded one is taken.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from .clock import Clock
from .request import ADMIT_ALL_LEVEL, Reply

__all__ = ["Balancer", "Candidate", "Choice"]

VIEW_LIFE_S = 1.0
BACKOFF_FIRST_S = 0.25
BACKOFF_MOST_S = 60.0
PROBE_FRACTION = 0.05
SILENCE_S = 0.5


class Candidate(NamedTuple):
    """A node whose target may take the request."""

    node: str
    data_centre: str


class Choice(NamedTuple):
    """A routing decision, with why it was taken, for the log."""

    node: str
    why: str


class _View:
    """What this node has seen of another one."""

    __slots__ = ("empty_until", "failures", "in_flight", "level", "load", "retry_at", "seen_at")

    def __init__(self) -> None:
        self.in_flight = 0
        self.load = 0
        self.level = ADMIT_ALL_LEVEL
        self.seen_at = 0.0
        self.failures = 0
        self.retry_at = 0.0
        self.empty_until: dict[str, float] = {}


class Balancer:
    """Chooses nodes and learns from replies."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._views: dict[str, _View] = {}

    def _view(self, node: str) -> _View:
        view = self._views.get(node)
        if view is None:
            view = self._views[node] = _View()
        return view

    def choose(
        self,
        candidates: Sequence[Candidate],
        priority: int,
        organisation: str,
        tried: frozenset[str],
    ) -> Choice | None:
        """Return the node to send to, or None when there is none untried."""
        fresh = [c for c in candidates if c.node not in tried]
        local = [c for c in fresh if c.data_centre == self._data_centre]
        remote = [c for c in fresh if c.data_centre != self._data_centre]
        for group, place in ((local, "local"), (remote, "remote")):
            choice = self._draw(self._usable(group, priority, organisation), place)
            if choice is not None:
                return choice
        if not fresh:
            return None
        # Nothing looks usable: one that is due for another try may be back.
        last = min(local or remote, key=lambda c: self._view(c.node).retry_at)
        return Choice(last.node, "last resort")

    def _usable(self, group: list[Candidate], priority: int, organisation: str) -> list[Candidate]:
        now = self._clock.now()
        return [c for c in group if self._admits(self._view(c.node), priority, organisation, now)]

    def _admits(self, view: _View, priority: int, organisation: str, now: float) -> bool:
        if view.failures and now < view.retry_at:
            return False
        if now < view.empty_until.get(organisation, 0.0):
            return False
        if now - view.seen_at > VIEW_LIFE_S or priority < view.level:
            return True
        return self._rng.random() < PROBE_FRACTION

    def _draw(self, group: list[Candidate], place: str) -> Choice | None:
        if not group:
            return None
        if len(group) == 1:
            return Choice(group[0].node, f"only {place}")
        one, two = self._rng.sample(group, 2)
        best = min(one, two, key=lambda c: self._weight(c.node))
        return Choice(best.node, f"less loaded {place}")

    def _weight(self, node: str) -> tuple[int, int]:
        view = self._view(node)
        return (view.load // 100 + view.in_flight, view.load)

    def shed_level(self, candidates: Sequence[Candidate]) -> int:
        """Return the level below which some candidate admits requests."""
        now = self._clock.now()
        levels = [
            view.level if now - view.seen_at <= VIEW_LIFE_S else ADMIT_ALL_LEVEL
            for view in (self._view(c.node) for c in candidates)
        ]
        return max(levels, default=ADMIT_ALL_LEVEL)

    def sent(self, node: str) -> None:
        """Note an attempt that is under way."""
        self._view(node).in_flight += 1

    def replied(self, node: str, reply: Reply) -> None:
        """Learn from a reply."""
        view = self._view(node)
        view.in_flight -= 1
        view.load = reply.load_permille
        view.level = reply.level
        view.seen_at = self._clock.now()
        view.failures = 0

    def rate_used(self, node: str, organisation: str, retry_after_ms: int) -> None:
        """Note that an organisation has no tokens at a node for a while."""
        until = self._clock.now() + retry_after_ms / 1000
        self._view(node).empty_until[organisation] = until

    def failed(self, node: str, counts: bool = True) -> None:
        """Note an attempt that got no reply; ``counts`` is off when it was given up."""
        view = self._view(node)
        view.in_flight -= 1
        if not counts:
            return
        view.failures += 1
        pause = min(BACKOFF_MOST_S, BACKOFF_FIRST_S * 2 ** min(view.failures, 10))
        view.retry_at = self._clock.now() + pause * self._rng.uniform(0.5, 1.0)

    def timed_out(self, node: str) -> None:
        """Note an attempt whose time ran out.

        It says little of a node that answers others; one that has been silent
        may be frozen, and counts as failed.
        """
        silent_s = self._clock.now() - self._view(node).seen_at
        self.failed(node, counts=silent_s > SILENCE_S)

    def suspected(self) -> list[str]:
        """Return the nodes that are left alone after failures."""
        now = self._clock.now()
        return [n for n, view in self._views.items() if view.failures and now < view.retry_at]
