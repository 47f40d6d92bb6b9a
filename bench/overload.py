"""Recovery from overload: a downstream service slows while demand surges and callers retry.

Two workloads are scaled down to one machine: Remenar's tracker calls workbench,
Tweedside's lambdesk calls payoffice. Each service has two hosts, in two data centres.
Arrivals generated from the same seed are sent to nodes without control, to nodes with
a static limit and plain retries, and to beryldrum.
"""

import asyncio
import json
import random
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import NamedTuple

from harness.fleet import Fleet

SEED = 7
CALM_S = 5.0
TRIGGER_S = 6.0
AFTER_S = 14.0
SURGE_FACTOR = 2.0
SLOWDOWN_FACTOR = 4.0
TIMEOUT_MS = 1_000
CALLER_ATTEMPTS = 4
BUCKET_S = 0.5
RECOVERED_SHARE = 0.9
MODES = ("none", "static", "beryldrum")
SCALE = "2 hosts a service, slots 4 in the deep one, 120 calls/s"


class Workload(NamedTuple):
    """A front service, the downstream service it calls, and the demand on them.

    ``demand`` and ``rate_limits`` are in requests/s, by organisation.
    """

    name: str
    front: str
    downstream: str
    slots: int
    work_ms: float
    demand: dict[str, float]
    rate_limits: dict[str, float]


REMENAR = Workload(
    "remenar",
    "tracker",
    "workbench",
    4,
    25.0,
    {"remenar-01": 70.0, "remenar-02": 30.0, "remenar-03": 12.0, "remenar-04": 8.0},
    {"remenar-01": 160.0, "remenar-02": 80.0, "remenar-03": 40.0, "remenar-04": 40.0},
)
TWEEDSIDE = Workload(
    "tweedside",
    "lambdesk",
    "payoffice",
    4,
    25.0,
    # mart-01 sends three times its rate limit; the others stay below theirs.
    {"mart-01": 120.0, "mart-02": 30.0, "mart-03": 15.0},
    {"mart-01": 40.0, "mart-02": 80.0, "mart-03": 40.0},
)
CRITICAL_SHARE = 0.1


class Sample(NamedTuple):
    """A request of a caller, with the outcome of all its attempts."""

    organisation: str
    path: str
    started: float
    ended: float
    succeeded: bool
    first_refused: bool


def _document(service: str, workload: Workload) -> str:
    lines = [f"service: {service}", "seats: 8", "routes:"]
    for path, importance in (("/settle", "critical"), ("/ask", "normal")):
        lines.append(
            f"  - {{name: {path[1:]}, path: {path}, methods: [GET], open: true, "
            f"idempotent: true, importance: {importance}, retries: 2, timeout_ms: {TIMEOUT_MS}}}"
        )
    lines.append("organisations:")
    for name, rate in workload.rate_limits.items():
        lines.append(f"  {name}: {{rate_per_s: {rate}, burst: {rate}}}")
    return "\n".join(lines) + "\n"


class Trial:
    """Runs one workload against nodes of one mode."""

    def __init__(self, workload: Workload, mode: str) -> None:
        command = ("beryldrum", "node")
        if mode != "beryldrum":
            command = ("bench.baseline", mode)
        self.workload = workload
        self.mode = mode
        self.fleet = Fleet(command, log_level="error")
        self.samples: list[Sample] = []
        self.keys: dict[str, str] = {}

    async def start(self) -> None:
        """Start the log, the nodes and the targets, and publish the documents."""
        fleet, workload = self.fleet, self.workload
        fleet.start_log()
        await fleet.wait_for_log()
        folder = Path(tempfile.mkdtemp(prefix="beryldrum-bench-"))
        for service in (workload.front, workload.downstream):
            path = folder / f"{service}.yaml"
            path.write_text(_document(service, workload))
            await fleet.apply(str(path))
        for number in (1, 2):
            fleet.add_host(f"front{number}", f"dc-{number}")
            fleet.add_host(f"downstream{number}", f"dc-{number}")
        for name in fleet.hosts:
            fleet.start_node(name)
        for number in (1, 2):
            call = f"GET /{workload.downstream}/ask"
            fleet.start_target(
                f"front{number}",
                workload.front,
                "--call",
                call,
                "--slots",
                "150",
                "--work-ms",
                "2",
                "--connections",
                "1000",
            )
            fleet.start_target(
                f"downstream{number}",
                workload.downstream,
                "--slots",
                str(workload.slots),
                "--work-ms",
                str(workload.work_ms),
                "--connections",
                "240",
            )
        await fleet.wait_until_settled({workload.front: 2, workload.downstream: 2})
        for name in workload.rate_limits:
            _, self.keys[name] = await fleet.give_key(name)
        await asyncio.sleep(1.5)

    async def send_request(self, organisation: str, path: str, host: str) -> None:
        """Send a request as a caller that retries failures without backoff."""
        started = time.perf_counter()
        succeeded = first_refused = False
        for attempt in range(CALLER_ATTEMPTS):
            answer = await self.fleet.call(
                host, f"/{self.workload.front}{path}", self.keys[organisation], timeout_s=1.2
            )
            succeeded = answer.status == 200
            if attempt == 0:
                first_refused = answer.outcome == "not-run"
            if succeeded:
                break
        ended = time.perf_counter()
        self.samples.append(Sample(organisation, path, started, ended, succeeded, first_refused))

    async def generate_load(self) -> float:
        """Send requests with Poisson arrivals; returns the time of the start."""
        rng = random.Random(SEED)
        started_at = time.perf_counter()
        tasks: set[asyncio.Task[None]] = set()
        elapsed, end = 0.0, CALM_S + TRIGGER_S + AFTER_S
        names, weights = list(self.workload.demand), list(self.workload.demand.values())
        while elapsed < end:
            surge = SURGE_FACTOR if CALM_S <= elapsed < CALM_S + TRIGGER_S else 1.0
            elapsed += rng.expovariate(sum(weights) * surge)
            org = rng.choices(names, weights)[0]
            path = "/settle" if rng.random() < CRITICAL_SHARE else "/ask"
            host = rng.choice(("front1", "front2"))
            await asyncio.sleep(max(0.0, started_at + elapsed - time.perf_counter()))
            task = asyncio.create_task(self.send_request(org, path, host))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        return started_at

    async def apply_trigger(self) -> None:
        """Slow the downstream service during the trigger phase."""
        await asyncio.sleep(CALM_S)
        for number in (1, 2):
            await self.fleet.set_target_faults(
                f"downstream{number}", work_ms=self.workload.work_ms * SLOWDOWN_FACTOR
            )
        await asyncio.sleep(TRIGGER_S)
        for number in (1, 2):
            await self.fleet.set_target_faults(f"downstream{number}", work_ms=self.workload.work_ms)

    async def run(self) -> dict[str, object]:
        """Run the workload and return the results."""
        try:
            await self.start()
            started_at, _ = await asyncio.gather(self.generate_load(), self.apply_trigger())
            return self.results(started_at)
        finally:
            await self.fleet.close()

    def results(self, started_at: float) -> dict[str, object]:
        """Return the measurements of the run, with the keys of the printed JSON."""
        phases = {
            "calm": (0.0, CALM_S),
            "trigger": (CALM_S, CALM_S + TRIGGER_S),
            "after": (CALM_S + TRIGGER_S, CALM_S + TRIGGER_S + AFTER_S),
        }
        goodput = {
            name: round(self._count_succeeded(started_at, *span) / (span[1] - span[0]), 1)
            for name, span in phases.items()
        }
        return {
            "bench": "overload",
            "workload": self.workload.name,
            "mode": self.mode,
            "goodput_per_s": goodput,
            "recovery_s": self._recovery_s(started_at),
            "worst_organisation": self._worst_organisation(),
            "wrongly_refused": self._wrongly_refused(),
            "important_whole": self._critical_success_rate(started_at),
            "scale": SCALE,
        }

    def _count_succeeded(self, started_at: float, start: float, end: float) -> int:
        return sum(s.succeeded for s in self.samples if start <= s.started - started_at < end)

    def _recovery_s(self, started_at: float) -> float:
        """Return the time after the trigger until 9 in 10 requests succeed for 1 s.

        Organisations whose demand exceeds their rate limit are left out.
        """
        sent: Counter[int] = Counter()
        succeeded: Counter[int] = Counter()
        for sample in self.samples:
            bucket = int((sample.started - started_at - CALM_S - TRIGGER_S) // BUCKET_S)
            if (
                self.workload.demand[sample.organisation]
                > self.workload.rate_limits[sample.organisation]
            ):
                continue
            sent[bucket] += 1
            succeeded[bucket] += sample.succeeded
        recovered = [
            succeeded[n] >= RECOVERED_SHARE * sent[n] for n in range(int(AFTER_S / BUCKET_S))
        ]
        for number in range(len(recovered) - 1):
            if recovered[number] and recovered[number + 1]:
                return number * BUCKET_S
        return AFTER_S

    def _worst_organisation(self) -> dict[str, object]:
        sent: Counter[str] = Counter()
        succeeded: Counter[str] = Counter()
        for sample in self.samples:
            sent[sample.organisation] += 1
            succeeded[sample.organisation] += sample.succeeded
        served_shares = {
            org: succeeded[org]
            / (sent[org] * min(1.0, self.workload.rate_limits[org] / self.workload.demand[org]))
            for org in sent
        }
        org = min(served_shares, key=lambda name: served_shares[name])
        return {"organisation": org, "served_of_owed": round(served_shares[org], 3)}

    def _wrongly_refused(self) -> float:
        first_refusals: dict[str, list[bool]] = defaultdict(list)
        for sample in self.samples:
            if (
                self.workload.demand[sample.organisation] * SURGE_FACTOR
                <= self.workload.rate_limits[sample.organisation]
            ):
                first_refusals["within"].append(sample.first_refused)
        return round(sum(first_refusals["within"]) / max(1, len(first_refusals["within"])), 4)

    def _critical_success_rate(self, started_at: float) -> float:
        span = (CALM_S, CALM_S + TRIGGER_S)
        samples = [
            s
            for s in self.samples
            if s.path == "/settle"
            and span[0] <= s.started - started_at < span[1]
            and self.workload.demand[s.organisation] <= self.workload.rate_limits[s.organisation]
        ]
        return round(sum(s.succeeded for s in samples) / max(1, len(samples)), 3)


async def main() -> None:
    """Run each workload against each mode."""
    for workload in (REMENAR, TWEEDSIDE):
        for mode in MODES:
            print(json.dumps(await Trial(workload, mode).run()), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
