"""Propagation time of a configuration change to all nodes.

Twelve nodes run in three data centres. The log answers at once, or with a delay of 1 s,
or half of the nodes cannot reach it. The required bound is 6 s.
"""

import asyncio
import json
import time
import uuid

from beryldrum import records
from beryldrum.log import HttpLog
from harness.fleet import Fleet

HOSTS = 12
DATA_CENTRES = 3
ROUNDS = 5
BOUND_S = 6.0
UNREACHABLE_LOG_URL = "http://127.0.0.1:1"
DOCUMENT = """\
service: payments
seats: 12
routes:
  - {name: balance, path: /balance, methods: [GET], open: true, idempotent: true}
organisations:
  remenar-01: {rate_per_s: 100, burst: 100}
# ROUND
"""


async def measure(name: str, delay_s: float, half_partitioned: bool) -> dict[str, object]:
    """Return the longest time from sending a record until every node has applied it."""
    fleet = Fleet(log_level="error")
    log = HttpLog(fleet.log_url, fleet.session)
    try:
        fleet.start_log()
        await fleet.wait_for_log()
        for number in range(HOSTS):
            fleet.add_host(f"h{number}", f"dc-{number % DATA_CENTRES}")
        for number, host in enumerate(fleet.hosts):
            overrides = {"log_url": UNREACHABLE_LOG_URL} if half_partitioned and number % 2 else {}
            fleet.start_node(host, **overrides)
        await fleet.wait_until("all nodes answer", lambda: _in_force(fleet, 0), 60.0)
        await asyncio.sleep(4.0)
        await fleet.set_log_faults(delay_s=delay_s)
        durations = []
        version = 0
        for number in range(ROUNDS):
            text = DOCUMENT.replace("ROUND", str(number))
            record = records.Publish(uuid.uuid4().hex, "payments", version, text, "bench")
            started = time.perf_counter()
            version = await log.append(records.encode(record))
            await fleet.wait_until(
                "change in force at all nodes", lambda v=version: _in_force(fleet, v), 60.0
            )
            durations.append(time.perf_counter() - started)
        return {
            "bench": "spread",
            "log": name,
            "nodes": HOSTS,
            "longest_s": round(max(durations), 2),
            "bound_s": BOUND_S,
        }
    finally:
        await fleet.close()


async def _in_force(fleet: Fleet, version: int) -> bool:
    states = await asyncio.gather(*(fleet.status(host) for host in fleet.hosts))
    return all(state and state["offset"] >= version for state in states)


async def main() -> None:
    """Measure with a fast log, with a slow one, and with half of the nodes cut off."""
    for name, delay_s, half_partitioned in (
        ("quick", 0.0, False),
        ("slow", 1.0, False),
        ("half cut", 0.0, True),
    ):
        print(json.dumps(await measure(name, delay_s, half_partitioned)), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
