"""All nodes are killed just after a server has left, and a check-in of it arrives late."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.world import RESTART_S, CaseError, Client, World, run_case, trouble

ROUTES = [{"name": "read", "path_prefix": "/read/", "service": "ledger"}]
DRAIN_S = 2.0
STABLE_S = 3.0
LATE_S = 3.0
"""Time for which the check-in is under way."""
SERVES_ON_S = 12.0


async def ask(world: World, number: int) -> None:
    """Send requests to the nodes in turn."""
    clients = [Client(world, m, f"c{number}{m.name}") for m in world.machines.values()]
    while True:
        for client in clients:
            with contextlib.suppress(ConnectionError):
                await client.send("/read/1")
        await asyncio.sleep(0.1)


async def case(world: World) -> bool:
    """Count requests that reach the server long after its leaving was acknowledged."""
    await world.start({"a": "front", "b": "ledger", "c": "ledger"}, ROUTES)
    leaving = world.servers["b"]
    tasks = [asyncio.create_task(ask(world, number)) for number in range(4)]
    await asyncio.sleep(2.0)
    leaving.stop_beats()
    late = leaving.check_in()
    sent_at = time.monotonic()
    await asyncio.sleep(0.2)
    status = await leaving.send(leaving.deregistration())
    left_at = time.monotonic()
    world.record("server left", server=leaving.id, acknowledged=status)
    if status != 200:
        raise CaseError("the leaving was not acknowledged")
    await asyncio.sleep(0.1)
    if trouble():
        for machine in world.machines.values():
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for machine in world.machines.values():
            await machine.start()
        await world.wait_ready()
    in_touch_at = time.monotonic() + STABLE_S
    await asyncio.sleep(max(0.0, sent_at + LATE_S - time.monotonic()))
    status = await leaving.send(late)
    world.record("late check-in arrived", server=leaving.id, answered=status)
    from_at = max(left_at + DRAIN_S, in_touch_at)
    await asyncio.sleep(max(0.0, from_at - time.monotonic()))
    before = len(leaving.runs)
    world.record("counting begins", since_left_s=round(from_at - left_at, 2))
    await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
    reached = len(leaving.runs) - before
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    world.record("total", reached_after_drain=reached, other=len(world.servers["c"].runs))
    return reached > 0


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
