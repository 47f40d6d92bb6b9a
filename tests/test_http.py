"""Tests of the HTTP client of targets, the listeners and the log client."""

import asyncio

import aiohttp
from aiohttp import web
from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import SystemClock
from beryldrum.errors import (
    AnswerLostError,
    AppendUnknownError,
    LogDownError,
    LogTruncatedError,
    LogUnresponsiveError,
    TargetUnreachedError,
)
from beryldrum.listener import Listener
from beryldrum.log import Batch, HttpLog
from beryldrum.records import LogRecord
from beryldrum.request import Outcome, Reply
from beryldrum.target import Target, TargetClient, forwarded
from harness.ports import free_address, free_port

from .fakes import request


class TargetTest(TestCase):
    """The target client forwards requests and answers unchanged and never resends."""

    def send(self, handler, **changes):
        async def scenario():
            self.calls = 0

            async def counted(req):
                self.calls += 1
                return await handler(req)

            port = free_port()
            server = await asyncio.get_running_loop().create_server(
                web.Server(counted), "127.0.0.1", port
            )
            client = TargetClient(Target("payments", f"127.0.0.1:{port}", 4, 4, "ready"))
            try:
                await client.run(request(method="GET", body=b""), "token", 1_000)
                return await client.run(request(**changes), "token", 1_000)
            finally:
                await client.close()
                server.close()

        return asyncio.run(scenario())

    @parameterized.expand([("GET",), ("PUT",), ("POST",)])
    def test_connection_closed_on_reuse_is_not_sent_again(self, method):
        async def handler(req):
            if self.calls == 2:
                req.transport.abort()
                await asyncio.sleep(1)
            return web.Response(text="ok")

        self.assertRaises(AnswerLostError, self.send, handler, method=method)
        self.assertEqual(2, self.calls)

    def test_redirect_cookie_and_encoding_are_passed_on(self):
        async def handler(req):
            if self.calls == 2:
                self.assertNotIn("Cookie", req.headers)
            headers = {"Location": "/else", "Set-Cookie": "a=b", "Content-Encoding": "gzip"}
            return web.Response(status=302, body=b"raw", headers=headers)

        answer = self.send(handler)
        self.assertEqual((302, b"raw"), (answer.status, answer.body))
        self.assertEqual(2, self.calls)

    @parameterized.expand([("length",), ("chunked",)])
    def test_cut_answer_is_no_answer(self, kind):
        async def handler(req):
            resp = web.StreamResponse()
            if kind == "length":
                resp.content_length = 10
            else:
                resp.enable_chunked_encoding()
            await resp.prepare(req)
            await resp.write(b"half")
            if self.calls == 2:
                req.transport.close()
            elif kind == "length":
                await resp.write(b"-whole")
            return resp

        self.assertRaises(AnswerLostError, self.send, handler)

    @parameterized.expand([("/a%2Fb%20c?q=%7Ex",), ("/a/../b",), ("/%7ea?x=a+b&y=%2B",)])
    def test_path_is_passed_on_as_it_came(self, path):
        received = []

        async def handler(req):
            received.append(req.raw_path)
            return web.Response()

        self.send(handler, path=path)
        self.assertEqual(path, received[-1])

    def test_nobody_there(self):
        target = Target("payments", free_address(), 4, 4, "ready")

        async def scenario():
            client = TargetClient(target)
            try:
                await client.run(request(), "token", 1_000)
            finally:
                await client.close()

        self.assertRaises(TargetUnreachedError, asyncio.run, scenario())

    def test_hop_by_hop_and_own_headers_stay_here(self):
        headers = (
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Keep-Alive", "5"),
            ("Beryldrum-Context", "forged"),
            ("X-Kept", "1"),
        )
        self.assertEqual((("X-Kept", "1"),), forwarded(headers))


class ListenerTest(TestCase):
    """Limits of the callers' listener for the size of bodies and headers."""

    def post(self, headers, body):
        async def handler(req):
            return Reply(Outcome.ANSWERED, 200)

        async def scenario():
            listener = Listener(handler, SystemClock(), 1_000, None, lambda *_: None)
            addr = free_address()
            await listener.start(addr, None)
            async with (
                aiohttp.ClientSession() as session,
                session.post(f"http://{addr}/a/b", headers=headers, data=body) as resp,
            ):
                result = resp.status, resp.headers.get("Beryldrum-Outcome")
            await listener.close()
            return result

        return asyncio.run(scenario())

    @parameterized.expand(
        [
            ("fits", {}, b"x" * 1_000, (200, "answered")),
            ("body", {}, b"x" * 1_001, (413, "not-run")),
            ("header", {"X-Large": "x" * 20_000}, b"", (400, None)),
        ]
    )
    def test_size(self, _, headers, body, expected):
        self.assertEqual(expected, self.post(headers, body))


class LogClientTest(TestCase):
    """How answers of the platform's log map to results and exceptions."""

    def call(self, status, body, operation):
        async def handler(_):
            return web.Response(status=status, body=body)

        async def scenario():
            port = free_port()
            server = await asyncio.get_running_loop().create_server(
                web.Server(handler), "127.0.0.1", port
            )
            async with aiohttp.ClientSession() as session:
                try:
                    return await operation(HttpLog(f"http://127.0.0.1:{port}", session))
                finally:
                    server.close()

        return asyncio.run(scenario())

    @parameterized.expand(
        [
            (503, b"", LogDownError),
            (500, b"", LogUnresponsiveError),
            (410, b'{"first": 7}', LogTruncatedError),
            (410, b"{}", LogUnresponsiveError),
            (200, b"<html>", LogUnresponsiveError),
            (200, b'{"records": []}', LogUnresponsiveError),
            (200, b'{"records": [[1, 2, "?"]], "first": 1, "head": 1}', LogUnresponsiveError),
        ]
    )
    def test_read(self, status, body, expected):
        self.assertRaises(expected, self.call, status, body, lambda log: log.read(0, 0))

    @parameterized.expand(
        [
            (429, b"", LogDownError),
            (503, b"", AppendUnknownError),
            (200, b"<html>", AppendUnknownError),
            (200, b"{}", AppendUnknownError),
        ]
    )
    def test_append(self, status, body, expected):
        self.assertRaises(expected, self.call, status, body, lambda log: log.append(b"{}"))

    def test_good(self):
        body = b'{"records": [[3, 9, "YWI="]], "first": 1, "head": 3}'
        batch = self.call(200, body, lambda log: log.read(0, 0))
        self.assertEqual(Batch([LogRecord(3, 9, b"ab")], 1, 3), batch)
