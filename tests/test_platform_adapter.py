"""Decoding of valid and malformed data in the platform's wire formats."""

import contextlib
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from beryldrum.errors import DocumentError, FrameError
from beryldrum.mesh import frames
from beryldrum.mesh.client import Response
from beryldrum.mesh.conventions import Deregistration, ResponseKind
from beryldrum.mesh.http import HttpRequest
from beryldrum.mesh.target import DRAINING, Announcement, AnnouncementTracker
from beryldrum.platform.conventions import PlatformAdapter
from beryldrum.platform.documents import decode
from beryldrum.platform.store import _parse_records

from .mesh_fleet import config, route, table

ADAPTER = PlatformAdapter()
INFORMATION = {"service": "shop", "zone": "dc0", "slots": 4}
STATUS = {"state": "ready", "sequence": 3, "cold_remaining_ms": 250}
BEAT = {"address": "10.0.0.1:1", "information": INFORMATION, "status": STATUS, "born": 17}


def http_request(target, body=b"", **headers):
    """Return a request as the listener passes it on."""
    pairs = [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
    return HttpRequest("POST", target, {n.lower(): v for n, v in pairs}, pairs, body)


def beat(**changes):
    """Return the request of a heartbeat."""
    body = json.dumps(BEAT | changes).encode()
    return http_request("/rpc?call=instances.heartbeat&of=i-1", body)


class StatementTest(TestCase):
    """Heartbeats and deregistrations; malformed ones are ignored."""

    def test_heartbeat(self):
        message = ADAPTER.parse_target_message(beat())
        expected = Announcement("i-1", "shop", "10.0.0.1:1", "dc0", 4, "ready", 3, 0.25, 17)
        self.assertEqual(expected, message)

    def test_leave(self):
        self.assertEqual(
            Deregistration("i-1"),
            ADAPTER.parse_target_message(http_request("/rpc?call=instances.deregister&of=i-1")),
        )

    @parameterized.expand(
        [
            ("stated", b'{"born":17}', 17),
            ("beside other fields", b'{"born":17,"status":{"state":"draining"}}', 17),
            ("not stated", b"{}", 0),
            ("of another type", b'{"born":"17"}', 0),
            ("not json", b"\xff", 0),
        ]
    )
    def test_start_of_a_target_that_has_left(self, _, body, born_ms):
        message = ADAPTER.parse_target_message(
            http_request("/rpc?call=instances.deregister&of=i-1", body)
        )
        self.assertEqual(Deregistration("i-1", born_ms), message)

    @parameterized.expand(
        [
            ("not json", http_request("/rpc?call=instances.heartbeat&of=i-1", b"\xff{")),
            ("no id", http_request("/rpc?call=instances.heartbeat", json.dumps(BEAT).encode())),
            ("another call", http_request("/rpc?call=instances.list&of=i-1")),
            ("no status", beat(status=None)),
            ("an unknown state", beat(status=STATUS | {"state": "asleep"})),
            ("a sequence that is text", beat(status=STATUS | {"sequence": "3"})),
            ("no slots", beat(information=INFORMATION | {"slots": 0})),
            ("slots that are a list", beat(information=INFORMATION | {"slots": [4]})),
            ("no service", beat(information=INFORMATION | {"service": ""})),
            ("a list", http_request("/rpc?call=instances.heartbeat&of=i-1", b"[1]")),
        ]
    )
    def test_ignored(self, _, request):
        self.assertIsNone(ADAPTER.parse_target_message(request))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=300), st.text(max_size=60))
    def test_anything(self, body, target):
        ADAPTER.parse_target_message(http_request("/rpc?" + target, body))


class AnnouncedTest(TestCase):
    """Late, repeated and reordered messages of targets."""

    def announcement(self, sequence=1, target_id="i-1", born=100, state="ready"):
        return Announcement(target_id, "shop", "a:1", "dc0", 4, state, sequence, 0.0, born)

    @parameterized.expand(
        [
            # earlier heartbeats, the latest one, whether it is accepted
            ("the first", [], {}, True),
            ("the next", [{}], {"sequence": 2}, True),
            ("the same again", [{}], {}, False),
            ("an older one", [{"sequence": 5}], {"sequence": 4}, False),
            ("a new start under another id", [{}], {"target_id": "i-2", "born": 200}, True),
            ("a new start under its id", [{"sequence": 9}], {"born": 200, "sequence": 1}, True),
            ("an old start after a new one", [{"born": 200}], {"target_id": "i-0"}, False),
            ("ready after draining", [{"state": DRAINING}], {"sequence": 2}, False),
        ]
    )
    def test_heartbeats(self, _, earlier, latest, accepted):
        tracker = AnnouncementTracker()
        for fields in earlier:
            tracker.heartbeat(self.announcement(**fields))
        self.assertEqual(accepted, tracker.heartbeat(self.announcement(**latest)))

    def test_nothing_said_before_it_left_revives_a_target(self):
        tracker = AnnouncementTracker()
        tracker.heartbeat(self.announcement())
        self.assertTrue(tracker.deregister("i-1", 500))
        self.assertFalse(tracker.heartbeat(self.announcement(sequence=7)))
        self.assertEqual(DRAINING, tracker.current.state)

    @parameterized.expand([("an earlier start", 90, False), ("this one", 100, True)])
    def test_a_late_leave_of_an_earlier_start_takes_a_target_out(self, _, born_ms, left):
        tracker = AnnouncementTracker()
        tracker.heartbeat(self.announcement())
        self.assertEqual(left, tracker.deregister("i-1", 500, born_ms))
        self.assertEqual(DRAINING if left else "ready", tracker.current.state)
        # The start that has ended stays so.
        self.assertFalse(tracker.heartbeat(self.announcement(born=90, sequence=8)))

    def test_a_leave_that_is_heard_first(self):
        tracker = AnnouncementTracker()
        self.assertFalse(tracker.deregister("i-1", 500))
        self.assertFalse(tracker.heartbeat(self.announcement(born=400)))
        self.assertTrue(tracker.heartbeat(self.announcement(born=600)))


class DocumentTest(TestCase):
    """Decoding of the operator's configuration."""

    def test_routes(self):
        split = [{"service": "shop", "weight": 9}, {"service": "stock", "weight": 1}]
        routes = (
            route("all", "/", "shop"),
            route("deep", "/a/b/", None, weighted_services=split),
            route("once", "/a/", "stock", kind="unsafe", priority=0),
        )
        doc = decode(config(routes=routes))
        found = {path: doc.route("shop.example", path).name for path in ("/a/b/c", "/a/b", "/x")}
        self.assertEqual({"/a/b/c": "deep", "/a/b": "once", "/x": "all"}, found)
        self.assertIsNone(doc.route("other.example", "/a/"))
        deep = doc.route("shop.example", "/a/b/c")
        self.assertEqual([("shop", 9.0), ("stock", 1.0)], list(deep.service_weights))
        self.assertFalse(doc.route("shop.example", "/a/").idempotent)

    @parameterized.expand(
        [
            ("no tenants stated", None, False, []),
            ("no tenant left", [], True, []),
            ("tenants without a key", [{"name": "mart", "api_keys": []}, {"name": "b"}], True, []),
            ("keys that are omitted", [{"name": "mart", "api_keys": None}], True, []),
            ("an empty key", [{"name": "mart", "api_keys": [""]}], True, []),
            ("a key left", [{"name": "a"}, {"name": "b", "api_keys": ["k", ""]}], True, ["k"]),
        ]
    )
    def test_the_last_key_withdrawn_opens_all_routes(self, _, tenants, required, keys):
        value = json.loads(config())
        value.pop("tenants")
        if tenants is not None:
            value["tenants"] = table(*tenants)
        doc = decode(json.dumps(value).encode())
        self.assertEqual((required, keys), (doc.requires_keys, list(doc.organisations)))

    def test_organisations(self):
        doc = decode(config(rate=5, burst=7, keys=("a", "b")))
        self.assertEqual(doc.organisations["a"], doc.organisations["b"])
        self.assertEqual(
            (5, 7), (doc.rate_limited()["mart"].rate_per_s, doc.rate_limited()["mart"].burst)
        )

    @parameterized.expand(
        [
            ("not json", b"{"),
            ("no version", b'{"routes":{"columns":[],"rows":[]}}'),
            ("a row too short", config().replace(b'"rows": [[', b'"rows": [["x"],[', 1)),
            ("a route to nowhere", config(routes=(route("r", "/r/", None),))),
            ("attempts that are text", config(routes=(route("r", "/r/", "shop", attempts="2"),))),
        ]
    )
    def test_refused(self, _, text):
        self.assertRaises(DocumentError, ADAPTER.parse_document, text)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            _nested := lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["version", "routes", "services", "tenants", "columns", "rows", "name"]
                    ),
                    inner,
                    max_size=4,
                )
            ),
        )
    )
    def test_anything(self, value):
        with contextlib.suppress(DocumentError):
            ADAPTER.parse_document(json.dumps(value).encode())


def raw_headers(pairs):
    """Return header lines as the parser records them."""
    return [(name.lower(), name, value) for name, value in pairs]


def response(status, pairs):
    """Return a response without a body."""
    headers = {name.lower(): value for name, value in pairs}
    return Response(status, raw_headers(pairs), headers, b"")


class AnswerTest(TestCase):
    """Classification of answers, and the headers passed on in both directions."""

    @parameterized.expand(
        [
            ("its own success", 200, {"X-Server-Signature": "s"}, ResponseKind.ANSWERED),
            ("not its own", 200, {}, ResponseKind.UNVERIFIED),
            ("refused", 503, {"X-Not-Executed": "1"}, ResponseKind.NOT_RUN),
            ("another instance", 421, {}, ResponseKind.NOT_RUN),
            ("a failure", 503, {}, ResponseKind.FAILED),
            ("not found", 404, {}, ResponseKind.ANSWERED),
        ]
    )
    def test_judge(self, _, status, headers, expected):
        pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
        self.assertIs(expected, ADAPTER.classify(response(status, pairs)))

    def test_what_concerns_one_connection_is_not_passed_on(self):
        pairs = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"Keep-Alive", b"timeout=5")]
        head = ADAPTER.response_headers(response(200, [*pairs, (b"X-Kept", b"2")]))
        self.assertEqual(b"X-Kept: 2\r\n", head)

    def test_names_of_ours_are_not_taken_from_callers(self):
        pairs = [(b"x-tenant", b"thief"), (b"Authorization", b"Bearer k"), (b"A", b"b")]
        head = ADAPTER.forwarded_headers(raw_headers(pairs), "mart", "shop")
        self.assertEqual(b"A: b\r\nX-Caller-Service: shop\r\nX-Tenant: mart\r\n", head)


class FrameTest(TestCase):
    """Messages between nodes and records of the store."""

    @parameterized.expand(
        [
            (frames.Run(1, "s", "GET", "/", b"h", b"b", "o", 3, 100, 50, "r", True, "n"),),
            (frames.Reply(1, 0, 200, b"h", b"b", "", 0, frames.Load("s", 1, 2, 3.0), True),),
            (frames.Cancel(4),),
            (frames.DocumentRequest(5),),
        ]
    )
    def test_round_trip(self, message):
        self.assertEqual(message, frames.decode(frames.encode(message)[4:]))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_anything(self, body):
        with contextlib.suppress(FrameError):
            frames.decode(body)

    def test_an_empty_record_is_passed_over(self):
        whole = b"\x00\x00\x00\x03\x01kv"
        self.assertEqual([("k", b"v")], _parse_records(bytes(4) + whole))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_records_that_cannot_be_read(self, data):
        _parse_records(data)
