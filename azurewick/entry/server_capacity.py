"""Limit of the concurrent requests of each server, learned from latencies.

The instances report single measurements to each other, so that all learn from
the requests of all.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from logging import getLogger
from math import exp
from random import Random
from typing import Protocol
from typing import TypeVar

from azurewick.entry.backends import Backend
from azurewick.entry.load_curve import Bend
from azurewick.entry.load_curve import clip_log
from azurewick.entry.load_curve import LoadCurve
from azurewick.util.decaying_rate import DecayingRate

_LOGGER = getLogger(__name__)
_T = TypeVar("_T")

# Limit of requests at a server of a plain service, as a multiple of what it
# runs at once. The server queues the rest, which costs less than a refusal.
PLAIN_SLOT_FACTOR = 2.0
# Largest limit of a plain server, as a multiple of its slots.
MAX_PLAIN_SLOT_FACTOR = 3.0
# Loads at which the curve may bend, as multiples of the slots. A plain server
# that behaves as announced queues beyond them.
ENGINE_KNEES = (0.17, 0.33, 0.5, 0.67, 0.83)
PLAIN_KNEES = (0.33, 0.5, 0.75, 1.0, 1.4, 2.0)
# Slope of the load curve from which on a server counts as crowded: twice the
# requests then yield less than a third more throughput.
CROWDED_SLOPE = 0.6
# A bend limits a server if its slope exceeds this many standard errors. Some
# hundred bends are tested an hour for each server.
MIN_BEND_ERRORS = 4.5
# A limit is raised at once if the slope above it is below CROWDED_SLOPE by
# this many standard errors.
RELEASE_ERRORS = 2.0
# Limits are checked again after this time.
UPDATE_S = 0.5
# Without evidence for or against a limit, it is raised by a step of a twelfth
# of the largest limit after this time.
RAISE_AFTER_S = 8.0
STEPS_PER_LIMIT = 12
# A probe exceeds a limit by one step for this long. The instances together
# probe a server for about PROBE_SHARE of the time.
PROBE_S = 1.0
PROBE_SHARE = 0.2
# Time constant of the speed of a server, and the weight of the speed that was
# averaged over a longer time, as a number of measurements.
SPEED_TIME_CONSTANT_S = 2.0
SLOW_AVERAGE_COUNT = 2.0
# Measurements until the own view of a server replaces that of the peers.
MIN_OWN_SAMPLES = 20
# How long a peer's limit is used without its confirmation.
PEER_LIMIT_TTL_S = 5.0
# Bounds of a report: measurements, their age, and limits.
MAX_REPORTED_SAMPLES = 8
MAX_REPORTED_AGE_S = 4.5
MAX_REPORTED_LIMITS = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSample:
    """Time of an answer at a server, relative to that expected.

    number counts the samples of an instance. load is the number of requests
    at the server, those of the peers included.
    """

    number: int
    server: str
    load: float
    slowdown: float
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityReport:
    """Newest measurements of an instance, and the limits below the usual."""

    samples: tuple[LoadSample, ...] = ()
    limits: Mapping[str, int] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.samples or self.limits)


class CapacityPolicy(Protocol):
    """Policy for the number of requests that a server may have."""

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the present slowdown; average is that of a longer time."""


class AnnouncedCapacity:
    """Baseline: an engine's slots, and a multiple of a plain server's."""

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        return usual_limit(backend)

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the average."""
        return average


def usual_limit(backend: Backend) -> int:
    """Return the limit of a server of which nothing is known."""
    if backend.is_engine:
        return backend.entry.slots
    return round(backend.entry.slots * PLAIN_SLOT_FACTOR)


class ServerCapacity:
    """Learned limit of one run of a server.

    The limit falls at once to a bend of the load curve that is certain. It
    rises by steps, as the loads above it are measured only while it is
    exceeded.
    """

    def __init__(self, backend: Backend, now_s: float) -> None:
        entry = backend.entry
        self.started_ms = entry.started_ms
        self.service = entry.service
        self.slots = entry.slots
        self.usual = usual_limit(backend)
        self.samples = 0
        self._is_engine = backend.is_engine
        self.max = (
            entry.slots
            if backend.is_engine
            else round(entry.slots * MAX_PLAIN_SLOT_FACTOR)
        )
        self._step = max(1, self.max // STEPS_PER_LIMIT)
        self.limit = self.usual
        shares = ENGINE_KNEES if backend.is_engine else PLAIN_KNEES
        self._curve = LoadCurve(entry.slots * share for share in shares)
        self._changed_s = now_s
        self._updated_s = now_s
        # Largest load since the last change of the limit.
        self._peak_load = 0.0
        self._speed_count = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._speed_sum = DecayingRate(SPEED_TIME_CONSTANT_S)

    def add(self, load: float, slowdown: float, ended_s: float) -> None:
        """Add the slowdown of an answer."""
        self.samples += 1
        self._speed_count.add(1.0, ended_s)
        self._speed_sum.add(clip_log(slowdown), ended_s)
        # Engines queue requests beyond their slots, which says nothing about
        # the load up to them.
        if load <= self.max:
            self._curve.add(load, clip_log(slowdown), ended_s)
            self._peak_load = max(self._peak_load, load)

    def update(self, now_s: float) -> None:
        """Adjust the limit to the measurements, once in UPDATE_S."""
        if 0 <= now_s - self._updated_s < UPDATE_S:
            return
        self._updated_s = now_s
        bend = self._curve.sharpest_bend(
            None if self._is_engine else self.slots
        )
        if bend is not None and _is_crowded(bend):
            wanted = self._limit_at(bend)
            if wanted < self.limit:
                self._set(wanted, now_s)
            elif wanted > self.limit and self._is_settled(now_s):
                self._set(min(wanted, self.limit + self._step), now_s)
            return
        if self.limit < self.max and self._may_rise(now_s):
            self._set(min(self.max, self.limit + self._step), now_s)

    def probe_limit(self) -> int:
        """Return the limit for an instance that probes above it."""
        return min(self.max, self.limit + self._step)

    def slowdown(self, average: float, now_s: float) -> float:
        """Return the present slowdown; average is that of a longer time."""
        count = self._speed_count.per_s(now_s) * SPEED_TIME_CONSTANT_S
        total = self._speed_sum.per_s(now_s) * SPEED_TIME_CONSTANT_S
        return exp(
            (SLOW_AVERAGE_COUNT * clip_log(average) + total)
            / (SLOW_AVERAGE_COUNT + count)
        )

    def _limit_at(self, bend: Bend) -> int:
        if self._is_engine:
            return max(1, round(bend.load))
        return max(1, round(bend.load * PLAIN_SLOT_FACTOR))

    def _may_rise(self, now_s: float) -> bool:
        """Return whether the load may grow beyond the limit.

        A plain server gets more than usual only if its present limit was
        used in full.
        """
        if self.limit >= self.usual and self._peak_load < self.limit:
            return False
        load = self.limit / (1.0 if self._is_engine else PLAIN_SLOT_FACTOR)
        bend = self._curve.bend_near(load)
        if (
            bend is not None
            and bend.slope + RELEASE_ERRORS * bend.error < CROWDED_SLOPE
        ):
            return True
        return self.limit < self.usual and self._is_settled(now_s)

    def _is_settled(self, now_s: float) -> bool:
        """Return whether the limit has been the same for some time."""
        return now_s - self._changed_s > RAISE_AFTER_S

    def _set(self, limit: int, now_s: float) -> None:
        self.limit = limit
        self._changed_s = now_s
        self._peak_load = 0.0


def _is_crowded(bend: Bend) -> bool:
    return (
        bend.slope >= CROWDED_SLOPE
        and bend.slope >= MIN_BEND_ERRORS * bend.error
    )


class LearnedCapacity:
    """Limits of all servers, from the measurements of all instances."""

    def __init__(
        self, instance_count: Callable[[], int], random: Random
    ) -> None:
        self._instance_count = instance_count
        self._random = random
        self._servers: dict[str, ServerCapacity] = {}
        self._own: list[tuple[LoadSample, float]] = []
        self._number = 0
        # Newest sample of each peer, as its incarnation and number.
        self._seen: dict[str, tuple[int, int]] = {}
        # Limits that peers reported, with the time.
        self._peer_limits: dict[str, tuple[int, float]] = {}
        # End of the present period of a probe, and whether one runs.
        self._probes: dict[str, tuple[float, bool]] = {}

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        server = self._server(backend, now_s)
        before = server.limit
        server.update(now_s)
        if server.limit != before:
            _log_change(backend, server, before)
        if server.samples < MIN_OWN_SAMPLES:
            known = self._peer_limits.get(backend.name)
            if known and 0 <= now_s - known[1] < PEER_LIMIT_TTL_S:
                return max(1, min(server.max, known[0]))
        if server.limit < server.usual and self._is_probing(
            backend.name, now_s
        ):
            return server.probe_limit()
        return server.limit

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the present slowdown of a server."""
        return self._server(backend, now_s).slowdown(average, now_s)

    def record(
        self, backend: Backend, load: float, slowdown: float, now_s: float
    ) -> None:
        """Record the answer to a request of this instance."""
        self._server(backend, now_s).add(load, slowdown, now_s)
        self._number += 1
        sample = LoadSample(
            number=self._number,
            server=backend.name,
            load=load,
            slowdown=slowdown,
        )
        self._own.append((sample, now_s))
        del self._own[:-MAX_REPORTED_SAMPLES]

    def record_peer(
        self,
        name: str,
        incarnation: int,
        report: CapacityReport,
        find_backend: Callable[[str], Backend | None],
        now_s: float,
    ) -> None:
        """Add the measurements of a peer that aren't known yet."""
        for server, limit in report.limits.items():
            self._peer_limits[server] = (limit, now_s)
        seen = self._seen.get(name, (incarnation, 0))
        newest = seen[1] if seen[0] == incarnation else 0
        for sample in report.samples:
            backend = find_backend(sample.server)
            if sample.number > newest and backend is not None:
                self._server(backend, now_s).add(
                    sample.load, sample.slowdown, now_s - sample.age_s
                )
        newest = max([newest, *(item.number for item in report.samples)])
        self._seen[name] = (incarnation, newest)

    def report(self, now_s: float) -> CapacityReport:
        """Return what the peers should know."""
        reduced = (
            (name, server.limit)
            for name, server in self._servers.items()
            if server.limit != server.usual
        )
        return CapacityReport(
            samples=tuple(
                LoadSample(
                    number=sample.number,
                    server=sample.server,
                    load=sample.load,
                    slowdown=sample.slowdown,
                    age_s=now_s - ended_s,
                )
                for sample, ended_s in self._own
                if now_s - ended_s <= MAX_REPORTED_AGE_S
            ),
            limits=dict(sorted(reduced)[:MAX_REPORTED_LIMITS]),
        )

    def totals(self) -> Mapping[str, tuple[int, int]]:
        """Return sums by service: limits, and servers limited below usual."""
        totals: dict[str, tuple[int, int]] = {}
        for server in self._servers.values():
            limits, reduced = totals.get(server.service, (0, 0))
            totals[server.service] = (
                limits + server.limit,
                reduced + (server.limit < server.usual),
            )
        return totals

    def forget(self, present: Iterable[str], peers: Iterable[str]) -> None:
        """Drop what is known about servers and peers that have left."""
        names = set(present)
        known = set(peers)
        self._servers = _keep(self._servers, names)
        self._peer_limits = _keep(self._peer_limits, names)
        self._probes = _keep(self._probes, names)
        self._seen = _keep(self._seen, known)

    def _server(self, backend: Backend, now_s: float) -> ServerCapacity:
        """Return the state of a server; a new run starts from the slots."""
        known = self._servers.get(backend.name)
        if (
            known is None
            or known.started_ms != backend.entry.started_ms
            or known.slots != backend.entry.slots
        ):
            known = ServerCapacity(backend, now_s)
            self._servers[backend.name] = known
        return known

    def _is_probing(self, server: str, now_s: float) -> bool:
        """Return whether this instance is drawn to exceed the limit."""
        ends_s, is_probing = self._probes.get(server, (0.0, False))
        if now_s >= ends_s:
            chance = PROBE_SHARE / max(1, self._instance_count())
            is_probing = self._random.random() < chance
            self._probes[server] = (now_s + PROBE_S, is_probing)
        return is_probing


def _keep(items: Mapping[str, _T], names: set[str]) -> dict[str, _T]:
    return {name: item for name, item in items.items() if name in names}


def _log_change(backend: Backend, server: ServerCapacity, before: int) -> None:
    _LOGGER.info(
        "capacity of backend server changed",
        extra={
            "backend_server": backend.name,
            "limit": server.limit,
            "limit_before": before,
            "slots": server.slots,
            "samples": server.samples,
        },
    )
