"""Runs a node on the platform: ``python -m beryldrum.platform``."""

import asyncio
import sys

from ..errors import SettingsError


def main() -> None:
    """Run until stopped; settings that fail their check end the process."""
    # The node speaks no TLS here, and the library takes 4 MB of each process.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from ..mesh.loop import new_event_loop
    from .process import run

    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run())
    except SettingsError as exc:
        sys.exit(str(exc))


main()
