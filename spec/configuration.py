"""The fold of the configuration under races, lost answers, retention and newcomers.

Two operators publish on the version that each has seen; an answer may be lost,
and then the same record may be appended again. A snapshot may be appended late.
The log drops its oldest records at any time. Whoever starts from what is kept
must have the state of those who saw everything.
"""

from functools import cache
from typing import Any

from beryldrum import records
from beryldrum.fold import Fleet, start_from
from beryldrum.records import LogRecord

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = ("fold from the first kept record", "base version ignored")

MOST_RECORDS = 5
OPERATORS = ("ann", "bob")
DOCUMENT = """\
service: pens
seats: 1
routes:
  - {name: book, path: /book, methods: [POST], idempotent: false}
organisations:
  ORG: {rate_per_s: 1, burst: 1}
"""
FIELDS = ("log", "first", "operators", "draft")
Symbol = tuple[Any, ...]


@cache
def _fold(log: tuple[Symbol, ...], mutant: str) -> Fleet:
    fleet = Fleet()
    for entry in _entries(log, mutant):
        fleet.apply(entry)
    return fleet


@cache
def _entries(log: tuple[Symbol, ...], mutant: str) -> list[LogRecord]:
    return [
        LogRecord(n, n, _encoded(log[: n - 1], symbol, mutant))
        for n, symbol in enumerate(log, start=1)
    ]


@cache
def _encoded(before: tuple[Symbol, ...], symbol: Symbol, mutant: str) -> bytes:
    if symbol[0] == "snapshot":
        as_of = symbol[1]
        image = _fold(before[:as_of], mutant).image()
        return records.encode(records.Snapshot(f"s{as_of}", as_of, image))
    _, author, base = symbol
    if mutant == MUTANTS[1]:
        base = _fold(before, mutant).version("pens")
    text = DOCUMENT.replace("ORG", author)
    return records.encode(records.Publish(author, "pens", base, text, author))


def _appends(state: State, symbol: Symbol) -> tuple[Symbol, ...]:
    return (*state[0], symbol)


def _transitions(state: State) -> list[tuple[str, State]]:
    log, first, operators, draft = state
    found: list[tuple[str, State]] = []
    room = len(log) < MOST_RECORDS
    for number, (name, base, done) in enumerate(operators):
        if base is None:
            seen = (name, _fold(log, "").version("pens"), False)
            found.append((f"{name} reads", (log, first, _set(operators, number, seen), draft)))
        elif room and not done:
            # The answer arrives, or is lost and the operator appends once more.
            longer = _appends(state, ("publish", name, base))
            told = _set(operators, number, (name, base, True))
            found.append((f"{name} publishes", (longer, first, told, draft)))
            found.append((f"{name} publishes, answer lost", (longer, first, operators, draft)))
    if draft is None:
        found.append(("draft of a snapshot", (log, first, operators, len(log))))
    elif room:
        longer = _appends(state, ("snapshot", draft))
        found.append(("snapshot appended", (longer, first, operators, None)))
    if first <= len(log):
        found.append(("oldest record expires", (log, first + 1, operators, draft)))
    return found


def _set(operators: tuple[Any, ...], number: int, value: Any) -> tuple[Any, ...]:
    return (*operators[:number], value, *operators[number + 1 :])


@cache
def _newcomer(log: tuple[Symbol, ...], first: int, mutant: str) -> bool:
    kept = [entry for entry in _entries(log, mutant) if entry.offset >= first]
    fleet = start_from(kept, 1 if mutant == MUTANTS[0] else first)
    if fleet is None or not kept:
        return True
    return fleet.versions == _fold(log, mutant).versions


@cache
def _one_winner(log: tuple[Symbol, ...], mutant: str) -> bool:
    accepted = {version.publish_id for version in _fold(log, mutant).versions.get("pens", [])}
    published = {symbol[1:] for symbol in log if symbol[0] == "publish"}
    bases = [base for author, base in published if author in accepted]
    return len(set(bases)) == len(bases)


def run(mutant: str = "") -> Report:
    """Check the specification, with one of MUTANTS or none."""
    operators = tuple((name, None, False) for name in OPERATORS)
    return check(
        "configuration" + (f" ({mutant})" if mutant else ""),
        FIELDS,
        ((), 1, operators, None),
        _transitions,
        {
            "a newcomer has the state of those who saw all": lambda s: _newcomer(
                s["log"], s["first"], mutant
            ),
            "of operators on one version one wins": lambda s: _one_winner(s["log"], mutant),
        },
    )
