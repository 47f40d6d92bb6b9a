"""Plays seeds: ``python -m soak --seeds 1-50 --seconds 30 --hosts 6``."""

import argparse
import asyncio
import json
import sys

from .scenario import World
from .seeds import FAILED, Case

__all__ = ["main"]


async def play(seed: int, seconds: float, hosts: int) -> dict[str, object]:
    """Play one seed and return its figures."""
    world = World(seed, hosts)
    try:
        await world.start()
        await world.play(seconds)
    finally:
        await world.stop_all()
    return {
        "seed": seed,
        "hosts": hosts,
        "seconds": seconds,
        "requests": len(world.book.asked),
        "runs": sum(world.book.ran.values()),
        "outcomes": dict(sorted(world.book.counts.items())),
        "findings": world.book.findings[:20],
        "folder": str(world.folder),
    }


def main() -> int:
    """Play the seeds that the command line names; returns 1 where a promise broke."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", metavar="A[-B]")
    parser.add_argument("--seconds", type=float, default=30.0, help="time with faults")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--failed", action="store_true", help="the seeds that ever failed")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    cases = [
        Case(s, args.seconds, args.hosts, "") for s in range(int(first), int(last or first) + 1)
    ]
    broken = 0
    for seed, seconds, hosts, _ in FAILED if args.failed else cases:
        figures = asyncio.run(play(seed, seconds, hosts))
        broken += bool(figures["findings"])
        print(json.dumps(figures), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
