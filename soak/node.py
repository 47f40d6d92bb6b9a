"""Run a node with an offset wall clock: ``python -m soak.node MILLISECONDS``."""

import sys

from beryldrum.clock import SystemClock


def main() -> None:
    """Patch the wall clock, then run the node in this process."""
    offset_ms = int(sys.argv.pop())
    wall_ms = SystemClock.wall_ms
    SystemClock.wall_ms = lambda self: wall_ms(self) + offset_ms  # type: ignore[method-assign]
    import beryldrum.platform.__main__  # noqa: F401


main()
