"""Statuses of a target that state nothing, or that are none.

A caller takes 408, 421, 429 and 503 for a guarantee that its request has not run. A target
that has run the request may send one of them without stating that it has not.
"""

import asyncio
import time
import unittest

from parameterized import parameterized

from .mesh_fleet import Fleet

DEADLINE_MS = 3_000
GUARANTEES = (408, 421, 429, 503)


class UnstatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against *not run* for a request that a target has run."""

    @parameterized.expand([(status,) for status in (408, 429, 503)])
    async def test_a_refusal_that_the_target_did_not_state(self, status):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            for host in hosts:
                host.target.script.append(f"status {status}")
            response = await hosts[0].ask("/book/1", "POST", body=b"x")
            self.assertEqual(1, sum(len(host.target.runs) for host in hosts))
            self.assertEqual(504, response.status)
            self.assertEqual(b"", response.header(b"x-server-signature"))

    @parameterized.expand([(408, 1), (429, 1), (503, 2)])
    async def test_a_request_that_may_run_again_keeps_the_targets_status(self, status, runs):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            for host in hosts:
                host.target.script.append(f"status {status}")
            response = await hosts[0].ask()
            self.assertEqual(status, response.status)
            self.assertEqual(b"s", response.header(b"x-server-signature"))
            self.assertEqual(runs, sum(len(host.target.runs) for host in hosts))


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer whose status is invalid, and a wait until the deadline for it."""

    @parameterized.expand(
        [("000",), ("007",), ("099",), ("20",), ("2000",), ("-200",), ("abc",), ("101",), ("1",)]
    )
    async def test_an_invalid_status(self, status):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            for path, method, body, expected in (
                ("/book/1", "POST", b"x", (504, 1)),
                ("/list/1", "GET", b"", (200, 2)),
            ):
                for host in hosts:
                    host.target.runs.clear()
                    host.target.script.clear()
                hosts[0].target.script = hosts[1].target.script
                hosts[0].target.script.append(f"status {status}")
                began = time.monotonic()
                response = await hosts[0].ask(path, method, body=body, left_ms=DEADLINE_MS)
                self.assertLess(time.monotonic() - began, DEADLINE_MS / 1000 / 2)
                runs = sum(len(host.target.runs) for host in hosts)
                self.assertEqual(expected, (response.status, runs))

    async def test_interim_responses_without_end(self):
        async with Fleet("shop") as fleet:
            (host,) = await fleet.serve()

            async def answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                try:
                    while not writer.is_closing():
                        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                        await writer.drain()
                        await asyncio.sleep(0.005)
                except ConnectionError:
                    pass

            host.target.stop()
            address, _, port = host.cfg.target.rpartition(":")
            server = await asyncio.start_server(answer, address, int(port))
            began = time.monotonic()
            response = await host.ask("/book/1", "POST", body=b"x", left_ms=DEADLINE_MS)
            server.close()
            self.assertEqual(504, response.status)
            self.assertLess(time.monotonic() - began, DEADLINE_MS / 1000 / 2)

    @parameterized.expand([(600,), (999,)])
    async def test_three_digits_beyond_the_classes_are_passed_on(self, status):
        async with Fleet("shop") as fleet:
            (host,) = await fleet.serve()
            host.target.script.append(f"status {status}")
            response = await host.ask("/book/1", "POST", body=b"x")
            self.assertEqual((status, b"odd"), (response.status, response.body))
