"""Tests of the check of a fleet's configuration before it is sent."""

import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import TestCase

from parameterized import parameterized

from beryldrum import cli

from .mesh_fleet import ROUTES, SERVICES, config, route, table

ORGANISATION = {
    "name": "mart",
    "api_keys": ["secret-1"],
    "requests_per_s": 10,
    "burst": 5,
    "allowed_regions": ["north"],
}
ONCE = [row | {"attempts": 1} for row in ROUTES]


def document(
    version=1, routes=(), services=SERVICES, organisations=(), changed=None, first=None, **limits
):
    """Return a faultless configuration with rows added, and the first of a table changed."""
    text = config(version, [*ONCE, *routes], services=services, **limits)
    record = json.loads(text) | {"tenants": table(ORGANISATION, *organisations)}
    if changed:
        rows = record[changed]
        values = dict(zip(rows["columns"], rows["rows"][0], strict=True)) | first
        rest = [dict(zip(rows["columns"], row, strict=True)) for row in rows["rows"][1:]]
        record[changed] = table(values, *rest)
    return record


def extra(**more):
    """Return an additional route without a fault."""
    return route("extra", "/extra/", "shop", attempts=1) | more


class DocumentCheckTest(TestCase):
    """Findings, differences and exit codes of the command."""

    def run_check(self, record, *args, in_force=None):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "next.json"
            path.write_text(record if isinstance(record, str) else json.dumps(record))
            if in_force is not None:
                other = Path(name) / "current.json"
                other.write_text(json.dumps(in_force))
                args += ("--in-force", str(other))
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = cli.main(["check", "configuration", str(path), *args])
        self.assertNotIn("secret", out.getvalue() + err.getvalue())
        return code, out.getvalue()

    def test_faultless(self):
        code, out = self.run_check(document())
        self.assertEqual((0, True), (code, out.endswith("next.json: good\n")))

    @parameterized.expand(
        [
            ("duplicate", {"routes": [extra(path_prefix="/list/")]}, 2, "routes", 4, "path_prefix"),
            ("route name", {"routes": [extra(name="list")]}, 1, "routes", 4, "name"),
            ("slash", {"routes": [extra(path_prefix="/x")]}, 2, "routes", 4, "path_prefix"),
            (
                "weight",
                {"routes": [extra(weighted_services=[{"service": "shop", "weight": 0}])]},
                1,
                "routes",
                4,
                "service, weighted_services",
            ),
            (
                "unlisted",
                {"routes": [extra(service="none")]},
                2,
                "routes",
                4,
                "service, weighted_services",
            ),
            (
                "no service",
                {"routes": [extra(service=None)]},
                2,
                "routes",
                4,
                "service, weighted_services",
            ),
            ("type", {"routes": [extra(timeout_ms="1")]}, 2, "routes", 4, "timeout_ms"),
            ("missing", {"routes": [extra(host=None)]}, 2, "routes", 4, "host"),
            (
                "timeout",
                {"routes": [extra(timeout_ms=5, target_latency_ms=6)]},
                1,
                "routes",
                4,
                "timeout_ms",
            ),
            (
                "objective",
                {"routes": [extra(target_latency_ms=0)]},
                1,
                "routes",
                4,
                "target_latency_ms",
            ),
            ("attempts", {"routes": [extra(attempts=2)]}, 0, "routes", 4, "attempts"),
            (
                "regions",
                {"routes": [extra(allowed_regions=["south"])]},
                1,
                "tenants",
                1,
                "allowed_regions",
            ),
            ("unused", {"services": [*SERVICES, {"name": "x"}]}, 1, "services", 3, "name"),
            ("service name", {"services": [*SERVICES, SERVICES[0]]}, 2, "services", 3, "name"),
            (
                "cold",
                {"changed": "services", "first": {"cold_per_s": 2}},
                1,
                "services",
                1,
                "cold_per_s",
            ),
            (
                "no key",
                {"changed": "tenants", "first": {"api_keys": [""]}},
                1,
                "tenants",
                1,
                "api_keys",
            ),
            (
                "shared key",
                {"organisations": [{"name": "other", "api_keys": ["secret-1"]}]},
                2,
                "tenants",
                2,
                "api_keys",
            ),
            (
                "key type",
                {"organisations": [{"name": "other", "api_keys": "secret-2"}]},
                2,
                "tenants",
                2,
                "api_keys",
            ),
            (
                "rate",
                {"changed": "tenants", "first": {"requests_per_s": 0.1}},
                1,
                "tenants",
                1,
                "requests_per_s",
            ),
            ("burst", {"changed": "tenants", "first": {"burst": 0}}, 1, "tenants", 1, "burst"),
            (
                "organisation name",
                {"organisations": [{"name": "mart", "api_keys": ["secret-2"]}]},
                2,
                "tenants",
                2,
                "name",
            ),
            (
                "no time",
                {"routes": [extra(timeout_ms=0, target_latency_ms=None)]},
                2,
                "routes",
                4,
                "timeout_ms",
            ),
            ("header", {"max_header_bytes": 0}, 2, "limits", 0, "max_header_bytes"),
            ("body", {"max_body_bytes": 0}, 1, "limits", 0, "max_body_bytes"),
        ]
    )
    def test_finding(self, _, changes, code, *place):
        """Guards against a fault that is missed, or found in the wrong place."""
        found, out = self.run_check(document(**changes), "--json")
        (finding,) = json.loads(out)["findings"]
        self.assertEqual(code, found)
        self.assertEqual(list(place), [finding[name] for name in ("table", "row", "field")])

    @parameterized.expand([("syntax", "{"), ("columns", "row"), ("no table", '{"version": 1}')])
    def test_record_that_cannot_be_decoded(self, _, text):
        record = text
        if text == "row":
            record = document()
            record["routes"]["rows"][1].pop()
        self.assertEqual(2, self.run_check(record)[0])

    @parameterized.expand([("lower", 4, 2), ("equal", 5, 1), ("greater", 6, 0)])
    def test_version(self, _, version, code):
        """Guards against sending a version that nodes ignore."""
        record = document(version, changed="tenants", first={"burst": 6})
        self.assertEqual(code, self.run_check(record, in_force=document(5))[0])

    def test_differences_are_named(self):
        """Guards against differences in other units than the record's, and printed keys."""
        record = document(
            2,
            [extra()],
            [*SERVICES[:1], {"name": "stock", "cold_start_s": 3}],
            changed="tenants",
            first={"api_keys": ["secret-2", "secret-3"]},
            header_timeout_ms=2000,
        )
        code, out = self.run_check(record, in_force=document())
        self.assertEqual(0, code)
        self.assertEqual(
            [
                "changed  limits header_timeout_ms: 3000 -> 2000",
                "added    routes extra",
                "changed  services stock cold_start_s: 0 -> 3",
                "changed  tenants mart api_keys: 1 removed, 2 added",
            ],
            out.splitlines()[1:],
        )
        _, out = self.run_check(record, "--json", in_force=document())
        self.assertEqual(4, len(json.loads(out)["changes"]))

    def test_row_that_cannot_be_decoded_is_not_told_as_removed(self):
        record = document(2, changed="routes", first={"timeout_ms": "1"})
        code, out = self.run_check(record, "--json", in_force=document())
        self.assertEqual((2, []), (code, json.loads(out)["changes"]))
