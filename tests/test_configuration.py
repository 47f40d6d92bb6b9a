"""The configuration in the log: races, appends without an answer, expired records."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from beryldrum import records
from beryldrum.cluster_state import ApplyResult, ClusterState, rebuild_state
from beryldrum.config_replica import ConfigReplica
from beryldrum.controllers import LogController
from beryldrum.errors import AppendUnknownError, LogDownError
from beryldrum.keyring import Keyring
from beryldrum.log import Batch, append_confirmed
from beryldrum.membership import READY, Advert, Membership

from .fakes import DOCUMENT, ManualClock, MemoryLog, claim, publish, rng


def replay(log):
    state = ClusterState()
    verdicts = [state.apply(entry) for entry in log.entries]
    return state, verdicts


class FoldTest(TestCase):
    """The effect of each kind of record on the state."""

    def test_race_has_one_winner(self):
        log = MemoryLog()
        for author in ("ann", "bob", "eve"):
            log.add(publish(0, author=author))
        state, verdicts = replay(log)
        self.assertEqual(
            [ApplyResult.ACCEPTED, ApplyResult.CONFLICT, ApplyResult.CONFLICT], verdicts
        )
        self.assertEqual("ann", state.versions["payments"][-1].author)

    @parameterized.expand(
        [
            ("repeat", publish(0, publish_id="one"), ApplyResult.REPEATED),
            ("stale", publish(0), ApplyResult.CONFLICT),
            ("future", publish(9), ApplyResult.CONFLICT),
            ("invalid", publish(1, document="service: payments"), ApplyResult.INVALID),
            ("seats", publish(1, DOCUMENT.replace("seats: 4", "seats: 5")), ApplyResult.INVALID),
            ("other", publish(1, DOCUMENT.replace("payments", "catalogue")), ApplyResult.INVALID),
            ("next", publish(1), ApplyResult.ACCEPTED),
        ]
    )
    def test_second(self, _, second, expected):
        log = MemoryLog()
        log.add(publish(0, publish_id="one"))
        log.add(second)
        state, verdicts = replay(log)
        self.assertEqual(expected, verdicts[1])
        accepted = expected is ApplyResult.ACCEPTED
        self.assertEqual(2 if accepted else 1, state.version("payments"))

    @parameterized.expand([(b"",), (b"[]",), (b'{"kind": "publish"}',), (b'{"kind": "new"}',)])
    def test_garbage_changes_nothing(self, data):
        log = MemoryLog()
        log.add(publish())
        before, _ = replay(log)
        log.put(data)
        after, verdicts = replay(log)
        self.assertEqual(ApplyResult.INVALID, verdicts[-1])
        self.assertEqual(before.versions, after.versions)

    def test_withdrawn_key_never_returns(self):
        log = MemoryLog()
        give = records.KeyGive("g", "k1", "digest", "remenar-01")
        for record in (give, records.KeyWithdraw("w", "k1"), give):
            log.add(record)
        state, _ = replay(log)
        self.assertEqual({}, state.keys)

    def test_eviction_takes_the_holders_hold(self):
        log = MemoryLog()
        log.add(publish())
        log.add(claim(node="a", hold_ms=10_000))
        log.add(records.Evict("e", "a", False))
        log.time_ms += 9_999
        log.add(claim(node="b"))
        log.time_ms += 1
        log.add(claim(node="c"))
        _, verdicts = replay(log)
        self.assertEqual([ApplyResult.CONFLICT, ApplyResult.ACCEPTED], verdicts[-2:])

    def test_holder_stays_when_it_claims_again(self):
        log = MemoryLog()
        log.add(publish())
        log.add(claim(node="a", hold_ms=10))
        log.add(records.Evict("e", "a", False))
        log.add(claim(node="a", hold_ms=10))
        log.time_ms += 1_000
        log.add(claim(node="b"))
        state, verdicts = replay(log)
        self.assertEqual(ApplyResult.CONFLICT, verdicts[-1])
        self.assertTrue(state.seats["payments"][0].fresh)

    def test_seat_held_before_is_not_fresh(self):
        log = MemoryLog()
        log.add(publish())
        log.add(claim(node="a"))
        log.add(records.SeatRelease("r", "payments", 0, "a", "1"))
        log.add(claim(node="b"))
        state, _ = replay(log)
        self.assertFalse(state.seats["payments"][0].fresh)


class SnapshotTest(TestCase):
    """Rebuilding the state after the first records have expired."""

    def make_log(self):
        log = MemoryLog()
        log.add(publish())
        state, _ = replay(log)
        image = state.image()
        log.add(publish(1, author="bob"))
        log.add(records.Snapshot("s", 1, image))
        log.add(publish(1, author="late"))
        return log

    @parameterized.expand([(1,), (2,)])
    def test_same_state_from_any_start(self, first):
        log = self.make_log()
        full_replay, _ = replay(log)
        restored = rebuild_state(log.entries[first - 1 :], first)
        self.assertEqual(full_replay.digest(), restored.digest())

    def test_no_snapshot_that_reaches_back(self):
        log = self.make_log()
        self.assertIsNone(rebuild_state(log.entries[2:], 3))

    @parameterized.expand([("{}",), ("",), ('{"offset": 3}',)])
    def test_snapshot_that_cannot_be_read_is_passed_over(self, state):
        log = self.make_log()
        log.add(records.Snapshot("bad", 4, state))
        full_replay, _ = replay(log)
        self.assertEqual(full_replay.digest(), rebuild_state(log.entries[1:], 2).digest())

    def test_restore_equals(self):
        full_replay, _ = replay(self.make_log())
        self.assertEqual(full_replay.digest(), ClusterState.restore(full_replay.image()).digest())


class ConfigReplicaTest(TestCase):
    """The replica never reverts to an older state and never understates its age."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.replica = ConfigReplica(self.clock)
        self.log = MemoryLog()
        self.log.add(publish())

    def apply_log(self, asked_at=100.0):
        self.replica.apply_batch(Batch(self.log.entries, 1, len(self.log.entries)), asked_at)

    def test_older_image_is_refused(self):
        old = ClusterState().image()
        self.apply_log()
        self.assertFalse(self.replica.adopt(old))
        self.assertEqual(1, self.replica.state.offset)

    def test_truncated_log_behind_memory_is_refused(self):
        self.apply_log()
        batch = Batch([], 1, 0)
        self.assertFalse(self.replica.restore_snapshot(batch, 100.0))
        self.assertEqual(1, self.replica.state.offset)

    def test_age_counts_from_the_asking(self):
        self.apply_log(asked_at=98.0)
        self.assertEqual(2.0, self.replica.age_s())

    def test_peer_ahead_confirms_nothing(self):
        self.apply_log(asked_at=50.0)
        self.replica.confirmed_by_peer(5, 0.0, 100.0)
        self.assertEqual(50.0, self.replica.age_s())

    def test_records_for_a_peer(self):
        self.apply_log()
        self.assertEqual([1], [entry.offset for entry in self.replica.records_after(0)])
        other = ConfigReplica(self.clock)
        other.adopt(self.replica.state.image())
        self.assertIsNone(other.records_after(0))


class LogControllerTest(TestCase):
    """Following a log whose records expire."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.log = MemoryLog()
        self.log.add(publish())
        self.replica, self.controller = self.make_controller()

    def make_controller(self):
        replica = ConfigReplica(self.clock)
        own = Advert("a", "1", 0, "one", "", "", READY, 0)
        membership = Membership(self.clock, rng(), own)
        keyring = Keyring(self.clock, 60.0)
        controller = LogController(
            self.log, replica, keyring, membership, self.clock, rng(), snapshot_s=3_600
        )
        return replica, controller

    def run_steps(self, count, controller=None):
        async def run():
            for _ in range(count):
                await (controller or self.controller).step()

        asyncio.run(run())

    def count_snapshots(self):
        decoded = [records.decode(entry.data) for entry in self.log.entries]
        return sum(isinstance(record, records.Snapshot) for record in decoded)

    def test_a_quiet_log_gets_a_snapshot_and_another(self):
        self.run_steps(50)
        self.assertEqual(0, self.count_snapshots())
        for count in (1, 2):
            self.clock.advance(3_601)
            self.run_steps(100)
            self.assertEqual(count, self.count_snapshots())

    def test_newcomer_after_the_records_expired(self):
        self.clock.advance(3_601)
        self.run_steps(100)
        del self.log.entries[0]
        self.log.first = 2
        replica, controller = self.make_controller()
        self.run_steps(2, controller)
        self.assertEqual(self.replica.state.versions, replica.state.versions)
        self.assertEqual("up", controller.state)

    def test_log_that_lost_all_leaves_the_state(self):
        self.run_steps(1)
        self.log.entries.clear()
        self.log.first = 50
        self.run_steps(2)
        self.assertEqual(1, self.replica.state.version("payments"))
        self.assertEqual("truncated", self.controller.state)


class AppendConfirmedTest(TestCase):
    """The outcome of an append without an answer is read from the log, or reported as unknown."""

    @parameterized.expand(
        [
            ("plain", [], 1, 1),
            ("took effect", ["lost"], 1, 1),
            ("took no effect", ["dropped"], 1, 1),
            ("refused first", ["refused"], 1, 1),
            ("twice lost", ["lost", "lost"], 1, 1),
            ("doubled", ["doubled"], 1, 2),
            ("dropped, then lost", ["dropped", "lost"], 1, 1),
        ]
    )
    def test_append(self, _, faults, expected, records_kept):
        log = MemoryLog()
        log.faults = faults
        offset = asyncio.run(self.append(log))
        self.assertEqual(expected, offset)
        self.assertEqual(records_kept, len(log.entries))
        state, _ = replay(log)
        self.assertEqual(1, len(state.versions["payments"]))

    @parameterized.expand(
        [
            ("nothing sent", ["refused"] * 99, LogDownError),
            ("perhaps", ["dropped"] * 99, AppendUnknownError),
        ]
    )
    def test_never_settled(self, _, faults, expected):
        log = MemoryLog()
        log.faults = faults
        self.assertRaises(expected, asyncio.run, self.append(log))

    def test_garbage_in_the_log_is_passed_over(self):
        log = MemoryLog()
        log.put(b"garbage")
        log.faults = ["lost"]
        self.assertEqual(2, asyncio.run(self.append(log)))

    @staticmethod
    async def append(log):
        async def no_sleep(_):
            return None

        original_sleep, asyncio.sleep = asyncio.sleep, no_sleep
        try:
            return await append_confirmed(log, publish(), 0)
        finally:
            asyncio.sleep = original_sleep
