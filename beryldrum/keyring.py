"""Authentication of API keys.

Only digests of keys are stored. A key is withdrawn by a log record, or directly
at a node by an operator while the log cannot be reached. The direct way can only
withdraw keys, never add them.
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
    """Return the digest that identifies a key: SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


class Keyring:
    """The API keys that one node accepts.

    ``max_silence_s`` is how long keys stay trusted after the key set was last
    confirmed to be current. Any answer of the log confirms it, even one that the
    log is down, as it then accepts no records; so does a peer whose own
    confirmation is more recent.
    """

    def __init__(self, clock: Clock, max_silence_s: float) -> None:
        self._clock = clock
        self._max_silence_s = max_silence_s
        self._state = ClusterState()
        self._confirmed_at = clock.now()
        self.withdrawn: set[str] = set()

    def update(self, state: ClusterState) -> None:
        """Use the keys of a new cluster state."""
        self._state = state
        self.withdrawn -= set(state.withdrawn)

    def confirm(self, at: float) -> None:
        """Record that the key set was known to be current at ``at``."""
        self._confirmed_at = max(self._confirmed_at, at)

    def withdraw(self, key_id: str) -> bool:
        """Stop accepting a key; returns False when it was withdrawn already."""
        if key_id in self.withdrawn or key_id in self._state.withdrawn:
            return False
        self.withdrawn.add(key_id)
        return True

    def authenticate(self, key: str) -> Result[str, Reason]:
        """Return the organisation that ``key`` belongs to, or why it is refused."""
        if not key:
            return Err(request.NO_KEY)
        if self._clock.now() - self._confirmed_at > self._max_silence_s:
            return Err(request.KEYS_STALE)
        digest = digest_of(key)
        record = self._state.keys.get(digest)
        if record is None or not hmac.compare_digest(record.digest, digest):
            return Err(request.BAD_KEY)
        if record.key_id in self.withdrawn:
            return Err(request.BAD_KEY)
        return Ok(record.organisation)
