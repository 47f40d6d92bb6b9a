"""The attempts of a request: which node it is sent to, and whether it is sent to another."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .. import request
from ..clock import Clock
from ..errors import PeerLostError
from ..request import Outcome
from .budget import RetryBudget
from .checks import NO_TARGET_RETRY_AFTER_MS, SHORT_RETRY_AFTER_MS
from .directory import Directory, Peer
from .document import Route
from .exchange import AdmittedRequest, not_run, unknown
from .frames import Load, Reply, Run
from .gate import is_call
from .load_balancer import LoadBalancer
from .priorities import retry_order
from .residency import Residency

__all__ = ["AttemptRunner", "Hop"]

MAX_ATTEMPTS = 8
"""Attempts for one request; most end in a refusal at a gate, which costs targets nothing."""

MIN_ATTEMPT_MS = 15
"""Remaining time below which an attempt is not made: it could not reach a target and
return."""


class Hop(NamedTuple):
    """A node that a request was sent to, and why it left its data centre, or empty."""

    address: str
    left: str


class _AttemptHistory:
    """The attempts of one request so far; ``reply`` is the latest reply that counts."""

    def __init__(self, no_target: Reply) -> None:
        self.refused: set[str] = set()
        """Addresses of the nodes that did not hand the request to their target."""
        self.targets: set[str] = set()
        """Addresses of the nodes that handed the request to their target."""
        self.failures = 0
        """Number of 5xx answers from targets."""
        self.reply = no_target
        self._failure_reply: Reply | None = None
        self._maybe_ran = False

    def record(self, address: str, reply: Reply) -> None:
        """Record the reply of the node at ``address``."""
        (self.targets if reply.handed else self.refused).add(address)
        if reply.reason == request.NO_TARGET.type and self.reply.reason:
            # An earlier reply gave a more specific reason.
            return
        self.reply = reply
        self._maybe_ran = self._maybe_ran or reply.outcome != Outcome.NOT_RUN
        if reply.outcome == Outcome.ANSWERED and reply.status >= 500:
            self._failure_reply = reply
            self.failures += 1

    def result(self) -> Reply:
        """Return the outcome of the request over all attempts."""
        if self.reply.outcome != Outcome.ANSWERED and self._failure_reply is not None:
            # No retry succeeded, so the failure that a target answered is returned.
            return self._failure_reply
        if self._maybe_ran and self.reply.outcome == Outcome.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            return unknown(request.ANSWER_LOST)
        return self.reply


class AttemptRunner:
    """Sends a request to a node, and retries it on others where that is allowed.

    ``local_load`` returns the load of the target on this host, or None if it accepts no
    work of the service. ``send`` sends a run to a peer, or to this host if the peer is
    None. ``retryable`` tells whether a 5xx answer on a route may be retried, ``budget``
    returns the retry budget of a service. ``on_call`` is called for each attempt of a call
    that a target got, with the service, whether it is a retry, and whether another one is
    needed.
    """

    def __init__(
        self,
        clock: Clock,
        directory: Directory,
        load_balancer: LoadBalancer,
        residency: Residency,
        local_load: Callable[[str], Load | None],
        send: Callable[[Peer | None, Run, float], "asyncio.Future[Reply]"],
        retryable: Callable[[Route], bool],
        budget: Callable[[str], RetryBudget],
        root_request_id: Callable[[str], str],
        on_call: Callable[[str, bool, bool], None],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._load_balancer = load_balancer
        self._residency = residency
        self._local_load = local_load
        self._send = send
        self._retryable = retryable
        self._budget = budget
        self._root_request_id = root_request_id
        self._on_call = on_call
        self._local_peer = Peer(directory.own, clock.now())

    async def run(self, req: AdmittedRequest, hops: list[Hop]) -> Reply:
        """Return the outcome of the request over all its attempts.

        A hop for each node that the request was sent to is appended to ``hops``.
        """
        budget = self._budget(req.service)
        if req.is_retry:
            budget.charge()
        else:
            budget.deposit()
        if req.regions is None:
            history = _AttemptHistory(not_run(request.NO_TARGET, SHORT_RETRY_AFTER_MS))
        else:
            history = _AttemptHistory(not_run(request.NO_REGION, NO_TARGET_RETRY_AFTER_MS))
        for _ in range(MAX_ATTEMPTS):
            peer = self._choose(req, history)
            if peer is None:
                break
            address = peer.member.address
            hops.append(Hop(address, self._load_balancer.left))
            is_retry = bool(history.targets)
            history.record(address, await self._attempt(peer, req, is_retry))
            should_retry = self._should_retry(req, history)
            if history.reply.handed and is_call(req.priority):
                self._on_call(req.service, is_retry, should_retry)
            if not should_retry:
                break
            root_id = self._root_request_id(req.request_id)
            if history.reply.handed and not budget.spend(retry_order(req.priority, root_id)):
                break
        return history.result()

    def _choose(self, req: AdmittedRequest, history: "_AttemptHistory") -> Peer | None:
        route, refused, targets = req.route, history.refused, history.targets
        candidates = self._residency.permitted(self._candidates(req.service), req.regions)
        if len(targets) >= route.attempts:
            # The limit of distinct targets is reached; only these may be tried again.
            candidates = [p for p in candidates if p.member.address in targets]
        limit_s = min(route.latency_objective_s, route.timeout_s)
        choose = self._load_balancer.choose
        if targets:
            tried = refused | targets
            other = choose(candidates, route.name, limit_s, tried, req.regions, False)
            if other is not None:
                return other
        return choose(candidates, route.name, limit_s, refused, req.regions, not targets)

    def _candidates(self, service: str) -> Sequence[Peer]:
        peers = self._directory.serving(service)
        load = self._local_load(service)
        if load is None:
            return peers
        self._local_peer.load = load
        self._local_peer.sent = 0
        return [self._local_peer, *peers]

    def _should_retry(self, req: AdmittedRequest, history: "_AttemptHistory") -> bool:
        reply = history.reply
        if (req.deadline - self._clock.now()) * 1000 < MIN_ATTEMPT_MS:
            return False
        if reply.outcome == Outcome.NOT_RUN:
            return reply.reason != request.TOO_LATE.type
        if not req.route.idempotent:
            return False
        if reply.outcome == Outcome.ANSWERED:
            attempts_left = history.failures < req.route.attempts
            return reply.status >= 500 and attempts_left and self._retryable(req.route)
        return reply.reason == request.ANSWER_LOST.type

    async def _attempt(self, peer: Peer, req: AdmittedRequest, is_retry: bool) -> Reply:
        now = self._clock.now()
        left_s = req.deadline - now
        if left_s * 1000 < MIN_ATTEMPT_MS:
            return not_run(request.TOO_LATE)
        peer.sent += 1
        target = None if peer is self._local_peer else peer
        try:
            reply = await self._send(target, req.to_run(now, is_retry), left_s)
        except PeerLostError as exc:
            return unknown(request.ANSWER_LOST) if exc.sent else not_run(request.TARGET_UNREACHED)
        except TimeoutError:
            peer.record_latency(req.route.name, left_s, now + left_s)
            return unknown(request.TIMED_OUT)
        if reply.load is not None and target is not None:
            self._directory.update_load(peer, reply.load)
        size = len(req.head) + len(req.body) + len(reply.head) + len(reply.body)
        if reply.handed:
            self._load_balancer.record_bytes(req.route.name, size)
            ended = self._clock.now()
            good = reply.outcome == Outcome.ANSWERED and reply.status < 500
            peer.record_latency(req.route.name, ended - now, ended, good)
        return reply
