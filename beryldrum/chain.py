"""The chain of filters that a request passes."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from .request import Reply, Request

__all__ = ["Filter", "Handler", "chain"]

Handler = Callable[[Request], Awaitable[Reply]]


class Filter(ABC):
    """One decision about a request.

    A filter replies itself, or passes the request on, changed or not, and may
    look at the reply that comes back.
    """

    @abstractmethod
    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        """Return the reply to ``req``; ``step`` passes it on."""


def chain(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return the step that passes a request through ``filters`` to ``last``."""
    next_handler = last
    for item in reversed(filters):
        next_handler = _bind(item, next_handler)
    return next_handler


def _bind(item: Filter, next_handler: Handler) -> Handler:
    def bound(req: Request) -> Awaitable[Reply]:
        return item.handle(req, next_handler)

    return bound
