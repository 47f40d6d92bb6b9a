"""The process that the platform starts: settings, adapter and node put together."""

import os
import sys

import structlog

from .. import logs
from ..mesh.lines import LineWriter
from ..mesh.node import MeshNode, serve
from ..mesh.settings import MeshSettings, read
from .conventions import PlatformConventions
from .store import PlatformStore

__all__ = ["PATH_VARIABLE", "run"]

PATH_VARIABLE = "BERYLDRUM_NODE_FILE"


class _File:
    """The settings file, which may change with or without a signal."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._stamp = self._now()

    def _now(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0

    def read(self) -> MeshSettings:
        self._stamp = self._now()
        return read(self._path)

    def changed(self) -> bool:
        return self._now() != self._stamp


async def run() -> None:
    """Run the node that the settings file describes until it is stopped."""
    file = _File(os.environ[PATH_VARIABLE])
    cfg = file.read()
    lines = LineWriter(sys.stdout.fileno())
    logs.setup(cfg.log_level, "json", lines)
    conventions, store = PlatformConventions(), PlatformStore(cfg.store)
    node = MeshNode(cfg, conventions, store, structlog.get_logger(), emit=lines.emit)
    await serve(node, file.read, file.changed)
