"""Tests of the peer directory: which reported states of a node are applied."""

from parameterized import parameterized
from testtools import TestCase

from beryldrum.clock import ManualClock
from beryldrum.mesh.directory import Directory
from beryldrum.mesh.frames import Load, Member, State

OWN = Member("127.0.0.1:1", "dc", 1)
ADDRESS = "127.0.0.1:2"


def state(incarnation, stopping=False):
    """Return a state as the other node reports it."""
    load = Load("shop", 0, 10, 0.0, 0.0, 0.0, 0)
    return State(Member(ADDRESS, "dc", incarnation), load, 1, 0, {}, {}, stopping)


class DirectoryTest(TestCase):
    """A state after a restart is applied; a late one of the earlier process is not."""

    @parameterized.expand(
        [
            # incarnation in the second state, was it requested, is it applied
            ("a later process", 6, False, True),
            ("a later process, asked", 6, True, True),
            ("a late state of an earlier process", 4, False, False),
            ("started after its clock was set back", 4, True, True),
        ]
    )
    def test_after_a_stop(self, _, incarnation, answered, applied):
        directory = Directory(ManualClock(), OWN)
        peer = directory.add(Member(ADDRESS, "dc", 5))
        directory.set_connected(peer, True)
        directory.apply_state(state(5, stopping=True), 0.0, answered=True)
        self.assertEqual([], directory.serving("shop"))
        directory.apply_state(state(incarnation), 1.0, answered)
        self.assertEqual([peer] if applied else [], directory.serving("shop"))
