"""Data residency: no request, retry or call reaches a node outside its regions."""

import asyncio
import json
import unittest

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.directory import Peer
from beryldrum.mesh.frames import Member
from beryldrum.mesh.residency import Residency, allowed_regions

from .mesh_fleet import Fleet, config, route, until

EU, US = frozenset(["eu"]), frozenset(["us"])
REGIONS = {"dc0": "us", "dc1": "eu"}
INNER = route("inner", "/inner/", "stock", public=True)


def restricted(route_regions, organisation_regions):
    """Return a configuration in which routes and the organisation name regions."""
    routes = (route("list", "/list/", "shop", allowed_regions=route_regions), INNER)
    value = json.loads(config(routes=routes))
    value["tenants"]["columns"].append("allowed_regions")
    value["tenants"]["rows"][0].append(organisation_regions)
    return json.dumps(value).encode()


class ResidencyTest(TestCase):
    """A data centre that the settings do not know must not pass for a permitted one."""

    @parameterized.expand(
        [
            ("none named", [frozenset(), frozenset()], ["dc0", "dc1", "new"]),
            ("by one", [EU, frozenset()], ["dc1"]),
            ("by both", [EU | US, EU], ["dc1"]),
            ("by both, nothing in common", [EU, US], []),
            ("a region without a data centre", [frozenset([""])], []),
        ]
    )
    def test_permitted(self, _, lists, expected):
        peers = [
            Peer(Member("127.0.0.1:1", dc, 1), ManualClock().now()) for dc in (*REGIONS, "new")
        ]
        permitted = Residency(lambda: REGIONS).permitted(peers, allowed_regions(*lists))
        self.assertEqual(expected, [peer.member.data_centre for peer in permitted])


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Requests through real nodes; those in dc0 are in region us, those in dc1 in eu."""

    @parameterized.expand(
        [
            # regions of the route, of the organisation, statuses, runs in dc0 and in dc1
            ("none", None, None, {200}, (6, 0)),
            ("an empty list", [], [], {200}, (6, 0)),
            ("of the route", ["eu"], None, {200}, (0, 6)),
            ("of the organisation", None, ["eu"], {200}, (0, 6)),
            ("of both", ["eu", "us"], ["eu"], {200}, (0, 6)),
            ("nothing in common", ["us"], ["eu"], {503}, (0, 0)),
        ]
    )
    async def test_requests(self, _, of_route, of_organisation, statuses, runs):
        async with Fleet("shop", "shop", regions=REGIONS) as fleet:
            hosts = await fleet.serve(restricted(of_route, of_organisation))
            responses = [await hosts[0].ask() for _ in range(6)]
            self.assertEqual(statuses, {response.status for response in responses})
            self.assertEqual(runs, tuple(len(host.target.runs) for host in hosts))
            if 503 in statuses:
                self.assertIn(b"no-region", responses[0].body)
                self.assertTrue(responses[0].header(b"retry-after"))

    async def test_a_retry_stays_in_the_region(self):
        async with Fleet("shop", "shop", regions=REGIONS) as fleet:
            hosts = await fleet.serve(restricted(["eu"], None))
            hosts[1].target.script.extend(["fail", "full"] * 4)
            await asyncio.gather(*(hosts[0].ask() for _ in range(4)))
            self.assertEqual([], hosts[0].target.runs)

    async def test_a_region_without_a_target_is_refused_before_the_deadline(self):
        async with Fleet("shop", "stock", regions=REGIONS) as fleet:
            hosts = await fleet.serve(restricted(["eu"], None))
            async with asyncio.timeout(1.0):
                response = await hosts[0].ask(left_ms=5000)
            self.assertEqual((503, []), (response.status, hosts[0].target.runs))

    async def test_a_call_stays_in_the_regions_of_its_organisation(self):
        async with Fleet("shop", "stock", "stock", regions=REGIONS) as fleet:
            hosts = await fleet.serve(restricted(None, ["us"]))
            hosts[0].target.script.append("slow")
            asked = asyncio.create_task(hosts[0].ask(**{"X-Request-Id": "parent"}))
            await until(lambda: hosts[0].node.target.running)
            calls = [
                hosts[0].ask("/inner/1", key="", **{"X-Request-Id": f"parent.{n}"})
                for n in range(8)
            ]
            await asyncio.gather(*calls)
            self.assertEqual(200, (await asked).status)
            self.assertEqual([0, 8], [len(host.target.runs) for host in hosts[1:]])
