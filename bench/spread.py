"""How long a change takes until it is in force at every node.

Twelve nodes in three data centres; the log answers at once, or a second late, or
half of the nodes cannot reach it. The users' bound is 6 s.
"""

import asyncio
import json
import time
import uuid

from beryldrum import records
from beryldrum.log import HttpLog
from harness.fleet import Fleet

HOSTS = 12
CENTRES = 3
ROUNDS = 5
BOUND_S = 6.0
NOWHERE = "http://127.0.0.1:1"
DOCUMENT = """\
service: payments
seats: 12
routes:
  - {name: balance, path: /balance, methods: [GET], open: true, idempotent: true}
organisations:
  remenar-01: {rate_per_s: 100, burst: 100}
# ROUND
"""


async def measure(name: str, delay_s: float, cut: bool) -> dict[str, object]:
    """Return the longest of some changes, from sending the append to the last node."""
    fleet = Fleet(log_level="error")
    log = HttpLog(fleet.log_url, fleet.session)
    try:
        fleet.start_log()
        await fleet.log_up()
        for number in range(HOSTS):
            fleet.add_host(f"h{number}", f"dc-{number % CENTRES}")
        for number, host in enumerate(fleet.hosts):
            changes = {"log_url": NOWHERE} if cut and number % 2 else {}
            fleet.start_node(host, **changes)
        await fleet.until("nodes up", lambda: _known(fleet, 0), 60.0)
        await asyncio.sleep(4.0)
        await fleet.log_fault(delay_s=delay_s)
        taken = []
        version = 0
        for number in range(ROUNDS):
            text = DOCUMENT.replace("ROUND", str(number))
            record = records.Publish(uuid.uuid4().hex, "payments", version, text, "bench")
            since = time.perf_counter()
            version = await log.append(records.encode(record))
            await fleet.until("in force", lambda v=version: _known(fleet, v), 60.0)
            taken.append(time.perf_counter() - since)
        return {
            "bench": "spread",
            "log": name,
            "nodes": HOSTS,
            "longest_s": round(max(taken), 2),
            "bound_s": BOUND_S,
        }
    finally:
        await fleet.close()


async def _known(fleet: Fleet, version: int) -> bool:
    states = await asyncio.gather(*(fleet.status(host) for host in fleet.hosts))
    return all(state and state["offset"] >= version for state in states)


async def main() -> None:
    """Measure the three cases."""
    for name, delay_s, cut in (
        ("quick", 0.0, False),
        ("slow", 1.0, False),
        ("half cut", 0.0, True),
    ):
        print(json.dumps(await measure(name, delay_s, cut)), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
