"""Tests of the soak's checker, and a short soak run with a fixed seed."""

import asyncio
import random
import unittest
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from soak.__main__ import run_seed
from soak.caller import Caller, Connection, Response, response_body
from soak.checker import Checker, ReceivedRequest, SentRequest

HEADERS = {
    "x-request-id": "r",
    "x-tenant": "mart",
    "x-caller-service": "shop",
    "x-deadline-milliseconds": "900",
}


def sent_request(**changes):
    return SentRequest("r", "h0", "shop", "/book/1", "k", False, 1000, 100.0)._replace(**changes)


def received_request(at=100.1, **headers):
    path = headers.pop("path", "/book/1")
    return ReceivedRequest("i-1", "shop", path, HEADERS | headers, b"", at)


class CheckerTest(TestCase):
    """Each check reports the violation it is for and accepts valid behaviour."""

    def setUp(self):
        super().setUp()
        self.checker = Checker(4.0, 4.0)
        self.checker.key_owners["k"] = "mart"
        self.checker.route_changes.append((float("-inf"), "shop"))

    @parameterized.expand(
        [
            ("as it should be", {}, {}, ""),
            ("never asked", {"request_id": "other"}, {}, "nobody asked"),
            ("its key", {}, {"authorization": "Bearer k"}, "sees the key"),
            ("of another", {}, {"x-tenant": "thief"}, "another organisation"),
            ("from another", {}, {"x-caller-service": "stock"}, "another caller"),
            ("too much time", {}, {"x-deadline-milliseconds": "1600"}, "more time"),
        ]
    )
    def test_arrival(self, _, changes, headers, finding):
        self.checker.record_sent(sent_request(**changes))
        self.checker.check_received(received_request(**headers))
        self.assertEqual(bool(finding), bool(self.checker.findings))
        self.assertIn(finding, "".join(self.checker.findings))

    def test_twice(self):
        self.checker.record_sent(sent_request())
        self.checker.check_received(received_request())
        self.checker.check_received(received_request())
        self.assertIn("twice", self.checker.findings[0])

    @parameterized.expand([("withdrawn", "withdrawn", "k", 5.0), ("left", "draining", "i-1", 2.0)])
    def test_too_late(self, _, table, name, limit_s):
        getattr(self.checker, table)[name] = 100.0 - limit_s - 0.5
        self.checker.record_sent(sent_request())
        self.checker.check_received(received_request(at=100.2))
        self.assertEqual(1, len(self.checker.findings))

    def test_a_refusal_that_is_not_true(self):
        req = sent_request()
        self.checker.record_sent(req)
        self.checker.check_response(req, 503, False, False)
        self.checker.check_received(received_request())
        self.checker.finish()
        self.assertIn("not true", self.checker.findings[0])

    @parameterized.expand([("shop", 0), ("stock", 1)])
    def test_an_old_configuration(self, now, findings):
        self.checker.route_changes.append((90.0, now))
        self.checker.record_sent(sent_request(path="/move/1"))
        self.checker.check_received(received_request(path="/move/1"))
        self.assertEqual(findings, len(self.checker.findings))

    @parameterized.expand(
        [
            # seconds since the key was added, whether the store is healthy, denied count of a 401
            ("the configuration before may be in force", 1.5, True, 0),
            ("it may not be any more", 2.5, True, 1),
            ("the store has just been away", 6.5, False, 0),
            ("a key that was always there", None, True, 1),
        ]
    )
    def test_denied(self, _, added_s, store_healthy, counted):
        if added_s is not None:
            self.checker.added["k"] = 100.0 - added_s
        if not store_healthy:
            self.checker.faulty_until["store"] = 99.0
        self.checker.check_response(sent_request(), 401, False, False)
        self.assertEqual(counted, self.checker.outcome_counts["denied"])

    def test_over_the_rate(self):
        for number in range(60):
            request_id = f"r{number}"
            self.checker.key_owners["k"] = "hot"
            self.checker.record_sent(sent_request(request_id=request_id))
            self.checker.check_received(
                received_request(**{"x-request-id": request_id, "x-tenant": "hot"})
            )
        self.assertIn("over the rate", self.checker.findings[0])


class StatementsTest(TestCase):
    """What targets state in their responses binds the hosts that have passed it on."""

    def setUp(self):
        super().setUp()
        self.checker = Checker(40, 40)
        self.checker.key_owners = {"k": "mart"}
        self.at = 100.0
        self.checker.now = lambda: self.at

    def arrive(self, at, host="h0"):
        request_id = f"r{at}"
        self.checker.record_sent(sent_request(request_id=request_id, sent_at=at, host=host))
        self.checker.check_received(received_request(at, **{"x-request-id": request_id}))

    @parameterized.expand(
        [
            # seconds after the first answer, host, when a fault ended, findings
            ("too many", 4.0, "h0", None, 1),
            ("before it binds", 2.0, "h0", None, 0),
            ("a host that passed none on", 4.0, "h1", None, 0),
            ("a host that had a fault since", 4.0, "h0", 101.0, 0),
        ]
    )
    def test_limit(self, _, after_s, host, faulty_until, findings):
        self.checker.limit_rate("i-1", 2.0)
        headers = {b"x-instance-id": b"i-1", b"server-limit": b"2"}
        self.checker.record_statements(sent_request(), headers)
        if faulty_until:
            self.checker.faulty_until["h0"] = faulty_until
        for number in range(18):
            self.arrive(self.at + after_s + number / 100, host)
        self.assertEqual(findings, len(self.checker.findings), self.checker.findings)

    @parameterized.expand([("late", 2.5, 1), ("in time", 1.5, 0)])
    def test_leaving(self, _, after_s, findings):
        headers = {b"x-instance-id": b"i-1", b"server-leaving": b"1"}
        self.checker.record_statements(sent_request(), headers)
        self.arrive(self.at + after_s)
        self.assertEqual(findings, len(self.checker.findings), self.checker.findings)


class EvacuationTest(TestCase):
    """Requests that start in an evacuated data centre are found, unless a fault excuses them."""

    @parameterized.expand(
        [
            # when the request is sent, hosts with a recent fault, findings
            ("in force", 105.5, "", 1),
            ("not in force yet", 104.9, "", 0),
            ("the gate had a fault, the entry had none", 105.5, "h1", 1),
            ("the entry had a fault, the gate had none", 105.5, "h0", 1),
            ("both had a fault", 105.5, "h0 h1", 0),
            ("the store had a fault", 105.5, "store", 0),
        ]
    )
    def test_arrival(self, _, sent_at, faulty, findings):
        checker = Checker(40, 40)
        checker.key_owners["k"] = "mart"
        checker.evacuated["dc1"] = 100.0
        checker.faulty_until = dict.fromkeys(faulty.split(), 104.0)
        checker.record_sent(sent_request(sent_at=sent_at))
        checker.check_received(received_request(sent_at + 0.1)._replace(host="h1"))
        self.assertEqual(findings, len(checker.findings), checker.findings)

    def test_a_store_fault_after_it_is_in_force(self):
        checker = Checker(40, 40)
        checker.key_owners["k"] = "mart"
        checker.evacuated["dc1"] = 100.0
        checker.in_force.add("dc1")
        checker.faulty_until["store"] = 108.0
        checker.record_sent(sent_request(sent_at=107.0))
        checker.check_received(received_request(107.1)._replace(host="h1"))
        self.assertEqual(1, len(checker.findings))

    def test_no_evacuation(self):
        checker = Checker(40, 40)
        checker.key_owners["k"] = "mart"
        checker.evacuated["dc2"] = 0.0
        checker.record_sent(sent_request())
        checker.check_received(received_request()._replace(host="h1"))
        self.assertEqual([], checker.findings)


class ColdTest(TestCase):
    """No more requests than the limit reach a cold target in any second."""

    @parameterized.expand([("over", 0.24, 1), ("at the limit", 0.25, 0), ("slow", 0.5, 0)])
    def test_rate(self, _, period_s, findings):
        checker = Checker(40, 40, most_cold=4)
        for number in range(5):
            checker.now = lambda at=100.0 + number * period_s: at
            checker.check_cold_arrival("i-1")
            checker.check_cold_arrival("another") if number == 0 else None
        self.assertEqual(findings, len(checker.findings), checker.findings)


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """Requests sent at once: answers in order, and none expected behind a close."""

    async def pipeline(self, edit, was_killed=False):
        """Send three requests that ran; ``edit`` changes their answers, in order."""
        checker = Checker(40, 40)
        caller = Caller(
            checker, random.Random(1), "h0", "shop", "", lambda: "k", lambda: 0.0,
            lambda *_: was_killed, lambda _: True, pipelines=True,
        )  # fmt: skip

        async def answer(data, count):
            self.assertEqual(3, data.count(b"GET /"))
            names = list(checker.sent_requests)
            checker.run_counts.update(names)
            signed = {b"x-server-signature": b"s"}
            return edit(
                [
                    Response(200, signed | {b"x-request-id": n.encode()}, response_body(n), True)
                    for n in names
                ]
            )

        conn = mock.Mock(send_all=answer, encode_request=Connection.encode_request, spec=Connection)
        await caller._send(conn)
        return checker

    @parameterized.expand(
        [
            ("as it should be", lambda a: a, False, ""),
            ("another order", lambda a: [a[1], a[0], a[2]], False, "out of order"),
            ("a body twice", lambda a: [a[0], a[1], a[2]._replace(body=a[1].body)], False,
             "of another request"),
            ("closed in between", lambda a: [a[0]], False, "lost without a fault"),
            ("closed by a kill", lambda a: [a[0]], True, ""),
            ("behind a close", lambda a: [a[0]._replace(keep_alive=False)], False, ""),
        ]
    )  # fmt: skip
    async def test_answers(self, _, edit, was_killed, finding):
        checker = await self.pipeline(edit, was_killed)
        self.assertEqual(bool(finding), bool(checker.findings), checker.findings)
        self.assertIn(finding, "".join(checker.findings))


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A connection reads several responses, up to one that closes."""

    @parameterized.expand(
        [("all", b"", [b"a", b"b"]), ("to a close", b"Connection: close\r\n", [b"a"])]
    )
    async def test_send_all(self, _, headers, bodies):
        async def serve(reader, writer):
            await reader.read(100)
            first = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + headers + b"\r\na"
            writer.write(
                first + (b"" if headers else b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")
            )
            await reader.read(100)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        conn = Connection(f"{host}:{port}")
        async with asyncio.timeout(5):
            responses = await conn.send_all(b"x", 2)
        conn.close()
        server.close()
        self.assertEqual(bodies, [response.body for response in responses])


class SoakTest(unittest.TestCase):
    """A run with real processes and the faults of a fixed seed; add seeds that ever failed."""

    @parameterized.expand([(1,)])
    def test_seed(self, seed):
        result = asyncio.run(run_seed(seed, seconds=6.0, hosts=3))
        self.assertEqual([], result["findings"], result)
        self.assertGreater(result["outcomes"]["200"], 0)
