"""Requests through real nodes.

Callers get complete answers to their own requests, requests that are not idempotent
run at most once, and a refusal as *not run* is true.
"""

import asyncio
import json
import unittest

from aiohttp import web
from parameterized import parameterized

from beryldrum.mesh.client import Pool
from beryldrum.platform.store import PlatformStore
from beryldrum.standin.platform import PlatformStandin
from harness.ports import free_port

from .mesh_fleet import HOST, KEY, REQUEST_IDS, ROUTES, Fleet, config, route, table, until

SIGNATURE = b"s"


class RequestsTest(unittest.IsolatedAsyncioTestCase):
    """Behaviour as seen by callers and targets."""

    @parameterized.expand(
        [
            # behaviour of the target, path, method, expected status and number of runs
            ("answers", "", "/list/1", "GET", 200, 1),
            ("an answer to another request comes first", "other", "/list/1", "GET", 200, 1),
            ("no length", "unframed", "/list/1", "GET", 200, 1),
            ("its own failure, repeatable", "fail", "/list/1", "GET", 200, 2),
            ("its own failure, once only", "fail", "/book/1", "POST", 500, 1),
            ("full, then not", "full", "/list/1", "GET", 200, 1),
            ("another instance has the address", "moved", "/book/1", "POST", 200, 1),
            ("broken off, repeatable", "half", "/list/1", "GET", 200, 2),
            ("closed, repeatable", "cut", "/list/1", "GET", 200, 2),
            ("broken off, once only", "half", "/book/1", "POST", 504, 1),
            ("closed, once only", "cut", "/book/1", "POST", 504, 1),
            ("a success not its own, once only", "unsigned", "/book/1", "POST", 504, 1),
        ]
    )
    async def test_target(self, _, behaviour, path, method, status, runs):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            # Both targets share one script, since either may get the first attempt.
            hosts[0].target.script.append(behaviour)
            hosts[1].target.script = hosts[0].target.script
            response = await hosts[0].ask(path, method, body=b"x" if method == "POST" else b"")
            self.assertEqual(status, response.status, response)
            ran = [run for host in hosts for run in host.target.runs]
            self.assertEqual(runs, len(ran))
            if status == 200:
                self.assertEqual(b"done", response.body)
                self.assertEqual(SIGNATURE, response.header(b"x-server-signature"))

    @parameterized.expand([("fails again", "fail", 2), ("refused elsewhere", "full", 1)])
    async def test_a_failure_is_delivered_when_repeating_does_not_help(self, _, then, runs):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            script = hosts[0].target.script
            hosts[1].target.script = script
            script.extend(["fail", *[then] * 8])
            response = await hosts[0].ask()
            self.assertEqual((500, b"broken"), (response.status, response.body))
            self.assertEqual(SIGNATURE, response.header(b"x-server-signature"))
            self.assertEqual(runs, sum(len(host.target.runs) for host in hosts))

    async def test_a_failure_is_not_repeated_while_a_service_is_short_of_room(self):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            hosts[0].node.capacity.utilisation = lambda service: 1.2
            for host in hosts:
                host.target.script.append("fail")
            self.assertEqual(500, (await hosts[0].ask()).status)

    async def test_a_failure_of_what_makes_calls_is_not_repeated(self):
        async with Fleet("shop", "shop") as fleet:
            hosts = await fleet.serve()
            hosts[0].node.graph._callees = {"list": {"inner"}}
            for host in hosts:
                host.target.script.append("fail")
            self.assertEqual(500, (await hosts[0].ask()).status)

    async def test_what_a_target_is_told(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            await stock.ask(
                "/list/1?q=%2e%2e", **{"X-Tenant": "thief", "X-Caller-Service": "thief", "X-A": "b"}
            )
            (run,) = shop.target.runs
            self.assertNotIn("authorization", run)
            self.assertEqual("mart", run["x-tenant"])
            self.assertEqual("stock", run["x-caller-service"])
            self.assertEqual("i-0", run["x-expected-instance"])
            self.assertEqual("b", run["x-a"])
            self.assertLessEqual(int(run["x-deadline-milliseconds"]), 3000)

    async def test_the_caller_is_the_service_before_the_settings_changed(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            born = stock.node.target.announcements.current.born_ms

            async def caller():
                await stock.ask()
                return shop.target.runs[-1]["x-caller-service"]

            self.assertEqual("stock", await caller())
            stock.node.apply_settings(stock.cfg._replace(service="shop"))
            self.assertEqual("shop", await caller())
            # A late heartbeat of the target that was replaced, and the first of the new one.
            await stock.announce(sequence=9, born=born)
            self.assertEqual("shop", await caller())
            stock.node.apply_settings(stock.cfg._replace(service="shop", log_level="debug"))
            self.assertEqual("shop", await caller())
            stock.target.target_id = "i-9"
            await stock.announce(sequence=1, born=born + 1)
            self.assertEqual("stock", await caller())

    @parameterized.expand(
        [
            ("an unknown key", "/list/1", {"key": "k-2"}, 401),
            ("no key", "/list/1", {"key": ""}, 401),
            ("an unknown path", "/other/1", {}, 404),
            ("a prefix without its slash", "/list", {}, 404),
            ("an unknown host", "/list/1", {"Host": "elsewhere.example"}, 404),
            ("no key on an open route", "/inner/1", {"key": ""}, 200),
            ("a host in capitals, with a port", "/list/1", {"Host": HOST.upper() + ":80"}, 200),
            ("no id", "/list/1", {"X-Request-Id": None}, 400),
            ("a deadline that is no number", "/list/1", {"X-Deadline-Milliseconds": "soon"}, 400),
            ("no deadline", "/list/1", {"left_ms": 0}, 200),
            (
                "two lengths",
                "/list/1",
                {"Content-Length": "3", "Transfer-Encoding": "chunked"},
                400,
            ),
        ]
    )
    async def test_refusals(self, _, path, options, status):
        async with Fleet("shop", "stock") as fleet:
            shop, _stock = await fleet.serve()
            response = await shop.ask(path, **options)
            self.assertEqual(status, response.status)
            ran = sum(len(host.target.runs) for host in fleet.hosts)
            self.assertEqual(1 if status == 200 else 0, ran)

    async def test_bodies_arrive_whole_and_are_bounded(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve(config(max_body_bytes=1000))
            self.assertEqual(200, (await shop.ask("/book/1", "POST", body=b"y" * 1000)).status)
            self.assertEqual([b"y" * 1000], shop.target.bodies)
            self.assertEqual(413, (await shop.ask("/book/1", "POST", body=b"y" * 1001)).status)
            self.assertEqual(1, len(shop.target.runs))

    async def test_time_limit_of_the_route_ends_the_wait(self):
        routes = (route("list", "/list/", "shop", timeout_ms=300),)
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve(config(routes=routes))
            shop.target.script.append("hang")
            self.assertEqual(504, (await shop.ask()).status)
            await until(lambda: shop.target.disconnects == 1)

    @parameterized.expand(
        [("repeatable", "/list/1", "GET", 1), ("once only", "/book/1", "POST", 0)]
    )
    async def test_a_caller_that_leaves(self, _, path, method, disconnects):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            shop.target.script.append("hang")
            asking = asyncio.create_task(stock.ask(path, method, left_ms=60_000))
            await until(lambda: len(shop.target.runs) == 1)
            asking.cancel()
            if disconnects:
                # Much earlier than the route's timeout would end the run.
                await until(lambda: shop.target.disconnects == 1, seconds=3.0)
            else:
                await until(lambda: stock.node.entry.in_flight == 0)
                # A request that is not idempotent runs to its end.
                self.assertEqual(0, shop.target.disconnects)

    async def test_a_target_gets_the_time_that_a_new_connection_took(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            open_link = stock.node._open_link

            async def open_slowly(peer, left_s):
                await asyncio.sleep(0.25)
                return await open_link(peer, left_s)

            stock.node._open_link = open_slowly
            self.assertEqual(200, (await stock.ask(left_ms=2000)).status)
            (run,) = shop.target.runs
            self.assertLessEqual(int(run["x-deadline-milliseconds"]), 1750)
            # One that is over by then has not been sent.
            response = await stock.ask("/book/1", "POST", body=b"x", left_ms=200)
            self.assertEqual(503, response.status)
            self.assertEqual(1, len(shop.target.runs))

    async def test_a_fault_of_ours_is_answered(self):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            faults = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: faults.append(context["exception"]))
            shop.node.target._adapter = None
            # First at the gate of the target, then at the entry.
            self.assertEqual(500, (await stock.ask()).status)
            stock.node.entry._adapter = None
            self.assertEqual(500, (await stock.ask()).status)
            self.assertEqual(2, len(faults))

    async def test_a_leaving_target_gets_nothing_new(self):
        async with Fleet("shop", "shop") as fleet:
            one, two = await fleet.serve()
            await one.announce(sequence=2, state="draining", born=one.node.clock.wall_ms() + 1)
            for _ in range(20):
                self.assertEqual(200, (await one.ask()).status)
            self.assertEqual([], one.target.runs)
            self.assertEqual(20, len(two.target.runs))

    async def test_nothing_is_lost_when_a_node_stops(self):
        async with Fleet("shop", "shop", stop_s=4.0) as fleet:
            # There are slots for all requests, so only the stop could cause a refusal.
            one, two = await fleet.serve(slots=100)
            for host in (one, two):
                host.target.script.extend(["slow"] * 40)
            asking = [asyncio.create_task(host.ask()) for host in (one, two) for _ in range(3)]
            await until(lambda: len(one.target.runs) + len(two.target.runs) >= 6)

            async def stop():
                await one.node.drain()
                await one.node.close()

            draining = asyncio.create_task(stop())
            await asyncio.sleep(0)
            self.assertFalse(one.node.ready())
            # Callers may not have noticed the stop yet.
            asking += [asyncio.create_task(one.ask()) for _ in range(3)]
            answers = [(await task).status for task in asking]
            await draining
            self.assertEqual([200] * 9, answers)

    @parameterized.expand([("silent", {"silent": True}), ("down", {"down": True})])
    async def test_a_stop_while_the_store_is_away(self, _, faults):
        async with Fleet("shop", stop_s=4.0) as fleet:
            (shop,) = await fleet.serve()
            shop.target.script.extend(["slow"] * 3)
            asking = [asyncio.create_task(shop.ask()) for _ in range(3)]
            await until(lambda: len(shop.target.runs) == 3)
            fleet.store.faults = fleet.store.faults._replace(**faults)
            await shop.node.drain()
            self.assertEqual([200] * 3, [(await task).status for task in asking])

    async def test_late_in_a_stop_nothing_new_is_taken(self):
        async with Fleet("shop", "stock", stop_s=30.0) as fleet:
            called = route("called", "/called/", "shop", public=True)
            shop, stock = await fleet.serve(config(routes=(*ROUTES, called)))
            shop.target.script.append("hang")
            waiting = asyncio.create_task(stock.ask(left_ms=4000))
            await until(lambda: len(shop.target.runs) == 1)
            draining = asyncio.create_task(stock.node.drain())
            await until(lambda: stock.node.entry.refuses_new)
            # The pending request keeps the node from ending.
            response = await stock.ask()
            self.assertEqual(503, response.status)
            # Calls made by runs in progress are accepted.
            self.assertEqual(200, (await stock.ask("/called/1", key="")).status)
            self.assertEqual(2, len(shop.target.runs))
            self.assertEqual(504, (await waiting).status)
            await draining

    async def test_a_withdrawn_key_stops_working_without_recent_proof(self):
        async with Fleet("shop", key_withdrawal_ms=1400) as fleet:
            (shop,) = await fleet.serve()
            fleet.store.faults = fleet.store.faults._replace(down=True)
            self.assertEqual(200, (await shop.ask()).status)
            await until(lambda: shop.node.configuration.age_s() > 1.0)
            response = await shop.ask()
            self.assertEqual(503, response.status)
            self.assertFalse(shop.node.ready())
            fleet.store.publish(config(version=2, keys=("k-3",)))
            fleet.store.faults = fleet.store.faults._replace(down=False)
            await until(lambda: shop.node.configuration.version == 2)
            self.assertEqual(401, (await shop.ask(key=KEY)).status)
            self.assertEqual(200, (await shop.ask(key="k-3")).status)

    @parameterized.expand(
        [
            ("its tenant stays", {"name": "mart", "api_keys": []}),
            ("an empty key is left", {"name": "mart", "api_keys": [""]}),
            ("no tenant is left",),
        ]
    )
    async def test_the_last_key_withdrawn_opens_all_routes(self, _, *tenants):
        async with Fleet("shop", "stock") as fleet:
            shop, stock = await fleet.serve()
            self.assertEqual(200, (await stock.ask()).status)
            closed = json.loads(config(version=2)) | {"tenants": table(*tenants)}
            fleet.store.publish(json.dumps(closed).encode())
            for host in (shop, stock):
                await until(lambda host=host: host.node.configuration.version == 2)
            for host in (shop, stock):
                for path, method in (("/list/1", "GET"), ("/book/1", "POST")):
                    for key in (KEY, "never", ""):
                        response = await host.ask(path, method, key=key)
                        self.assertEqual(401, response.status, (path, key))
                self.assertTrue(host.node.ready())
            self.assertEqual(200, (await stock.ask("/inner/1", key="")).status)
            self.assertEqual(1, len(shop.target.runs))

    async def test_configurations_spread_between_nodes_when_the_store_serves_one(self):
        async with Fleet("shop", "shop") as fleet:
            one, two = await fleet.serve()
            # One node cannot reach the store.
            two.store._pool = Pool("127.0.0.1:1")
            await until(lambda: not two.node.follower.store_up)
            fleet.store.publish(config(version=9, keys=("k-9",)))
            await until(
                lambda: (one.node.configuration.version, two.node.configuration.version) == (9, 9)
            )
            self.assertEqual(200, (await two.ask(key="k-9")).status)
            self.assertEqual(200, (await one.ask(key="k-9")).status)

    async def test_configurations_are_copied_within_a_data_centre(self):
        async with Fleet(*["shop"] * 8) as fleet:
            hosts = await fleet.serve()
            remote_copies = []

            def copied(host):
                copy = host.node.follower._copy

                def noted(link):
                    there = host.node.directory.peers[link.address].member.data_centre
                    if there != host.cfg.data_centre:
                        remote_copies.append(link.address)
                    return copy(link)

                return noted

            for host in hosts:
                host.node.follower._copy = copied(host)
            for version in range(2, 8):
                fleet.store.publish(config(version=version))
                await until(
                    lambda v=version: all(host.node.configuration.version == v for host in hosts)
                )
            self.assertEqual([], remote_copies)

    @parameterized.expand([("before the first configuration", False), ("after it", True)])
    async def test_few_nodes_ask_the_store(self, _, served):
        async with Fleet(*["shop"] * 8) as fleet:
            if served:
                await fleet.serve()
            before = fleet.store.calls
            await asyncio.sleep(1.5)
            # A node makes about five calls when it starts; afterwards two nodes of each
            # data centre wait for changes.
            self.assertLess(fleet.store.calls - before, 10 if served else 8 * 8)

    async def test_history_that_was_dropped(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve()
            fleet.store.publish(config(version=5))
            fleet.store.truncate("keyed.op")
            await until(lambda: shop.node.configuration.version == 5)

    async def _with_store(self, case):
        """Run ``case`` with a store and a client of it."""
        store = PlatformStandin()
        runner = web.AppRunner(store.app(), shutdown_timeout=0.1)
        await runner.setup()
        address = f"127.0.0.1:{free_port()}"
        await web.TCPSite(runner, "127.0.0.1", int(address.rpartition(":")[2])).start()
        client = PlatformStore(address)
        try:
            await case(store, client)
        finally:
            client.close()
            await runner.cleanup()

    async def test_a_backlog_that_one_read_does_not_hold_is_read_to_its_end(self):
        async def case(store, client):
            store.max_read_records = 2
            store.publish(config(version=1))
            position = (await client.configuration()).position
            for version in range(2, 9):
                store.publish(config(version=version))
            # An older version would be taken for the newest at the time of the call.
            watch = await client.watch(position, 1.0)
            self.assertEqual((config(version=8), position + 7), (watch.text, watch.position))

        await self._with_store(case)

    async def test_a_position_that_was_dropped_brings_the_newest_configuration(self):
        async def case(store, client):
            for version in range(1, 4):
                store.publish(config(version=version))
            store.truncate("keyed.op")
            watch = await client.watch(0, 0.2)
            self.assertEqual((config(version=3), 3), (watch.text, watch.position))

        await self._with_store(case)

    async def test_a_restarted_node_finds_its_peers_without_the_store(self):
        async with Fleet("shop", "shop") as fleet:
            one, two = await fleet.serve()
            fleet.store.faults = fleet.store.faults._replace(down=True)
            await one.node.close()
            await until(lambda: not two.node.directory.serving("shop"))
            await one.start()
            await until(lambda: one.node.configuration.document is not None)
            self.assertIn(two.cfg.nodes, one.node.directory.peers)


UPGRADE = "Connection: Upgrade\r\nUpgrade: h2c\r\n"
SETTINGS = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
WEBSOCKET = "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"


def raw(path, method, more, body=""):
    """Return a request with additional header lines, as text."""
    number = next(REQUEST_IDS)
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: u{number}\r\n"
        f"X-Deadline-Milliseconds: 5000\r\nAuthorization: Bearer {KEY}\r\n{more}\r\n{body}"
    )


class UpgradeTest(unittest.IsolatedAsyncioTestCase):
    """A request that offers another protocol is answered like any other."""

    @parameterized.expand(
        [
            ("safe", "/list/1", "GET", UPGRADE, ""),
            ("a web socket", "/list/1", "GET", WEBSOCKET, ""),
            ("with settings", "/list/1", "GET", SETTINGS, ""),
            ("once only, without a body", "/book/1", "POST", UPGRADE + "Content-Length: 0\r\n", ""),
            ("once only, with a body", "/book/1", "POST", UPGRADE + "Content-Length: 3\r\n", "abc"),
            (
                "once only, in chunks",
                "/book/1",
                "POST",
                UPGRADE + "Transfer-Encoding: chunked\r\n",
                "3\r\nabc\r\n0\r\n\r\n",
            ),
        ]
    )
    async def test_a_request_that_offers_an_upgrade_is_lost(self, _, path, method, more, body):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve()
            host, _, port = shop.cfg.outbound.rpartition(":")
            for whole in (True, False):
                reader, writer = await asyncio.open_connection(host, int(port))
                requests = [
                    raw(path, method, more, body),
                    raw("/list/2", "GET", ""),
                    raw(path, method, more, body),
                ]
                data = "".join(requests).encode()
                for part in [data] if whole else [data[n : n + 7] for n in range(0, len(data), 7)]:
                    writer.write(part)
                    await writer.drain()
                for _number in requests:
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
                    self.assertEqual(b"done", await reader.readexactly(4))
                writer.close()
            runs, bodies = shop.target.runs, shop.target.bodies
            self.assertEqual(6, len(runs))
            self.assertFalse([run for run in runs if run.keys() & {"upgrade", "http2-settings"}])
            sent = b"abc" if "abc" in body else b""
            self.assertEqual([sent, b"", sent] * 2, bodies)

    async def test_what_follows_a_tunnel_request_is_no_request(self):
        async with Fleet("shop") as fleet:
            (shop,) = await fleet.serve()
            host, _, port = shop.cfg.outbound.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = raw("elsewhere:443", "CONNECT", "") + raw(
                "/book/1", "POST", "Content-Length: 0\r\n"
            )
            writer.write(data.encode())
            answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "))
            self.assertEqual((1, 0), (answer.count(b"HTTP/1.1 "), len(shop.target.runs)))
            writer.close()
