"""The connections to the target on this host.

The client library's helpfulness is switched off: no retry on a reused
connection, no redirects, no cookies, no decompression, no proxy variables. Each
would be a second run or a changed answer.
"""

from typing import NamedTuple

import aiohttp
from aiohttp import hdrs
from yarl import URL

from .errors import AnswerLostError, TargetUnreachedError
from .request import Headers, Request

__all__ = ["Target", "TargetAnswer", "TargetClient", "forwarded"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
OWN_PREFIX = "beryldrum-"
CONTEXT = "Beryldrum-Context"
TIMEOUT = "Beryldrum-Timeout-Ms"
ORGANISATION = "Beryldrum-Organisation"

SKIPPED = frozenset((hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE))


class Target(NamedTuple):
    """What a target announced of itself. ``address`` is ``ip:port``."""

    service: str
    address: str
    slots: int
    connections: int
    state: str


class TargetAnswer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


def forwarded(headers: Headers) -> Headers:
    """Return the headers that may be passed on, less those of one hop and ours."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in named
        and not name.lower().startswith(OWN_PREFIX)
    )


class TargetClient:
    """Sends requests to one target and returns whole answers."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self._base = f"http://{target.address}"
        connector = aiohttp.TCPConnector(limit=target.connections, keepalive_timeout=20)
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
            skip_auto_headers=SKIPPED,
        )
        # Private to the library, which offers no option: a non-idempotent method
        # is never sent twice, and an idempotent one only when we decide to.
        self._session._retry_connection = False

    async def run(self, req: Request, token: str, remaining_ms: int) -> TargetAnswer:
        """Hand the request over and return the answer.

        Raises TargetUnreachedError when nothing can have been sent, and AnswerLostError
        when something may have and no whole answer came.
        """
        headers = [
            *req.headers,
            (CONTEXT, token),
            (TIMEOUT, str(remaining_ms)),
            (ORGANISATION, req.organisation),
        ]
        try:
            async with self._session.request(
                req.method,
                # Encoded: the library would tidy the path up into another one.
                URL(self._base + req.path, encoded=True),
                headers=headers,
                data=req.body or None,
                allow_redirects=False,
            ) as resp:
                body = await resp.read()
                raw = tuple((name, value) for name, value in resp.headers.items())
                return TargetAnswer(resp.status, forwarded(raw), body)
        except aiohttp.ClientConnectorError as exc:
            raise TargetUnreachedError(self.target.address) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise AnswerLostError(type(exc).__name__) from exc

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()
