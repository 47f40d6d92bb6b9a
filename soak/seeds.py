"""Seeds that found something, to be played again: ``python -m soak --failed``."""

from typing import NamedTuple

__all__ = ["FAILED_CASES", "Case"]


class Case(NamedTuple):
    """A play that broke a promise, and its cause."""

    seed: int
    seconds: float
    hosts: int
    cause: str


FAILED_CASES = (
    Case(
        4,
        25.0,
        8,
        "a planned stop while the store was silent ended the process at once: the time limit "
        "around the deregistration was not handled (plans were drawn otherwise then)",
    ),
    Case(
        22,
        20.0,
        6,
        "SIGTERM 2.2 s after the start, while the modules were still being imported beside "
        "seven other loads, ended the process with -15 in place of 0",
    ),
    Case(
        61,
        20.0,
        27,
        "88 of 23,674 requests with a key that had just been given got 401 (allowed while the "
        "configuration before may be in force): the check counted them",
    ),
    Case(
        65,
        20.0,
        27,
        "285 runs in five seconds of 284 allowed: a node of a large fleet that has just started "
        "knows few others, and took the part of those it had not heard of yet for its own",
    ),
)
