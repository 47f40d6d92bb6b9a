"""Runs a node on the platform: ``python -m beryldrum.platform``."""

import asyncio
import os
import sys

from ..errors import SettingsError


def main() -> None:
    """Run until stopped; settings that fail their check end the process."""
    # Read by the loop's library when it is imported: io_uring is not allowed here.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    from .process import run

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    except SettingsError as exc:
        sys.exit(str(exc))


main()
