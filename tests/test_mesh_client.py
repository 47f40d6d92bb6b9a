"""The HTTP client against targets that send answers without end."""

import asyncio
import contextlib
import itertools
import unittest
from unittest import mock

from parameterized import parameterized

from beryldrum.errors import AnswerLostError
from beryldrum.mesh import client
from beryldrum.mesh.client import Pool
from beryldrum.mesh.http import MemoryBudget

OK = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"x" * 4096
SOCKET_BUFFERS_BYTES = 8 * 2**20
"""Upper bound on what the buffers of the two sockets on loopback hold in addition."""


async def serve(first, repeated):
    """Serve ``first``, then ``repeated`` until the client closes the connection.

    Returns the server, its address and a counter of the repeated writes.
    """
    sent = itertools.count()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                next(sent)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}", sent


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """A connection is closed before the bytes of its answer fill the memory."""

    @parameterized.expand(
        [
            ("header value", OK + b"X-Long: ", CHUNK, client.MAX_HEAD_BYTES),
            ("headers", OK, b"X-More: 1\r\n" * 300, client.MAX_HEAD_BYTES),
            ("status line", b"HTTP/1.1 200 ", CHUNK, client.MAX_HEAD_BYTES),
            ("interim answers", b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 100, client.MAX_HEAD_BYTES),
            ("no answer", b"", CHUNK, client.MAX_HEAD_BYTES),
            ("body without length", OK + b"\r\n", CHUNK, client.MAX_RESPONSE_BYTES),
            (
                "chunks",
                OK + b"Transfer-Encoding: chunked\r\n\r\n",
                b"1000\r\n" + CHUNK + b"\r\n",
                client.MAX_RESPONSE_BYTES,
            ),
            (
                "answers to another request",
                b"",
                OK + b"X-Request-Id: other\r\nContent-Length: 4096\r\n\r\n" + CHUNK,
                client.MAX_RESPONSE_BYTES,
            ),
        ]
    )
    async def test_is_given_up(self, _, first, repeated, limit):
        server, address, sent = await serve(first, repeated)
        memory = MemoryBudget(64 * 2**20)
        pool = Pool(address, b"x-request-id", memory)
        async with server:
            with self.assertRaises(AnswerLostError):
                async with asyncio.timeout(20.0):
                    await pool.request(b"GET / HTTP/1.1\r\n\r\n", 15.0, b"r1")
            self.assertLessEqual(next(sent) * len(repeated), limit + SOCKET_BUFFERS_BYTES)
            self.assertEqual(0, memory.reserved)

    async def test_all_answers_together_are_bounded(self):
        server, address, _ = await serve(OK + b"\r\n", CHUNK)
        memory = MemoryBudget(2**20)
        pool = Pool(address, b"x-request-id", memory)
        peak = 0
        reserve = memory.reserve

        def counting_reserve(size):
            nonlocal peak
            reserved = reserve(size)
            peak = max(peak, memory.reserved)
            return reserved

        async with server:
            with mock.patch.object(memory, "reserve", counting_reserve):
                requests = [pool.request(b"GET / HTTP/1.1\r\n\r\n", 15.0, b"r1") for _ in range(20)]
                outcomes = await asyncio.gather(*requests, return_exceptions=True)
        self.assertEqual({AnswerLostError}, {type(outcome) for outcome in outcomes})
        self.assertLessEqual(peak, 2**20)
        self.assertEqual(0, memory.reserved)

    async def test_a_whole_answer_gives_its_memory_back(self):
        body = b"y" * 100_000
        first = OK + b"X-Request-Id: r1\r\nContent-Length: %d\r\n\r\n" % len(body) + body

        async def answer(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(first)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        memory = MemoryBudget(200_000)
        pool = Pool(f"{host}:{port}", b"x-request-id", memory)
        async with server:
            for _ in range(5):
                response = await pool.request(b"GET / HTTP/1.1\r\n\r\n", 5.0, b"r1")
                self.assertEqual(body, response.body)
                self.assertEqual(0, memory.reserved)
            pool.close()
