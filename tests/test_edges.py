"""The edges: HTTP towards targets, frames between nodes, TLS, logs, the command line."""

import asyncio
import contextlib
import datetime
import io
import ipaddress
import json
import socket
import ssl
import tempfile
from pathlib import Path

import aiohttp
import structlog
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from parameterized import parameterized
from testtools import TestCase

from beryldrum import cli, logs, operations, tls, wire
from beryldrum.clock import SystemClock
from beryldrum.decisions import Decision, DecisionLog
from beryldrum.document import parse
from beryldrum.errors import (
    AppendUnknownError,
    CertificateError,
    FrameError,
    LogDownError,
    LogSilentError,
    LogTruncatedError,
    PeerLostError,
    TargetLostError,
    TargetUnreachedError,
)
from beryldrum.listener import Listener
from beryldrum.log import Batch, HttpLog
from beryldrum.metrics import Metrics
from beryldrum.peer import Peer, PeerServer
from beryldrum.records import LogRecord
from beryldrum.request import Outcome, Reply
from beryldrum.settings import Tls
from beryldrum.target import Target, TargetClient, forwarded
from harness.fleet import address, free_port

from .fakes import DOCUMENT, request


class TargetTest(TestCase):
    """The client of a target hides nothing and repeats nothing."""

    def ask(self, handler, **changes):
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

        self.assertRaises(TargetLostError, self.ask, handler, method=method)
        self.assertEqual(2, self.calls)

    def test_redirect_cookie_and_encoding_are_passed_on(self):
        async def handler(req):
            if self.calls == 2:
                self.assertNotIn("Cookie", req.headers)
            headers = {"Location": "/else", "Set-Cookie": "a=b", "Content-Encoding": "gzip"}
            return web.Response(status=302, body=b"raw", headers=headers)

        answer = self.ask(handler)
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

        self.assertRaises(TargetLostError, self.ask, handler)

    @parameterized.expand([("/a%2Fb%20c?q=%7Ex",), ("/a/../b",), ("/%7ea?x=a+b&y=%2B",)])
    def test_path_is_passed_on_as_it_came(self, path):
        seen = []

        async def handler(req):
            seen.append(req.raw_path)
            return web.Response()

        self.ask(handler, path=path)
        self.assertEqual(path, seen[-1])

    def test_nobody_there(self):
        client_of = Target("payments", address(), 4, 4, "ready")

        async def scenario():
            client = TargetClient(client_of)
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


class LogClientTest(TestCase):
    """What the platform's log may answer, and what is made of it."""

    def ask(self, status, body, work):
        async def handler(_):
            return web.Response(status=status, body=body)

        async def scenario():
            port = free_port()
            server = await asyncio.get_running_loop().create_server(
                web.Server(handler), "127.0.0.1", port
            )
            async with aiohttp.ClientSession() as session:
                try:
                    return await work(HttpLog(f"http://127.0.0.1:{port}", session))
                finally:
                    server.close()

        return asyncio.run(scenario())

    @parameterized.expand(
        [
            (503, b"", LogDownError),
            (500, b"", LogSilentError),
            (410, b'{"first": 7}', LogTruncatedError),
            (410, b"{}", LogSilentError),
            (200, b"<html>", LogSilentError),
            (200, b'{"records": []}', LogSilentError),
            (200, b'{"records": [[1, 2, "?"]], "first": 1, "head": 1}', LogSilentError),
        ]
    )
    def test_read(self, status, body, expected):
        self.assertRaises(expected, self.ask, status, body, lambda log: log.read(0, 0))

    @parameterized.expand(
        [
            (429, b"", LogDownError),
            (503, b"", AppendUnknownError),
            (200, b"<html>", AppendUnknownError),
            (200, b"{}", AppendUnknownError),
        ]
    )
    def test_append(self, status, body, expected):
        self.assertRaises(expected, self.ask, status, body, lambda log: log.append(b"{}"))

    def test_good(self):
        body = b'{"records": [[3, 9, "YWI="]], "first": 1, "head": 3}'
        batch = self.ask(200, body, lambda log: log.read(0, 0))
        self.assertEqual(Batch([LogRecord(3, 9, b"ab")], 1, 3), batch)


class PeerTest(TestCase):
    """Responses are matched, and what was sent is known."""

    def test_crossed_and_late_responses(self):
        async def handler(envelope):
            await asyncio.sleep(envelope.news_ask.after / 1_000)
            return wire.types.Envelope(news=wire.types.News(offset=envelope.news_ask.after))

        async def ask(peer, after, timeout_s=5.0):
            envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=after))
            return (await peer.ask(envelope, timeout_s)).news.offset

        async def scenario():
            server = PeerServer(handler)
            where = address()
            await server.start(where)
            peer = Peer(where)
            waits = [50, 10, 30, 0]
            found = await asyncio.gather(*(ask(peer, wait) for wait in waits))
            with contextlib.suppress(TimeoutError):
                await ask(peer, 100, 0.01)
            after = await ask(peer, 1)
            await peer.close()
            await server.close()
            return found, after

        self.assertEqual(([50, 10, 30, 0], 1), asyncio.run(scenario()))

    def test_nothing_was_sent(self):
        peer = Peer(address())
        envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=0))
        exc = self.assertRaises(PeerLostError, asyncio.run, peer.ask(envelope, 1.0))
        self.assertFalse(exc.sent)

    @parameterized.expand([(b"\xff\xff\xff\xff",), (b"\x00\x00\x00\x03abc",)])
    def test_garbage_ends_the_connection_only(self, data):
        async def scenario():
            server = PeerServer(lambda _: None)
            where = address()
            await server.start(where)
            host, port = where.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            rest = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            await server.close()
            return rest

        self.assertEqual(b"", asyncio.run(scenario()))

    def test_frame_too_large(self):
        call = wire.types.Call(body=b"x" * (wire.MAX_FRAME + 1))
        self.assertRaises(FrameError, wire.encode, wire.types.Envelope(call=call))


def certificate(folder, name, days=1):
    """Write a self-signed certificate for loopback and return its files."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    built = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=2))
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            False,
        )
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    cert, secret = folder / f"{name}.pem", folder / f"{name}.key"
    cert.write_bytes(built.public_bytes(serialization.Encoding.PEM))
    secret.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(cert), str(secret)


class TlsTest(TestCase):
    """Certificates between nodes."""

    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())

    def ask(self, server_tls, client_tls):
        async def handler(_):
            return wire.types.Envelope(news=wire.types.News(offset=5))

        async def scenario():
            server = PeerServer(handler)
            where = address()
            await server.start(where, tls.server_context(server_tls))
            peer = Peer(where, tls.client_context(client_tls))
            envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=0))
            try:
                return (await peer.ask(envelope, 5.0)).news.offset
            finally:
                await peer.close()
                await server.close()

        return asyncio.run(scenario())

    def test_both_sides_known(self):
        cert, key = certificate(self.folder, "fleet")
        both = Tls(cert, key, cert)
        self.assertEqual(5, self.ask(both, both))

    @parameterized.expand([("stranger", 1), ("expired", -1)])
    def test_refused(self, name, days):
        cert, key = certificate(self.folder, "fleet")
        other, other_key = certificate(self.folder, name, days)
        if name == "expired":
            server = client = Tls(other, other_key, other)
        else:
            server, client = Tls(cert, key, cert), Tls(other, other_key, other)
        self.assertRaises(PeerLostError, self.ask, server, client)

    def test_reload_serves_callers_the_new_certificate(self):
        async def handler(req):
            return Reply(Outcome.ANSWERED, 200)

        async def shown(where):
            host, port = where.split(":")
            context = ssl.create_default_context()
            context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
            _, writer = await asyncio.open_connection(host, int(port), ssl=context)
            found = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
            writer.close()
            return x509.load_der_x509_certificate(found).subject.rfc4514_string()

        async def scenario():
            cfg = Tls(*certificate(self.folder, "old"))
            context = tls.server_context(cfg)
            listener = Listener(handler, SystemClock(), 1_000, None, lambda *_: None)
            where = address()
            await listener.start(where, context)
            before = await shown(where)
            tls.reload(context, Tls(*certificate(self.folder, "new")))
            after = await shown(where)
            await listener.close()
            return before, after

        self.assertEqual(("CN=old", "CN=new"), asyncio.run(scenario()))

    def test_wrong_key_is_told(self):
        cert, _ = certificate(self.folder, "one")
        _, key = certificate(self.folder, "two")
        exc = self.assertRaises(CertificateError, tls.server_context, Tls(cert, key))
        self.assertIn("one.pem", str(exc))


class ListenerTest(TestCase):
    """Bad input at the callers' listener."""

    def ask(self, headers, body):
        async def handler(req):
            return Reply(Outcome.ANSWERED, 200)

        async def scenario():
            listener = Listener(handler, SystemClock(), 1_000, None, lambda *_: None)
            where = address()
            await listener.start(where, None)
            async with (
                aiohttp.ClientSession() as session,
                session.post(f"http://{where}/a/b", headers=headers, data=body) as resp,
            ):
                found = resp.status, resp.headers.get("Beryldrum-Outcome")
            await listener.close()
            return found

        return asyncio.run(scenario())

    @parameterized.expand(
        [
            ("fits", {}, b"x" * 1_000, (200, "answered")),
            ("body", {}, b"x" * 1_001, (413, "not-run")),
            ("header", {"X-Large": "x" * 20_000}, b"", (400, None)),
        ]
    )
    def test_size(self, _, headers, body, expected):
        self.assertEqual(expected, self.ask(headers, body))


class MetricsTest(TestCase):
    """What statsd gets."""

    def test_changes_only(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(10)
            host, port = sock.getsockname()
            metrics = Metrics(f"{host}:{port}")
            metrics.count("retries")
            metrics.added(0.001)
            metrics.flush()
            first = sock.recv(4_096).decode()
            metrics.flush()
            second = sock.recv(4_096).decode()
        self.assertIn("beryldrum.retries:1|c", first)
        self.assertIn("beryldrum.added.p99_us:", first)
        self.assertNotIn("retries", second)


class LogTest(TestCase):
    """Lines are written later, bounded, and hide secrets."""

    def test_secrets_are_hidden(self):
        event = logs.hide_secrets(None, "", {"key": "s", "token": "t", "node": "n"})
        self.assertEqual({"key": "hidden", "token": "hidden", "node": "n"}, event)

    def test_bounded_queue_counts_what_it_drops(self):
        with structlog.testing.capture_logs() as lines:
            log = DecisionLog(structlog.get_logger())
            for _ in range(20_005):
                log.note(Decision("route", "only local", node="n"))
            self.assertEqual(20_000, log.flush())
        self.assertEqual(5, log.dropped)
        self.assertEqual("n", lines[0]["node"])


class CommandTest(TestCase):
    """The command line: exit codes, and every fault at once."""

    def run_main(self, *args):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main(list(args))
        return code, out.getvalue(), err.getvalue()

    def test_check(self):
        code, out, _ = self.run_main("check", "document", "examples/payments.yaml")
        self.assertEqual((0, "examples/payments.yaml: good\n"), (code, out))

    def test_check_prints_every_fault(self):
        path = Path(tempfile.mkdtemp()) / "bad.yaml"
        path.write_text("service: 7\ncolour: red\n")
        code, _, err = self.run_main("check", "document", str(path), "examples/none.yaml")
        self.assertEqual(2, code)
        for part in ("bad.yaml:1: service", "bad.yaml:2: colour", "none.yaml:1: file"):
            self.assertIn(part, err)

    @parameterized.expand(
        [
            ("node settings", 2, ["node", "--settings", "examples/none.yaml"]),
            ("no log", 5, ["show", "payments", "--log", "http://127.0.0.1:1"]),
            ("no node", 5, ["status", "--node", "http://127.0.0.1:1"]),
        ]
    )
    def test_exit_code(self, _, expected, args):
        code, _, err = self.run_main(*args)
        self.assertEqual(expected, code, err)
        self.assertNotIn("Traceback", err)

    @parameterized.expand([("", '["t"]', False), ("leaving: [t, u]\n", '["u"]', True)])
    def test_leaving_keeps_the_rest_of_the_text(self, line, expected, back):
        text = operations.with_leaving("# ours\n" + DOCUMENT + line, "t", back)
        self.assertIn("# ours\n", text)
        self.assertIn(f"leaving: {expected}", text)
        self.assertEqual(tuple(json.loads(expected)), parse(text).leaving)
