"""Follows whether the target on this host is cold: by its heartbeats and its health page.

After an evacuation a target counts as cold until it says that it is not. It is asked on
its health page, once, since health checks are charged for; again only without an answer.
"""

import asyncio
from collections import Counter
from collections.abc import Callable

from ..clock import Clock
from ..errors import AnswerLostError, TargetUnreachedError
from .client import Pool
from .cold_start import ColdLimit, ColdPolicy
from .conventions import WireAdapter
from .explain import Explainer
from .target import Announcement

__all__ = ["ColdWatch"]

HEALTH_TIMEOUT_S = 1.0
"""Time limit of a health check; a target on this host answers within a run time."""

HEALTH_RETRY_MIN_S = 0.5
HEALTH_RETRY_MAX_S = 4.0
"""First and longest delay before a health check without an answer is repeated."""

ROOM_POLL_S = 0.05
"""Period at which a health check looks whether the limit leaves room for it."""


class ColdWatch:
    """What is known of the coldness of the target that was adopted last.

    ``on_change`` is called when the limit of a cold target begins or ends otherwise than
    by a heartbeat.
    """

    def __init__(
        self,
        clock: Clock,
        adapter: WireAdapter,
        explainer: Explainer,
        policy: ColdPolicy | None,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._adapter = adapter
        self._explainer = explainer
        self._policy = policy
        self._on_change = on_change
        self._target: Announcement | None = None
        self._limit: ColdLimit | None = None
        self._pool: Pool | None = None
        self._was_limited = False
        self._check: asyncio.Task[None] | None = None
        self.health_checks: Counter[str] = Counter()
        """Health checks since the start, by result: ``answered``, ``odd`` and ``failed``."""

    def adopt(self, target: Announcement, limit: ColdLimit, pool: Pool) -> None:
        """Follow a new target, from its first heartbeat on."""
        self.cancel()
        self._limit, self._pool = limit, pool
        self._was_limited = False
        self._configure_limit(target.service)
        self.heartbeat(target)

    def heartbeat(self, target: Announcement) -> bool:
        """Apply a heartbeat; returns whether the limit has begun or ended."""
        self._target = target
        if self._limit is None:
            return False
        self._limit.state(target.cold_s)
        return self._note_change("heartbeat")

    def configure(self) -> None:
        """Apply a new configuration or new settings."""
        if self._target is not None:
            self._configure_limit(self._target.service)
            self._notify("configuration")

    def _configure_limit(self, service: str) -> None:
        if self._limit is not None and self._policy is not None:
            self._limit.configure(self._policy.rate(service))

    def tick(self) -> None:
        """Notice that the time for which the target is cold is over."""
        self._notify("time")

    def evacuation_ended(self) -> None:
        """Count the target as cold, and ask it whether it is."""
        target, limit, pool = self._target, self._limit, self._pool
        self.cancel()
        if target is None or limit is None or pool is None or self._policy is None:
            return
        if self._policy.rate(target.service) is None:
            return
        limit.doubt()
        self._notify("evacuation")
        path = self._policy.health_path(target.service)
        if path:
            self._check = asyncio.create_task(self._ask(target, limit, pool, path))

    def cancel(self) -> None:
        """End a health check that is under way."""
        check, self._check = self._check, None
        if check is not None:
            check.cancel()

    def cold_s(self) -> float | None:
        """Return for how long the limit is in force, in seconds, None if it is not."""
        return self._limit.cold_s() if self._limit is not None and self._limit.limited else None

    def _notify(self, source: str) -> None:
        if self._note_change(source):
            self._on_change()

    def _note_change(self, source: str) -> bool:
        """Log that the limit has begun or ended; returns whether it has."""
        limit, target = self._limit, self._target
        if limit is None or target is None or limit.limited == self._was_limited:
            return False
        self._was_limited = limit.limited
        self._explainer.event(
            "target cold" if limit.limited else "target warm",
            target=target.target_id,
            source=source,
            cold_s=round(limit.cold_s(), 3) if not limit.doubted else None,
        )
        return True

    async def _ask(self, target: Announcement, limit: ColdLimit, pool: Pool, path: str) -> None:
        delay_s = HEALTH_RETRY_MIN_S
        while limit.doubted:
            if not limit.has_room():
                await asyncio.sleep(ROOM_POLL_S)
                continue
            if await self._ask_once(target, limit, pool, path):
                return
            await asyncio.sleep(delay_s)
            delay_s = min(HEALTH_RETRY_MAX_S, delay_s * 2)

    async def _ask_once(
        self, target: Announcement, limit: ColdLimit, pool: Pool, path: str
    ) -> bool:
        """Ask the health page; returns whether there was a response."""
        asked_at = self._clock.now()
        limit.take()
        sending = limit.sending()
        data = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path.encode(), target.address.encode())
        try:
            # A repeated answer to an earlier request could not be told from this one's.
            response = await pool.request(
                data, HEALTH_TIMEOUT_S, new_connection=True, on_send=sending
            )
        except (TargetUnreachedError, AnswerLostError, TimeoutError) as exc:
            self.health_checks["failed"] += 1
            self._explainer.event("health check", target=target.target_id, error=repr(exc))
            return False
        finally:
            sending.close()
        health = self._adapter.target_health(response)
        if health is None or health.target_id != target.target_id:
            # Only a heartbeat tells now; that of another target is of another start.
            self.health_checks["odd"] += 1
            self._explainer.event(
                "health check", target=target.target_id, status=response.status, answer=str(health)
            )
            return True
        self.health_checks["answered"] += 1
        limit.answer(health.cold_s, asked_at)
        self._explainer.event("health check", target=target.target_id, cold_s=health.cold_s)
        self._notify("health page")
        return True
