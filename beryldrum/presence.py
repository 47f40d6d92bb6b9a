"""The target beside this node, and whether it takes new work.

:class:`Presence` knows what the target last announced, what the document in force
says of it, and whether the node itself is stopping. Its word is final: whatever
others believe, a refusal here is a refusal before the target.
"""

import structlog

from . import request
from .clock import Clock
from .decisions import Decision, DecisionLog
from .gate import Gate
from .limit import AdaptiveLimit
from .membership import GONE, LEAVING, READY, Membership
from .news import News
from .request import Reason, Reply
from .target import Target, TargetClient
from .target_side import Beside, Slot, pump

__all__ = ["Presence"]

logger = structlog.get_logger()

ANNOUNCE_LIFE_S = 5.0
NO_TARGET = Target("", "", 0, 0, READY)


class Presence:
    """The target on this host, as announced, and its gate."""

    def __init__(
        self, clock: Clock, news: News, roster: Membership, decisions: DecisionLog
    ) -> None:
        self._clock = clock
        self._news = news
        self._roster = roster
        self._decisions = decisions
        self._announced_at = 0.0
        self._retired: list[Beside] = []
        self.beside: Beside | None = None
        self.draining = False

    def make_gate(self, target: Target) -> Gate[Slot]:
        """Return the gate of a target; a baseline makes another one."""
        limit = AdaptiveLimit(self._clock, target.slots, target.connections)
        return Gate(self._clock, limit)

    def announce(self, target: Target) -> bool:
        """Take up what the target says of itself; returns whether that is news."""
        self._announced_at = self._clock.now()
        old = self.beside
        if old is not None and old.client.target == target:
            return False
        if old is not None and old.client.target[:4] == target[:4]:
            old.client.target = target
            return True
        if old is not None:
            self._retired.append(old)
        self.beside = Beside(TargetClient(target), self.make_gate(target))
        return True

    def refusal(self, service: str) -> Reason | None:
        """Return why the target takes no new work of a service, or None."""
        if self.draining:
            return request.STOPPING
        if self.beside is None or self.beside.client.target.service != service:
            return request.NO_TARGET
        doc = self._news.fleet.documents.get(service)
        target = self.beside.client.target
        if target.state != READY or (doc and target.address in doc.leaving):
            return request.LEAVING
        return None

    def entry_refusal(self, service: str) -> Reason | None:
        """Return why this node takes no callers' requests, or None."""
        return request.STOPPING if self.draining else None

    def refresh(self) -> bool:
        """Bring gate and advert in line; returns whether the advert is new."""
        if self.beside is not None:
            doc = self._news.fleet.documents.get(self.beside.client.target.service)
            quotas = doc.organisations if doc else {}
            weights = {name: quota.weight for name, quota in quotas.items()}
            self.beside.gate.queue.weights = weights
        return self._advertise()

    def _advertise(self) -> bool:
        own = self._roster.own
        target = self.beside.client.target if self.beside else NO_TARGET
        reason = self.refusal(target.service)
        leaves = reason in (request.LEAVING, request.STOPPING)
        says = (target.service, target.address, LEAVING if leaves else READY, target.slots)
        if own.state == GONE or (own.service, own.target, own.state, own.slots) == says:
            return False
        self._decisions.note(Decision("advertise", says[2], service=target.service))
        self._roster.update_own(service=says[0], target=says[1], state=says[2], slots=says[3])
        return True

    def stamped(self, reply: Reply) -> Reply:
        """Return ``reply`` with what the gate says of its load."""
        if self.beside is None:
            return reply
        load = self.beside.gate.load()
        permille = 1000 * (load.in_flight + load.queued) // max(1, load.limit)
        return reply._replace(level=load.level, load_permille=max(1, permille))

    async def tick(self, runs: int) -> None:
        """Start what waits, and let go of targets that are gone and idle."""
        if self.beside is not None:
            pump(self.beside.gate)
            silent = self._clock.now() - self._announced_at > ANNOUNCE_LIFE_S
            if silent and not runs:
                logger.warning("target fell silent", target=self.beside.client.target.address)
                self._retired.append(self.beside)
                self.beside = None
        if self._retired and not runs:
            await self._retired.pop().client.close()

    async def close(self) -> None:
        """Close the connections to targets."""
        for beside in (*self._retired, self.beside):
            if beside is not None:
                await beside.client.close()
