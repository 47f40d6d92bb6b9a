"""Builds a node from its settings file and the platform adapter, and runs it."""

import os
import sys

import structlog

from .. import logs
from ..mesh.lines import LineWriter
from ..mesh.memory import return_large_blocks
from ..mesh.node import MeshNode, serve
from ..mesh.settings import MeshSettings, read
from .conventions import PlatformAdapter
from .store import PlatformStore

__all__ = ["SETTINGS_PATH_VARIABLE", "run"]

SETTINGS_PATH_VARIABLE = "BERYLDRUM_NODE_FILE"


class _SettingsFile:
    """The settings file; a change is noticed even if no signal announces it."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._read_mtime_ns = self._mtime_ns()

    def _mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0

    def read(self) -> MeshSettings:
        self._read_mtime_ns = self._mtime_ns()
        return read(self._path)

    def changed(self) -> bool:
        return self._mtime_ns() != self._read_mtime_ns


async def run() -> None:
    """Run the node that the settings file describes until it is stopped."""
    return_large_blocks()
    file = _SettingsFile(os.environ[SETTINGS_PATH_VARIABLE])
    cfg = file.read()
    lines = LineWriter(sys.stdout.fileno())
    logs.setup(cfg.log_level, "json", lines)
    adapter, store = PlatformAdapter(), PlatformStore(cfg.store)
    node = MeshNode(cfg, adapter, store, structlog.get_logger(), emit=lines.emit)
    await serve(node, file.read, file.changed)
