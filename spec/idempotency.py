"""One idempotency key under repeats, lost answers, take-over and wrong clocks.

The key's seat moves once, from an old home to a new one (which may be the same
host after a restart). Both homes are ledgers of the product, and their clocks
err either way by the stated bound. The caller's clock, which the key's time is
of, is anything.
"""

from typing import Any

from beryldrum import request
from beryldrum.clock import ManualClock
from beryldrum.ledger import Ledger, Run, _Entry, fingerprint
from beryldrum.request import Outcome, Reply, Request, not_run, unknown

from .checker import Report, State, check

__all__ = ["MUTANTS", "run"]

MUTANTS = (
    "a new home trusts every key",
    "a new home allows for no clock error",
    "a lost answer frees the key",
)

TICK_MS = 1_000
ERROR_MS = 1_000
LIFE_MS = 4_000
HORIZON = 12
MOST_RUNS = 2
BASE_MS = 1_800_000_000_000
FIELDS = ("time", "born", "errors", "moved_at", "old", "new", "runs", "in_flight", "lied")
KEPT = Reply(Outcome.ANSWERED, 200)


def _key(born: int) -> str:
    value = (BASE_MS + born * TICK_MS) << 80 | 7 << 76 | 2 << 62 | 5
    digits = f"{value:032x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


def _request(born: int) -> Request:
    return Request(
        "pens", "book", "POST", "/book", (), b"", "marts", 0, 1e9, 0, "r", _key(born), False, 0
    )


class Spec:
    """The transitions, for the product's rules or for a mutant."""

    def __init__(self, mutant: str) -> None:
        self._mutant = mutant

    def _ledger(self, time: int, error: int, since: int | None, entry: Any) -> Ledger[str]:
        clock = ManualClock(0.0, BASE_MS + time * TICK_MS + error)
        held = None
        if since is not None:
            held = 0 if since < 0 else BASE_MS + since * TICK_MS + error
        if self._mutant == MUTANTS[0] and held is not None:
            held = 0
        if self._mutant == MUTANTS[1] and held:
            held -= 3 * ERROR_MS
        ledger: Ledger[str] = Ledger(clock, LIFE_MS, ERROR_MS, lambda _: held, 10, 100_000)
        if entry is not None:
            key, expires, reply = entry
            kept: _Entry[str] = _Entry(fingerprint(_request(key)), "marts", expires, "run")
            kept.reply = reply
            ledger._entries[_key(key)] = kept
            ledger._grow("marts", 1, kept.size)
        return ledger

    @staticmethod
    def _freeze(ledger: Ledger[str], born: int) -> Any:
        kept = ledger._entries.get(_key(born))
        return None if kept is None else (born, kept.expires_ms, kept.reply)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step from ``state``."""
        time, born, errors, moved_at = state[:4]
        in_flight = state[7]
        found: list[tuple[str, State]] = []

        def step(label: str, **changes: Any) -> None:
            fields = {**dict(zip(FIELDS, state, strict=True)), **changes}
            found.append((label, tuple(fields.values())))

        if born is None:
            for when in range(-2, HORIZON):
                step(f"a key born at {when}", born=when)
            return found
        if time < HORIZON:
            step("a second passes", time=time + 1)
        if moved_at is None:
            step("the seat moves", moved_at=time)
            for error in (-ERROR_MS, ERROR_MS):
                if error != errors[0]:
                    step("the old home's clock is set", errors=(error, errors[1]))
        self._attempt(step, state, "old" if moved_at is None else "new")
        if in_flight:
            self._end(step, state)
        return found

    def _home(self, state: State, home: str) -> Ledger[str]:
        time, _, errors, moved_at, old, new = state[:6]
        if home == "old":
            return self._ledger(time, errors[0], -1, old)
        return self._ledger(time, errors[1], moved_at, new)

    def _attempt(self, step: Any, state: State, home: str) -> None:
        born, runs, in_flight, lied = state[1], state[6], state[7], state[8]
        ledger = self._home(state, home)
        opened = ledger.open(_request(born), "run")
        frozen = self._freeze(ledger, born)
        if opened.is_err():
            # A refusal says that nothing ran under the key, except for a bad key.
            false = runs > 0 and opened.unwrap_err() is not request.KEY_EXPIRED
            step(f"{home} home refuses", lied=lied or false)
        elif isinstance(opened.unwrap(), Run):
            step(
                f"{home} home runs", **{home: frozen}, runs=min(runs + 1, MOST_RUNS), in_flight=home
            )
            ledger.close(_key(born), not_run(request.SHED))
            step(
                f"{home} gate refuses", **{home: self._freeze(ledger, born)}, lied=lied or runs > 0
            )
        elif frozen != state[FIELDS.index(home)]:
            step(f"{home} home sweeps", **{home: frozen}, in_flight=in_flight)

    def _end(self, step: Any, state: State) -> None:
        born, in_flight = state[1], state[7]
        for label, reply in (
            ("is answered", KEPT),
            ("loses its answer", unknown(request.ANSWER_LOST)),
        ):
            ledger = self._home(state, in_flight)
            kept = reply
            if self._mutant == MUTANTS[2] and reply is not KEPT:
                kept = not_run(request.ANSWER_LOST)
            ledger.close(_key(born), kept)
            step(f"the run {label}", **{in_flight: self._freeze(ledger, born)}, in_flight="")


def run(mutant: str = "") -> Report:
    """Check the specification, with one of MUTANTS or none."""
    spec = Spec(mutant)
    reports = [
        check(
            "idempotency" + (f" ({mutant})" if mutant else ""),
            FIELDS,
            (0, None, (old, new), None, None, None, 0, "", False),
            spec.transitions,
            {
                "it runs at most once": lambda s: s["runs"] <= 1,
                "a refusal that says not run is true": lambda s: not s["lied"],
            },
        )
        for old in (-ERROR_MS, ERROR_MS)
        for new in (-ERROR_MS, ERROR_MS)
    ]
    worst = next((report for report in reports if report.holds is not True), reports[0])
    return worst._replace(states=sum(report.states for report in reports))
