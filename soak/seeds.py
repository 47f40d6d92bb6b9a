"""Seeds that found faults, kept as regression cases: ``python -m soak --failed``."""

from typing import NamedTuple

__all__ = ["FAILED_CASES", "Case"]


class Case(NamedTuple):
    """The arguments of a run, and the cause of the violation that it found."""

    seed: int
    seconds: float
    hosts: int
    cause: str


FAILED_CASES = (
    Case(
        4,
        25.0,
        8,
        "a planned stop while the store did not answer ended the process at once: the timeout "
        "of the deregistration was not handled (the seed gave another fault plan then)",
    ),
    Case(
        22,
        20.0,
        6,
        "SIGTERM 2.2 s after the start, while modules were still being imported on a machine "
        "with seven other loads, gave exit code -15 instead of 0",
    ),
    Case(
        61,
        20.0,
        27,
        "88 of 23,674 requests with a newly added key got 401, which is allowed while the "
        "previous configuration may still be in force: the check counted them as denied",
    ),
    Case(
        65,
        20.0,
        27,
        "285 requests executed in 5 s where 284 are allowed: a node that has just started in a "
        "large fleet knows few peers, and used the rate shares of those it did not know yet",
    ),
    Case(
        401,
        12.0,
        6,
        "a target got the readiness probes of a node of seed 414, which ran at the same time: "
        "two runs had chosen the same port",
    ),
    Case(
        414,
        12.0,
        6,
        "a node could not bind the port that a target of seed 401 had; the same cause",
    ),
    Case(
        9002,
        20.0,
        6,
        "a target got no requests after all faults, and those at its gate were refused at their "
        "deadline: nothing wakes a queue whose next start a stated limit has just come to allow",
    ),
)
