"""What this instance learns about servers from the answers to its requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import AnnouncedCapacity
from azurewick.entry.capacity_policy import CapacityPolicy
from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.metrics import EntryMetrics
from azurewick.entry.models import CallerRequest
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.settings import EntrySettings
from azurewick.entry.work import EngineTimings
from azurewick.entry.work import measure_work
from azurewick.entry.work import NOMINAL_TIMINGS
from azurewick.entry.work import WorkEstimate

if TYPE_CHECKING:
    from azurewick.entry.engine_times import EngineTimes
    from azurewick.entry.engine_times import TimeSums
    from azurewick.entry.learned_capacity import LearnedCapacity


class ServerLearning:
    """Passes measurements to what learns from them; the settings choose it.

    Nothing is learned without peers.
    """

    def __init__(
        self,
        settings: EntrySettings | None = None,
        peers: PeerView | None = None,
    ) -> None:
        self._peers = peers
        self._learned: LearnedCapacity | None = None
        self._times: EngineTimes | None = None
        if settings is None or peers is None:
            return
        if settings.learns_engine_times:
            self._times = _build_engine_times()
        if settings.learns_capacity:
            self._learned = _build_learned_capacity(settings.name, peers)

    @property
    def capacity(self) -> CapacityPolicy:
        """Return the policy for the limits of servers."""
        return self._learned or AnnouncedCapacity()

    def load(self, backend: Backend, now_s: float) -> float:
        """Return the number of requests at a server, as far as known."""
        if self._peers is None or not (self._learned or self._times):
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

    def record_first(
        self,
        backend: Backend,
        request: CallerRequest,
        load: float,
        first_s: float,
        now_s: float,
    ) -> None:
        """Record the time to a first output.

        A request that was sent to a full engine has waited in its queue.
        """
        if self._learned is None or load > backend.entry.slots:
            return
        timings = self.timings(backend.entry.service, now_s)
        expected_s = timings.first_s(request.input_tokens or 0)
        self._learned.record(backend, 0.0, first_s / expected_s, now_s)

    def timings(self, service: str, now_s: float) -> EngineTimings:
        """Return the times of a service's engines."""
        if self._times is None:
            return NOMINAL_TIMINGS
        return self._times.timings(service, now_s)

    def record_stream(
        self,
        backend: Backend,
        request: CallerRequest,
        *,
        load: float,
        output_tokens: int,
        first_event_tokens: int,
        first_s: float | None,
        took_s: float,
        now_s: float,
    ) -> WorkEstimate:
        """Record a complete stream; return the work expected at its load.

        The capacity is learned from the work at the mean load, as the growth
        with the load is what limits it.
        """
        timings = self.timings(backend.entry.service, now_s)
        work = measure_work(request, output_tokens, timings)
        self.record_answer(backend, load, took_s / work.total_s, now_s)
        if self._times is None:
            return work
        mean_load = (load + self.load(backend, now_s)) / 2
        if first_s is not None and backend.is_engine:
            from azurewick.entry.engine_times import StreamTimes

            self._times.record(
                StreamTimes(
                    server=backend.name,
                    service=backend.entry.service,
                    slots=backend.entry.slots,
                    load=mean_load,
                    prompt_tokens=request.input_tokens or 0,
                    first_s=first_s,
                    step_tokens=output_tokens - first_event_tokens,
                    steps_s=took_s - first_s,
                ),
                now_s,
            )
        return measure_work(request, output_tokens, timings.at_load(mean_load))

    def record_report(
        self,
        report: PeerReport,
        find_backend: Callable[[str], Backend | None],
        now_s: float,
    ) -> None:
        """Add the measurements in a peer's report."""
        if self._times is not None and report.engine_times:
            self._times.record_peer(report.name, report.engine_times, now_s)
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

    def times_report(self, now_s: float) -> Mapping[str, TimeSums]:
        """Return this instance's measurements of the engines' times."""
        return {} if self._times is None else self._times.report(now_s)

    def forget(self, servers: Iterable[str], peers: Iterable[str]) -> None:
        """Drop what is known about servers and peers that have left."""
        present, known = set(servers), set(peers)
        if self._learned is not None:
            self._learned.forget(present, known)
        if self._times is not None:
            self._times.forget(present, known)

    def totals(self) -> Mapping[str, tuple[int, int]]:
        """Return sums by service: limits, and servers limited below usual."""
        return {} if self._learned is None else self._learned.totals()

    def update_metrics(self, metrics: EntryMetrics) -> None:
        """Set the gauges of the capacity and of the engines' times."""
        for service, (limits, reduced) in self.totals().items():
            metrics.capacity_limits.set({"service": service}, limits)
            metrics.limited_servers.set({"service": service}, reduced)
        if self._times is None:
            return
        for service, timings in self._times.fits().items():
            labels = {"service": service}
            metrics.engine_step_s.set(labels, timings.output_token_s)
            metrics.engine_prompt_token_s.set(labels, timings.prefill_token_s)


# A start takes longer with the modules that learn.
def _build_engine_times() -> EngineTimes:
    from azurewick.entry import engine_times

    return engine_times.EngineTimes()


def _build_learned_capacity(own_name: str, peers: PeerView) -> LearnedCapacity:
    from azurewick.entry import learned_capacity

    return learned_capacity.LearnedCapacity(own_name, lambda: peers.members)
