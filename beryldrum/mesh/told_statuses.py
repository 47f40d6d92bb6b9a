"""What other nodes have told of targets that are not known on this host yet."""

from .frames import TargetStatus

__all__ = ["ToldStatuses"]

MAX_TOLD = 64
"""Statements of other nodes that are kept until their target is known."""


class ToldStatuses:
    """Statements by the incarnation of their target; of several the strictest is kept."""

    def __init__(self) -> None:
        self._told: dict[int, TargetStatus] = {}

    def add(self, status: TargetStatus) -> None:
        """Add what another node has told."""
        earlier = self._told.pop(status.incarnation, status)
        self._told[status.incarnation] = status.stricter(earlier)
        while len(self._told) > MAX_TOLD:
            del self._told[next(iter(self._told))]

    def take(self, incarnation: int) -> TargetStatus | None:
        """Remove and return what was told of a target."""
        return self._told.pop(incarnation, None)
