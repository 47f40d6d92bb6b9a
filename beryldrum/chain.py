"""Filters that process a request, and their composition into a chain."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from .request import Reply, Request

__all__ = ["Filter", "Handler", "chain"]

Handler = Callable[[Request], Awaitable[Reply]]


class Filter(ABC):
    """One stage of request processing.

    A filter either replies itself or passes the request, possibly modified, to the
    next handler. It may inspect or replace the reply that the next handler returns.
    """

    @abstractmethod
    async def handle(self, req: Request, next_handler: Handler) -> Reply:
        """Return the reply to ``req``; ``next_handler`` processes it further."""


def chain(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return a handler that passes a request through ``filters`` in order, then to ``last``."""
    next_handler = last
    for item in reversed(filters):
        next_handler = _bind(item, next_handler)
    return next_handler


def _bind(item: Filter, next_handler: Handler) -> Handler:
    def bound(req: Request) -> Awaitable[Reply]:
        return item.handle(req, next_handler)

    return bound
