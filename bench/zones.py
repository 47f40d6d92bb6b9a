"""Ways to choose a data centre, replayed in virtual time with the real gates and peers.

Each host is an entry and has a target. Hosts know their own data centre from heartbeats,
the others from summaries that are up to 1.2 s old, and any target from its replies.
``python -m bench.zones [SCENARIO...]`` prints a line for each way, scenario and delay.
"""

import bisect
import heapq
import itertools
import json
import math
import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from beryldrum.clock import ManualClock
from beryldrum.mesh.directory import Peer
from beryldrum.mesh.frames import Member
from beryldrum.mesh.gate import Admission, Gate, RunRequest
from beryldrum.mesh.load_balancer import LoadBalancer
from beryldrum.mesh.zone_share import ZoneShares

SERVICE, SECONDS, STEP_S, SLOTS, RUN_S = "shop", 45.0, 0.005, 10, 0.08
OBJECTIVE_S, DEADLINE_S, MAX_TRIES, WARM_S = 0.6, 1.5, 8, 5.0
ROUTES = {"small": 1_000, "large": 12_000}
HEARTBEAT_S, SUMMARY_S, SUMMARY_AGE_S = 0.5, 0.4, 0.6
BIN_S = 0.5


class Scenario(NamedTuple):
    """Targets by data centre, and demand by data centre, as a share of what they can do.

    ``spells`` is the share of targets that run 2.5 times as slow for 600 ms at a time.
    """

    zones: tuple[int, ...]
    demand: Callable[[int, float], float]
    speeds: tuple[float, float] = (1.0, 1.0)
    spells: float = 0.0
    away_until_s: float = 0.0
    """Until when the targets of the second data centre take nothing."""


def _waves(mean: float) -> Callable[[int, float], float]:
    return lambda z, t: mean * (1 + 0.55 * math.sin(2 * math.pi * (t / 15 + z / 3)))


UNEVEN = ((0.5, 1.6), 0.15)
SCENARIOS = {
    "quiet": Scenario((6, 6, 6), lambda z, t: 0.5),
    "steady": Scenario((6, 6, 6), lambda z, t: (1.15, 0.55, 0.45)[z]),
    "waves": Scenario((6, 6, 6), _waves(0.7)),
    "waves-uneven": Scenario((6, 6, 6), _waves(0.65), *UNEVEN),
    "burst": Scenario((6, 6, 6), lambda z, t: 1.44 if not z and 15 < t < 25 else 0.6, *UNEVEN),
    "back": Scenario((6, 6, 6), lambda z, t: 0.55, away_until_s=20.0),
    "five": Scenario((2, 2, 1), _waves(0.65), *UNEVEN),
    "overload": Scenario((6, 6, 6), lambda z, t: (1.3, 1.15, 1.2)[z]),
}


class Way(LoadBalancer):
    """A way to choose, for comparison."""

    def choose(self, peers, route, limit_s, tried, regions=None, first=True):
        """Return the node to send to, or None when all have been tried."""
        untried = [p for p in peers if p.member.address not in tried]
        local = [p for p in untried if p.member.data_centre == self._data_centre]
        return self._pick(untried, local, route, limit_s) if untried else None

    def _pick(self, untried, local, route, limit_s):
        """Return the node to send to; by waiting time, one of all."""
        return self._draw(untried, route)[0]


class Today(Way):
    """The earlier rule: one of all targets once the local one drawn is used at 0.7."""

    def _pick(self, untried, local, route, limit_s):
        if local:
            best, cost_s = self._draw(local, route)
            use = best.utilisation()
            emptiest = min(p.utilisation() for p in untried)
            if use < 0.7 and cost_s < limit_s / 2 and (use < 0.25 or use < emptiest + 0.25):
                return best
        return self._draw(untried, route)[0]


class Local(Way):
    """Always local first; elsewhere only after refusals by all targets here."""

    def _pick(self, untried, local, route, limit_s):
        return self._draw(local or untried, route)[0]


class Capacity(Way):
    """One of all targets, by capacity."""

    def _pick(self, untried, local, route, limit_s):
        weights = [p.load.limit / (p.load.run_ms or 1.0) for p in untried]
        return self._rng.choices(untried, weights)[0]


class Two(Way):
    """The better of two drawn here, against the better of two drawn elsewhere if full."""

    def _pick(self, untried, local, route, limit_s):
        best = [
            min((self._rng.choice(side) for _ in range(2)), key=Peer.utilisation)
            for side in (local, [p for p in untried if p not in local])
            if side
        ]
        return best[0] if best[0].utilisation() < 0.95 else min(best, key=Peer.utilisation)


WAYS = {
    "today": Today,
    "local": Local,
    "capacity": Capacity,
    "wait": Way,
    "two": Two,
    "share": LoadBalancer,
}


class Call(NamedTuple):
    """A request under way; ``tried`` are the targets that refused it."""

    entry: int
    route: str
    began: float
    tried: set[str]


class Replay:
    """One run of a scenario with one way and a multiple of the usual delay of news."""

    def __init__(self, scenario: Scenario, way: type[LoadBalancer], delay: float, seed: int = 1):
        self.scenario, self.delay = scenario, delay
        self.rng, self.clock = random.Random(seed), ManualClock()
        self.zone = [z for z, count in enumerate(scenario.zones) for _ in range(count)]
        hosts = range(len(self.zone))
        low, high = scenario.speeds
        self.speed = [low + (high - low) * (i * 7 % 11) / 10 for i in hosts]
        self.gates: list[Gate[Call]] = [Gate(self.clock, SLOTS) for _ in hosts]
        members = [Member(str(i), f"dc{self.zone[i]}", 1) for i in hosts]
        self.peers = [[Peer(m, 0.0) for m in members] for _ in hosts]
        self.shares = [ZoneShares(self.clock, lambda: 5.0) for _ in hosts]
        self.balancers = [
            way(self.clock, self.rng, members[i].data_centre, self.shares[i]) for i in hosts
        ]
        self.slow = [False for _ in hosts]
        self.events: list = []
        self.numbers = itertools.count()
        self.history: list[list] = []
        self.times: list[float] = []
        self.sent = self.refused = self.bytes = 0
        self.left: Counter = Counter()

    def at(self, seconds: float, action, *args) -> None:
        """Schedule an action in so many seconds."""
        heapq.heappush(self.events, (self.clock.now() + seconds, next(self.numbers), action, args))

    def serves(self, host: int) -> bool:
        """Tell whether a host's target takes requests."""
        return self.zone[host] != 1 or self.clock.now() >= self.scenario.away_until_s

    def load(self, host: int):
        """Return the load that a host's node reports."""
        return self.gates[host].load(SERVICE if self.serves(host) else "")

    def run(self) -> dict:
        """Return the measures of the run."""
        for i in range(len(self.zone)):
            self.at(self.rng.random() * HEARTBEAT_S, self._hear_local, i)
            self.at(self.rng.random() * SUMMARY_S, self._hear_remote, i)
        self.at(0.0, self._spell)
        while self.clock.now() < SECONDS:
            self.at(STEP_S, self._demand)
            until = self.clock.now() + STEP_S
            while self.events[0][0] <= until:
                when, _, action, args = heapq.heappop(self.events)
                self.clock.advance(max(0.0, when - self.clock.now()))
                action(*args)
        return self._measures()

    def _spell(self) -> None:
        self.slow = [self.rng.random() < self.scenario.spells for _ in self.zone]
        self.at(0.6, self._spell)

    def _hear_local(self, entry: int) -> None:
        for i, peer in enumerate(self.peers[entry]):
            if self.zone[i] == self.zone[entry]:
                self._hear(peer, self.load(i), 0.0)
        self.at(HEARTBEAT_S * self.delay, self._hear_local, entry)

    def _hear_remote(self, entry: int) -> None:
        old = self.clock.now() - SUMMARY_AGE_S * self.delay
        index = bisect.bisect(self.history, old, key=lambda item: item[0]) - 1
        for i, peer in enumerate(self.peers[entry]):
            if self.zone[i] != self.zone[entry] and index >= 0:
                self._hear(peer, self.history[index][1][i], SUMMARY_AGE_S * self.delay)
        self.at(SUMMARY_S * self.delay, self._hear_remote, entry)

    def _hear(self, peer: Peer, load, age: float) -> None:
        peer.load, peer.sent, peer.last_seen_at = load, 0, self.clock.now() - age

    def _demand(self) -> None:
        now = self.clock.now()
        self.history.append([now, [self.load(i) for i in range(len(self.zone))]])
        for z, count in enumerate(self.scenario.zones):
            capacity = self.gates[0].limit / RUN_S * count
            expected = self.scenario.demand(z, now) * capacity * STEP_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                entry = self.rng.choice([i for i, zone in enumerate(self.zone) if zone == z])
                self._send(Call(entry, self.rng.choice(list(ROUTES)), now, set()))

    def _send(self, call: Call) -> None:
        now = self.clock.now()
        peers = [p for p in self.peers[call.entry] if p.load.service]
        peer = self.balancers[call.entry].choose(peers, call.route, OBJECTIVE_S, call.tried)
        if peer is None or len(call.tried) >= MAX_TRIES:
            self.refused += now > WARM_S
            return
        peer.sent += 1
        host = int(peer.member.address)
        remote = self.zone[host] != self.zone[call.entry]
        if remote and now > WARM_S:
            self.left[int(now / BIN_S), self.zone[call.entry], self.zone[host]] += 1
            self.bytes += ROUTES[call.route]
        if not call.tried:
            self.sent += now > WARM_S
        call.tried.add(peer.member.address)
        self.at(0.0012 if remote else 0.0002, self._arrive, call, host, now)

    def _arrive(self, call: Call, host: int, sent_at: float) -> None:
        want = RunRequest(call.route, "", 100, call.began + OBJECTIVE_S, call.began + DEADLINE_S)
        offered = self.gates[host].offer(call, want) if self.serves(host) else None
        if offered is None or offered.is_err():
            return self.at(0.001, self._reply, call, host, sent_at, False)
        if offered.unwrap() is Admission.START:
            self._start(call, host)
        return None

    def _start(self, call: Call, host: int) -> None:
        seconds = RUN_S * self.rng.uniform(0.5, 1.5) / self.speed[host]
        seconds *= 2.5 if self.slow[host] else 1.0
        self.at(seconds, self._end, call, host, seconds)

    def _end(self, call: Call, host: int, seconds: float) -> None:
        gate = self.gates[host]
        gate.finish(call.route, seconds, True)
        started, refused = gate.dequeue()
        for other in started:
            self._start(other, host)
        for other, _ in refused:
            self.at(0.001, self._reply, other, host, other.began, False)
        remote = self.zone[host] != self.zone[call.entry]
        self.at(0.0012 if remote else 0.0002, self._reply, call, host, call.began, True)

    def _reply(self, call: Call, host: int, sent_at: float, ran: bool) -> None:
        peer, now = self.peers[call.entry][host], self.clock.now()
        peer.load, peer.sent = self.load(host), 0
        if not ran:
            return self._send(call)
        peer.record_latency(call.route, now - sent_at, now)
        self.shares[call.entry].record_bytes(call.route, ROUTES[call.route])
        if now > WARM_S:
            self.times.append(now - call.began)
        return None

    def _measures(self) -> dict:
        times = sorted(self.times)
        swapped = sum(
            min(count, self.left[step, there, here])
            for (step, here, there), count in list(self.left.items())
        )
        steps = range(int(2 * WARM_S / BIN_S), int(SECONDS / BIN_S))
        zones = range(len(self.scenario.zones))
        first = [sum(self.left[step, 0, z] for z in zones) / BIN_S for step in steps]
        jumps = sum(abs(b - a) for a, b in itertools.pairwise(first)) / len(first)
        return {
            "sent": self.sent,
            "left_pct": round(100 * sum(self.left.values()) / self.sent, 1),
            "mb": round(self.bytes / 1e6, 1),
            "swapped_pct": round(100 * swapped / self.sent, 1),
            "jump_per_s": round(jumps, 1),
            "p50_ms": round(times[len(times) // 2] * 1000),
            "p99_ms": round(times[len(times) * 99 // 100] * 1000),
            "late_pct": round(100 * sum(t > OBJECTIVE_S for t in times) / self.sent, 2),
            "refused_pct": round(100 * self.refused / self.sent, 2),
            "why": dict(sum((s.left for s in self.shares), Counter())),
        }


def main() -> None:
    """Print a line for each scenario named, way and delay."""
    names = [name for name in sys.argv[1:] if name in SCENARIOS] or list(SCENARIOS)
    ways = [name for name in sys.argv[1:] if name in WAYS] or list(WAYS)
    for name, delay, way in itertools.product(names, (1.0, 2.0), ways):
        result = Replay(SCENARIOS[name], WAYS[way], delay).run()
        print(json.dumps({"scenario": name, "delay": delay, "way": way} | result), flush=True)


if __name__ == "__main__":
    main()
