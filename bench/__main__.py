"""Runs the benchmarks: ``python -m bench``."""

import asyncio

from . import latency, overload, rates, retries, spread


def main() -> None:
    """Run the benchmarks in sequence, so that they do not compete for the processor."""
    retries.main()
    rates.main()
    asyncio.run(latency.main())
    asyncio.run(spread.main())
    asyncio.run(overload.main())


if __name__ == "__main__":
    main()
