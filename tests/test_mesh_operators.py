"""Tests of the settings, log lines, metrics and request traces of a mesh node."""

import contextlib
import io
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import structlog
from parameterized import parameterized
from testtools import TestCase

from beryldrum import cli
from beryldrum.clock import ManualClock
from beryldrum.errors import SettingsError
from beryldrum.mesh.document import Organisation
from beryldrum.mesh.explain import FAILURES_PER_S, Explainer
from beryldrum.mesh.lines import LineWriter
from beryldrum.mesh.metrics import MeshMetrics
from beryldrum.mesh.quota import Quotas
from beryldrum.mesh.settings import parse

SETTINGS = """\
name: node-1
data_centre: dc0
service: shop
outbound: 10.0.0.1:1
nodes: 10.0.0.1:2
ready: 10.0.0.1:3
control: 10.0.0.1:4
target: 10.0.0.1:5
store: 10.0.0.9:6
"""


def line(second, **fields):
    """Return a log line as a node writes it."""
    return json.dumps(fields | {"timestamp": f"2026-12-04T08:00:{second:02d}.000000Z"})


class SettingsTest(TestCase):
    """All faults of the settings are reported together."""

    def test_good(self):
        self.assertEqual("10.0.0.9:6", parse(SETTINGS).store)

    @parameterized.expand(
        [
            ("no_store", "store: 10.0.0.9:6\n", "", "store: missing"),
            ("no_port", "10.0.0.1:2", "10.0.0.1", "nodes: expected ip:port"),
            ("unknown", "service: shop", "service: shop\nsrevice: x", "srevice: unknown field"),
            ("ratio", "service: shop", "service: shop\nretry_ratio: much", "retry_ratio: expected"),
            ("not_yaml", "name: node-1", "name: [", "not YAML"),
        ]
    )
    def test_faults(self, _, old, new, fault):
        error = self.assertRaises(SettingsError, parse, SETTINGS.replace(old, new))
        self.assertIn(fault, str(error))


class ExplainerTest(TestCase):
    """Lines are rate-limited, and dropped lines are counted."""

    def test_failures_are_not_crowded_out_by_successes(self):
        with structlog.testing.capture_logs() as lines:
            explainer = Explainer(structlog.get_logger(), ManualClock())
            for number in range(500):
                if explainer.should_sample():
                    explainer.sample("entry", f"good-{number}", "answered")
                explainer.request("entry", f"bad-{number}", "overloaded")
            explainer.flush()
        bad = [text for text in lines if text.get("outcome") == "overloaded"]
        self.assertEqual(FAILURES_PER_S, len(bad))
        self.assertEqual(500 - FAILURES_PER_S, lines[-1]["count"])


class LineWriterTest(TestCase):
    """A standard output that nobody reads does not block the process."""

    def test_a_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        lines = LineWriter(writer)
        for _ in range(20):
            lines.write("x" * 99_999 + "\n")
            lines.emit()
        self.assertGreater(lines.dropped, 0)
        self.assertTrue(os.read(reader, 100_000).startswith(b"xxx"))
        lines.emit()


class MetricsTest(TestCase):
    """The text that the metrics address serves."""

    def test_text(self):
        metrics = MeshMetrics()
        metrics.count_request("answered", 0.02)
        metrics.count_request("overloaded", 0.0)
        text = metrics.text()
        self.assertIn('beryldrum_requests_total{outcome="overloaded"} 1', text)
        self.assertIn('beryldrum_answer_seconds{quantile="0.99"} 0.02', text)

    def test_a_hold_of_the_event_loop(self):
        metrics = MeshMetrics()
        for seconds in (0.001, 2.5, 0.3):
            metrics.record_hold(seconds)
        self.assertIn("beryldrum_loop_hold_seconds 2.5\n", metrics.text())
        self.assertIn("beryldrum_loop_hold_seconds 0\n", metrics.text())

    def test_rates(self):
        clock = ManualClock()
        quotas = Quotas(clock, random.Random(1))
        quotas.load({name: Organisation(name, None, 8.0, 8.0) for name in ("mart", "idle")})
        clock.advance(0.5)
        quotas.tick([])
        granted = sum(quotas.take("mart") for _ in range(20))
        text = MeshMetrics(quotas.states).text()
        for line_of in (
            f'granted_total{{organisation="mart"}} {granted}',
            f'refused_total{{organisation="mart"}} {20 - granted}',
            'beyond_part_total{organisation="mart"} 0',
            'part{organisation="mart"} 1.0',
            # Half a second's rate at the start, and that earned in half a second.
            'level{organisation="mart"} 8.0',
        ):
            self.assertIn(f"beryldrum_rate_{line_of}\n", text)
        self.assertNotIn("idle", text)


class RequestTraceTest(TestCase):
    """``beryldrum explain`` over the logs of several hosts."""

    def explain(self, *args):
        logs = {
            "a.log": [
                line(5, event="request", step="entry", request="r1", outcome="answer-lost"),
                line(1, event="request", step="entry", request="r2", outcome="overloaded"),
                "not a line of ours",
            ],
            "b.log": [
                line(3, event="request", step="gate", request="r1.c7", outcome="deadline"),
                line(4, event="peer lost", peer="10.0.0.2:7"),
                line(40, event="peer lost", peer="10.0.0.3:7"),
            ],
        }
        with tempfile.TemporaryDirectory() as folder:
            for name, texts in logs.items():
                Path(folder, name).write_text("\n".join(texts), encoding="utf-8")
            out = io.StringIO()
            files = [str(Path(folder, name)) for name in logs]
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(io.StringIO()):
                code = cli.main(["explain", *args, *files])
        return code, out.getvalue().splitlines()

    def test_a_request_and_its_calls_in_order(self):
        code, lines = self.explain("r1")
        self.assertEqual(0, code)
        self.assertEqual(2, len(lines))
        self.assertIn("deadline r1.c7", lines[0])
        self.assertIn("answer-lost r1", lines[1])

    def test_events_around_it(self):
        _, lines = self.explain("r1", "--around", "2")
        self.assertEqual(3, len(lines))
        self.assertIn("10.0.0.2:7", lines[1])

    def test_unknown(self):
        self.assertEqual((1, []), self.explain("r9"))


@contextlib.contextmanager
def starting_node():
    """Yield the process of a node that waits for its settings."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "node.yaml")
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "beryldrum.platform"],
            env=os.environ | {"BERYLDRUM_NODE_FILE": path},
        )
        # The FIFO opens once the process reads its settings; nothing is written to it.
        with open(path, "w"):
            yield process


class StartTest(TestCase):
    """A process that receives SIGTERM before its node runs exits with 0; SIGHUP ends none."""

    def test_sigterm_while_starting(self):
        with starting_node() as process:
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(60))

    def test_sighup_while_starting_ends_the_process(self):
        with starting_node() as process:
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
            with self.assertRaises(subprocess.TimeoutExpired):
                process.wait(0.5)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(60))
