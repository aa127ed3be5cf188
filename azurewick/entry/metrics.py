"""Metrics of an entry instance; no label has a customer."""

from __future__ import annotations

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.service import Service

from azurewick.helpers.address import split_address

DURATION_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class EntryMetrics:
    """Counters and histograms by route and outcome."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = Counter(
            "azurewick_entry_requests_total",
            "Requests by route and outcome.",
            registry=self.registry,
        )
        self._duration = Histogram(
            "azurewick_entry_request_seconds",
            "Time from a request to the end of its answer, by route.",
            buckets=(*DURATION_BUCKETS, float("inf")),
            registry=self.registry,
        )
        self.active = Gauge(
            "azurewick_entry_active_requests",
            "Requests without a complete answer.",
            registry=self.registry,
        )
        self._service: Service | None = None

    def count_request(self, route: str, outcome: str, took_s: float) -> None:
        """Count the end of a request."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._duration.observe({"route": route}, took_s)

    async def async_start(self, address: str | None) -> None:
        """Serve the metrics at an address, "IP:port"."""
        if address is None:
            return
        host, port = split_address(address)
        self._service = Service(self.registry)
        await self._service.start(addr=host, port=port)

    async def async_stop(self) -> None:
        """Stop to serve the metrics."""
        if self._service is not None:
            await self._service.stop()
            self._service = None
