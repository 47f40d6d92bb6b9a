"""End-to-end demo on loopback: two data centres with two hosts each, two services.

Prints the progress of each stage and ends with one JSON line. Exits 0 only if every
answer was as expected.
"""

import asyncio
import json
import signal
import statistics
import sys
from collections import Counter

import uuid6

from .fleet import Answer, Fleet

CALL_COUNT = 300
CALLS_PER_S = 80
TRACKER_HOSTS = ("sofia-1a", "sofia-2a")
PAYMENT_HOSTS = ("sofia-1b", "sofia-2b")


def print_progress(message: str) -> None:
    """Print a line at once."""
    print(message, flush=True)


class Demo:
    """The stages of the demo, with the outcomes and failures that they recorded."""

    def __init__(self) -> None:
        self.fleet = Fleet(log_level="info")
        self.failures: list[str] = []
        self.counts: Counter[str] = Counter()
        self.added_ms = (0.0, 0.0)

    def check(self, condition: bool, message: str) -> None:
        """Record a failure unless ``condition`` holds."""
        if not condition:
            self.failures.append(message)
            print_progress(f"  WRONG: {message}")

    def record(self, answer: Answer) -> None:
        """Count the outcome of a call."""
        served = answer.outcome == "answered" and answer.status == 200
        name = {"not-run": "refused", "unknown": "unknown"}.get(answer.outcome, "other")
        self.counts["served" if served else name] += 1

    async def start(self) -> None:
        """Start the log, publish the documents, and start the nodes and targets."""
        fleet = self.fleet
        fleet.start_log()
        await fleet.wait_for_log()
        for path in ("examples/payments.yaml", "examples/tracker.yaml"):
            print_progress(f"  {path}: version {await fleet.apply(path)}")
        for name in (*TRACKER_HOSTS, *PAYMENT_HOSTS):
            fleet.add_host(name, name[:-1])
        for name in fleet.hosts:
            fleet.start_node(name)
        for name in TRACKER_HOSTS:
            call = "GET /payments/balance"
            fleet.start_target(name, "tracker", "--call", call, "--work-ms", "2")
        for name in PAYMENT_HOSTS:
            fleet.start_target(name, "payments", "--work-ms", "2")
        await fleet.wait_until_settled({"tracker": 2, "payments": 2})

    async def check_chained_call(self, key: str) -> None:
        """Call tracker through a payments node; the tracker target calls payments."""
        answer = await self.fleet.call("sofia-1b", "/tracker/track?order=7", key)
        self.record(answer)
        self.check(answer.status == 200, f"track answered {answer.status} {answer.body[:200]!r}")
        if answer.status == 200:
            body = json.loads(answer.body)
            self.check(body["below"] == [200], f"the nested call answered {body['below']}")

    async def check_deposits(self, key: str) -> None:
        """Send each deposit to two nodes under one idempotency key; each must run once."""
        fleet = self.fleet
        for number in range(10):
            headers = {"Idempotency-Key": str(uuid6.uuid7()), "X-Order": f"deposit-{number}"}
            answers = await asyncio.gather(
                *(
                    fleet.call(
                        host, "/payments/deposit", key, method="POST", headers=headers, body=b"5"
                    )
                    for host in TRACKER_HOSTS
                )
            )
            for answer in answers:
                self.record(answer)
                self.check(
                    answer.status == 200, f"deposit answered {answer.status} {answer.body!r}"
                )
        run_counts: Counter[str] = Counter()
        for host in PAYMENT_HOSTS:
            counters = await fleet.target_counters(host)
            run_counts.update(counters["ran"])
            self.check(counters["keys_seen"] == 0, "a target received an API key")
        repeated = [order for order, times in run_counts.items() if times != 1]
        self.check(len(run_counts) == 10 and not repeated, f"runs per deposit: {dict(run_counts)}")

    async def measure_latency(self, key: str) -> None:
        """Measure alternating calls to a target, directly and through its node."""
        fleet = self.fleet
        direct_s: list[float] = []
        through_node_s: list[float] = []
        target = f"http://{fleet.hosts['sofia-1b'].target}/balance"
        for number in range(CALL_COUNT):
            direct_answer = await fleet.send_request(target)
            node_answer = await fleet.call("sofia-1b", "/payments/balance", key)
            self.record(node_answer)
            self.check(
                node_answer.status == 200,
                f"balance answered {node_answer.status} {node_answer.body!r}",
            )
            if number >= 20:
                direct_s.append(direct_answer.seconds)
                through_node_s.append(node_answer.seconds)
            await asyncio.sleep(1 / CALLS_PER_S)
        self.added_ms = (
            1000 * (statistics.median(through_node_s) - statistics.median(direct_s)),
            1000
            * (
                statistics.quantiles(through_node_s, n=100)[98]
                - statistics.quantiles(direct_s, n=100)[98]
            ),
        )

    async def withdraw_key(self, key_id: str, key: str) -> None:
        """Withdraw the key and wait until every node rejects it."""
        code, _, err = await self.fleet.run_command(
            "key", "withdraw", key_id, "--log", self.fleet.log_url
        )
        self.check(code == 0, f"withdraw exited {code}: {err}")

        async def rejected() -> bool:
            answers = [
                await self.fleet.call(host, "/payments/balance", key) for host in self.fleet.hosts
            ]
            return all(answer.status == 401 for answer in answers)

        print_progress(
            f"  rejected everywhere after {await self.fleet.wait_until('key', rejected, 6.0):.2f} s"
        )

    async def stop_nodes(self) -> None:
        """Stop every node with SIGTERM; each must exit with code 0."""
        fleet = self.fleet
        for name in (*TRACKER_HOSTS, *PAYMENT_HOSTS):
            fleet.send_signal(f"node-{name}", signal.SIGTERM)
            code = await fleet.wait_exit(f"node-{name}")
            self.check(
                code == 0, f"node {name} exited {code}: {fleet.output(f'node-{name}')[-500:]}"
            )

    async def run(self) -> None:
        """Run all stages."""
        print_progress("start: log, 2 data centres, 4 hosts, services tracker and payments")
        await self.start()
        key_id, key = await self.fleet.give_key("remenar-01")
        print_progress(f"key: {key_id} given to remenar-01")

        async def accepted() -> bool:
            answers = [
                await self.fleet.call(host, "/payments/balance", key) for host in self.fleet.hosts
            ]
            return all(answer.status != 401 for answer in answers)

        print_progress(
            f"  in force everywhere after {await self.fleet.wait_until('key', accepted, 6.0):.2f} s"
        )
        print_progress("chain: caller -> node -> tracker -> node -> payments")
        await self.check_chained_call(key)
        print_progress("deposits: 10, each sent to two data centres under one idempotency key")
        await self.check_deposits(key)
        print_progress(
            f"latency: {CALL_COUNT} direct calls, alternating with calls through the node"
        )
        await self.measure_latency(key)
        print_progress("withdraw: the key, with connections left open")
        await self.withdraw_key(key_id, key)
        print_progress("stop: SIGTERM to every node")
        await self.stop_nodes()


async def main() -> int:
    """Run the demo and print the summary."""
    demo = Demo()
    try:
        await demo.run()
    except (TimeoutError, RuntimeError) as exc:
        demo.check(False, repr(exc))
        for name in demo.fleet.hosts:
            print_progress(f"--- {name}\n{demo.fleet.output(f'node-{name}')[-1500:]}")
    finally:
        await demo.fleet.close()
    summary = {
        "demo": "whole path",
        "right": not demo.failures,
        "served": demo.counts["served"],
        "refused": demo.counts["refused"],
        "unknown": demo.counts["unknown"],
        "other": demo.counts["other"],
        "added_p50_ms": round(demo.added_ms[0], 3),
        "added_p99_ms": round(demo.added_ms[1], 3),
    }
    print(json.dumps(summary), flush=True)
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
