"""The configuration that a node believes, and how old the proof of it is.

A read proves what was in force when it was sent, so the proof's age starts
there. A copy of a peer brings the age that the peer's proof had. Ages are judged
when a request is decided, on a clock that goes on while the process is paused.
"""

from collections.abc import Callable

from ..clock import Clock
from .document import FleetDocument

__all__ = ["NEVER", "FleetNews"]

NEVER = float("-inf")


class FleetNews:
    """The newest document known, and since when nothing newer is known to be."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.document: FleetDocument | None = None
        self.text = b""
        self.proved_at = NEVER
        self.changed: list[Callable[[FleetDocument], None]] = []

    @property
    def version(self) -> int:
        """The version in force here, -1 before the first."""
        return self.document.version if self.document else -1

    def take_up(self, doc: FleetDocument, text: bytes, proved_at: float) -> bool:
        """Put a document in force unless a newer one is; returns whether it was new.

        The proof counts for any document that is not older than what is in force:
        an older one says nothing of what has come since.
        """
        if doc.version < self.version:
            return False
        self.proved_at = max(self.proved_at, proved_at)
        if doc.version == self.version:
            return False
        self.document, self.text = doc, text
        for callback in self.changed:
            callback(doc)
        return True

    def confirm(self, version: int, proved_at: float) -> None:
        """Note that ``version`` was the newest at ``proved_at``."""
        if version == self.version:
            self.proved_at = max(self.proved_at, proved_at)

    def age_s(self) -> float:
        """Return the age of the proof in seconds, infinite without one."""
        return self._clock.now() - self.proved_at

    def age_ms(self) -> int:
        """Return the age of the proof in whole milliseconds, -1 without one."""
        age_s = self.age_s()
        return -1 if age_s == float("inf") else int(age_s * 1000) + 1
