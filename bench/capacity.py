"""Measures resource costs and rewrites the tables of docs/CAPACITY.md: ``make capacity``.

Measures memory per member, key, document, account and ledger entry, and processor time
and bytes per message, each at three sizes or more. The tables extrapolate from these
slopes to the deployment size that the requirements state.
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

CAPACITY_PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- measured -->", "<!-- end -->"
NODES, SERVICES, DATA_CENTRES = 850, 63, 9
CHANGES_PER_DAY = 690
ORGANISATIONS, KEYS, LEDGER_ENTRIES = 50, 500, 20_000
SECONDS_PER_DAY = 86_400
GOSSIP_PARTNERS = GossipController.FANOUT + 1
# The controller waits for 0.7 to 1.0 of its period, 0.85 on average.
NEWS_PERIOD_S = 0.85 * NewsController.PERIOD_S
READERS = LogController.READERS
PACKET_HEADER_BYTES = 40
IDLE_MEASUREMENT_S = 10.0
wire_types = wire.types


class Slope(NamedTuple):
    """A resource measured at several sizes; ``unit`` is B or us."""

    name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    unit: str

    @property
    def per_one(self) -> float:
        """The cost of one more item, between the smallest and the largest size."""
        return (self.values[-1] - self.values[0]) / (self.sizes[-1] - self.sizes[0])


def measure_memory(name: str, sizes: tuple[int, ...], build: Callable[[int], Any]) -> Slope:
    """Measure the bytes that the result of ``build(size)`` occupies."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        retained = build(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del retained
    return Slope(name, sizes, tuple(values), "B")


def measure_processor_time(name: str, sizes: tuple[int, ...], work: Callable[[int], Any]) -> Slope:
    """Measure the processor time of ``work(size)`` in microseconds, the minimum of five runs."""
    values = []
    for size in sizes:
        times_us = []
        for _ in range(5):
            started = time.process_time()
            work(size)
            times_us.append((time.process_time() - started) * 1e6)
        values.append(min(times_us))
    return Slope(name, sizes, tuple(values), "us")


def _advert(number: int, wall_ms: int) -> Advert:
    data_centre = f"region-{number % 3}-dc-{number % DATA_CENTRES}"
    node = f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}:7101"
    target = node.replace("7101", "8080")
    return Advert(
        node,
        uuid.uuid4().hex,
        wall_ms,
        data_centre,
        f"service-{number % SERVICES}",
        target,
        READY,
        150,
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


def _configuration(documents: int = 0, keys: int = 0) -> ClusterState:
    fleet = ClusterState()
    offset = 0
    for number in range(documents):
        offset += 1
        record: records.Record = records.Publish(
            uuid.uuid4().hex, f"service-{number}", 0, _document(number), "team"
        )
        fleet.apply(LogRecord(offset, 1, records.encode(record)))
    for number in range(keys):
        offset += 1
        name = uuid.uuid4().hex
        record = records.KeyGive(name, name[:8], digest_of(name), f"organisation-{number % 50}")
        fleet.apply(LogRecord(offset, 1, records.encode(record)))
    return fleet


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
    message = wire_types.Gossip(
        node="10.1.1.1:7101",
        offset=10**6,
        adverts=[to_advert(_advert(n, 1_800_000_000_000)) for n in range(adverts)],
        withdrawn=[],
        digests={},
        answer=False,
    )
    return len(wire.encode(wire_types.Envelope(sequence=0, gossip=message)))


def _news_bytes() -> tuple[int, int]:
    request = wire_types.Envelope(sequence=10**5, news_ask=wire_types.NewsAsk(after=10**6))
    news = wire_types.News(offsets=[], times_ms=[], records=[], image="", age_ms=900, offset=10**6)
    response = wire_types.Envelope(sequence=10**5, response=True, news=news)
    return len(wire.encode(request)), len(wire.encode(response))


def _encode_decode_gossip(count: int) -> None:
    message = wire_types.Gossip("10.1.1.1:7101", 10**6, [], [], {}, False)
    for _ in range(count):
        wire.decode(wire.encode(wire_types.Envelope(sequence=0, gossip=message))[4:])


def _encode_decode_news(count: int) -> None:
    news = wire_types.News(offsets=[], times_ms=[], records=[], image="", age_ms=900, offset=10**6)
    for _ in range(count):
        wire.decode(wire.encode(wire_types.Envelope(sequence=1, response=True, news=news))[4:])


def _encode_decode_call(count: int) -> None:
    req = _request(1)
    for _ in range(count):
        frame = wire.encode(wire_types.Envelope(sequence=1, call=to_call(req, 1.0, False)))
        from_call(wire.decode(frame[4:]).call, 0.0)


def _apply_documents(count: int) -> None:
    _configuration(documents=count)


def _admit_requests(count: int) -> None:
    clock = SystemClock()
    gate: Gate[int] = Gate(clock, AdaptiveLimit(clock, 1_000, 1_000))
    req = _request(1)
    for number in range(count):
        gate.offer(number, req)
        gate.finish(0.001, 0.001, True)
        gate.dispatch()


def measure_slopes() -> list[Slope]:
    """Measure all slopes in this process."""
    return [
        measure_memory("member", (100, 400, 850), _roster),
        measure_memory(
            "document, 50 organisations", (4, 16, 63), lambda n: _configuration(documents=n)
        ),
        measure_memory("key", (100, 400, 1_600), lambda n: _configuration(keys=n)),
        measure_memory("account", (100, 400, 1_600), _accounts),
        measure_memory("ledger entry, 500 B answer", (500, 2_000, 8_000), _ledger),
        measure_processor_time(
            "gossip, there and back", (500, 1_000, 2_000), _encode_decode_gossip
        ),
        measure_processor_time("news, there and back", (500, 1_000, 2_000), _encode_decode_news),
        measure_processor_time(
            "call of 500 B, there and back", (500, 1_000, 2_000), _encode_decode_call
        ),
        measure_processor_time("document applied", (4, 16, 63), _apply_documents),
        measure_processor_time("admission at the gate", (500, 1_000, 2_000), _admit_requests),
    ]


async def measure_idle_nodes(hosts: int) -> tuple[float, float]:
    """Return the mean processor use in percent of a core, and the largest RSS in MB.

    Starts ``hosts`` nodes with a target each and sends them no calls.
    """
    fleet = Fleet(log_level="error")
    try:
        fleet.start_log()
        await fleet.wait_for_log()
        path = Path(tempfile.mkdtemp(prefix="beryldrum-capacity-")) / "service-1.yaml"
        path.write_text(_document(1))
        await fleet.apply(str(path))
        for number in range(hosts):
            fleet.add_host(f"h{number}", f"dc-{number % 2}")
        for name in fleet.hosts:
            fleet.start_node(name)
            fleet.start_target(name, "service-1")
        await fleet.wait_until_settled({"service-1": hosts}, seats=False)
        await asyncio.sleep(5.0)
        processes = [psutil.Process(fleet.pid(f"node-{name}")) for name in fleet.hosts]
        before = [sum(p.cpu_times()[:2]) for p in processes]
        await asyncio.sleep(IDLE_MEASUREMENT_S)
        cpu_s = sum(sum(p.cpu_times()[:2]) for p in processes) - sum(before)
        rss = max(p.memory_info().rss for p in processes)
        return 100 * cpu_s / len(processes) / IDLE_MEASUREMENT_S, rss / 1e6
    finally:
        await fleet.close()


def traffic() -> list[tuple[str, float, float]]:
    """Return for each kind of message the messages/s and bytes/s of a node at full size."""
    nodes_per_data_centre = NODES / DATA_CENTRES
    empty_size, advert_size = _gossip_bytes(0), _gossip_bytes(1) - _gossip_bytes(0)
    request_bytes, response_bytes = _news_bytes()
    renewals_per_s = NODES / RENEWAL_INTERVAL_S * RUMOUR_TRANSMISSIONS * GOSSIP_PARTNERS
    requests_per_s = nodes_per_data_centre / READERS / NEWS_PERIOD_S
    return [
        ("gossip, sent and received", 2 * GOSSIP_PARTNERS, 2 * GOSSIP_PARTNERS * empty_size),
        ("renewed adverts, within gossip", renewals_per_s, 2 * renewals_per_s * advert_size),
        (
            "news requested from a reader",
            2 / NEWS_PERIOD_S,
            (request_bytes + response_bytes) / NEWS_PERIOD_S,
        ),
        (
            "news requests answered, readers only",
            2 * requests_per_s,
            requests_per_s * (request_bytes + response_bytes),
        ),
        (
            "documents",
            CHANGES_PER_DAY / SECONDS_PER_DAY * 2,
            CHANGES_PER_DAY / SECONDS_PER_DAY * 2 * 4_000,
        ),
        ("probes of seat holders", 2 * 13 / 10, 2 * 13 / 10 * (request_bytes + response_bytes) / 2),
    ]


def _packet_headers(flows: list[tuple[str, float, float]]) -> tuple[str, float, float]:
    """Return the packets/s and the bytes/s of their headers.

    Flows that are contained in another one (``within``) have no packets of their own.
    """
    count = sum(number for name, number, _ in flows if "within" not in name)
    return ("packet headers", count, count * PACKET_HEADER_BYTES)


def render_page(measured: list[Slope], idle_nodes: dict[int, tuple[float, float]]) -> str:
    """Return the generated part of the page."""
    by_name = {slope.name: slope for slope in measured}
    lines = [
        "## Slopes",
        "",
        "| item | sizes | values | per additional item |",
        "|---|---|---|---|",
    ]
    for slope in measured:
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
    for hosts, (core_percent, rss) in idle_nodes.items():
        lines.append(f"| {hosts} | {core_percent:.2f}% | {rss:.0f} MB |")
    lines += [
        "",
        "## Messages per second at a node, 850 nodes",
        "",
        "| message | messages/s | bytes/s |",
        "|---|---|---|",
    ]
    flows = traffic()
    for name, count, size in flows:
        lines.append(f"| {name} | {count:,.1f} | {size:,.0f} |")
    flows.append(_packet_headers(flows))
    lines.append("| {} | {:,.1f} | {:,.0f} |".format(*flows[-1]))
    answered_bytes = flows[3][2] + flows[3][1] * PACKET_HEADER_BYTES
    reader_bytes = sum(size for _, _, size in flows)
    ordinary_node_bytes = reader_bytes - answered_bytes
    lines.append(f"| **total, not a reader of the log** | | **{ordinary_node_bytes:,.0f}** |")
    lines.append(f"| **total, a reader of the log** | | **{reader_bytes:,.0f}** |")
    lines += [
        "",
        "## Memory at full size, in addition to an idle process",
        "",
        "| state | count | MB |",
        "|---|---|---|",
    ]
    counts = {
        "member": NODES,
        "document, 50 organisations": SERVICES,
        "key": KEYS,
        "account": ORGANISATIONS,
        "ledger entry, 500 B answer": LEDGER_ENTRIES,
    }
    total = 0.0
    for name, count in counts.items():
        size = by_name[name].per_one * count / 1e6
        total += size
        lines.append(f"| {name} | {count:,} | {size:.1f} |")
    base = max(rss for _, rss in idle_nodes.values())
    lines.append(f"| **total with an idle process of {base:.0f} MB** | | **{total + base:.0f}** |")
    return "\n".join(lines)


async def main() -> None:
    """Measure, print the results as JSON lines and rewrite the page."""
    measured = measure_slopes()
    for slope in measured:
        print(json.dumps({"capacity": slope.name, "per_one": slope.per_one, "unit": slope.unit}))
    idle_nodes = {hosts: await measure_idle_nodes(hosts) for hosts in (3, 6, 12)}
    for hosts, (core_percent, rss) in idle_nodes.items():
        print(
            json.dumps(
                {"capacity": "idle", "nodes": hosts, "core_percent": core_percent, "mb": rss}
            )
        )
    text = CAPACITY_PAGE.read_text()
    head, _, rest = text.partition(BEGIN_MARKER)
    _, _, tail = rest.partition(END_MARKER)
    CAPACITY_PAGE.write_text(
        head + BEGIN_MARKER + "\n" + render_page(measured, idle_nodes) + "\n" + END_MARKER + tail
    )


if __name__ == "__main__":
    asyncio.run(main())
