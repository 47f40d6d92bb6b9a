"""Attempts at the deepest service for one request of a caller, when all fail.

Every hop retries. *plain* makes three attempts at each; *allowance* is what
beryldrum does with a route that states three retries.
"""

import json

from beryldrum.retry import RetryAllowance

DEPTHS = (5, 18)
PLAIN_ATTEMPTS = 3
RETRIES = 3


def plain(depth: int) -> int:
    """Return the attempts with plain retries."""
    return PLAIN_ATTEMPTS**depth


def with_allowance(part: int, depth: int) -> tuple[int, int]:
    """Return the attempts, and what is left of the allowance, ``depth`` hops on."""
    if not depth:
        return 1, part
    allowance = RetryAllowance(part)
    attempts = 0
    while True:
        lent = allowance.allocate()
        made, left = with_allowance(lent, depth - 1)
        attempts += made
        allowance.give_back_unused(left)
        if allowance.remaining < 1:
            return attempts, 0
        allowance.remaining -= 1


def main() -> None:
    """Print a line for each depth."""
    for depth in DEPTHS:
        line = {
            "bench": "retries",
            "depth": depth,
            "plain": plain(depth),
            "allowance": with_allowance(RETRIES, depth)[0],
            "bound": 1 + RETRIES,
        }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
