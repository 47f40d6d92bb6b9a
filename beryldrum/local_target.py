"""The target on this host, and whether it accepts new requests.

:class:`LocalTarget` combines what the target last announced, what the service document
in force states about it, and whether the node itself is stopping. Its decision is
authoritative: other nodes may have an outdated view, but a request refused here never
reaches the target.
"""

import structlog

from . import request
from .clock import Clock
from .config_replica import ConfigReplica
from .decisions import Decision, DecisionLog
from .gate import Gate
from .limit import AdaptiveLimit
from .membership import GONE, LEAVING, READY, Membership
from .request import Reason, Reply
from .target import Target, TargetClient
from .target_side import GatedTarget, Waiter, resolve_waiters

__all__ = ["LocalTarget"]

logger = structlog.get_logger()

ANNOUNCEMENT_TTL_S = 5.0
NO_TARGET = Target("", "", 0, 0, READY)


class LocalTarget:
    """The target on this host, as announced, and its gate.

    ``current`` is None without a target; ``draining`` is set while the node stops.
    """

    def __init__(
        self, clock: Clock, replica: ConfigReplica, membership: Membership, decisions: DecisionLog
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._membership = membership
        self._decisions = decisions
        self._announced_at = 0.0
        self._retired: list[GatedTarget] = []
        self.current: GatedTarget | None = None
        self.draining = False

    def make_gate(self, target: Target) -> Gate[Waiter]:
        """Return the gate of a target; the benchmark baselines override this method."""
        limit = AdaptiveLimit(self._clock, target.slots, target.connections)
        return Gate(self._clock, limit)

    def announce(self, target: Target) -> bool:
        """Process an announcement of the target; returns whether it changed anything."""
        self._announced_at = self._clock.now()
        old = self.current
        if old is not None and old.client.target == target:
            return False
        if old is not None and old.client.target[:4] == target[:4]:
            old.client.target = target
            return True
        if old is not None:
            self._retired.append(old)
        self.current = GatedTarget(TargetClient(target), self.make_gate(target))
        return True

    def refusal(self, service: str) -> Reason | None:
        """Return why the target accepts no requests for a service, or None."""
        if self.draining:
            return request.STOPPING
        if self.current is None or self.current.client.target.service != service:
            return request.NO_TARGET
        doc = self._replica.state.documents.get(service)
        target = self.current.client.target
        if target.state != READY or (doc and target.address in doc.leaving):
            return request.LEAVING
        return None

    def entry_refusal(self, service: str) -> Reason | None:
        """Return why this node accepts no requests of external callers, or None."""
        return request.STOPPING if self.draining else None

    def refresh(self) -> bool:
        """Update the gate and the advert; returns whether the advert changed."""
        if self.current is not None:
            doc = self._replica.state.documents.get(self.current.client.target.service)
            quotas = doc.organisations if doc else {}
            weights = {name: quota.weight for name, quota in quotas.items()}
            self.current.gate.queue.weights = weights
        return self._advertise()

    def _advertise(self) -> bool:
        own = self._membership.own
        target = self.current.client.target if self.current else NO_TARGET
        reason = self.refusal(target.service)
        leaves = reason in (request.LEAVING, request.STOPPING)
        advertised = (target.service, target.address, LEAVING if leaves else READY, target.slots)
        if own.state == GONE or (own.service, own.target, own.state, own.slots) == advertised:
            return False
        self._decisions.record(Decision("advertise", advertised[2], service=target.service))
        self._membership.update_own(
            service=advertised[0], target=advertised[1], state=advertised[2], slots=advertised[3]
        )
        return True

    def with_load(self, reply: Reply) -> Reply:
        """Return ``reply`` with the admission level and the load of the gate."""
        if self.current is None:
            return reply
        load = self.current.gate.load()
        permille = 1000 * (load.in_flight + load.queued) // max(1, load.limit)
        return reply._replace(level=load.level, load_permille=max(1, permille))

    async def tick(self, runs: int) -> None:
        """Start or refuse waiting requests, and close targets that are gone and idle."""
        if self.current is not None:
            resolve_waiters(self.current.gate)
            expired = self._clock.now() - self._announced_at > ANNOUNCEMENT_TTL_S
            if expired and not runs:
                logger.warning(
                    "target stopped announcing itself, removed",
                    target=self.current.client.target.address,
                )
                self._retired.append(self.current)
                self.current = None
        if self._retired and not runs:
            await self._retired.pop().client.close()

    async def close(self) -> None:
        """Close all connections to targets."""
        for gated in (*self._retired, self.current):
            if gated is not None:
                await gated.client.close()
