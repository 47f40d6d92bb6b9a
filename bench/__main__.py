"""Runs every measurement: ``python -m bench``."""

import asyncio

from . import latency, overload, rates, retries, spread


def main() -> None:
    """Run them one after the other, so that none disturbs another."""
    retries.main()
    rates.main()
    asyncio.run(latency.main())
    asyncio.run(spread.main())
    asyncio.run(overload.main())


if __name__ == "__main__":
    main()
