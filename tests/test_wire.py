"""Tests of the messages between nodes and of TLS."""

import asyncio
import contextlib
import datetime
import ipaddress
import ssl
import tempfile
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from parameterized import parameterized
from testtools import TestCase

from beryldrum import tls, wire
from beryldrum.clock import SystemClock
from beryldrum.errors import (
    CertificateError,
    FrameError,
    PeerLostError,
)
from beryldrum.listener import Listener
from beryldrum.peer import Peer, PeerServer
from beryldrum.request import Outcome, Reply
from beryldrum.settings import Tls
from harness.ports import free_address


class PeerTest(TestCase):
    """Responses are matched to their requests, and errors tell whether data was sent."""

    def test_crossed_and_late_responses(self):
        async def handler(envelope):
            await asyncio.sleep(envelope.news_ask.after / 1_000)
            return wire.types.Envelope(news=wire.types.News(offset=envelope.news_ask.after))

        async def ask(peer, after, timeout_s=5.0):
            envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=after))
            return (await peer.ask(envelope, timeout_s)).news.offset

        async def scenario():
            server = PeerServer(handler)
            addr = free_address()
            await server.start(addr)
            peer = Peer(addr)
            delays_ms = [50, 10, 30, 0]
            offsets = await asyncio.gather(*(ask(peer, delay_ms) for delay_ms in delays_ms))
            with contextlib.suppress(TimeoutError):
                await ask(peer, 100, 0.01)
            next_offset = await ask(peer, 1)
            await peer.close()
            await server.close()
            return offsets, next_offset

        self.assertEqual(([50, 10, 30, 0], 1), asyncio.run(scenario()))

    def test_nothing_was_sent(self):
        peer = Peer(free_address())
        envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=0))
        exc = self.assertRaises(PeerLostError, asyncio.run, peer.ask(envelope, 1.0))
        self.assertFalse(exc.sent)

    @parameterized.expand([(b"\xff\xff\xff\xff",), (b"\x00\x00\x00\x03abc",)])
    def test_garbage_ends_the_connection_only(self, data):
        async def scenario():
            server = PeerServer(lambda _: None)
            addr = free_address()
            await server.start(addr)
            host, port = addr.split(":")
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
    """Write a self-signed certificate for 127.0.0.1; return its file and the key's."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    cert = (
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
    cert_file, key_file = folder / f"{name}.pem", folder / f"{name}.key"
    cert_file.write_bytes(cert.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(cert_file), str(key_file)


class TlsTest(TestCase):
    """Authentication by certificates, and their reloading."""

    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())

    def ask(self, server_tls, client_tls):
        async def handler(_):
            return wire.types.Envelope(news=wire.types.News(offset=5))

        async def scenario():
            server = PeerServer(handler)
            addr = free_address()
            await server.start(addr, tls.server_context(server_tls))
            peer = Peer(addr, tls.client_context(client_tls))
            envelope = wire.types.Envelope(news_ask=wire.types.NewsAsk(after=0))
            try:
                return (await peer.ask(envelope, 5.0)).news.offset
            finally:
                await peer.close()
                await server.close()

        return asyncio.run(scenario())

    def test_both_sides_known(self):
        cert, key = certificate(self.folder, "fleet")
        fleet_tls = Tls(cert, key, cert)
        self.assertEqual(5, self.ask(fleet_tls, fleet_tls))

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

        async def presented_subject(addr):
            host, port = addr.split(":")
            context = ssl.create_default_context()
            context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
            _, writer = await asyncio.open_connection(host, int(port), ssl=context)
            cert = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
            writer.close()
            return x509.load_der_x509_certificate(cert).subject.rfc4514_string()

        async def scenario():
            cfg = Tls(*certificate(self.folder, "old"))
            context = tls.server_context(cfg)
            listener = Listener(handler, SystemClock(), 1_000, None, lambda *_: None)
            addr = free_address()
            await listener.start(addr, context)
            before = await presented_subject(addr)
            tls.reload(context, Tls(*certificate(self.folder, "new")))
            after = await presented_subject(addr)
            await listener.close()
            return before, after

        self.assertEqual(("CN=old", "CN=new"), asyncio.run(scenario()))

    def test_wrong_key_is_told(self):
        cert, _ = certificate(self.folder, "one")
        _, key = certificate(self.folder, "two")
        exc = self.assertRaises(CertificateError, tls.server_context, Tls(cert, key))
        self.assertIn("one.pem", str(exc))
