"""Builds the one-file program, and tries it: ``make binary``, ``make binary-test``.

The file is a zip archive with an interpreter line. It unpacks its libraries once
into the folder that SHIV_ROOT names, on a host without a disk a tmpfs, and runs
in the process that was started. docs/design/binary.md has what was weighed.
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

__all__ = ["build", "smoke"]

ROOT = Path(__file__).parents[1]
BINARY = ROOT / "dist" / "beryldrum"


def build() -> None:
    """Build the file from the pinned requirements."""
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


async def smoke() -> dict[str, object]:
    """Start the file against the log's stand-in, look at it, and stop it."""
    fleet = Fleet()
    env = {**os.environ, "SHIV_ROOT": tempfile.mkdtemp(prefix="beryldrum-root-")}
    try:
        fleet.start_log()
        await fleet.log_up()
        fleet.add_host("one", "dc-1")
        path = fleet.write_settings("one")
        since = time.perf_counter()
        process = subprocess.Popen([str(BINARY), "node", "--settings", str(path)], env=env)

        async def up() -> bool:
            return bool(await fleet.status("one"))

        await fleet.until("node is up", up, 60.0)
        started_s = time.perf_counter() - since
        seen = psutil.Process(process.pid)
        children = len(seen.children(recursive=True))
        rss = seen.memory_info().rss
        process.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(process.wait, 30)
        unpacked = sum(f.stat().st_size for f in Path(env["SHIV_ROOT"]).rglob("*") if f.is_file())
        return {
            "binary": "smoke",
            "file_mb": round(BINARY.stat().st_size / 1e6, 1),
            "unpacked_mb": round(unpacked / 1e6, 1),
            "first_start_s": round(started_s, 2),
            "rss_mb": round(rss / 1e6, 1),
            "child_processes": children,
            "exit_code": code,
            "right": code == 0 and children == 0,
        }
    finally:
        await fleet.close()


def main() -> int:
    """Build, or try what has been built."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--smoke", action="store_true")
    if not parser.parse_args().smoke:
        build()
        print(f"dist/beryldrum: {BINARY.stat().st_size / 1e6:.1f} MB")
        return 0
    result = asyncio.run(smoke())
    print(json.dumps(result))
    return 0 if result["right"] else 1


if __name__ == "__main__":
    sys.exit(main())
