"""Retry amplification: attempts that reach the deepest service when all of them fail.

Every hop retries. With ``plain``, each hop makes three attempts; with ``allowance``, the
hops share the retry allowance of a route that is configured with three retries.
"""

import json

from beryldrum.retry import RetryAllowance

DEPTHS = (5, 18)
PLAIN_ATTEMPTS = 3
RETRIES = 3


def plain_attempts(depth: int) -> int:
    """Return the number of attempts when each hop retries independently."""
    return PLAIN_ATTEMPTS**depth


def allowance_attempts(retries: int, depth: int) -> tuple[int, int]:
    """Return the number of attempts ``depth`` hops on, and the retries left over."""
    if not depth:
        return 1, retries
    allowance = RetryAllowance(retries)
    attempts = 0
    while True:
        granted = allowance.allocate()
        deeper_attempts, left = allowance_attempts(granted, depth - 1)
        attempts += deeper_attempts
        allowance.give_back_unused(left)
        if allowance.remaining < 1:
            return attempts, 0
        allowance.remaining -= 1


def main() -> None:
    """Print a line for each depth of the call graph."""
    for depth in DEPTHS:
        line = {
            "bench": "retries",
            "depth": depth,
            "plain": plain_attempts(depth),
            "allowance": allowance_attempts(RETRIES, depth)[0],
            "bound": 1 + RETRIES,
        }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
