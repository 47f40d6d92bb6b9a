"""Builds and smoke-tests the single-file program: ``make binary``, ``make binary-test``.

The file is an executable zip archive. On its first start it unpacks its libraries into
the directory that SHIV_ROOT names, which is a tmpfs on hosts without a disk, and then
runs in the process that was started. See docs/design/binary.md for the alternatives.
"""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from .fleet import Fleet

__all__ = ["build", "smoke_test"]

ROOT = Path(__file__).parents[1]
BINARY = ROOT / "dist" / "beryldrum"


def build() -> None:
    """Build the file with the pinned requirements."""
    BINARY.parent.mkdir(exist_ok=True)
    subprocess.run(
        [
            str(Path(sys.executable).with_name("shiv")),
            "--compressed",
            "--reproducible",
            "--python",
            "/usr/bin/env python3.11",
            "--console-script",
            "beryldrum",
            "--output-file",
            str(BINARY),
            "--quiet",
            "--requirement",
            str(ROOT / "requirements.txt"),
            str(ROOT),
        ],
        check=True,
    )


async def smoke_test() -> dict[str, object]:
    """Start a node from the file against the stand-in log, measure it and stop it."""
    fleet = Fleet()
    env = {**os.environ, "SHIV_ROOT": tempfile.mkdtemp(prefix="beryldrum-root-")}
    try:
        fleet.start_log()
        await fleet.wait_for_log()
        fleet.add_host("one", "dc-1")
        path = fleet.write_settings("one")
        started_at = time.perf_counter()
        process = subprocess.Popen([str(BINARY), "node", "--settings", str(path)], env=env)

        async def node_answers() -> bool:
            return bool(await fleet.status("one"))

        await fleet.wait_until("node answers", node_answers, 60.0)
        first_start_s = time.perf_counter() - started_at
        process_stats = psutil.Process(process.pid)
        children = len(process_stats.children(recursive=True))
        rss = process_stats.memory_info().rss
        process.send_signal(signal.SIGTERM)
        exit_code = await asyncio.to_thread(process.wait, 30)
        unpacked_bytes = sum(
            f.stat().st_size for f in Path(env["SHIV_ROOT"]).rglob("*") if f.is_file()
        )
        return {
            "binary": "smoke",
            "file_mb": round(BINARY.stat().st_size / 1e6, 1),
            "unpacked_mb": round(unpacked_bytes / 1e6, 1),
            "first_start_s": round(first_start_s, 2),
            "rss_mb": round(rss / 1e6, 1),
            "child_processes": children,
            "exit_code": exit_code,
            "right": exit_code == 0 and children == 0,
        }
    finally:
        await fleet.close()


def main() -> int:
    """Build the file, or smoke-test it if ``--smoke`` is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--smoke", action="store_true")
    if not parser.parse_args().smoke:
        build()
        print(f"dist/beryldrum: {BINARY.stat().st_size / 1e6:.1f} MB")
        return 0
    result = asyncio.run(smoke_test())
    print(json.dumps(result))
    return 0 if result["right"] else 1


if __name__ == "__main__":
    sys.exit(main())
