"""The configuration in force at a node, and how long ago it was confirmed.

A read from the store confirms what was in force when the read was sent, so the age of
the confirmation counts from then. A copy from a peer starts with the age that the peer's
confirmation had. The age is evaluated when a request is decided, on a clock that goes on
while the process is paused.
"""

from collections.abc import Callable

from ..clock import Clock
from .document import FleetDocument

__all__ = ["NEVER", "ConfigurationState"]

NEVER = float("-inf")


class ConfigurationState:
    """The newest document known, and when it was last confirmed to be the newest."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.document: FleetDocument | None = None
        self.text = b""
        self.confirmed_at = NEVER
        self.on_change: list[Callable[[FleetDocument], None]] = []

    @property
    def version(self) -> int:
        """The version in force here, -1 before the first."""
        return self.document.version if self.document else -1

    def apply(self, doc: FleetDocument, text: bytes, confirmed_at: float) -> bool:
        """Put a document in force unless a newer one is; returns whether it was new.

        ``confirmed_at`` is ignored with an older document, which does not confirm that
        the one in force is still the newest.
        """
        if doc.version < self.version:
            return False
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if doc.version == self.version:
            return False
        self.document, self.text = doc, text
        for callback in self.on_change:
            callback(doc)
        return True

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Record that ``version`` was the newest at ``confirmed_at``."""
        if version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self) -> float:
        """Return the age of the confirmation in seconds, infinite without one."""
        return self._clock.now() - self.confirmed_at

    def age_ms(self) -> int:
        """Return the age in whole milliseconds, -1 without one; sent and logged as ``proof_ms``."""
        age_s = self.age_s()
        return -1 if age_s == float("inf") else int(age_s * 1000) + 1
