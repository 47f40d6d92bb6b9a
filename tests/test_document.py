"""Validation of documents and settings: all problems at once, with file, line and field."""

from parameterized import parameterized
from testtools import TestCase

from beryldrum import document, settings
from beryldrum.errors import DocumentError, SettingsError

GOOD = """\
service: payments
seats: 4
routes:
  - name: deposit
    path: /deposit
    methods: [POST]
    open: true
    idempotent: false
    importance: critical
organisations:
  remenar-01: {rate_per_s: 10, burst: 20}
"""

SETTINGS = """\
node: 127.0.0.1:7101
callers: 127.0.0.1:7100
egress: 127.0.0.1:7102
data_centre: sofia-1
log_url: http://127.0.0.1:7000
"""


class DocumentTest(TestCase):
    """Valid documents, and the problems reported for invalid ones."""

    def test_good(self):
        doc = document.parse(GOOD)
        self.assertEqual("deposit", doc.route("POST", "/deposit/7").name)
        self.assertIsNone(doc.route("POST", "/deposits"))
        self.assertIsNone(doc.route("GET", "/deposit"))

    @parameterized.expand(
        [
            ("unknown", GOOD + "colour: red\n", "d.yaml:12: colour: unknown field"),
            ("type", GOOD.replace("seats: 4", "seats: four"), "d.yaml:2: seats: expected a number"),
            ("choice", GOOD.replace("critical", "huge"), "d.yaml:9: routes[0].importance"),
            ("missing", GOOD.replace("    path: /deposit\n", ""), "routes[0].path: missing"),
            ("range", GOOD.replace("burst: 20", "burst: 0"), "organisations.remenar-01.burst"),
            ("twice", GOOD + "seats: 5\n", "d.yaml:12: seats: stated twice"),
            ("not yaml", "a: [", "not YAML"),
            ("empty", "", "is empty"),
            ("list", "- a\n", "expected a mapping"),
            ("flag", GOOD.replace("open: true", "open: 7"), "expected true or false"),
        ]
    )
    def test_fault(self, _, text, expected):
        exc = self.assertRaises(DocumentError, document.parse, text, "d.yaml")
        self.assertIn(expected, str(exc))

    def test_every_fault_at_once(self):
        text = GOOD.replace("seats: 4", "seats: 0").replace("critical", "huge")
        exc = self.assertRaises(DocumentError, document.parse, text)
        self.assertEqual(2, len(exc.problems))


class SettingsTest(TestCase):
    """Valid and invalid settings of a node, and the examples."""

    def test_good(self):
        self.assertEqual("sofia-1", settings.parse(SETTINGS).data_centre)

    @parameterized.expand(
        [
            ("name", SETTINGS.replace("127.0.0.1:7101", "host-a:7101"), "node: expected ip:port"),
            ("unknown", SETTINGS + "nodes: 5\n", "s.yaml:6: nodes: unknown field"),
            ("tls", SETTINGS + "callers_tls: {certificate: a.pem}\n", "go together"),
            ("seed", SETTINGS + "seeds: [here]\n", "expected ip:port, not here"),
        ]
    )
    def test_fault(self, _, text, expected):
        exc = self.assertRaises(SettingsError, settings.parse, text, "s.yaml")
        self.assertIn(expected, str(exc))

    @parameterized.expand([("payments",), ("tracker",), ("lambdesk",)])
    def test_examples(self, name):
        with open(f"examples/{name}.yaml") as file:
            self.assertEqual(name, document.parse(file.read()).service)

    def test_example_settings(self):
        self.assertEqual("127.0.0.1:7101", settings.read("examples/host.yaml").node)
