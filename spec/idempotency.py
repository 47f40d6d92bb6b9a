"""Model of an idempotency key: repeats, lost answers, a move of its seat, clock errors.

The key's seat moves once, from an old home to a new one, which may be the same host after
a restart. Both homes are beryldrum's ledgers, and their clocks are wrong by the permitted
error in either direction. The key's timestamp is arbitrary, as it is from the caller's
clock.
"""

from typing import Any

from beryldrum import request
from beryldrum.clock import ManualClock
from beryldrum.ledger import Ledger, StartRun, _Entry, fingerprint
from beryldrum.request import Outcome, Reply, Request, not_run, unknown

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = (
    "a new home trusts every key",
    "a new home allows for no clock error",
    "a lost answer frees the key",
)

TICK_MS = 1_000
CLOCK_ERROR_MS = 1_000
KEY_LIFE_MS = 4_000
HORIZON_TICKS = 12
MAX_RUNS = 2
START_MS = 1_800_000_000_000
FIELDS = ("time", "born", "errors", "moved_at", "old", "new", "runs", "in_flight", "false_refusal")
ANSWERED_REPLY = Reply(Outcome.ANSWERED, 200)


def _key(born: int) -> str:
    value = (START_MS + born * TICK_MS) << 80 | 7 << 76 | 2 << 62 | 5
    digits = f"{value:032x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


def _request(born: int) -> Request:
    return Request(
        "pens", "book", "POST", "/book", (), b"", "marts", 0, 1e9, 0, "r", _key(born), False, 0
    )


class Model:
    """The transitions, with beryldrum's rules or those of a mutant."""

    def __init__(self, mutant: str) -> None:
        self._mutant = mutant

    def _ledger(self, time: int, error: int, seat_since: int | None, entry: Any) -> Ledger[str]:
        clock = ManualClock(0.0, START_MS + time * TICK_MS + error)
        seat_since_ms = None
        if seat_since is not None:
            seat_since_ms = 0 if seat_since < 0 else START_MS + seat_since * TICK_MS + error
        if self._mutant == MUTANTS[0] and seat_since_ms is not None:
            seat_since_ms = 0
        if self._mutant == MUTANTS[1] and seat_since_ms:
            seat_since_ms -= 3 * CLOCK_ERROR_MS
        ledger: Ledger[str] = Ledger(
            clock, KEY_LIFE_MS, CLOCK_ERROR_MS, lambda _: seat_since_ms, 10, 100_000
        )
        if entry is not None:
            key, expires, reply = entry
            ledger_entry: _Entry[str] = _Entry(fingerprint(_request(key)), "marts", expires, "run")
            ledger_entry.reply = reply
            ledger._entries[_key(key)] = ledger_entry
            ledger._add_usage("marts", 1, ledger_entry.size)
        return ledger

    @staticmethod
    def _entry_state(ledger: Ledger[str], born: int) -> Any:
        entry = ledger._entries.get(_key(born))
        return None if entry is None else (born, entry.expires_ms, entry.reply)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the label and the next state of every step from ``state``."""
        time, born, errors, moved_at = state[:4]
        in_flight = state[7]
        steps: list[tuple[str, State]] = []

        def step(label: str, **changes: Any) -> None:
            fields = {**dict(zip(FIELDS, state, strict=True)), **changes}
            steps.append((label, tuple(fields.values())))

        if born is None:
            for created_at in range(-2, HORIZON_TICKS):
                step(f"key created at tick {created_at}", born=created_at)
            return steps
        if time < HORIZON_TICKS:
            step("a second passes", time=time + 1)
        if moved_at is None:
            step("the seat moves", moved_at=time)
            for error in (-CLOCK_ERROR_MS, CLOCK_ERROR_MS):
                if error != errors[0]:
                    step("the old home's clock is set", errors=(error, errors[1]))
        self._attempt(step, state, "old" if moved_at is None else "new")
        if in_flight:
            self._finish_run(step, state)
        return steps

    def _home_ledger(self, state: State, home: str) -> Ledger[str]:
        time, _, errors, moved_at, old, new = state[:6]
        if home == "old":
            return self._ledger(time, errors[0], -1, old)
        return self._ledger(time, errors[1], moved_at, new)

    def _attempt(self, step: Any, state: State, home: str) -> None:
        born, runs, in_flight, false_refusal = state[1], state[6], state[7], state[8]
        ledger = self._home_ledger(state, home)
        opened = ledger.begin(_request(born), "run")
        entry_state = self._entry_state(ledger, born)
        if opened.is_err():
            # A refusal states that nothing ran under the key, unless the key had expired.
            is_false = runs > 0 and opened.unwrap_err() is not request.KEY_EXPIRED
            step(f"{home} home refuses", false_refusal=false_refusal or is_false)
        elif isinstance(opened.unwrap(), StartRun):
            step(
                f"{home} home runs",
                **{home: entry_state},
                runs=min(runs + 1, MAX_RUNS),
                in_flight=home,
            )
            ledger.complete(_key(born), not_run(request.SHED))
            step(
                f"{home} gate refuses",
                **{home: self._entry_state(ledger, born)},
                false_refusal=false_refusal or runs > 0,
            )
        elif entry_state != state[FIELDS.index(home)]:
            step(f"{home} home sweeps", **{home: entry_state}, in_flight=in_flight)

    def _finish_run(self, step: Any, state: State) -> None:
        born, in_flight = state[1], state[7]
        for label, reply in (
            ("is answered", ANSWERED_REPLY),
            ("loses its answer", unknown(request.ANSWER_LOST)),
        ):
            ledger = self._home_ledger(state, in_flight)
            recorded = reply
            if self._mutant == MUTANTS[2] and reply is not ANSWERED_REPLY:
                recorded = not_run(request.ANSWER_LOST)
            ledger.complete(_key(born), recorded)
            step(f"the run {label}", **{in_flight: self._entry_state(ledger, born)}, in_flight="")


def run(mutant: str = "") -> Report:
    """Check the model for each combination of clock errors.

    Returns the first report of a violation, with the number of states of all searches.
    """
    model = Model(mutant)
    reports = [
        check(
            "idempotency" + (f" ({mutant})" if mutant else ""),
            FIELDS,
            (0, None, (old, new), None, None, None, 0, "", False),
            model.transitions,
            {
                "it runs at most once": lambda s: s["runs"] <= 1,
                "a refusal that says not run is true": lambda s: not s["false_refusal"],
            },
        )
        for old in (-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        for new in (-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
    ]
    failed_or_first = next((report for report in reports if report.holds is not True), reports[0])
    return failed_or_first._replace(states=sum(report.states for report in reports))
