"""What this instance learns about servers from the answers to its requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from random import Random

from azurewick.entry.backends import Backend
from azurewick.entry.metrics import EntryMetrics
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.server_capacity import AnnouncedCapacity
from azurewick.entry.server_capacity import CapacityPolicy
from azurewick.entry.server_capacity import CapacityReport
from azurewick.entry.server_capacity import LearnedCapacity
from azurewick.entry.settings import EntrySettings


class ServerLearning:
    """Passes measurements to what learns from them; the settings choose it.

    Nothing is learned without peers.
    """

    def __init__(
        self,
        settings: EntrySettings | None = None,
        peers: PeerView | None = None,
        random: Random | None = None,
    ) -> None:
        self._peers = peers
        self._learned: LearnedCapacity | None = None
        if settings is None or peers is None or random is None:
            return
        if settings.learns_capacity:
            self._learned = LearnedCapacity(
                lambda: peers.instance_count, random
            )

    @property
    def capacity(self) -> CapacityPolicy:
        """Return the policy for the limits of servers."""
        return self._learned or AnnouncedCapacity()

    def load(self, backend: Backend, now_s: float) -> float:
        """Return the number of requests at a server, as far as known."""
        if self._peers is None or self._learned is None:
            return float(backend.in_flight)
        shares = self._peers.slot_shares(now_s)
        return float(backend.in_flight - shares.unused(0, backend.name))

    def record_answer(
        self,
        backend: Backend,
        load: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Record the slowdown of an answer; load is that at its dispatch.

        The server's load changes while a request runs, so the mean of both
        ends is used.
        """
        if self._learned is not None:
            mean_load = (load + self.load(backend, now_s)) / 2
            self._learned.record(backend, mean_load, slowdown, now_s)

    def record_report(
        self,
        report: PeerReport,
        find_backend: Callable[[str], Backend | None],
        now_s: float,
    ) -> None:
        """Add the measurements in a peer's report."""
        if self._learned is not None and report.capacity:
            self._learned.record_peer(
                report.name,
                report.incarnation,
                report.capacity,
                find_backend,
                now_s,
            )

    def capacity_report(self, now_s: float) -> CapacityReport:
        """Return what the peers should know about the capacity of servers."""
        if self._learned is None:
            return CapacityReport()
        return self._learned.report(now_s)

    def forget(self, servers: Iterable[str], peers: Iterable[str]) -> None:
        """Drop what is known about servers and peers that have left."""
        if self._learned is not None:
            self._learned.forget(servers, peers)

    def totals(self) -> Mapping[str, tuple[int, int]]:
        """Return sums by service: limits, and servers limited below usual."""
        return {} if self._learned is None else self._learned.totals()

    def update_metrics(self, metrics: EntryMetrics) -> None:
        """Set the gauges of the capacity."""
        for service, (limits, reduced) in self.totals().items():
            metrics.capacity_limits.set({"service": service}, limits)
            metrics.limited_servers.set({"service": service}, reduced)
