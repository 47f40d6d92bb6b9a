"""Logging, metrics and the command line."""

import contextlib
import io
import json
import socket
import tempfile
from pathlib import Path

import structlog
from parameterized import parameterized
from testtools import TestCase

from beryldrum import cli, logs, operations
from beryldrum.decisions import Decision, DecisionLog
from beryldrum.document import parse
from beryldrum.metrics import Metrics

from .fakes import DOCUMENT


class LogTest(TestCase):
    """Secrets are redacted; the queue of lines to be written is bounded."""

    def test_secrets_are_hidden(self):
        event = logs.redact_secrets(None, "", {"key": "s", "token": "t", "node": "n"})
        self.assertEqual({"key": "hidden", "token": "hidden", "node": "n"}, event)

    def test_bounded_queue_counts_what_it_drops(self):
        with structlog.testing.capture_logs() as lines:
            log = DecisionLog(structlog.get_logger())
            for _ in range(20_005):
                log.record(Decision("route", "only local", node="n"))
            self.assertEqual(20_000, log.flush())
        self.assertEqual(5, log.dropped)
        self.assertEqual("n", lines[0]["node"])


class MetricsTest(TestCase):
    """The metrics sent to statsd."""

    def test_changes_only(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(10)
            host, port = sock.getsockname()
            metrics = Metrics(f"{host}:{port}")
            metrics.count("retries")
            metrics.record_added(0.001)
            metrics.flush()
            first = sock.recv(4_096).decode()
            metrics.flush()
            second = sock.recv(4_096).decode()
        self.assertIn("beryldrum.retries:1|c", first)
        self.assertIn("beryldrum.added.p99_us:", first)
        self.assertNotIn("retries", second)


class CommandTest(TestCase):
    """Exit codes and output of the command line."""

    def run_command(self, *args):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main(list(args))
        return code, out.getvalue(), err.getvalue()

    def test_check(self):
        code, out, _ = self.run_command("check", "document", "examples/payments.yaml")
        self.assertEqual((0, "examples/payments.yaml: good\n"), (code, out))

    def test_check_prints_every_fault(self):
        path = Path(tempfile.mkdtemp()) / "bad.yaml"
        path.write_text("service: 7\ncolour: red\n")
        code, _, err = self.run_command("check", "document", str(path), "examples/none.yaml")
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
        code, _, err = self.run_command(*args)
        self.assertEqual(expected, code, err)
        self.assertNotIn("Traceback", err)

    @parameterized.expand([("", '["t"]', False), ("leaving: [t, u]\n", '["u"]', True)])
    def test_leaving_keeps_the_rest_of_the_text(self, line, expected, back):
        text = operations.set_leaving("# ours\n" + DOCUMENT + line, "t", back)
        self.assertIn("# ours\n", text)
        self.assertIn(f"leaving: {expected}", text)
        self.assertEqual(tuple(json.loads(expected)), parse(text).leaving)
