"""Tests of route matching, retries and the outcome over all attempts."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from beryldrum import request as reasons
from beryldrum.balance import Balancer
from beryldrum.config_replica import ConfigReplica
from beryldrum.decisions import DecisionLog
from beryldrum.entry import RouteFilter
from beryldrum.keyring import Keyring
from beryldrum.level import PathLevels
from beryldrum.membership import READY, Advert, Membership
from beryldrum.metrics import Metrics
from beryldrum.request import Outcome, Reply, not_run, unknown
from beryldrum.retry import RetryBudget
from beryldrum.routing import RetryFilter
from beryldrum.runs import Runs
from beryldrum.shared import SharedState

from .fakes import ManualClock, MemoryLog, publish, request, rng

OK_REPLY = Reply(Outcome.ANSWERED, 200)
LOST = unknown(reasons.ANSWER_LOST)
UNREACHED = not_run(reasons.TARGET_UNREACHED)
SHED = not_run(reasons.SHED)
LEAVING = not_run(reasons.LEAVING)
OVER_RATE = not_run(reasons.OVER_RATE)


class SharedCase(TestCase):
    """Base class that sets up a service with three targets."""

    def shared(self):
        clock = ManualClock(100.0)
        news = ConfigReplica(clock)
        log = MemoryLog()
        log.add(publish())
        news.apply(log.entries)
        adverts = [Advert(n, "1", clock.wall_ms(), "one", "payments", n, READY, 8) for n in "abc"]
        membership = Membership(clock, rng(), adverts[0])
        membership.merge(adverts[1:])
        return SharedState(
            clock,
            "x",
            news,
            Keyring(clock, 60.0),
            membership,
            Balancer(clock, rng(), "one"),
            PathLevels(clock, rng()),
            RetryBudget(),
            Runs(clock),
            DecisionLog(None),
            Metrics(),
        )


class RouteTest(SharedCase):
    """The route that a path matches."""

    @parameterized.expand(
        [
            ("/deposit", Outcome.ANSWERED),
            ("/deposit/a..b/.c", Outcome.ANSWERED),
            ("/deposit/x%20y?back=../audit", Outcome.ANSWERED),
            ("/deposit/../audit", Outcome.NOT_RUN),
            ("/deposit/./audit", Outcome.NOT_RUN),
            ("/deposit/%2e%2E/audit", Outcome.NOT_RUN),
            ("/deposit/..%2faudit", Outcome.NOT_RUN),
            ("/deposit/%252e%252e/audit", Outcome.NOT_RUN),
            ("/deposit/..\\audit", Outcome.NOT_RUN),
            ("/audit", Outcome.NOT_RUN),
        ]
    )
    def test_path(self, path, expected):
        async def step(req):
            return OK_REPLY

        reply = asyncio.run(RouteFilter(self.shared()).handle(request(path=path), step))
        self.assertEqual(expected, reply.outcome)


class RetryTest(SharedCase):
    """Each attempt goes to a target that has not been tried."""

    def attempts(self, replies, **changes):
        """Return the final reply and the nodes tried."""
        left = list(replies)
        tried = []

        def to_node(node):
            async def step(req):
                tried.append(node)
                return left.pop(0)._replace(allowance=req.allowance)

            return step

        req = request(deadline=1e9, **changes)
        reply = asyncio.run(RetryFilter(self.shared(), to_node).handle(req, None))
        self.assertEqual(len(set(tried)), len(tried))
        return reply, tried

    @parameterized.expand(
        [
            ("answered", [OK_REPLY], True, 3, Outcome.ANSWERED, 1),
            ("elsewhere", [LEAVING, OK_REPLY], False, 3, Outcome.ANSWERED, 2),
            ("not reached", [UNREACHED, UNREACHED, OK_REPLY], False, 3, Outcome.ANSWERED, 3),
            ("nobody left", [UNREACHED] * 3, False, 9, Outcome.NOT_RUN, 3),
            ("no allowance", [UNREACHED, OK_REPLY], True, 0, Outcome.NOT_RUN, 1),
            ("overload", [SHED, OK_REPLY], True, 3, Outcome.NOT_RUN, 1),
            ("rate, one more", [OVER_RATE, OK_REPLY], True, 0, Outcome.ANSWERED, 2),
            ("rate, no third", [OVER_RATE, OVER_RATE, OK_REPLY], True, 9, Outcome.NOT_RUN, 2),
            ("lost, not idempotent", [LOST, OK_REPLY], False, 3, Outcome.UNKNOWN, 1),
            ("lost, idempotent", [LOST, OK_REPLY], True, 3, Outcome.ANSWERED, 2),
            ("lost, then shed", [LOST, SHED], True, 3, Outcome.UNKNOWN, 2),
            ("lost, then not reached", [LOST, UNREACHED], True, 1, Outcome.UNKNOWN, 2),
        ]
    )
    def test_outcome(self, _, replies, idempotent, allowance, outcome, count):
        reply, tried = self.attempts(replies, idempotent=idempotent, allowance=allowance)
        self.assertEqual((outcome, count), (reply.outcome, len(tried)))

    def test_allowance_is_spent_and_the_rest_comes_back(self):
        reply, _ = self.attempts([UNREACHED, OK_REPLY], allowance=3)
        self.assertEqual(2, reply.allowance)
