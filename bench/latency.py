"""What a node adds to a call, against the target asked directly, in the same run.

Paths: *beside*, the entry's own target; *across*, a target at another node.
80 calls a second each, in turn with the direct ones, no other load.
"""

import asyncio
import json
import statistics
import tempfile
from pathlib import Path

from harness.fleet import Fleet

PER_S = 80
CALLS = 1_200
WARM_UP = 200
DOCUMENT = """\
service: payments
seats: 8
routes:
  - {name: balance, path: /balance, methods: [GET], open: true, idempotent: true}
organisations:
  remenar-01: {rate_per_s: 10000, burst: 10000}
"""


async def start(fleet: Fleet) -> str:
    """Start two hosts, one with a target, and return a key."""
    fleet.start_log()
    await fleet.log_up()
    path = Path(tempfile.mkdtemp(prefix="beryldrum-bench-")) / "payments.yaml"
    path.write_text(DOCUMENT)
    await fleet.apply(str(path))
    fleet.add_host("with", "dc-1")
    fleet.add_host("without", "dc-1", with_target=False)
    for name in fleet.hosts:
        fleet.start_node(name)
    fleet.start_target("with", "payments", "--work-ms", "0", "--slots", "64")
    await fleet.settled({"payments": 1})
    _, key = await fleet.give_key("remenar-01")
    await asyncio.sleep(1.0)
    return key


def quantile(values: list[float], percent: int) -> float:
    """Return a percentile in milliseconds."""
    return 1000 * statistics.quantiles(values, n=100)[percent - 1]


async def main() -> None:
    """Measure and print a line for each path."""
    fleet = Fleet(log_level="info")
    try:
        key = await start(fleet)
        target = f"http://{fleet.hosts['with'].target}/balance"
        times: dict[str, list[float]] = {"direct": [], "beside": [], "across": []}
        for number in range(CALLS):
            answers = {
                "direct": await fleet.ask(target),
                "beside": await fleet.call("with", "/payments/balance", key),
                "across": await fleet.call("without", "/payments/balance", key),
            }
            for name, answer in answers.items():
                assert answer.status == 200, answer
                if number >= WARM_UP:
                    times[name].append(answer.seconds)
            await asyncio.sleep(1 / PER_S)
        direct = times.pop("direct")
        for name, values in times.items():
            line = {
                "bench": "latency",
                "path": name,
                "direct_p50_ms": round(quantile(direct, 50), 3),
                "direct_p99_ms": round(quantile(direct, 99), 3),
                "added_p50_ms": round(quantile(values, 50) - quantile(direct, 50), 3),
                "added_p99_ms": round(quantile(values, 99) - quantile(direct, 99), 3),
                "ratio_p50": round(quantile(values, 50) / quantile(direct, 50), 2),
                "ratio_p99": round(quantile(values, 99) / quantile(direct, 99), 2),
                "target_p99_ms": 0.45,
            }
            print(json.dumps(line), flush=True)
    finally:
        await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
