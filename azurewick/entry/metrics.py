"""Metrics of an entry instance; none is labelled by customer."""

from __future__ import annotations

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram

from azurewick.helpers.metrics_endpoint import MetricsEndpoint

DURATION_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class EntryMetrics(MetricsEndpoint):
    """Metrics of requests by route and outcome."""

    def __init__(self) -> None:
        super().__init__()
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
        self.body_bytes = Gauge(
            "azurewick_entry_body_bytes",
            "Bytes of request bodies that are held.",
            registry=self.registry,
        )

        self.capacity_limits = Gauge(
            "azurewick_entry_capacity_limits",
            "Sum of the learned limits of concurrent requests, by service.",
            registry=self.registry,
        )
        self.limited_servers = Gauge(
            "azurewick_entry_limited_servers",
            "Servers whose learned limit is below the usual, by service.",
            registry=self.registry,
        )
        self.engine_step_s = Gauge(
            "azurewick_entry_engine_step_seconds",
            "Learned time of a step at the mean load, by service.",
            registry=self.registry,
        )
        self.engine_prompt_token_s = Gauge(
            "azurewick_entry_engine_prompt_token_seconds",
            "Learned time of a prompt token, by service.",
            registry=self.registry,
        )
        self._configurations = Counter(
            "azurewick_entry_configurations_total",
            "Configurations received, by source: store or peer.",
            registry=self.registry,
        )
        self._configuration_revision = Gauge(
            "azurewick_entry_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        self.configuration_age_s = Gauge(
            "azurewick_entry_configuration_age_seconds",
            "Time since the store has confirmed the configuration.",
            registry=self.registry,
        )

    def count_configuration(self, source: str, revision: int) -> None:
        """Record a configuration that has come into force."""
        self._configurations.inc({"source": source})
        self._configuration_revision.set({}, revision)

    def count_request(self, route: str, outcome: str, took_s: float) -> None:
        """Record a request that ended."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._duration.observe({"route": route}, took_s)
