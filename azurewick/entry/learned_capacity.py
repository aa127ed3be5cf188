"""Limits of all servers, learned from the measurements of all instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from logging import getLogger
from typing import TypeVar
from zlib import crc32

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.capacity_policy import LoadSample
from azurewick.entry.server_capacity import MAX_REPORTED_AGE_S
from azurewick.entry.server_capacity import MAX_REPORTED_LIMITS
from azurewick.entry.server_capacity import MAX_REPORTED_SAMPLES
from azurewick.entry.server_capacity import ServerCapacity

_LOGGER = getLogger(__name__)
_T = TypeVar("_T")

# Measurements from which on an instance leads for a server.
MIN_LEADER_SAMPLES = 20
# How long a peer's limit is used without its confirmation, and the own one
# without any measurement of a peer.
PEER_TTL_S = 5.0


class LearnedCapacity:
    """Limits that instances learn together.

    All have nearly the same measurements. For each server one instance leads:
    the others use its limit, so that their shares add up and trials of a
    limit change the load. Without news of the leader, each uses its own view.
    """

    def __init__(
        self, own_name: str, members: Callable[[], Sequence[str]]
    ) -> None:
        self._own_name = own_name
        self._members = members
        self._servers: dict[str, ServerCapacity] = {}
        self._own: list[tuple[LoadSample, float]] = []
        self._number = 0
        # Newest sample of each peer, as its incarnation and number.
        self._seen: dict[str, tuple[int, int]] = {}
        # Limits that leaders reported, with the time.
        self._led_limits: dict[str, tuple[int, float]] = {}
        self._heard_s: float | None = None
        # Whether this instance leads, by server, for these members.
        self._leads: dict[str, bool] = {}
        self._leads_among: Sequence[str] = ()

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        server = self._server(backend, now_s)
        if len(self._members()) > 1 and not _is_fresh(self._heard_s, now_s):
            return server.usual
        before = server.limit
        leads = self._is_leader(backend.name)
        led, led_s = self._led_limits.get(backend.name, (0, None))
        if leads and server.samples >= MIN_LEADER_SAMPLES:
            server.update(now_s, leads=True)
        elif _is_fresh(led_s, now_s):
            server.adopt(led, now_s)
        else:
            server.update(now_s, leads=False)
        if server.limit != before:
            _log_change(backend, server, before, leads=leads)
        return server.limit

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the present slowdown of a server."""
        return self._server(backend, now_s).speed.slowdown(average, now_s)

    def record(
        self, backend: Backend, load: float, slowdown: float, now_s: float
    ) -> None:
        """Record a time of this instance's request, as LoadSample has it."""
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
        self._heard_s = now_s
        for server, limit in report.limits.items():
            if find_backend(server) is not None:
                self._led_limits[server] = (limit, now_s)
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
        led = (
            (server.limit == server.usual, name, server.limit)
            for name, server in self._servers.items()
            if server.samples >= MIN_LEADER_SAMPLES and self._is_leader(name)
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
            limits={
                name: limit
                for _, name, limit in sorted(led)[:MAX_REPORTED_LIMITS]
            },
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
        self._servers = _keep(self._servers, names)
        self._led_limits = _keep(self._led_limits, names)
        self._leads = _keep(self._leads, names)
        self._seen = _keep(self._seen, set(peers))

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

    def _is_leader(self, server: str) -> bool:
        """Return whether this instance leads, by rendezvous hashing."""
        members = self._members()
        if members is not self._leads_among:
            self._leads = {}
            self._leads_among = members
        if server not in self._leads:
            leader = max(
                members, key=lambda name: crc32(f"{name}/{server}".encode())
            )
            self._leads[server] = leader == self._own_name
        return self._leads[server]


def _is_fresh(known_s: float | None, now_s: float) -> bool:
    return known_s is not None and 0 <= now_s - known_s < PEER_TTL_S


def _keep(items: Mapping[str, _T], names: set[str]) -> dict[str, _T]:
    return {name: item for name, item in items.items() if name in names}


def _log_change(
    backend: Backend, server: ServerCapacity, before: int, *, leads: bool
) -> None:
    _LOGGER.info(
        "capacity of backend server changed",
        extra={
            "backend_server": backend.name,
            "limit": server.limit,
            "limit_before": before,
            "slots": server.slots,
            "samples": server.samples,
            "leads": leads,
        },
    )
