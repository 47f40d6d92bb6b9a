"""Checks all models and their mutants: ``python -m spec``.

Prints a JSON line for each; exits 0 only if all models hold and all mutants are refuted.
"""

import json
import sys
import time

from . import configuration, idempotency, rates


def main() -> int:
    """Run all checks and return the exit code."""
    all_as_expected = True
    for module in (configuration, rates, idempotency):
        for mutant in ("", *module.MUTANTS):
            started_at = time.perf_counter()
            report = module.run(mutant)
            as_expected = report.holds is not bool(mutant) and report.holds is not None
            all_as_expected = all_as_expected and as_expected
            summary = {
                "model": report.name,
                "states": report.states,
                "holds": report.holds,
                "as wanted": as_expected,
                "broken": report.broken,
                "trace": report.trace,
                "seconds": round(time.perf_counter() - started_at, 1),
            }
            print(json.dumps(summary), flush=True)
    return 0 if all_as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
