"""Load balancing over the targets of a service.

A :class:`Balancer` chooses among the known targets by this node's own
observations only: failures, and the load and admission levels that replies
report. Targets in the local data centre are preferred. Within a data centre it
applies the power of two choices: the less loaded of two random candidates.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from .clock import Clock
from .request import ADMIT_ALL_LEVEL, Reply

__all__ = ["Balancer", "Candidate", "Choice"]

STATS_MAX_AGE_S = 1.0
BACKOFF_BASE_S = 0.25
BACKOFF_MAX_S = 60.0
PROBE_PROBABILITY = 0.05
UNRESPONSIVE_AFTER_S = 0.5


class Candidate(NamedTuple):
    """A node whose target can serve the request."""

    node: str
    data_centre: str


class Choice(NamedTuple):
    """The chosen node and the reason, which is logged."""

    node: str
    why: str


class _NodeStats:
    """What this node has observed of one node."""

    __slots__ = (
        "failures",
        "in_flight",
        "level",
        "load",
        "no_tokens_until",
        "replied_at",
        "retry_at",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.load = 0
        self.level = ADMIT_ALL_LEVEL
        self.replied_at = 0.0
        self.failures = 0
        self.retry_at = 0.0
        self.no_tokens_until: dict[str, float] = {}


class Balancer:
    """Chooses the node for each attempt and records how attempts end."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._nodes: dict[str, _NodeStats] = {}

    def _stats(self, node: str) -> _NodeStats:
        stats = self._nodes.get(node)
        if stats is None:
            stats = self._nodes[node] = _NodeStats()
        return stats

    def choose(
        self,
        candidates: Sequence[Candidate],
        priority: int,
        organisation: str,
        tried: frozenset[str],
    ) -> Choice | None:
        """Return the node to send to, or None when all candidates were tried."""
        untried = [c for c in candidates if c.node not in tried]
        local = [c for c in untried if c.data_centre == self._data_centre]
        remote = [c for c in untried if c.data_centre != self._data_centre]
        for group, location in ((local, "local"), (remote, "remote")):
            choice = self._pick(self._usable(group, priority, organisation), location)
            if choice is not None:
                return choice
        if not untried:
            return None
        # No candidate is usable; the one whose back-off ends first may have recovered.
        fallback = min(local or remote, key=lambda c: self._stats(c.node).retry_at)
        return Choice(fallback.node, "no usable candidate")

    def _usable(self, group: list[Candidate], priority: int, organisation: str) -> list[Candidate]:
        now = self._clock.now()
        return [
            c for c in group if self._is_usable(self._stats(c.node), priority, organisation, now)
        ]

    def _is_usable(self, stats: _NodeStats, priority: int, organisation: str, now: float) -> bool:
        if stats.failures and now < stats.retry_at:
            return False
        if now < stats.no_tokens_until.get(organisation, 0.0):
            return False
        if now - stats.replied_at > STATS_MAX_AGE_S or priority < stats.level:
            return True
        return self._rng.random() < PROBE_PROBABILITY

    def _pick(self, group: list[Candidate], location: str) -> Choice | None:
        if not group:
            return None
        if len(group) == 1:
            return Choice(group[0].node, f"only {location}")
        first, second = self._rng.sample(group, 2)
        best = min(first, second, key=lambda c: self._load_key(c.node))
        return Choice(best.node, f"less loaded {location}")

    def _load_key(self, node: str) -> tuple[int, int]:
        stats = self._stats(node)
        return (stats.load // 100 + stats.in_flight, stats.load)

    def admission_level(self, candidates: Sequence[Candidate]) -> int:
        """Return the highest admission level that any candidate reported."""
        now = self._clock.now()
        levels = [
            stats.level if now - stats.replied_at <= STATS_MAX_AGE_S else ADMIT_ALL_LEVEL
            for stats in (self._stats(c.node) for c in candidates)
        ]
        return max(levels, default=ADMIT_ALL_LEVEL)

    def record_sent(self, node: str) -> None:
        """Count an attempt as in flight."""
        self._stats(node).in_flight += 1

    def record_reply(self, node: str, reply: Reply) -> None:
        """Record the load and level in a reply, and end any back-off."""
        stats = self._stats(node)
        stats.in_flight -= 1
        stats.load = reply.load_permille
        stats.level = reply.level
        stats.replied_at = self._clock.now()
        stats.failures = 0

    def record_rate_exceeded(self, node: str, organisation: str, retry_after_ms: int) -> None:
        """Avoid a node for an organisation for ``retry_after_ms``."""
        until = self._clock.now() + retry_after_ms / 1000
        self._stats(node).no_tokens_until[organisation] = until

    def record_failure(self, node: str, penalize: bool = True) -> None:
        """Record an attempt without a reply.

        The node backs off exponentially, unless ``penalize`` is false because
        the caller cancelled the attempt.
        """
        stats = self._stats(node)
        stats.in_flight -= 1
        if not penalize:
            return
        stats.failures += 1
        pause = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(stats.failures, 10))
        stats.retry_at = self._clock.now() + pause * self._rng.uniform(0.5, 1.0)

    def record_timeout(self, node: str) -> None:
        """Record an attempt that ran into its deadline.

        It counts as a failure only where the node has not replied to any
        request lately, as it may then be frozen. One that answers others may
        just be slow at this request.
        """
        silent_s = self._clock.now() - self._stats(node).replied_at
        self.record_failure(node, penalize=silent_s > UNRESPONSIVE_AFTER_S)

    def suspected(self) -> list[str]:
        """Return the nodes in back-off after failures."""
        now = self._clock.now()
        return [n for n, stats in self._nodes.items() if stats.failures and now < stats.retry_at]
