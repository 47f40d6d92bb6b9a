"""Runs a node on the platform: ``python -m beryldrum.platform``."""

import os
import signal
import sys


def _exit(*_: object) -> None:
    sys.exit(0)


# Until the node's event loop installs its own handlers. Set before the imports, which can
# be slow on a busy host. The settings are read after that, and again when they change.
signal.signal(signal.SIGTERM, _exit)
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402

from ..errors import SettingsError  # noqa: E402


def main() -> None:
    """Run a node until it is stopped; exit with a message if its settings are invalid."""
    # libuv reads this when uvloop is imported; io_uring is not allowed on the platform.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    from .process import run

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    except SettingsError as exc:
        sys.exit(str(exc))


main()
