"""Latency that the nodes add to a call, compared with direct calls to the target.

Two paths are measured: on ``beside``, the entry node forwards to the target on its own
host; on ``across``, to a target behind another node. Calls on either path and direct
calls alternate in the same run, at 80 calls/s each and without other load.
"""

import asyncio
import json
import statistics
import tempfile
from pathlib import Path

from harness.fleet import Fleet

CALLS_PER_S = 80
CALL_COUNT = 1_200
WARM_UP_CALLS = 200
DOCUMENT = """\
service: payments
seats: 8
routes:
  - {name: balance, path: /balance, methods: [GET], open: true, idempotent: true}
organisations:
  remenar-01: {rate_per_s: 10000, burst: 10000}
"""


async def start(fleet: Fleet) -> str:
    """Start two hosts, only one of them with a target, and return an API key."""
    fleet.start_log()
    await fleet.wait_for_log()
    path = Path(tempfile.mkdtemp(prefix="beryldrum-bench-")) / "payments.yaml"
    path.write_text(DOCUMENT)
    await fleet.apply(str(path))
    fleet.add_host("with-target", "dc-1")
    fleet.add_host("without-target", "dc-1", with_target=False)
    for name in fleet.hosts:
        fleet.start_node(name)
    fleet.start_target("with-target", "payments", "--work-ms", "0", "--slots", "64")
    await fleet.wait_until_settled({"payments": 1})
    _, key = await fleet.give_key("remenar-01")
    await asyncio.sleep(1.0)
    return key


def percentile_ms(values: list[float], percent: int) -> float:
    """Return a percentile of ``values``, given in seconds, in milliseconds."""
    return 1000 * statistics.quantiles(values, n=100)[percent - 1]


async def main() -> None:
    """Measure both paths and print a line for each."""
    fleet = Fleet(log_level="info")
    try:
        key = await start(fleet)
        target = f"http://{fleet.hosts['with-target'].target}/balance"
        times: dict[str, list[float]] = {"direct": [], "beside": [], "across": []}
        for number in range(CALL_COUNT):
            answers = {
                "direct": await fleet.send_request(target),
                "beside": await fleet.call("with-target", "/payments/balance", key),
                "across": await fleet.call("without-target", "/payments/balance", key),
            }
            for name, answer in answers.items():
                assert answer.status == 200, answer
                if number >= WARM_UP_CALLS:
                    times[name].append(answer.seconds)
            await asyncio.sleep(1 / CALLS_PER_S)
        direct = times.pop("direct")
        for name, values in times.items():
            line = {
                "bench": "latency",
                "path": name,
                "direct_p50_ms": round(percentile_ms(direct, 50), 3),
                "direct_p99_ms": round(percentile_ms(direct, 99), 3),
                "added_p50_ms": round(percentile_ms(values, 50) - percentile_ms(direct, 50), 3),
                "added_p99_ms": round(percentile_ms(values, 99) - percentile_ms(direct, 99), 3),
                "ratio_p50": round(percentile_ms(values, 50) / percentile_ms(direct, 50), 2),
                "ratio_p99": round(percentile_ms(values, 99) / percentile_ms(direct, 99), 2),
                "target_p99_ms": 0.45,
            }
            print(json.dumps(line), flush=True)
    finally:
        await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
