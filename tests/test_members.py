"""Tests of the keyring and of membership gossip."""

from parameterized import parameterized
from testtools import TestCase

from beryldrum import records
from beryldrum import request as reasons
from beryldrum.cluster_state import ClusterState
from beryldrum.keyring import Keyring, digest_of
from beryldrum.membership import GONE, LEAVING, READY, Advert, Membership

from .fakes import ManualClock, MemoryLog, rng


class KeyringTest(TestCase):
    """The keys that are accepted."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.keyring = Keyring(self.clock, 60.0)
        log = MemoryLog()
        log.add(records.KeyGive("g", "k1", digest_of("secret"), "remenar-01"))
        self.state = ClusterState()
        self.state.apply(log.entries[0])
        self.keyring.update(self.state)

    def test_known(self):
        self.assertEqual("remenar-01", self.keyring.authenticate("secret").unwrap())

    @parameterized.expand([("", reasons.NO_KEY), ("Secret", reasons.BAD_KEY)])
    def test_refused(self, key, reason):
        self.assertIs(reason, self.keyring.authenticate(key).unwrap_err())

    def test_withdrawn_directly(self):
        self.assertTrue(self.keyring.withdraw("k1"))
        self.assertFalse(self.keyring.withdraw("k1"))
        self.assertIs(reasons.BAD_KEY, self.keyring.authenticate("secret").unwrap_err())

    def test_keys_are_stale_without_confirmation_until_the_next(self):
        self.clock.advance(59.0)
        self.assertTrue(self.keyring.authenticate("secret").is_ok())
        self.clock.advance(2.0)
        self.assertIs(reasons.KEYS_STALE, self.keyring.authenticate("secret").unwrap_err())
        self.keyring.confirm(self.clock.now())
        self.assertTrue(self.keyring.authenticate("secret").is_ok())

    def test_log_that_says_down_keeps_trust(self):
        for _ in range(100):
            self.clock.advance(30.0)
            self.keyring.confirm(self.clock.now())
            self.assertTrue(self.keyring.authenticate("secret").is_ok())


class MembershipTest(TestCase):
    """Merging, expiry and gossip of adverts."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.membership = self.make("a")

    def make(self, node, incarnation="1", data_centre="one"):
        own = self.advert(node, incarnation=incarnation, data_centre=data_centre)
        return Membership(self.clock, rng(node), own)

    def advert(self, node, later_ms=0, **changes):
        base = Advert(node, "1", 0, "one", "payments", "t", READY, 8)
        return base._replace(sequence=self.clock.wall_ms() + later_ms, **changes)

    def test_newest_advert_wins(self):
        self.membership.merge([self.advert("b", 5, state=LEAVING)])
        self.membership.merge([self.advert("b", 4)])
        self.assertEqual(LEAVING, self.membership.get("b").state)

    @parameterized.expand([(READY, 2), (LEAVING, 1), (GONE, 1)])
    def test_candidates(self, state, count):
        self.membership.merge([self.advert("b", state=state)])
        self.assertEqual(count, len(self.membership.candidates("payments")))

    def test_earlier_process_on_the_address_is_superseded(self):
        self.membership.merge([self.advert("a", 60_000, incarnation="0", state=GONE)])
        self.assertEqual(READY, self.membership.get("a").state)
        self.assertGreater(self.membership.own.sequence, self.clock.wall_ms() + 60_000)

    def test_expired_advert_is_removed_and_not_accepted_again(self):
        expired = self.advert("b")
        self.membership.merge([expired])
        self.clock.advance(6_001.0)
        self.membership.tick()
        self.assertIsNone(self.membership.get("b"))
        self.assertEqual([], self.membership.merge([expired]))

    def test_anti_entropy_brings_two_to_the_same(self):
        other = self.make("z", data_centre="two")
        self.membership.merge([self.advert(f"n{n}") for n in range(20)])
        other.merge([self.advert(f"m{n}", data_centre="two") for n in range(20)])
        other.merge(self.membership.differing_adverts(other.digests()))
        self.membership.merge(other.differing_adverts(self.membership.digests()))
        self.assertEqual(self.membership.digests(), other.digests())
        self.assertEqual([], self.membership.differing_adverts(other.digests()))

    def test_rumours_end(self):
        self.membership.merge([self.advert("b")])
        rounds = [len(self.membership.take_rumours()) for _ in range(20)]
        self.assertEqual(2, rounds[0])
        self.assertEqual(0, rounds[-1])

    def test_gossip_reaches_all(self):
        members = [self.make(f"n{n:02}") for n in range(94)]
        for member in members:
            member.merge([self.advert(f"n{n:02}") for n in range(94)])
            while member.take_rumours():
                pass
        members[0].update_own(state=LEAVING)
        by_node = {member.own.node: member for member in members}
        rounds = 0
        while any(member.get("n00").state == READY for member in members):
            rounds += 1
            if rounds % 10 == 0:
                for member in members:
                    (node,) = member.gossip_partners(1)
                    member.merge(by_node[node].differing_adverts(member.digests()))
            for member in members:
                rumours = member.take_rumours()
                for node in member.gossip_partners(2):
                    by_node[node].merge(rumours)
            self.assertLess(rounds, 30)
