"""Limits on what clients make a node hold, without a network."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized

from beryldrum.mesh.document import Limits
from beryldrum.mesh.http import HttpResponse, HttpService, MemoryBudget
from beryldrum.mesh.http_connection import ServerConnection

HEADER_BYTES = 1_000
POST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Service(HttpService):
    """Answers each request at once."""

    def limits(self):
        return Limits(header_bytes=HEADER_BYTES)

    async def handle(self, http_request):
        return HttpResponse(200)


class HeadLimitTest(unittest.IsolatedAsyncioTestCase):
    """A head counts while its parts are not complete."""

    def setUp(self):
        self.written = []
        transport = mock.Mock(spec=asyncio.Transport, write=self.written.append)
        self.conn = ServerConnection(_Service(), MemoryBudget(10_000_000), set())
        self.conn.connection_made(transport)

    async def status_after(self, *pieces):
        for piece in pieces:
            self.conn.data_received(piece)
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        return int(self.written[-1].split()[1]) if self.written else 0

    @parameterized.expand(
        [
            ("a header", b"GET / HTTP/1.1\r\nA: ", b"x"),
            ("a header name", b"GET / HTTP/1.1\r\nA", b"x"),
            ("empty lines", b"", b"\r\n"),
            ("empty lines behind a request", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"\r\n"),
            ("a trailer", POST + b"1\r\na\r\n0\r\nA: ", b"x"),
            ("the parameters of a chunk", POST + b"1;", b"x"),
        ]
    )
    async def test_what_has_no_end_is_read_on(self, _, first, piece):
        pieces = [piece * (100 // len(piece))] * 30
        self.assertEqual(431, await self.status_after(first, *pieces))

    async def test_a_head_just_inside_the_limit_is_refused(self):
        first = b"GET / HTTP/1.1\r\nA: "
        rest = b"x" * (HEADER_BYTES - 10) + b"\r\n\r\n"
        pieces = [rest[start : start + 100] for start in range(0, len(rest), 100)]
        self.assertEqual(200, await self.status_after(first, *pieces))

    async def test_a_long_body_counts_as_a_head(self):
        pieces = [b"64\r\n" + b"x" * 100 + b"\r\n"] * 100
        self.assertEqual(200, await self.status_after(POST, *pieces, b"0\r\n\r\n"))
