"""Generates docs/RESULTS.md from the journal entries: ``python -m harness.results``."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["rows"]

ROOT = Path(__file__).parents[1]
RESULTS_PAGE = ROOT / "docs" / "RESULTS.md"
ROWS_MARKER = "<!-- rows -->"
MAX_PRICES = 3


def rows(folder: Path) -> Iterator[str]:
    """Yield a table row for each day in the journal entries of ``folder``."""
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        for day in entry.get("days") or []:
            yield _row(entry, day)


def _row(entry: dict[str, Any], day: dict[str, Any]) -> str:
    argv = entry["argv"]
    until = argv[argv.index("--until") + 1] if "--until" in argv else ""
    rules = ", ".join(f"{name} {count}" for name, count in (day["rules"] or {}).items())
    broken_rules = rules or (f"fault: {str(day['fault'])[:60]}" if day["fault"] else "none")
    prices = sorted(day["prices"], key=lambda price: -(price[2] or 0.0))[:MAX_PRICES]
    cells = (
        entry["at"][0][11:16],
        entry["head"][:7] + ("+" if entry["dirty"] else ""),
        f"{entry['cmd']} {entry['site']}",
        f"{day['name']}{' to ' + until + ' s' if until else ''} ({day['seed']})",
        broken_rules,
        f"{day['G']:.3f}" if day["G"] is not None else "-",
        f"{day['served']:.3f}",
        "; ".join(f"{name} {cost or 0.0:.3f}" for name, _, cost in prices),
    )
    return "| " + " | ".join(cells) + " |"


def main() -> int:
    """Rewrite the table below the marker."""
    text = RESULTS_PAGE.read_text(encoding="utf-8").partition(ROWS_MARKER)[0]
    head = (
        "| at | commit | round | day (seed) | rules broken | worth | served | dearest |\n"
        "|---|---|---|---|---|---|---|---|\n"
    )
    RESULTS_PAGE.write_text(
        text + ROWS_MARKER + "\n\n" + head + "\n".join(rows(ROOT / "journal")) + "\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
