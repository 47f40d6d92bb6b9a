"""Checks every specification and refutes every mutant: ``python -m spec``.

Prints a JSON line each; exits 0 only if all hold and all mutants are refuted.
"""

import json
import sys
import time

from . import configuration, idempotency, rates


def main() -> int:
    """Run all searches and return the exit code."""
    good = True
    for module in (configuration, rates, idempotency):
        for mutant in ("", *module.MUTANTS):
            since = time.perf_counter()
            report = module.run(mutant)
            wanted = report.holds is not bool(mutant) and report.holds is not None
            good = good and wanted
            line = {
                "model": report.name,
                "states": report.states,
                "holds": report.holds,
                "as wanted": wanted,
                "broken": report.broken,
                "trace": report.trace,
                "seconds": round(time.perf_counter() - since, 1),
            }
            print(json.dumps(line), flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
