"""The share of a service's requests that stays in the own data centre.

Load pattern: the demand of the data centres differs and changes within seconds, so that at
times one has too few targets while another has too many. Traffic between data centres is
slower and is paid for by the byte, so requests leave only where their own data centre would
make them wait for longer than that is worth, and no more of them than needed.

Each node decides for itself from the loads that it knows, which are old: it relates them to
the share that it used when they were measured, and changes the share at a bounded rate.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..clock import Clock
from .directory import Peer
from .residency import Regions

__all__ = ["LOCAL_MAX_USE", "ShareChange", "ShareState", "ZoneLoad", "ZoneShare", "ZoneShares"]

LOCAL_MAX_USE = 0.7
"""Share of its targets' limits up to which all requests of a data centre stay in it."""

WAIT_PER_USE = 4.0
"""Expected wait, in run times per limit of requests in use above that share: targets are
chosen from old news, so that some have a queue before all are full."""

FAILURE_FACTOR = 8.0
"""Cost of a data centre whose targets fail all runs, in run times."""

MIN_MARGIN = 0.05
"""Least difference in use for which requests leave. Below it two data centres that know
each other's load late would exchange requests."""

MAX_MARGIN = 0.2
"""Largest difference in use that bytes can justify. Beyond it the data centre is so full
that requests would be refused, which costs a caller more than any wait."""

REMOTE_MAX_USE = 0.95
"""Use of another data centre up to which it may be filled: one that is overloaded as a
whole gets nothing from others."""

MAX_LEAVE_PER_S = 0.5
MAX_RETURN_PER_S = 0.25
"""Bounds on the change of a share per second. Demand that varies by 55 in 100 over 15 s
changes by up to 0.23 per second."""

OVERLOADED_USE = 1.0
OVERLOADED_SHARE = 0.75
"""Use of another data centre, and that as a share of the use here, above which it gets no
request that the targets here have not refused. Without the share a burst had to wait here
while queues elsewhere were much shorter."""

CHANGE_TIME_S = 0.6
"""Time constant with which a share approaches its goal."""

NEWS_TIME_S = 1.0
"""Time constant of the average of past shares to which reported loads are related: the
period of the reports in a data centre, the smoothing, and a margin. With 0.5 s the share of
two data centres still swung by 0.11 at twice the usual delay."""

SMOOTHING_S = 0.3
"""Time constant of the average of a data centre's use."""

UPDATE_S = 0.1
"""Period at which the share of a service is recomputed."""

MAX_STEP_S = 1.0
"""Time since the last update of a share that counts at most, for a rarely used service."""

MIN_STAY = 0.05
"""Least share that stays. It shows what the own targets can do."""

FRESH_S = 1.2
"""Age up to which the state of a data centre is believed; summaries reach it."""

DECAY_S = 1.2
"""Time over which the use of a data centre that is no longer heard of fades to
``UNKNOWN_USE``."""

UNKNOWN_USE = 1.0
"""Use that is assumed of a data centre of which nothing is known: it gets no requests."""

REMOTE_ROUND_TRIP_S = 0.004
"""Cost of a target in another data centre: the round trip."""

BYTES_WEIGHT = 0.02
"""Weight of the newest request in the averages of bytes and of their price."""

MIN_LOGGED_CHANGE = 0.1
LOG_INTERVAL_S = 1.0
"""Change of a share that is reported, and the shortest time between reports of a service."""


class ZoneLoad(NamedTuple):
    """The state of a service's targets in one data centre.

    ``use`` is the share of their summed limits in use, queued requests included; ``run_s``
    is their mean run time and ``failed`` the mean share of failed runs.
    """

    use: float
    limit: float
    run_s: float
    failed: float

    @classmethod
    def of(cls, peers: Iterable[Peer]) -> "ZoneLoad":
        """Return the combined state of nodes."""
        busy = limit = run_ms = failed = 0.0
        for peer in peers:
            load = peer.load
            busy += load.busy
            limit += load.limit
            run_ms += load.run_ms * load.limit
            failed += load.failed * load.limit
        if not limit:
            return cls(UNKNOWN_USE, 0.0, 0.0, 0.0)
        return cls(busy / limit, limit, run_ms / limit / 1000, failed / limit)

    def aged(self, age_s: float) -> "ZoneLoad":
        """Return what is still believed of a state that is ``age_s`` seconds old."""
        faded = min(1.0, max(0.0, (age_s - FRESH_S) / DECAY_S))
        return self._replace(use=self.use + faded * (UNKNOWN_USE - self.use))


class ShareChange(NamedTuple):
    """A change of a share, and its causes; ``price_ms`` is that of leaving."""

    data_centre: str
    service: str
    before: float
    stay: float
    use: float
    remote_use: dict[str, float]
    price_ms: float


class ShareState(NamedTuple):
    """The shares that stay by service, and the requests that left by reason."""

    stay: Mapping[str, float]
    left: Mapping[str, int]


class ZoneShare:
    """The share of one service's requests that stays in the own data centre."""

    def __init__(self) -> None:
        self.stay = 1.0
        self.updated_at = float("-inf")
        self.overloaded: frozenset[str] = frozenset()
        """The other data centres that are overloaded as a whole."""
        self._mean_stay = 1.0
        self._use: dict[str, float] = {}

    def update(
        self, local: ZoneLoad, remote: Mapping[str, ZoneLoad], price_s: float, now: float
    ) -> None:
        """Change the share according to the loads; ``price_s`` is the price of leaving."""
        elapsed = min(MAX_STEP_S, now - self.updated_at) if self._use else 0.0
        self.updated_at = now
        local = self._smoothed("", local, elapsed)
        known = {name: self._smoothed(name, load, elapsed) for name, load in remote.items()}
        most = max(OVERLOADED_USE, local.use * OVERLOADED_SHARE)
        self.overloaded = frozenset(name for name, load in known.items() if load.use > most)
        goal = self._goal(local, [load for load in known.values() if load.limit], price_s)
        step = (goal - self.stay) * min(1.0, elapsed / CHANGE_TIME_S)
        step = max(-MAX_LEAVE_PER_S * elapsed, min(MAX_RETURN_PER_S * elapsed, step))
        self._mean_stay += (self.stay - self._mean_stay) * min(1.0, elapsed / NEWS_TIME_S)
        self.stay = min(1.0, max(MIN_STAY, self.stay + step))

    def _smoothed(self, name: str, load: ZoneLoad, elapsed: float) -> ZoneLoad:
        old = self._use.get(name, load.use)
        use = self._use[name] = old + (load.use - old) * min(1.0, elapsed / SMOOTHING_S)
        return load._replace(use=use)

    def _goal(self, local: ZoneLoad, remote: Sequence[ZoneLoad], price_s: float) -> float:
        """Return the share at which leaving would cost as much as staying."""
        if not remote:
            return 1.0
        if not local.limit:
            return MIN_STAY
        margin = self._margin(local, remote, price_s)
        most = min(local.use - margin, REMOTE_MAX_USE)
        emptier = [load for load in remote if load.use < most] or remote
        limit = sum(load.limit for load in emptier)
        use = sum(load.use * load.limit for load in emptier) / limit
        # The other data centres may send there as well, so each takes its part of the room.
        senders = len(remote)
        excess = min(
            (local.use - LOCAL_MAX_USE - margin) * local.limit,
            (local.use - use - margin) / (1.0 / local.limit + senders / limit),
            (REMOTE_MAX_USE - use) * limit / senders,
        )
        busy = max(local.use * local.limit, 1.0)
        return min(1.0, max(MIN_STAY, self._mean_stay * (1.0 - excess / busy)))

    @staticmethod
    def _margin(local: ZoneLoad, remote: Sequence[ZoneLoad], price_s: float) -> float:
        """Return the difference in use at which the wait here is worth the price."""
        limit = sum(load.limit for load in remote)
        there_s = sum(
            load.run_s * (1.0 + load.failed * FAILURE_FACTOR) * load.limit for load in remote
        )
        here_s = local.run_s * (1.0 + local.failed * FAILURE_FACTOR)
        extra_s = there_s / limit - here_s + price_s
        return min(MAX_MARGIN, max(MIN_MARGIN, extra_s / (WAIT_PER_USE * max(local.run_s, 1e-3))))


class ZoneShares:
    """The shares of all services, and the price of their routes' bytes.

    ``cost_ms_per_kb`` returns the price of a kilobyte between data centres in milliseconds
    of waiting, ``on_change`` is called when a share has changed by more than a tenth.
    """

    def __init__(
        self,
        clock: Clock,
        cost_ms_per_kb: Callable[[], float] = lambda: 0.0,
        on_change: Callable[[ShareChange], None] = lambda change: None,
    ) -> None:
        self._clock = clock
        self._cost_ms_per_kb = cost_ms_per_kb
        self._on_change = on_change
        self._shares: dict[tuple[str, Regions], ZoneShare] = {}
        self._bytes: dict[str, float] = {}
        """Mean bytes of request and response, by route."""
        self._ease: dict[str, float] = {}
        """Mean of the inverse of :meth:`price_s` over the requests of a service."""
        self._reported: dict[str, tuple[float, float]] = {}
        """The share that was reported last for a service, and when."""
        self.left: Counter[str] = Counter()
        """Requests that left the data centre, by reason."""

    def record_bytes(self, route: str, size: int) -> None:
        """Learn from the bytes of a request and its response."""
        old = self._bytes.get(route)
        self._bytes[route] = size if old is None else old + BYTES_WEIGHT * (size - old)

    def leave_share(
        self,
        service: str,
        regions: Regions,
        route: str,
        local: Sequence[Peer],
        remote: Sequence[Peer],
        complete: bool = True,
    ) -> float:
        """Return the share of a route's requests that is to leave now.

        Small requests leave before large ones. ``remote`` are the nodes elsewhere that a
        request of ``regions`` may be sent to; ``complete`` tells whether they and ``local``
        are all.
        """
        ease = 1.0 / self.price_s(route)
        mean = self._ease.get(service, ease)
        mean = self._ease[service] = mean + BYTES_WEIGHT * (ease - mean)
        share = self._shares.get((service, regions))
        if share is None:
            share = self._shares[(service, regions)] = ZoneShare()
        now = self._clock.now()
        if complete and now - share.updated_at >= UPDATE_S:
            self._update(service, regions, share, local, remote, 1.0 / mean)
        return (1.0 - share.stay) * ease / mean

    def price_s(self, route: str) -> float:
        """Return the price of leaving for a request of a route, in seconds of waiting."""
        price_ms = self._bytes.get(route, 0.0) / 1024 * self._cost_ms_per_kb()
        return REMOTE_ROUND_TRIP_S + price_ms / 1000

    def _update(
        self,
        service: str,
        regions: Regions,
        share: ZoneShare,
        local: Sequence[Peer],
        remote: Sequence[Peer],
        price_s: float,
    ) -> None:
        now = self._clock.now()
        zones: dict[str, list[Peer]] = {}
        for peer in remote:
            zones.setdefault(peer.member.data_centre, []).append(peer)
        here = ZoneLoad.of(local)
        there = {
            name: ZoneLoad.of(peers).aged(now - max(peer.last_seen_at for peer in peers))
            for name, peers in zones.items()
        }
        share.update(here, there, price_s, now)
        if regions is not None:
            return
        before, reported_at = self._reported.get(service, (1.0, float("-inf")))
        if abs(share.stay - before) > MIN_LOGGED_CHANGE and now - reported_at >= LOG_INTERVAL_S:
            self._reported[service] = share.stay, now
            uses = {name: round(load.use, 3) for name, load in there.items()}
            self._on_change(
                ShareChange(
                    local[0].member.data_centre,
                    service,
                    round(before, 3),
                    round(share.stay, 3),
                    round(here.use, 3),
                    uses,
                    round(price_s * 1000, 1),
                )
            )

    def overloaded(self, service: str, regions: Regions) -> frozenset[str]:
        """Return the other data centres that are overloaded as a whole."""
        share = self._shares.get((service, regions))
        return share.overloaded if share else frozenset()

    def state(self) -> ShareState:
        """Return the shares, without those of requests that name regions."""
        stay = {
            service: share.stay
            for (service, regions), share in self._shares.items()
            if regions is None
        }
        return ShareState(stay, self.left)
