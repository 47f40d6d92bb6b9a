"""The source texts of the mutants occur in the code."""

from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

from harness.mutants import MUTANTS

ROOT = Path(__file__).parents[1]


class MutantsTest(TestCase):
    """Each mutant applies to the code; `make mutants` checks that its test fails."""

    @parameterized.expand([(mutant.guarantee, mutant) for mutant in MUTANTS])
    def test_text_that_is_changed_is_there(self, _, mutant):
        text = (ROOT / "beryldrum" / mutant.file).read_text(encoding="utf-8")
        self.assertIn(mutant.old, text)
