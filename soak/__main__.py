"""Run the soak test: ``python -m soak --seeds 1-50 --seconds 30 --hosts 6``."""

import argparse
import asyncio
import json
import sys

from .scenario import Scenario
from .seeds import FAILED_CASES, Case

__all__ = ["main"]


async def run_seed(seed: int, seconds: float, hosts: int) -> dict[str, object]:
    """Run the scenario of one seed and return its counts and findings, ready for JSON."""
    scenario = Scenario(seed, hosts)
    try:
        await scenario.start()
        await scenario.run(seconds)
    finally:
        await scenario.stop_all()
    return {
        "seed": seed,
        "hosts": hosts,
        "seconds": seconds,
        "requests": len(scenario.checker.sent_requests),
        "runs": sum(scenario.checker.run_counts.values()),
        "outcomes": dict(sorted(scenario.checker.outcome_counts.items())),
        "findings": scenario.checker.findings[:20],
        "folder": str(scenario.folder),
    }


def main() -> int:
    """Run the selected seeds and print one JSON object a line.

    Returns 1 if any run had findings, else 0.
    """
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", metavar="A[-B]")
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of fault injection")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--failed", action="store_true", help="replay the recorded failed seeds")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    cases = [
        Case(s, args.seconds, args.hosts, "") for s in range(int(first), int(last or first) + 1)
    ]
    failed = 0
    for seed, seconds, hosts, _ in FAILED_CASES if args.failed else cases:
        result = asyncio.run(run_seed(seed, seconds, hosts))
        failed += bool(result["findings"])
        print(json.dumps(result), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
