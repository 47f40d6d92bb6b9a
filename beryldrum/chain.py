"""The chain of filters that a request passes."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from .request import Reply, Request

__all__ = ["Filter", "Step", "chain"]

Step = Callable[[Request], Awaitable[Reply]]


class Filter(ABC):
    """One decision about a request.

    A filter replies itself, or passes the request on, changed or not, and may
    look at the reply that comes back.
    """

    @abstractmethod
    async def handle(self, req: Request, step: Step) -> Reply:
        """Return the reply to ``req``; ``step`` passes it on."""


def chain(filters: Sequence[Filter], last: Step) -> Step:
    """Return the step that passes a request through ``filters`` to ``last``."""
    step = last
    for item in reversed(filters):
        step = _bind(item, step)
    return step


def _bind(item: Filter, step: Step) -> Step:
    def bound(req: Request) -> Awaitable[Reply]:
        return item.handle(req, step)

    return bound
