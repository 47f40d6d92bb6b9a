"""Answers on kept connections, and answers that end early.

A faulty target may write an earlier refusal once more, or stop in the middle of an
answer. No caller may be told *not run* of a request that runs, or get a part of an
answer as if it were whole.
"""

import asyncio
import contextlib
import unittest

from parameterized import parameterized

from beryldrum.errors import AnswerLostError
from beryldrum.mesh.client import Pool

from .mesh_fleet import Fleet

ID = b"x-request-id"
REFUSED = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
OK = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
FRAMED = b"Content-Length: 0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
UNFRAMED = b"\r\n"
TIMEOUT_S = 1.0


def named(request_id):
    """Return the header line in which an answer names its request."""
    return b"X-Request-Id: " + request_id + b"\r\n"


class Script:
    """A target that answers with the given bytes, one item a request on each connection.

    ``None`` in place of bytes closes the connection.
    """

    def __init__(self, *answers):
        self.answers = answers
        self.connections = 0
        self._serving = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.pool = Pool(f"{host}:{port}", ID)
        return self

    async def __aexit__(self, *_):
        self.pool.close()
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._serving.add(asyncio.current_task())
        try:
            for answer in self.answers:
                await reader.readuntil(b"\r\n\r\n")
                for part in answer:
                    if part is None:
                        return
                    writer.write(part)
                    await asyncio.sleep(0.02)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def ask(self, request_id, method=b"GET", **options):
        """Return the status and body of an answer, or the error that there is none."""
        data = method + b" / HTTP/1.1\r\n\r\n"
        try:
            response = await self.pool.request(data, TIMEOUT_S, request_id, **options)
        except (AnswerLostError, TimeoutError) as exc:
            return type(exc)
        return response.status, response.body


OWN = OK + named(b"r2") + b"Content-Length: 3\r\n\r\nown"


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """A refusal of an earlier request that is written again is not taken for the next's."""

    @parameterized.expand(
        [
            # what comes before the answer to the second request, and its outcome
            ("with its id", [REFUSED + named(b"r1") + FRAMED], (200, b"own")),
            ("without an id", [REFUSED + FRAMED], (200, b"own")),
            ("without an id, chunked", [REFUSED + CHUNKED], (200, b"own")),
            ("in the same segment", [], (200, b"own")),
            ("with its id, no length", [REFUSED + named(b"r1") + UNFRAMED, None], AnswerLostError),
            ("without an id, no length", [REFUSED + UNFRAMED, None], AnswerLostError),
            (
                "another's success, no length",
                [OK + named(b"r1") + b"\r\nold", None],
                AnswerLostError,
            ),
            ("a success without an id, no length", [OK + b"\r\nold", None], AnswerLostError),
            ("a success without an id", [OK + FRAMED], (200, b"own")),
            ("only half of it", [REFUSED[:30], None], AnswerLostError),
        ]
    )
    async def test_a_repeated_refusal_is_taken_for_the_answer(self, _, stale, expected):
        first = REFUSED + named(b"r1") + FRAMED
        second = [*stale, OWN] if stale else [REFUSED + FRAMED + OWN]
        async with Script([first], second) as script:
            self.assertEqual((503, b""), await script.ask(b"r1"))
            self.assertEqual(expected, await script.ask(b"r2"))
            self.assertEqual(1, script.connections)

    @parameterized.expand(
        [
            ("without an id", [REFUSED + FRAMED], TimeoutError),
            ("of another", [REFUSED + named(b"r1") + FRAMED], AnswerLostError),
        ]
    )
    async def test_a_head_is_taken_for_the_answer(self, _, stale, expected):
        async with Script([OK + named(b"r1") + FRAMED], stale) as script:
            self.assertEqual((200, b""), await script.ask(b"r1"))
            outcome = await script.ask(b"r2", b"HEAD", head_only=True)
            self.assertIn(outcome, (expected, AnswerLostError))

    async def test_the_first_answer_of_a_connection_needs_no_id(self):
        async with Script([REFUSED + FRAMED]) as script:
            self.assertEqual((503, b""), await script.ask(b"r1"))

    @parameterized.expand(
        [
            ("once only", "/book/1", "POST", "k-1"),
            ("repeatable", "/list/1", "GET", "k-1"),
            ("a call", "/inner/1", "GET", ""),
        ]
    )
    async def test_a_retry_gets_the_repeated_refusal_of_its_first_attempt(
        self, _, path, method, key
    ):
        async with Fleet("shop" if key else "stock") as fleet:
            (host,) = await fleet.serve()
            # The target refuses the request, and once more while it runs the retry.
            host.target.script.extend(["full", "stale"])
            response = await host.ask(path, method, key, body=b"x" if method == "POST" else b"")
            self.assertEqual((1, 200), (len(host.target.runs), response.status))


HEAD_R1 = OK + named(b"r1") + b"Content-Type: text/plain\r\n\r\n"


class EarlyEndTest(unittest.IsolatedAsyncioTestCase):
    """An answer that ends in its head or body is none."""

    @parameterized.expand(
        [(f"after {size} bytes", HEAD_R1[:size]) for size in range(0, len(HEAD_R1), 7)]
        + [("before the last byte", HEAD_R1[:-1]), ("before the empty line", HEAD_R1[:-2])]
    )
    async def test_a_head_that_ends_early_is_a_whole_answer(self, _, part):
        for earlier in ([], [OK + named(b"r0") + FRAMED], [b"HTTP/1.1 102 Wait\r\n\r\n"]):
            kept = bool(earlier) and earlier[0].startswith(OK)
            answers = ([earlier] if kept else []) + [[*([] if kept else earlier), part, None]]
            async with Script(*answers) as script:
                if kept:
                    self.assertEqual((200, b""), await script.ask(b"r0"))
                self.assertIs(AnswerLostError, await script.ask(b"r1"))

    @parameterized.expand(
        [
            ("length", b"Content-Length: 9\r\n\r\nhalf"),
            ("length, no body", b"Content-Length: 9\r\n\r\n"),
            ("chunks", b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
            ("chunks, in their last line", b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"),
            ("another coding", b"Transfer-Encoding: gzip\r\n\r\nhalf"),
        ]
    )
    async def test_a_body_that_ends_early_is_a_whole_answer(self, _, rest):
        async with Script([OK + named(b"r1") + rest, None]) as script:
            self.assertIs(AnswerLostError, await script.ask(b"r1"))

    @parameterized.expand(
        [
            ("once only", "/book/1", "POST", "k-1", 504),
            ("repeatable", "/list/1", "GET", "k-1", 200),
            ("a call", "/inner/1", "GET", "", 200),
        ]
    )
    async def test_a_caller_gets_an_empty_answer(self, _, path, method, key, status):
        service = "shop" if key else "stock"
        async with Fleet(service, service) as fleet:
            hosts = await fleet.serve()
            hosts[1].target.script = hosts[0].target.script
            hosts[0].target.script.append("head")
            response = await hosts[0].ask(path, method, key, body=b"x" if method == "POST" else b"")
            self.assertEqual(status, response.status)
