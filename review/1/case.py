"""The operator withdraws the last API key."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.world import KEY, Client, World, run_case, trouble

ROUTES = [
    {"name": "read", "path_prefix": "/read/", "service": "ledger"},
    {"name": "book", "path_prefix": "/book/", "service": "ledger", "kind": "unsafe"},
]
SERVICES = ["front", "ledger"]
OTHER_KEY = "8pjbvk9m68k7b2ex5wa5"
FORGED_KEY = "aaaaaaaaaaaaaaaaaaaa"
REVOKE_S = 5.0
MARGIN_S = 1.0


async def case(world: World) -> bool:
    """Count requests that run with a withdrawn key, and with a key that never was in force."""
    await world.start({"a": "front", "b": "ledger", "c": "ledger"}, ROUTES)
    world.configure(ROUTES, SERVICES, {"pulo780": [KEY], "lenu201": [OTHER_KEY]})
    clients = [Client(world, m, f"c{m.name}") for m in world.machines.values()]
    await asyncio.sleep(2.5)
    for client in clients:
        await client.send("/read/1")
        await client.send("/read/1", key=FORGED_KEY)
    tenants = {"pulo780": [], "lenu201": []} if trouble() else {"pulo780": [], "lenu201": [KEY]}
    world.configure(ROUTES, SERVICES, {name: list(keys) for name, keys in tenants.items()})
    confirmed_at = time.monotonic()
    withdrawn = [KEY, OTHER_KEY] if trouble() else [OTHER_KEY]
    broken = 0
    while time.monotonic() < confirmed_at + REVOKE_S + MARGIN_S + 3.0:
        await asyncio.sleep(0.25)
        due = time.monotonic() > confirmed_at + REVOKE_S + MARGIN_S
        for client in clients:
            for key in [*withdrawn, FORGED_KEY]:
                for path, method in (("/read/1", "GET"), ("/book/1", "POST")):
                    request_id, _ = await client.send(path, method, key=key)
                    if world.runs_of(request_id) and due:
                        broken += 1
                        known = "withdrawn" if key in withdrawn else "never in force"
                        world.record("ran without a valid key", id=request_id, key=known)
    world.record("total", ran_without_a_valid_key=broken)
    return broken > 0


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
