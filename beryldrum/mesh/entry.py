"""The entry: where a request from a caller or a target on this host begins.

A request passes a chain of checks, each of which may refuse it, and then the
attempts. What is refused here has touched no target.
"""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec
import xxhash

from .. import request
from ..clock import Clock
from ..errors import PeerLostError
from ..request import ADMIT_ALL_LEVEL, COHORTS, LOWEST_IMPORTANCE, Outcome, Reason, priority_of
from .admission import Admission
from .budget import MOST_ORDER, RetryBudget
from .configuration import ConfigurationState
from .conventions import Asked, Conventions
from .directory import Directory, Peer
from .document import FleetDocument, Limits, Organisation, Route
from .explain import Explainer
from .frames import Load, Reply, Run
from .graph import CallGraph
from .homes import RateHomes
from .http import SINGLE, HttpService, Incoming, Outgoing
from .placement import Placement
from .split import Splitter
from .work import Work, not_run, reason_of, unknown

__all__ = ["Attempts", "Check", "Entry", "KeyCheck", "LevelCheck", "Pending"]

NEGATIVE_AGE_S = 2.0
"""A key or route that is not in a document proved longer ago may be in a newer one."""

MOST_ATTEMPTS = 8
"""Attempts for one request; most are refusals of gates, which cost targets nothing."""

ROUTE_RANKS = 4
"""Ranks of routes that are told apart within one rank of organisations."""

LAST_MS = 15
"""Time left below which an attempt cannot reach a target and come back."""

RETRY_SOON_MS = 200
"""Pause told where the cause is expected to pass within some hundred ms."""

ABSENT_PAUSE_MS = 1_000
"""Least pause told where a service on the way has no target: that takes seconds to pass,
and most callers come back once."""

MOST_PAUSE_MS = 2_000
"""Longest pause that is told."""


class Pending(NamedTuple):
    """A request as the checks see it; ``organisation`` None before its key is checked."""

    asked: Asked
    route: Route
    priority: int
    organisation: Organisation | None
    now: float
    repeated: bool
    """Whether it is a call of a run that was handed over before."""


class Refused(NamedTuple):
    """Why a check refuses a request, and the pause to tell its caller.

    ``pending`` is the request as far as it was known then.
    """

    reason: Reason
    retry_after_ms: int = 0
    pending: Pending | None = None


class Check(ABC):
    """One decision at the entry. ``check`` returns the request, changed or not, or why not."""

    @abstractmethod
    def check(self, pending: Pending, doc: FleetDocument) -> Pending | Refused:
        """Decide on a request."""


class KeyCheck(Check):
    """Learns the organisation from the key, where a key is asked for.

    A key that was withdrawn must stop working everywhere, so without recent proof
    that it is in force nothing runs for it.
    """

    def __init__(self, news: ConfigurationState, proof_s: float) -> None:
        self._news = news
        self._proof_s = proof_s

    def check(self, pending: Pending, doc: FleetDocument) -> Pending | Refused:
        if pending.route.open or not doc.keyed:
            return pending
        age_s = self._news.age_s()
        if age_s > self._proof_s:
            return Refused(request.KEYS_STALE, RETRY_SOON_MS)
        org = doc.organisations.get(pending.asked.key)
        if org is None:
            if age_s > NEGATIVE_AGE_S:
                return Refused(request.KEYS_STALE, RETRY_SOON_MS)
            return Refused(request.BAD_KEY if pending.asked.key else request.NO_KEY)
        priority = priority_at(org.priority, pending.route, pending.asked.request_id)
        return Pending(pending.asked, pending.route, priority, org, pending.now, False)


class LevelCheck(Check):
    """Refuses whole requests that a target on their way would have no room for."""

    def __init__(
        self, admission: Admission, graph: CallGraph, pause_ms: Callable[[int], int]
    ) -> None:
        self._admission = admission
        self._graph = graph
        self._pause_ms = pause_ms

    def check(self, pending: Pending, doc: FleetDocument) -> Pending | Refused:
        if pending.priority < COHORTS:
            return pending
        services = self._services(pending.route)
        if self._admission.admits(pending.priority, services):
            return pending
        if all(self._admission.served(name) for name in services):
            return Refused(request.SHED, self._pause_ms(pending.priority))
        return Refused(request.NO_TARGET, ABSENT_PAUSE_MS + self._pause_ms(0))

    def _services(self, route: Route) -> Iterable[str]:
        reached = self._graph.reached(route)
        if self._graph.learnt:
            return reached
        # Of the services that may be on the way, one without targets need not be.
        own = {part.service for part in route.parts}
        return [name for name in reached if name in own or self._admission.served(name)]


def priority_at(organisation: int | None, route: Route, request_id: str) -> int:
    """Return the priority of a request from outside: below calls, which are 0.

    The organisation's rank goes first, then the route's, then a hash of the id.
    """
    rank = route.priority if organisation is None else organisation
    share = COHORTS // ROUTE_RANKS
    cohort = priority_of(0, request_id) % share
    return (
        min(rank + 1, LOWEST_IMPORTANCE) * COHORTS
        + min(route.priority, ROUTE_RANKS - 1) * share
        + cohort
    )


class _Tries:
    """The attempts of one request so far; ``reply`` is what the last one brought."""

    def __init__(self) -> None:
        self.refused: set[str] = set()
        """Addresses of the nodes that did not hand it over."""
        self.targets: set[str] = set()
        """Addresses of the nodes whose targets it was handed to."""
        self.failures = 0
        """Failures that targets answered."""
        self.reply = not_run(request.NO_TARGET, RETRY_SOON_MS)
        self._failed: Reply | None = None
        self._maybe_ran = False

    def note(self, address: str, reply: Reply) -> None:
        """Take up what the node at ``address`` replied."""
        (self.targets if reply.handed else self.refused).add(address)
        if reply.reason == request.NO_TARGET.type and self.reply.reason:
            # Its neighbour knew better why not.
            return
        self.reply = reply
        self._maybe_ran = self._maybe_ran or reply.outcome != Outcome.NOT_RUN
        if reply.outcome == Outcome.ANSWERED and reply.status >= 500:
            self._failed = reply
            self.failures += 1

    def answer(self) -> Reply:
        """Return the outcome of all attempts."""
        if self.reply.outcome != Outcome.ANSWERED and self._failed is not None:
            # A target's own failure is an answer; repeating it has brought none.
            return self._failed
        if self._maybe_ran and self.reply.outcome == Outcome.NOT_RUN:
            # True of the last attempt, but not of the request.
            return unknown(request.ANSWER_LOST)
        return self.reply


class Attempts:
    """Chooses a gate for each attempt and makes those that may be made again."""

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        placement: Placement,
        own: Callable[[str], Load | None],
        send: Callable[[Peer | None, Run, float], "asyncio.Future[Reply]"],
        repeatable: Callable[[Route], bool],
        budget: Callable[[str], RetryBudget],
        root: Callable[[str], str],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._own = own
        self._send = send
        self._repeatable = repeatable
        self._budget = budget
        self._root = root
        self._self = Peer(directory.own, clock.now())

    async def make(self, work: Work, asked: list[str]) -> Reply:
        """Return the outcome of the request over all its attempts.

        The addresses of the nodes that were asked are added to ``asked``.
        """
        budget = self._budget(work.service)
        if work.repeated:
            budget.charge()
        else:
            budget.deposit()
        tries = _Tries()
        for _ in range(MOST_ATTEMPTS):
            peer = self._choose(work, tries)
            if peer is None:
                break
            address = peer.member.address
            asked.append(address)
            tries.note(address, await self._attempt(peer, work, bool(tries.targets)))
            if not self._again(work, tries):
                break
            if tries.reply.handed and not budget.spend(self._order(work)):
                break
        return tries.answer()

    def _choose(self, work: Work, tries: "_Tries") -> Peer | None:
        route, refused, targets = work.route, tries.refused, tries.targets
        candidates = self._candidates(work.service)
        if len(targets) >= route.attempts:
            # No further target may be asked, but those that were may be again.
            candidates = [p for p in candidates if p.member.address in targets]
        limit_s = min(route.objective_s, route.timeout_s)
        choose = self._placement.choose
        other = choose(candidates, route.name, limit_s, refused | targets) if targets else None
        return other or choose(candidates, route.name, limit_s, refused)

    def _order(self, work: Work) -> int:
        step = MOST_ORDER // ADMIT_ALL_LEVEL
        spread = xxhash.xxh32_intdigest(self._root(work.request_id).encode()) % step
        return work.priority * step + spread

    def _candidates(self, service: str) -> Sequence[Peer]:
        peers = self._directory.serving(service)
        load = self._own(service)
        if load is None:
            return peers
        self._self.load = load
        self._self.sent = 0
        return [self._self, *peers]

    def _again(self, work: Work, tries: "_Tries") -> bool:
        reply = tries.reply
        if (work.deadline - self._clock.now()) * 1000 < LAST_MS:
            return False
        if reply.outcome == Outcome.NOT_RUN:
            return reply.reason != request.TOO_LATE.type
        if not work.route.idempotent:
            return False
        if reply.outcome == Outcome.ANSWERED:
            more = tries.failures < work.route.attempts
            return reply.status >= 500 and more and self._repeatable(work.route)
        return reply.reason == request.ANSWER_LOST.type

    async def _attempt(self, peer: Peer, work: Work, repeated: bool) -> Reply:
        now = self._clock.now()
        left_s = work.deadline - now
        if left_s * 1000 < LAST_MS:
            return not_run(request.TOO_LATE)
        peer.sent += 1
        target = None if peer is self._self else peer
        try:
            reply = await self._send(target, work.run(now, repeated), left_s)
        except PeerLostError as exc:
            return unknown(request.ANSWER_LOST) if exc.sent else not_run(request.TARGET_UNREACHED)
        except TimeoutError:
            peer.record_latency(work.route.name, left_s, now + left_s)
            return unknown(request.TIMED_OUT)
        if reply.load is not None and target is not None:
            self._directory.update_load(peer, reply.load)
        if reply.handed:
            ended = self._clock.now()
            good = reply.outcome == Outcome.ANSWERED and reply.status < 500
            peer.record_latency(work.route.name, ended - now, ended, good)
        return reply


class Entry(HttpService):
    """Answers the requests that begin on this host."""

    def __init__(
        self,
        clock: Clock,
        conventions: Conventions,
        news: ConfigurationState,
        checks: Sequence[Check],
        attempts: Attempts,
        rates: RateHomes,
        caller: Callable[[], str],
        explainer: Explainer,
        done: Callable[[str, float], None],
        rng: random.Random,
        called: Callable[[Route, str], tuple[int, bool]],
    ) -> None:
        self._called = called
        self._clock = clock
        self._conventions = conventions
        self._news = news
        self._checks = checks
        self._attempts = attempts
        self._rates = rates
        self._caller = caller
        self._explainer = explainer
        self._done = done
        self._split = Splitter(rng)
        self.single = SINGLE | {conventions.echo}
        self.stopping = False
        self.refusing = False
        """Whether only calls are taken, of what was taken before."""
        self.in_flight = 0

    def limits(self) -> Limits:
        return self._news.document.limits if self._news.document else Limits()

    def closing(self) -> bool:
        return self.stopping

    async def answer(self, incoming: Incoming) -> Outgoing:
        now = self._clock.now()
        asked = self._conventions.asked(incoming)
        if asked is None:
            return self._refuse("", request.BAD_HEADER, 0)
        admitted = self._admit(asked, now)
        if isinstance(admitted, Refused):
            self._explain_refusal(asked, admitted)
            return self._refuse(asked.request_id, admitted.reason, admitted.retry_after_ms)
        work = self._work(incoming, admitted)
        nodes: list[str] = []
        self.in_flight += 1
        try:
            refused = await self._over_rate(admitted)
            reply = await self._attempts.make(work, nodes) if refused is None else refused
        except asyncio.CancelledError:
            self._explain(asked, work, now, "caller-left", 0, nodes)
            self._done("caller-left", 0.0)
            raise
        finally:
            self.in_flight -= 1
        if isinstance(reply, Refused):
            self._explain_refusal(asked, reply)
            return self._refuse(asked.request_id, reply.reason, reply.retry_after_ms)
        return self._finish(asked, work, reply, now, nodes)

    async def _over_rate(self, pending: Pending) -> Refused | None:
        if pending.organisation is None:
            return None
        wait_ms = await self._rates.take(pending.organisation.name)
        if not wait_ms:
            return None
        return Refused(request.OVER_RATE, min(MOST_PAUSE_MS, wait_ms), pending)

    def _admit(self, asked: Asked, now: float) -> Pending | Refused:
        doc = self._news.document
        if doc is None:
            return Refused(request.NO_CONFIG, RETRY_SOON_MS)
        route = doc.route(asked.host, asked.path)
        if route is None:
            stale = self._news.age_s() > NEGATIVE_AGE_S
            return Refused(request.NO_CONFIG, RETRY_SOON_MS) if stale else Refused(request.NO_ROUTE)
        repeated = False
        if self.refusing and not route.open:
            return Refused(request.STOPPING, RETRY_SOON_MS)
        # A request without a key on an open route is a target's own call, or as
        # good as one.
        if route.open:
            priority, repeated = self._called(route, asked.request_id)
        elif doc.keyed:
            # Ranked with its organisation, once the key is known.
            priority = ADMIT_ALL_LEVEL - 1
        else:
            priority = priority_at(None, route, asked.request_id)
        pending = Pending(asked, route, priority, None, now, repeated)
        for check in self._checks:
            checked = check.check(pending, doc)
            if isinstance(checked, Refused):
                return checked._replace(pending=pending)
            pending = checked
        return pending

    def _work(self, incoming: Incoming, pending: Pending) -> Work:
        asked, route, now = pending.asked, pending.route, pending.now
        name = pending.organisation.name if pending.organisation else ""
        left_s = route.timeout_s if asked.left_ms < 0 else asked.left_ms / 1000
        return Work(
            route,
            self._split.service(route),
            incoming.method,
            incoming.target,
            self._conventions.forwarded(incoming.lines, name, self._caller()),
            incoming.body,
            name,
            pending.priority,
            now + route.objective_s,
            now + min(left_s, route.timeout_s),
            asked.request_id,
            pending.repeated,
        )

    def _finish(
        self, asked: Asked, work: Work, reply: Reply, since: float, nodes: list[str]
    ) -> Outgoing:
        reason = reason_of(reply)
        if reply.outcome == Outcome.NOT_RUN and work.organisation:
            self._rates.give_back(work.organisation)
        if reason is None:
            self._explain(asked, work, since, "answered", reply.status, nodes)
            self._done("answered", self._clock.now() - since)
            return Outgoing(reply.status, reply.head, reply.body)
        self._explain(asked, work, since, reason.type, reason.status, nodes)
        return self._refuse(asked.request_id, reason, reply.retry_after_ms)

    def _refuse(self, request_id: str, reason: Reason, pause_ms: int) -> Outgoing:
        self._done(reason.type, 0.0)
        # Only what has not run is to come back.
        pause_ms = min(MOST_PAUSE_MS, pause_ms) if reason.status in (429, 503) else 0
        head = self._conventions.refusal(request_id, pause_ms / 1000)
        problem = {"type": "urn:beryldrum:problem:" + reason.type, "title": reason.title}
        body = msgspec.json.encode(problem)
        return Outgoing(reason.status, head + b"Content-Type: application/problem+json\r\n", body)

    def _explain_refusal(self, asked: Asked, refused: Refused) -> None:
        pending = refused.pending
        org = pending.organisation if pending else None
        self._explainer.request(
            "entry",
            asked.request_id,
            refused.reason.type,
            status=refused.reason.status,
            route=pending.route.name if pending else "",
            organisation=org.name if org else "",
            priority=pending.priority if pending else -1,
            left_ms=asked.left_ms,
            retry_after_ms=refused.retry_after_ms,
            version=self._news.version,
            proof_ms=self._news.age_ms(),
        )

    def _explain(
        self,
        asked: Asked,
        work: Work,
        since: float,
        outcome: str,
        status: int,
        nodes: list[str],
    ) -> None:
        good = outcome == "answered" and status < 500
        if good and not self._explainer.should_sample():
            return
        note = self._explainer.sample if good else self._explainer.request
        note(
            "entry",
            asked.request_id,
            outcome,
            status=status,
            route=work.route.name,
            service=work.service,
            organisation=work.organisation,
            nodes=nodes,
            priority=work.priority,
            left_ms=asked.left_ms,
            took_ms=round((self._clock.now() - since) * 1000, 1),
            version=self._news.version,
            proof_ms=self._news.age_ms(),
        )
