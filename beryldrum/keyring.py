"""Which organisation a key belongs to, and when that cannot be known.

Only digests are kept. A withdrawal comes as configuration, or from an operator
directly where the log cannot be reached; the latter only ever takes keys away.
"""

import hashlib
import hmac

from result import Err, Ok, Result

from . import request
from .clock import Clock
from .cluster_state import ClusterState
from .request import Reason

__all__ = ["Keyring", "digest_of"]


def digest_of(key: str) -> str:
    """Return the digest by which a key is known, SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


class Keyring:
    """The keys in force at one node.

    ``silence_s`` bounds how long keys are trusted without any news. News is an
    answer of the log, also one that says it is down, as then nothing can have
    been accepted, or a peer's newer knowledge.
    """

    def __init__(self, clock: Clock, silence_s: float) -> None:
        self._clock = clock
        self._silence_s = silence_s
        self._fleet = ClusterState()
        self._heard_at = clock.now()
        self.withdrawn: set[str] = set()

    def load(self, fleet: ClusterState) -> None:
        """Take up the configuration in force."""
        self._fleet = fleet
        self.withdrawn -= set(fleet.withdrawn)

    def heard(self, at: float) -> None:
        """Note that the configuration was known to be current at ``at``."""
        self._heard_at = max(self._heard_at, at)

    def withdraw(self, key_id: str) -> bool:
        """Stop a key at this node; returns False when it was stopped already."""
        if key_id in self.withdrawn or key_id in self._fleet.withdrawn:
            return False
        self.withdrawn.add(key_id)
        return True

    def organisation(self, key: str) -> Result[str, Reason]:
        """Return the organisation that ``key`` belongs to."""
        if not key:
            return Err(request.NO_KEY)
        if self._clock.now() - self._heard_at > self._silence_s:
            return Err(request.KEYS_STALE)
        digest = digest_of(key)
        known = self._fleet.keys.get(digest)
        if known is None or not hmac.compare_digest(known.digest, digest):
            return Err(request.BAD_KEY)
        if known.key_id in self.withdrawn:
            return Err(request.BAD_KEY)
        return Ok(known.organisation)
