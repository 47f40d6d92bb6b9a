"""Which nodes follow the store, and who takes over from those that the store rejects.

Load pattern: a store that serves only a part of the nodes, the readers not among them. One
rejection is taken as a sign that others follow: besides the next node of the data centre,
more nodes and other data centres ask at once, so that a chain of rejections, each noticed
only by a time-out, does not add up.

Every node decides for itself from what the others announce. A node that reads without need
costs calls, never correctness.
"""

from ..clock import Clock
from .directory import Directory, Peer

__all__ = ["Readers"]

READERS_PER_DATA_CENTRE = 2
"""Nodes of each data centre that follow the store in a small fleet, or where no other data
centre is heard of. There are two, since one may lose its connection without noticing."""

READING_DATA_CENTRES = 2
"""Data centres of a large fleet of which one node follows the store. With one node in each of
two, polls are half as long as with two at the same number of calls."""

MAX_EXTRA_READERS = 3
"""Nodes of a data centre that ask in addition after rejections, as many as were rejected."""

EXTRA_READERS_S = 1.5
"""Time since the last rejection in a data centre for which additional nodes ask."""

MAX_REJECTED = 12
"""Rejected nodes of a data centre above which no further ones try: the store is likely to
reject all. Where it rejects 35 of 100, twelve in a row have a chance of 3 in a million."""

PROBING_NODES = 2
"""Nodes of a data centre that go on asking after they were rejected, to notice the end."""

REJECTION_LIFE_S = 10.0
"""Time after which other rejected nodes count as served again."""

PUSH_TARGETS = 2
"""Nodes of another data centre to which a change is pushed. They are the first by address,
which become its readers first."""


class Readers:
    """Decides whether this node is a reader.

    ``rejected_at`` is when the store rejected this node, None while it serves it.
    """

    def __init__(self, clock: Clock, directory: Directory) -> None:
        self._clock = clock
        self._directory = directory
        self.rejected_at: float | None = None

    @property
    def rejected(self) -> bool:
        """Whether the store rejects this node, as it announces to others."""
        return self.rejected_at is not None

    def rank(self) -> int:
        """Return how many connected nodes of this data centre have a lower address."""
        own = self._directory.own.address
        return sum(p.member.address < own for p in self._directory.local_peers())

    def probes(self) -> bool:
        """Tell whether this node, when rejected, goes on to ask."""
        return self.rank() < PROBING_NODES

    def expire(self) -> bool:
        """Forget an old rejection of a node that does not probe; returns whether it did."""
        if self.rejected_at is None or self.probes():
            return False
        if self._clock.now() - self.rejected_at < REJECTION_LIFE_S:
            return False
        self.rejected_at = None
        return True

    def has_reader(self) -> bool:
        """Tell whether the store serves the node that is to read it in this data centre."""
        return not self._local()[0][1]

    def _local(self) -> list[tuple[str, bool]]:
        """Return address and rejection of the nodes of this data centre, by address."""
        own = (self._directory.own.address, self.rejected)
        others = [(p.member.address, p.store_rejected) for p in self._directory.local_peers()]
        return sorted([own, *others])

    def is_reader(self) -> bool:
        """Tell whether this node is to follow the store."""
        directory = self._directory
        if self.rejected:
            return False
        local = self._local()
        alone = not directory.large or not directory.recent_data_centres()
        readers = READERS_PER_DATA_CENTRE if alone else 1
        replaced = any(rejected for _, rejected in local[:readers])
        if directory.large and not replaced and not self._is_reading_data_centre():
            return False
        rejected_count = sum(rejected for _, rejected in local)
        if replaced and rejected_count <= MAX_REJECTED and self._is_rejection_recent():
            readers += min(rejected_count, MAX_EXTRA_READERS)
        served = [address for address, rejected in local if not rejected]
        return directory.own.address in served[:readers] and (
            rejected_count <= MAX_REJECTED or not replaced
        )

    def _is_rejection_recent(self) -> bool:
        last = max(p.rejected_at for p in self._directory.local_peers() if p.store_rejected)
        return self._clock.now() - last < EXTRA_READERS_S

    def _is_reading_data_centre(self) -> bool:
        own = self._directory.own.data_centre
        names = sorted([own, *self._directory.recent_data_centres()])
        if own in names[:READING_DATA_CENTRES]:
            return True
        rejected = self._directory.rejected_data_centres()
        return own in [name for name in names if name not in rejected][:READING_DATA_CENTRES]

    def slot(self) -> tuple[int, int]:
        """Return this node's place among the readers and their number, to spread the polls."""
        if not self._directory.large:
            return min(self.rank(), READERS_PER_DATA_CENTRE - 1), READERS_PER_DATA_CENTRE
        own = self._directory.own.data_centre
        names = sorted([own, *self._directory.recent_data_centres()])
        return min(names.index(own), READING_DATA_CENTRES - 1), READING_DATA_CENTRES

    def push_targets(self) -> list[Peer]:
        """Return the nodes of other data centres to which a change is pushed."""
        found = []
        for peers in self._directory.peers_by_data_centre().values():
            known = [p for p in peers if self._directory.is_serving(p)]
            found += sorted(known, key=lambda p: p.member.address)[:PUSH_TARGETS]
        return found
