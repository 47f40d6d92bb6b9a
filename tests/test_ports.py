"""Ports that tests and soaks hand out to the processes that they start."""

import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from harness.ports import free_port

ROOT = Path(__file__).parents[1]
COUNT = 600
HAND_OUT = f"""
from harness.ports import free_port
print(*(free_port() for _ in range({COUNT})), flush=True)
input()
"""


class FreePortTest(TestCase):
    """No port is handed out twice, in one process or in several at a time."""

    def test_two_processes_hand_out_the_same_port(self):
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", HAND_OUT],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _number in range(2)
        ]
        ports = [free_port() for _ in range(COUNT)]
        for process in processes:
            ports += map(int, process.stdout.readline().split())
        for process in processes:
            process.communicate("\n", timeout=10.0)
        self.assertEqual(3 * COUNT, len(ports))
        self.assertEqual(3 * COUNT, len(set(ports)))
