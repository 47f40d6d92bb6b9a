"""What the specifications share: running the checker and reading its answer."""

from collections.abc import Callable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

__all__ = ["MAX_STATES", "Report", "check"]

MAX_STATES = 3_000_000

State = tuple[Any, ...]


class Report(NamedTuple):
    """A finished search; ``holds`` is None when it was not complete."""

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
    """Search all states and report; an incomplete search does not hold."""
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
