"""Measures slopes and rewrites the tables of docs/CAPACITY.md: ``make capacity``.

Memory a member, key, document, account and ledger entry; processor time and bytes
a message; each at three sizes or more. The tables multiply them out for the size
that the users' letter states.
"""

import asyncio
import gc
import json
import random
import tempfile
import time
import tracemalloc
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from beryldrum import records, wire
from beryldrum.clock import ManualClock, SystemClock
from beryldrum.cluster_state import ClusterState
from beryldrum.controllers import GossipController, LogController, NewsController
from beryldrum.entry import new_request
from beryldrum.gate import Gate
from beryldrum.keyring import digest_of
from beryldrum.ledger import Ledger
from beryldrum.limit import AdaptiveLimit
from beryldrum.membership import READY, RENEWAL_INTERVAL_S, RUMOUR_TRANSMISSIONS, Advert, Membership
from beryldrum.messages import from_call, to_advert, to_call
from beryldrum.records import LogRecord
from beryldrum.request import Outcome, Reply
from beryldrum.shares import Account, RateLimit, SeatShare
from harness.fleet import Fleet

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- measured -->", "<!-- end -->"
NODES, SERVICES, CENTRES = 850, 63, 9
CHANGES_PER_DAY = 690
ORGANISATIONS, KEYS, LEDGER_KEYS = 50, 500, 20_000
DAY_S = 86_400
GOSSIP_PARTNERS = GossipController.FANOUT + 1
ASK_S = 0.85 * NewsController.PERIOD_S
READERS = LogController.READERS
PACKET_B = 40
IDLE_S = 10.0
T = wire.types


class Slope(NamedTuple):
    """A figure at several sizes and what one more costs."""

    name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    unit: str

    @property
    def per_one(self) -> float:
        """The slope between the smallest and the largest size."""
        return (self.values[-1] - self.values[0]) / (self.sizes[-1] - self.sizes[0])


def memory(name: str, sizes: tuple[int, ...], build: Callable[[int], Any]) -> Slope:
    """Measure the bytes that ``build(size)`` leaves allocated."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del kept
    return Slope(name, sizes, tuple(values), "B")


def processor(name: str, sizes: tuple[int, ...], work: Callable[[int], Any]) -> Slope:
    """Measure the processor microseconds of ``work(size)``, the least of five."""
    values = []
    for size in sizes:
        taken = []
        for _ in range(5):
            since = time.process_time()
            work(size)
            taken.append((time.process_time() - since) * 1e6)
        values.append(min(taken))
    return Slope(name, sizes, tuple(values), "us")


def _advert(number: int, wall_ms: int) -> Advert:
    centre = f"region-{number % 3}-dc-{number % CENTRES}"
    node = f"10.{number % CENTRES}.{number // 250}.{number % 250}:7101"
    target = node.replace("7101", "8080")
    return Advert(
        node, uuid.uuid4().hex, wall_ms, centre, f"service-{number % SERVICES}", target, READY, 150
    )


def _roster(size: int) -> Membership:
    clock = SystemClock()
    roster = Membership(clock, random.Random(1), _advert(0, clock.wall_ms()))
    roster.merge([_advert(n, clock.wall_ms()) for n in range(1, size)])
    roster.candidates("service-1")
    return roster


def _document(number: int) -> str:
    lines = [f"service: service-{number}", "seats: 12", "routes:"]
    for route in range(6):
        lines.append(
            f"  - {{name: r{route}, path: /r{route}, methods: [GET], idempotent: true, open: true}}"
        )
    lines.append("organisations:")
    for org in range(ORGANISATIONS):
        lines.append(f"  organisation-{org}: {{rate_per_s: 100, burst: 200, weight: 1}}")
    return "\n".join(lines) + "\n"


def _fold(documents: int = 0, keys: int = 0) -> ClusterState:
    fold = ClusterState()
    offset = 0
    for number in range(documents):
        offset += 1
        record: records.Record = records.Publish(
            uuid.uuid4().hex, f"service-{number}", 0, _document(number), "team"
        )
        fold.apply(LogRecord(offset, 1, records.encode(record)))
    for number in range(keys):
        offset += 1
        name = uuid.uuid4().hex
        record = records.KeyGive(name, name[:8], digest_of(name), f"organisation-{number % 50}")
        fold.apply(LogRecord(offset, 1, records.encode(record)))
    return fold


def _accounts(size: int) -> list[Account]:
    clock = ManualClock()
    accounts = [Account(clock) for _ in range(size)]
    for account in accounts:
        account.set_seats({0: SeatShare(RateLimit(1.0, 2.0), 0.0, 1e9, True)})
    return accounts


def _request(number: int) -> Any:
    key = str(uuid.UUID(int=(1_800_000_000_000 << 80) | (7 << 76) | (2 << 62) | number))
    return new_request("POST", "/payments/deposit", (), b"x" * 500, 0.0)._replace(
        organisation=f"organisation-{number % 4}", idempotency_key=key, deadline=1e9, priority=64
    )


def _ledger(size: int) -> Ledger[str]:
    ledger: Ledger[str] = Ledger(ManualClock(), 600_000, 500, lambda _: 0, 10**9, 2**40)
    for number in range(size):
        req = _request(number)
        ledger.begin(req, "run")
        ledger.complete(req.idempotency_key, Reply(Outcome.ANSWERED, 200, (), bytes(500)))
    return ledger


def _gossip_bytes(adverts: int) -> int:
    message = T.Gossip(
        node="10.1.1.1:7101",
        offset=10**6,
        adverts=[to_advert(_advert(n, 1_800_000_000_000)) for n in range(adverts)],
        withdrawn=[],
        digests={},
        answer=False,
    )
    return len(wire.encode(T.Envelope(sequence=0, gossip=message)))


def _news_bytes() -> tuple[int, int]:
    ask = T.Envelope(sequence=10**5, news_ask=T.NewsAsk(after=10**6))
    news = T.News(offsets=[], times_ms=[], records=[], image="", age_ms=900, offset=10**6)
    answer = T.Envelope(sequence=10**5, response=True, news=news)
    return len(wire.encode(ask)), len(wire.encode(answer))


def _code_gossip(count: int) -> None:
    message = T.Gossip("10.1.1.1:7101", 10**6, [], [], {}, False)
    for _ in range(count):
        wire.decode(wire.encode(T.Envelope(sequence=0, gossip=message))[4:])


def _code_news(count: int) -> None:
    news = T.News(offsets=[], times_ms=[], records=[], image="", age_ms=900, offset=10**6)
    for _ in range(count):
        wire.decode(wire.encode(T.Envelope(sequence=1, response=True, news=news))[4:])


def _code_call(count: int) -> None:
    req = _request(1)
    for _ in range(count):
        frame = wire.encode(T.Envelope(sequence=1, call=to_call(req, 1.0, False)))
        from_call(wire.decode(frame[4:]).call, 0.0)


def _apply(count: int) -> None:
    _fold(documents=count)


def _admit(count: int) -> None:
    clock = SystemClock()
    gate: Gate[int] = Gate(clock, AdaptiveLimit(clock, 1_000, 1_000))
    req = _request(1)
    for number in range(count):
        gate.offer(number, req)
        gate.finish(0.001, 0.001, True)
        gate.dispatch()


def slopes() -> list[Slope]:
    """Measure all slopes within this process."""
    return [
        memory("member", (100, 400, 850), _roster),
        memory("document, 50 organisations", (4, 16, 63), lambda n: _fold(documents=n)),
        memory("key", (100, 400, 1_600), lambda n: _fold(keys=n)),
        memory("account", (100, 400, 1_600), _accounts),
        memory("ledger entry, 500 B answer", (500, 2_000, 8_000), _ledger),
        processor("gossip, there and back", (500, 1_000, 2_000), _code_gossip),
        processor("news, there and back", (500, 1_000, 2_000), _code_news),
        processor("call of 500 B, there and back", (500, 1_000, 2_000), _code_call),
        processor("document applied", (4, 16, 63), _apply),
        processor("admission at the gate", (500, 1_000, 2_000), _admit),
    ]


async def idle(hosts: int) -> tuple[float, float]:
    """Return processor share and memory of a node among so many, without calls."""
    fleet = Fleet(log_level="error")
    try:
        fleet.start_log()
        await fleet.log_up()
        path = Path(tempfile.mkdtemp(prefix="beryldrum-capacity-")) / "service-1.yaml"
        path.write_text(_document(1))
        await fleet.apply(str(path))
        for number in range(hosts):
            fleet.add_host(f"h{number}", f"dc-{number % 2}")
        for name in fleet.hosts:
            fleet.start_node(name)
            fleet.start_target(name, "service-1")
        await fleet.settled({"service-1": hosts}, seats=False)
        await asyncio.sleep(5.0)
        seen = [psutil.Process(fleet.pid(f"node-{name}")) for name in fleet.hosts]
        before = [sum(p.cpu_times()[:2]) for p in seen]
        await asyncio.sleep(IDLE_S)
        share = sum(sum(p.cpu_times()[:2]) for p in seen) - sum(before)
        rss = max(p.memory_info().rss for p in seen)
        return 100 * share / len(seen) / IDLE_S, rss / 1e6
    finally:
        await fleet.close()


def traffic() -> list[tuple[str, float, float]]:
    """Return for each kind of message its number and bytes a second, at full size."""
    near = NODES / CENTRES
    empty, one = _gossip_bytes(0), _gossip_bytes(1) - _gossip_bytes(0)
    ask, answer = _news_bytes()
    renewals = NODES / RENEWAL_INTERVAL_S * RUMOUR_TRANSMISSIONS * GOSSIP_PARTNERS
    asked = near / READERS / ASK_S
    return [
        ("gossip, sent and received", 2 * GOSSIP_PARTNERS, 2 * GOSSIP_PARTNERS * empty),
        ("renewed adverts within it", renewals, 2 * renewals * one),
        ("news asked of a reader", 2 / ASK_S, (ask + answer) / ASK_S),
        ("news answered, at a reader only", 2 * asked, asked * (ask + answer)),
        ("documents", CHANGES_PER_DAY / DAY_S * 2, CHANGES_PER_DAY / DAY_S * 2 * 4_000),
        ("probes of seat holders", 2 * 13 / 10, 2 * 13 / 10 * (ask + answer) / 2),
    ]


def _packets(flows: list[tuple[str, float, float]]) -> tuple[str, float, float]:
    """Return what the headers of the packets below the messages add."""
    count = sum(number for name, number, _ in flows if "within" not in name)
    return ("headers of packets", count, count * PACKET_B)


def table(found: list[Slope], idles: dict[int, tuple[float, float]]) -> str:
    """Return the measured part of the page."""
    by_name = {slope.name: slope for slope in found}
    lines = ["## Slopes", "", "| what | sizes | values | one more |", "|---|---|---|---|"]
    for slope in found:
        sizes = ", ".join(f"{size:,}" for size in slope.sizes)
        values = ", ".join(f"{value:,.0f}" for value in slope.values)
        unit = slope.unit
        lines.append(f"| {slope.name} | {sizes} | {values} {unit} | {slope.per_one:,.1f} {unit} |")
    lines += [
        "",
        "A node without calls, as a process:",
        "",
        "| nodes | core | memory |",
        "|---|---|---|",
    ]
    for hosts, (share, rss) in idles.items():
        lines.append(f"| {hosts} | {share:.2f}% | {rss:.0f} MB |")
    lines += [
        "",
        "## Messages a second at a node, 850 nodes",
        "",
        "| message | a second | bytes a second |",
        "|---|---|---|",
    ]
    flows = traffic()
    for name, count, size in flows:
        lines.append(f"| {name} | {count:,.1f} | {size:,.0f} |")
    flows.append(_packets(flows))
    lines.append("| {} | {:,.1f} | {:,.0f} |".format(*flows[-1]))
    answered = flows[3][2] + flows[3][1] * PACKET_B
    reader = sum(size for _, _, size in flows)
    other = reader - answered
    lines.append(f"| **all, an ordinary node** | | **{other:,.0f}** |")
    lines.append(f"| **all, a reader of the log** | | **{reader:,.0f}** |")
    lines += [
        "",
        "## Memory at full size, beyond an idle process",
        "",
        "| state | count | MB |",
        "|---|---|---|",
    ]
    counts = {
        "member": NODES,
        "document, 50 organisations": SERVICES,
        "key": KEYS,
        "account": ORGANISATIONS,
        "ledger entry, 500 B answer": LEDGER_KEYS,
    }
    total = 0.0
    for name, count in counts.items():
        size = by_name[name].per_one * count / 1e6
        total += size
        lines.append(f"| {name} | {count:,} | {size:.1f} |")
    base = max(rss for _, rss in idles.values())
    lines.append(f"| **with an idle process of {base:.0f} MB** | | **{total + base:.0f}** |")
    return "\n".join(lines)


async def main() -> None:
    """Measure, print the lines and rewrite the page."""
    found = slopes()
    for slope in found:
        print(json.dumps({"capacity": slope.name, "per_one": slope.per_one, "unit": slope.unit}))
    idles = {hosts: await idle(hosts) for hosts in (3, 6, 12)}
    for hosts, (share, rss) in idles.items():
        print(json.dumps({"capacity": "idle", "nodes": hosts, "core_percent": share, "mb": rss}))
    text = PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(head + BEGIN + "\n" + table(found, idles) + "\n" + END + tail)


if __name__ == "__main__":
    asyncio.run(main())
