"""Model of the configuration log: concurrent publishers, lost answers and retention.

Two operators publish a document based on the version that each has read. The answer to
an append may be lost, and then the same record may be appended again. A snapshot may be
appended late, and the log may drop its oldest records at any time. A node that starts
from the retained records must reach the same state as one that has read all of them.
"""

from functools import cache
from typing import Any

from beryldrum import records
from beryldrum.cluster_state import ClusterState, rebuild_state
from beryldrum.records import LogRecord

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = ("fold from the first kept record", "base version ignored")

MAX_RECORDS = 5
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
AbstractRecord = tuple[Any, ...]


@cache
def _replay(log: tuple[AbstractRecord, ...], mutant: str) -> ClusterState:
    fleet = ClusterState()
    for record in _log_records(log, mutant):
        fleet.apply(record)
    return fleet


@cache
def _log_records(log: tuple[AbstractRecord, ...], mutant: str) -> list[LogRecord]:
    return [
        LogRecord(n, n, _encode_record(log[: n - 1], abstract_record, mutant))
        for n, abstract_record in enumerate(log, start=1)
    ]


@cache
def _encode_record(
    preceding_log: tuple[AbstractRecord, ...], abstract_record: AbstractRecord, mutant: str
) -> bytes:
    if abstract_record[0] == "snapshot":
        as_of = abstract_record[1]
        image = _replay(preceding_log[:as_of], mutant).image()
        return records.encode(records.Snapshot(f"s{as_of}", as_of, image))
    _, author, base = abstract_record
    if mutant == MUTANTS[1]:
        base = _replay(preceding_log, mutant).version("pens")
    text = DOCUMENT.replace("ORG", author)
    return records.encode(records.Publish(author, "pens", base, text, author))


def _append(state: State, abstract_record: AbstractRecord) -> tuple[AbstractRecord, ...]:
    return (*state[0], abstract_record)


def _transitions(state: State) -> list[tuple[str, State]]:
    log, first, operators, draft = state
    steps: list[tuple[str, State]] = []
    has_room = len(log) < MAX_RECORDS
    for number, (name, base, done) in enumerate(operators):
        if base is None:
            operator_after_read = (name, _replay(log, "").version("pens"), False)
            steps.append(
                (
                    f"{name} reads",
                    (log, first, _replace_at(operators, number, operator_after_read), draft),
                )
            )
        elif has_room and not done:
            # The answer arrives, or it is lost and the operator appends the record again.
            longer_log = _append(state, ("publish", name, base))
            answered_operators = _replace_at(operators, number, (name, base, True))
            steps.append((f"{name} publishes", (longer_log, first, answered_operators, draft)))
            steps.append((f"{name} publishes, answer lost", (longer_log, first, operators, draft)))
    if draft is None:
        steps.append(("draft of a snapshot", (log, first, operators, len(log))))
    elif has_room:
        longer_log = _append(state, ("snapshot", draft))
        steps.append(("snapshot appended", (longer_log, first, operators, None)))
    if first <= len(log):
        steps.append(("oldest record expires", (log, first + 1, operators, draft)))
    return steps


def _replace_at(operators: tuple[Any, ...], number: int, value: Any) -> tuple[Any, ...]:
    return (*operators[:number], value, *operators[number + 1 :])


@cache
def _newcomer_agrees(log: tuple[AbstractRecord, ...], first: int, mutant: str) -> bool:
    retained = [record for record in _log_records(log, mutant) if record.offset >= first]
    fleet = rebuild_state(retained, 1 if mutant == MUTANTS[0] else first)
    if fleet is None or not retained:
        return True
    return fleet.versions == _replay(log, mutant).versions


@cache
def _one_winner(log: tuple[AbstractRecord, ...], mutant: str) -> bool:
    accepted = {version.publish_id for version in _replay(log, mutant).versions.get("pens", [])}
    published = {abstract_record[1:] for abstract_record in log if abstract_record[0] == "publish"}
    bases = [base for author, base in published if author in accepted]
    return len(set(bases)) == len(bases)


def run(mutant: str = "") -> Report:
    """Check the model, with one of MUTANTS or with none."""
    operators = tuple((name, None, False) for name in OPERATORS)
    return check(
        "configuration" + (f" ({mutant})" if mutant else ""),
        FIELDS,
        ((), 1, operators, None),
        _transitions,
        {
            "a newcomer has the state of those who saw all": lambda s: _newcomer_agrees(
                s["log"], s["first"], mutant
            ),
            "of operators on one version one wins": lambda s: _one_winner(s["log"], mutant),
        },
    )
