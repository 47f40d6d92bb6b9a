"""HTTP client for the target on this host.

Convenience features of the HTTP library are disabled: retries on reused connections,
redirects, cookies, decompression and proxy variables. Each of them could run a request
twice or alter the answer.
"""

from typing import NamedTuple

import aiohttp
from aiohttp import hdrs
from yarl import URL

from .errors import AnswerLostError, TargetUnreachedError
from .request import Headers, Request

__all__ = ["Target", "TargetAnswer", "TargetClient", "forwarded"]

HOP_BY_HOP_HEADERS = frozenset(
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
OWN_HEADER_PREFIX = "beryldrum-"
CONTEXT_HEADER = "Beryldrum-Context"
TIMEOUT_HEADER = "Beryldrum-Timeout-Ms"
ORGANISATION_HEADER = "Beryldrum-Organisation"

SKIPPED_AUTO_HEADERS = frozenset(
    (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)
)


class Target(NamedTuple):
    """What a target announced about itself.

    ``address`` is ``ip:port``, ``slots`` the number of requests it can process at a time,
    ``connections`` the limit of connections to it.
    """

    service: str
    address: str
    slots: int
    connections: int
    state: str


class TargetAnswer(NamedTuple):
    """A complete answer of a target."""

    status: int
    headers: Headers
    body: bytes


def forwarded(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop ones and those of this system."""
    connection_tokens = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_tokens
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


class TargetClient:
    """Sends requests to one target and returns complete answers."""

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
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
        )
        # aiohttp has no public option for this. It would resend idempotent methods when a
        # reused connection fails; retries are decided by the retry filter alone.
        self._session._retry_connection = False

    async def run(self, req: Request, token: str, remaining_ms: int) -> TargetAnswer:
        """Send the request to the target and return its answer.

        ``token`` identifies the run when the target makes calls of its own. Raises
        TargetUnreachedError when nothing can have been sent, and AnswerLostError when the
        request may have been sent and no complete answer came.
        """
        headers = [
            *req.headers,
            (CONTEXT_HEADER, token),
            (TIMEOUT_HEADER, str(remaining_ms)),
            (ORGANISATION_HEADER, req.organisation),
        ]
        try:
            async with self._session.request(
                req.method,
                # encoded=True: otherwise yarl would normalise the path to another one.
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
        """Close all connections."""
        await self._session.close()
