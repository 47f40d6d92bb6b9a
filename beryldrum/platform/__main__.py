"""Runs a node on the platform: ``python -m beryldrum.platform``."""

import asyncio
import os
import sys

# The node speaks no TLS here, and the library takes 4 MB of each process.
sys.modules["ssl"] = None  # type: ignore[assignment]

import structlog

from .. import logs
from ..errors import SettingsError
from ..mesh.node import MeshNode, serve
from ..mesh.settings import MeshSettings, read
from .conventions import PlatformConventions
from .store import PlatformStore

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
    logs.setup(cfg.log_level, "json", sys.stdout)
    node = MeshNode(cfg, PlatformConventions(), PlatformStore(cfg.store), structlog.get_logger())
    await serve(node, file.read, file.changed)


try:
    asyncio.run(run())
except SettingsError as exc:
    sys.exit(str(exc))
