"""Runs the model checker and summarises its result."""

from collections.abc import Callable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

__all__ = ["MAX_STATES", "Report", "check"]

MAX_STATES = 3_000_000

State = tuple[Any, ...]


class Report(NamedTuple):
    """The result of a check; ``holds`` is None if the search was incomplete.

    If a property is violated, ``broken`` is its text and ``trace`` the labels of the steps
    that lead to the violation.
    """

    name: str
    states: int
    holds: bool | None
    broken: str
    trace: list[str]


def check(
    name: str,
    fields: tuple[str, ...],
    initial: State,
    transitions: Callable[[State], list[tuple[str, State]]],
    invariants: dict[str, Callable[[dict[str, Any]], bool]],
) -> Report:
    """Search the reachable states, at most ``MAX_STATES``, for violations.

    Reports the first property that does not hold or could not be decided.
    """
    protocol = Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
    )
    result = check_safety(protocol, max_states=MAX_STATES)
    for prop, answer in result["properties"].items():
        if answer["holds"] is not True:
            trace = [str(step["label"]) for step in answer.get("counterexample") or ()][1:]
            return Report(name, result["reachable_states"], answer["holds"], prop, trace)
    return Report(name, result["reachable_states"], True, "", [])
