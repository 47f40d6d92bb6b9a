"""The whole path on loopback: two data centres, two hosts each, two services.

Prints what each stage did and ends with one JSON line. Exits 0 only if every
answer was right.
"""

import asyncio
import json
import signal
import statistics
import sys
from collections import Counter

import uuid6

from .fleet import Answer, Fleet

CALLS = 300
PER_S = 80
TRACKERS = ("sofia-1a", "sofia-2a")
PAYERS = ("sofia-1b", "sofia-2b")


def say(text: str) -> None:
    """Print progress."""
    print(text, flush=True)


class Demo:
    """The stages of the demo, and the faults found in what came back."""

    def __init__(self) -> None:
        self.fleet = Fleet(log_level="info")
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.added = (0.0, 0.0)

    def expect(self, holds: bool, text: str) -> None:
        """Note a fault unless ``holds``."""
        if not holds:
            self.faults.append(text)
            say(f"  WRONG: {text}")

    def count(self, answer: Answer) -> None:
        """Count an outcome."""
        served = answer.outcome == "answered" and answer.status == 200
        name = {"not-run": "refused", "unknown": "unknown"}.get(answer.outcome, "other")
        self.counts["served" if served else name] += 1

    async def start(self) -> None:
        """Start the log, the documents, the nodes and the targets."""
        fleet = self.fleet
        fleet.start_log()
        await fleet.log_up()
        for path in ("examples/payments.yaml", "examples/tracker.yaml"):
            say(f"  {path}: version {await fleet.apply(path)}")
        for name in (*TRACKERS, *PAYERS):
            fleet.add_host(name, name[:-1])
        for name in fleet.hosts:
            fleet.start_node(name)
        for name in TRACKERS:
            call = "GET /payments/balance"
            fleet.start_target(name, "tracker", "--call", call, "--work-ms", "2")
        for name in PAYERS:
            fleet.start_target(name, "payments", "--work-ms", "2")
        await fleet.settled({"tracker": 2, "payments": 2})

    async def chained(self, key: str) -> None:
        """Ask for a strap at one node; its target asks payments further down."""
        answer = await self.fleet.call("sofia-1b", "/tracker/track?order=7", key)
        self.count(answer)
        self.expect(answer.status == 200, f"track answered {answer.status} {answer.body[:200]!r}")
        if answer.status == 200:
            body = json.loads(answer.body)
            self.expect(body["below"] == [200], f"the deeper call gave {body['below']}")

    async def deposits(self, key: str) -> None:
        """Charge deposits, each twice under one key, at two nodes."""
        fleet = self.fleet
        for number in range(10):
            headers = {"Idempotency-Key": str(uuid6.uuid7()), "X-Order": f"deposit-{number}"}
            answers = await asyncio.gather(
                *(
                    fleet.call(
                        host, "/payments/deposit", key, method="POST", headers=headers, body=b"5"
                    )
                    for host in TRACKERS
                )
            )
            for answer in answers:
                self.count(answer)
                self.expect(answer.status == 200, f"deposit gave {answer.status} {answer.body!r}")
        ran: Counter[str] = Counter()
        for host in PAYERS:
            seen = await fleet.seen(host)
            ran.update(seen["ran"])
            self.expect(seen["keys_seen"] == 0, "a target saw a key")
        twice = [order for order, times in ran.items() if times != 1]
        self.expect(len(ran) == 10 and not twice, f"deposits ran {dict(ran)}")

    async def latency(self, key: str) -> None:
        """Time calls to a target directly and through its nodes, in turn."""
        fleet = self.fleet
        direct: list[float] = []
        through: list[float] = []
        target = f"http://{fleet.hosts['sofia-1b'].target}/balance"
        for number in range(CALLS):
            one = await fleet.ask(target)
            two = await fleet.call("sofia-1b", "/payments/balance", key)
            self.count(two)
            self.expect(two.status == 200, f"balance gave {two.status} {two.body!r}")
            if number >= 20:
                direct.append(one.seconds)
                through.append(two.seconds)
            await asyncio.sleep(1 / PER_S)
        self.added = (
            1000 * (statistics.median(through) - statistics.median(direct)),
            1000
            * (statistics.quantiles(through, n=100)[98] - statistics.quantiles(direct, n=100)[98]),
        )

    async def withdraw(self, key_id: str, key: str) -> None:
        """Withdraw the key and wait until it stops at every node."""
        code, _, err = await self.fleet.command(
            "key", "withdraw", key_id, "--log", self.fleet.log_url
        )
        self.expect(code == 0, f"withdraw exited {code}: {err}")

        async def stopped() -> bool:
            answers = [await self.fleet.call(h, "/payments/balance", key) for h in self.fleet.hosts]
            return all(answer.status == 401 for answer in answers)

        say(f"  stopped everywhere after {await self.fleet.until('key', stopped, 6.0):.2f} s")

    async def drain(self) -> None:
        """Stop a node while its target is at work."""
        fleet = self.fleet
        for name in (*TRACKERS, *PAYERS):
            fleet.signal(f"node-{name}", signal.SIGTERM)
            code = await fleet.wait_exit(f"node-{name}")
            self.expect(
                code == 0, f"node {name} exited {code}: {fleet.output(f'node-{name}')[-500:]}"
            )

    async def run(self) -> None:
        """Run all stages."""
        say("start: log, 2 data centres, 4 hosts, services tracker and payments")
        await self.start()
        key_id, key = await self.fleet.give_key("remenar-01")
        say(f"key: {key_id} given to remenar-01")

        async def accepted() -> bool:
            asks = [await self.fleet.call(h, "/payments/balance", key) for h in self.fleet.hosts]
            return all(answer.status != 401 for answer in asks)

        say(f"  in force everywhere after {await self.fleet.until('key', accepted, 6.0):.2f} s")
        say("chain: caller -> node -> tracker -> node -> payments")
        await self.chained(key)
        say("deposits: 10, each sent twice under one idempotency key at two data centres")
        await self.deposits(key)
        say(f"latency: {CALLS} calls direct and through the node, in turn")
        await self.latency(key)
        say("withdraw: the key, while its connections stay open")
        await self.withdraw(key_id, key)
        say("stop: SIGTERM to every node")
        await self.drain()


async def main() -> int:
    """Run the demo and print its line."""
    demo = Demo()
    try:
        await demo.run()
    except (TimeoutError, RuntimeError) as exc:
        demo.expect(False, repr(exc))
        for name in demo.fleet.hosts:
            say(f"--- {name}\n{demo.fleet.output(f'node-{name}')[-1500:]}")
    finally:
        await demo.fleet.close()
    line = {
        "demo": "whole path",
        "right": not demo.faults,
        "served": demo.counts["served"],
        "refused": demo.counts["refused"],
        "unknown": demo.counts["unknown"],
        "other": demo.counts["other"],
        "added_p50_ms": round(demo.added[0], 3),
        "added_p99_ms": round(demo.added[1], 3),
    }
    print(json.dumps(line), flush=True)
    return 1 if demo.faults else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
