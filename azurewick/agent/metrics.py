"""Prometheus metrics of the agent; each label has a fixed set of values."""

from __future__ import annotations

from typing import Final

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Registry

from azurewick.errors import ErrorCode
from azurewick.models import LoadReport

_KNOWN_ENDS: Final = frozenset(code.value for code in ErrorCode) | {
    "finished",
    "reader_lost",
}


class AgentMetrics:
    """Counters of requests and crashes, and gauges of the load."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = Counter(
            "azurewick_agent_requests_total",
            "Requests by tier and end.",
            registry=self.registry,
        )
        self._crashes = Counter(
            "azurewick_agent_backend_crashes_total",
            "Crashes of the backend server.",
            registry=self.registry,
        )
        self._load = Gauge(
            "azurewick_agent_load",
            "Load by kind: running, queued, batch_limit, queued_work_s.",
            registry=self.registry,
        )

    def record_outcome(self, tier: int, code: str) -> None:
        """Count the end of a request.

        tier is -1 for an offer that could not be parsed. code is an error
        code, "finished" or "reader_lost"; others are counted as "other".
        """
        end = code if code in _KNOWN_ENDS else "other"
        self._requests.inc({"tier": str(tier), "end": end})

    def record_crash(self) -> None:
        """Count a crash of the backend server."""
        self._crashes.inc({})

    def record_load(self, report: LoadReport) -> None:
        """Set the load gauges."""
        for kind, value in (
            ("running", report.running),
            ("queued", report.queued),
            ("batch_limit", report.batch_limit),
            ("queued_work_s", report.queued_work_s),
        ):
            self._load.set({"kind": kind}, value)
