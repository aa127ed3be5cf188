"""Metrics of an entry instance; none is labelled by customer."""

from __future__ import annotations

from collections.abc import Mapping

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram

from azurewick.entry.home_regions import HomeRefusal
from azurewick.helpers.caller_memory import CloseCause
from azurewick.helpers.metrics_endpoint import MetricsEndpoint

# Failure domains whose evacuation is shown.
MAX_EVACUATED_DOMAINS = 64
# Sets of home regions with a label of their own; the others share one.
MAX_REGION_SETS = 32
OTHER_REGIONS = "other"
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
        self._closed_callers = Counter(
            "azurewick_entry_closed_callers_total",
            "Callers' connections closed for a limit, by limit.",
            registry=self.registry,
        )
        self.caller_bytes = Gauge(
            "azurewick_entry_caller_bytes",
            "Bytes held for callers' connections beside the bodies.",
            registry=self.registry,
        )

        self._slot_asks = Counter(
            "azurewick_entry_slot_asks_total",
            "Asks for slots by outcome: granted, refused, fallback, unusable"
            " or withdrawn.",
            registry=self.registry,
        )
        self.broker_waiting = Gauge(
            "azurewick_entry_broker_waiting_requests",
            "Requests that wait at this instance as the broker.",
            registry=self.registry,
        )
        self.processor_share = Gauge(
            "azurewick_entry_processor_share",
            "Weight of this instance in the elections of brokers.",
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

        self._home_refusals = Counter(
            "azurewick_entry_home_refusals_total",
            "Requests refused by their home regions, by regions and reason.",
            registry=self.registry,
        )
        self._region_sets: set[frozenset[str]] = set()
        self._evacuated = Gauge(
            "azurewick_entry_evacuated",
            "Whether a failure domain is evacuated, by failure domain.",
            registry=self.registry,
        )
        self._evacuated_domains: set[str] = set()
        self._cold_servers = Gauge(
            "azurewick_entry_cold_servers",
            "Servers that are taken for cold.",
            registry=self.registry,
        )
        self._cold_withheld = Counter(
            "azurewick_entry_cold_withheld_total",
            "Times that a cold server's budget held back a request, by stage:"
            " placement (a server passed over) or send (a request refused).",
            registry=self.registry,
        )

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the failure domains that are evacuated."""
        for domain in sorted(domains - self._evacuated_domains):
            if len(self._evacuated_domains) < MAX_EVACUATED_DOMAINS:
                self._evacuated_domains.add(domain)
        for domain in self._evacuated_domains:
            self._evacuated.set(
                {"failure_domain": domain}, int(domain in domains)
            )

    def count_home_refusal(
        self, regions: frozenset[str], reason: HomeRefusal
    ) -> None:
        """Record a request that no server of its home regions could take."""
        label = OTHER_REGIONS
        if (
            regions in self._region_sets
            or len(self._region_sets) < MAX_REGION_SETS
        ):
            self._region_sets.add(regions)
            label = "+".join(sorted(regions))
        self._home_refusals.inc({"regions": label, "reason": reason.value})

    def record_cold_servers(
        self, count: int, withheld: Mapping[str, int]
    ) -> None:
        """Record the cold servers and what their budgets held back."""
        self._cold_servers.set({}, count)
        for stage, total in withheld.items():
            self._cold_withheld.set({"stage": stage}, total)

    def count_slot_ask(self, outcome: str) -> None:
        """Record the end of an ask for a slot."""
        self._slot_asks.inc({"outcome": outcome})

    def count_closed_caller(self, cause: CloseCause) -> None:
        """Record a caller's connection that was closed for a limit."""
        self._closed_callers.inc({"cause": cause.value})

    def count_configuration(self, source: str, revision: int) -> None:
        """Record a configuration that has come into force."""
        self._configurations.inc({"source": source})
        self._configuration_revision.set({}, revision)

    def count_request(self, route: str, outcome: str, took_s: float) -> None:
        """Record a request that ended."""
        self._requests.inc({"route": route, "outcome": outcome})
        self._duration.observe({"route": route}, took_s)
