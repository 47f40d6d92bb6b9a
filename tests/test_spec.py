"""The models hold over their whole state space, and their mutants are refuted."""

from parameterized import parameterized
from testtools import TestCase

from spec import configuration, idempotency, rates

MODULES = (configuration, rates, idempotency)


class SpecTest(TestCase):
    """Checks each model, and each of its mutants."""

    @parameterized.expand([(module.__name__, module) for module in MODULES])
    def test_holds(self, _, module):
        report = module.run()
        self.assertIs(True, report.holds, f"{report.broken}: {report.trace}")

    @parameterized.expand([(m, module) for module in MODULES for m in module.MUTANTS])
    def test_refutes(self, mutant, module):
        report = module.run(mutant)
        self.assertIs(False, report.holds, f"{mutant} was not refuted")
        self.assertNotEqual([], report.trace)
