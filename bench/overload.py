"""A deep service slows while demand surges and callers retry hard.

Two workloads, scaled down to one machine: Remenar's tracker calls workbench,
Tweedside's lambdesk calls payoffice. Two hosts each, in two data centres. The
same arrivals, by the same seed, go against no control, a static limit with
plain retries, and beryldrum.
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
SURGE = 2.0
SLOWDOWN = 4.0
TIMEOUT_MS = 1_000
CALLER_ATTEMPTS = 4
BUCKET_S = 0.5
RECOVERED = 0.9
MODES = ("none", "static", "beryldrum")
SCALE = "2 hosts a service, slots 4 in the deep one, 120 calls/s"


class Workload(NamedTuple):
    """A front service, the deep one it calls, and its organisations' demand."""

    name: str
    front: str
    deep: str
    slots: int
    work_ms: float
    demand: dict[str, float]
    owed: dict[str, float]


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
    # One mart sends three times its rate; the other two stay within theirs.
    {"mart-01": 120.0, "mart-02": 30.0, "mart-03": 15.0},
    {"mart-01": 40.0, "mart-02": 80.0, "mart-03": 40.0},
)
IMPORTANT = 0.1


class Sample(NamedTuple):
    """One request of a caller, with all its attempts."""

    organisation: str
    path: str
    started: float
    ended: float
    whole: bool
    refused_first: bool


def _document(service: str, work: Workload) -> str:
    lines = [f"service: {service}", "seats: 8", "routes:"]
    for path, importance in (("/settle", "critical"), ("/ask", "normal")):
        lines.append(
            f"  - {{name: {path[1:]}, path: {path}, methods: [GET], open: true, "
            f"idempotent: true, importance: {importance}, retries: 2, timeout_ms: {TIMEOUT_MS}}}"
        )
    lines.append("organisations:")
    for name, rate in work.owed.items():
        lines.append(f"  {name}: {{rate_per_s: {rate}, burst: {rate}}}")
    return "\n".join(lines) + "\n"


class Run:
    """One workload against one mode."""

    def __init__(self, work: Workload, mode: str) -> None:
        command = ("beryldrum", "node")
        if mode != "beryldrum":
            command = ("bench.baseline", mode)
        self.work = work
        self.mode = mode
        self.fleet = Fleet(command, log_level="error")
        self.samples: list[Sample] = []
        self.keys: dict[str, str] = {}

    async def start(self) -> None:
        """Start the fleet."""
        fleet, work = self.fleet, self.work
        fleet.start_log()
        await fleet.log_up()
        folder = Path(tempfile.mkdtemp(prefix="beryldrum-bench-"))
        for service in (work.front, work.deep):
            path = folder / f"{service}.yaml"
            path.write_text(_document(service, work))
            await fleet.apply(str(path))
        for number in (1, 2):
            fleet.add_host(f"front{number}", f"dc-{number}")
            fleet.add_host(f"deep{number}", f"dc-{number}")
        for name in fleet.hosts:
            fleet.start_node(name)
        for number in (1, 2):
            call = f"GET /{work.deep}/ask"
            fleet.start_target(
                f"front{number}",
                work.front,
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
                f"deep{number}",
                work.deep,
                "--slots",
                str(work.slots),
                "--work-ms",
                str(work.work_ms),
                "--connections",
                "240",
            )
        await fleet.settled({work.front: 2, work.deep: 2})
        for name in work.owed:
            _, self.keys[name] = await fleet.give_key(name)
        await asyncio.sleep(1.5)

    async def one(self, organisation: str, path: str, host: str) -> None:
        """Send one caller's request, tried again at once when it fails."""
        started = time.perf_counter()
        whole = refused = False
        for attempt in range(CALLER_ATTEMPTS):
            answer = await self.fleet.call(
                host, f"/{self.work.front}{path}", self.keys[organisation], timeout_s=1.2
            )
            whole = answer.status == 200
            if attempt == 0:
                refused = answer.outcome == "not-run"
            if whole:
                break
        ended = time.perf_counter()
        self.samples.append(Sample(organisation, path, started, ended, whole, refused))

    async def load(self) -> float:
        """Send the arrivals; returns when they began."""
        rng = random.Random(SEED)
        since = time.perf_counter()
        tasks: set[asyncio.Task[None]] = set()
        now, end = 0.0, CALM_S + TRIGGER_S + AFTER_S
        names, weights = list(self.work.demand), list(self.work.demand.values())
        while now < end:
            surge = SURGE if CALM_S <= now < CALM_S + TRIGGER_S else 1.0
            now += rng.expovariate(sum(weights) * surge)
            org = rng.choices(names, weights)[0]
            path = "/settle" if rng.random() < IMPORTANT else "/ask"
            host = rng.choice(("front1", "front2"))
            await asyncio.sleep(max(0.0, since + now - time.perf_counter()))
            task = asyncio.create_task(self.one(org, path, host))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        return since

    async def trigger(self) -> None:
        """Slow the deep service for a while."""
        await asyncio.sleep(CALM_S)
        for number in (1, 2):
            await self.fleet.fault(f"deep{number}", work_ms=self.work.work_ms * SLOWDOWN)
        await asyncio.sleep(TRIGGER_S)
        for number in (1, 2):
            await self.fleet.fault(f"deep{number}", work_ms=self.work.work_ms)

    async def run(self) -> dict[str, object]:
        """Run and return the figures."""
        try:
            await self.start()
            since, _ = await asyncio.gather(self.load(), self.trigger())
            return self.figures(since)
        finally:
            await self.fleet.close()

    def figures(self, since: float) -> dict[str, object]:
        """Return the four measures of the brief."""
        phases = {
            "calm": (0.0, CALM_S),
            "trigger": (CALM_S, CALM_S + TRIGGER_S),
            "after": (CALM_S + TRIGGER_S, CALM_S + TRIGGER_S + AFTER_S),
        }
        goodput = {
            name: round(self._whole(since, *span) / (span[1] - span[0]), 1)
            for name, span in phases.items()
        }
        return {
            "bench": "overload",
            "workload": self.work.name,
            "mode": self.mode,
            "goodput_per_s": goodput,
            "recovery_s": self._recovery(since),
            "worst_organisation": self._worst(),
            "wrongly_refused": self._wrongly_refused(),
            "important_whole": self._important(since),
            "scale": SCALE,
        }

    def _whole(self, since: float, start: float, end: float) -> int:
        return sum(s.whole for s in self.samples if start <= s.started - since < end)

    def _recovery(self, since: float) -> float:
        """Return when, after the trigger's end, 9 in 10 arrivals are whole for a second."""
        asked: Counter[int] = Counter()
        whole: Counter[int] = Counter()
        for sample in self.samples:
            bucket = int((sample.started - since - CALM_S - TRIGGER_S) // BUCKET_S)
            if self.work.demand[sample.organisation] > self.work.owed[sample.organisation]:
                continue
            asked[bucket] += 1
            whole[bucket] += sample.whole
        good = [whole[n] >= RECOVERED * asked[n] for n in range(int(AFTER_S / BUCKET_S))]
        for number in range(len(good) - 1):
            if good[number] and good[number + 1]:
                return number * BUCKET_S
        return AFTER_S

    def _worst(self) -> dict[str, object]:
        asked: Counter[str] = Counter()
        whole: Counter[str] = Counter()
        for sample in self.samples:
            asked[sample.organisation] += 1
            whole[sample.organisation] += sample.whole
        shares = {
            org: whole[org] / (asked[org] * min(1.0, self.work.owed[org] / self.work.demand[org]))
            for org in asked
        }
        org = min(shares, key=lambda name: shares[name])
        return {"organisation": org, "served_of_owed": round(shares[org], 3)}

    def _wrongly_refused(self) -> float:
        found: dict[str, list[bool]] = defaultdict(list)
        for sample in self.samples:
            if self.work.demand[sample.organisation] * SURGE <= self.work.owed[sample.organisation]:
                found["within"].append(sample.refused_first)
        return round(sum(found["within"]) / max(1, len(found["within"])), 4)

    def _important(self, since: float) -> float:
        span = (CALM_S, CALM_S + TRIGGER_S)
        inside = [
            s
            for s in self.samples
            if s.path == "/settle"
            and span[0] <= s.started - since < span[1]
            and self.work.demand[s.organisation] <= self.work.owed[s.organisation]
        ]
        return round(sum(s.whole for s in inside) / max(1, len(inside)), 3)


async def main() -> None:
    """Run every workload against every mode."""
    for work in (REMENAR, TWEEDSIDE):
        for mode in MODES:
            print(json.dumps(await Run(work, mode).run()), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
