"""Prometheus metrics of a gateway.

No label contains a customer, to bound the number of time series.
"""

from __future__ import annotations

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram

from azurewick.gateway.context import RequestContext
from azurewick.gateway.streaming import AnswerMeter
from azurewick.helpers.metrics_endpoint import MetricsEndpoint

# The benchmarks' targets, 1.9 s and 79 ms, are bucket bounds.
FIRST_TOKEN_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0)
INTER_TOKEN_BUCKETS_S = (0.01, 0.02, 0.04, 0.079, 0.12, 0.25, 0.5, 1.0)
CODE_OK = "ok"


class GatewayMetrics(MetricsEndpoint):
    """Counters, histograms and gauges of a gateway."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter(
            "azurewick_requests_total",
            "Requests by class, outcome and code.",
        )
        self.offers = self._counter(
            "azurewick_offers_total", "Offers to agents by class."
        )
        self.retries = self._counter(
            "azurewick_retries_total",
            "Offers after the first one of a request, by class.",
        )
        self.joins = self._counter(
            "azurewick_joins_total", "Requests that joined a running one."
        )
        # Service level = good / total. The burn rate of the error budget is
        # computed from the increase of both over a window.
        self.service_level_total = self._counter(
            "azurewick_service_level_total",
            "Requests that count for the service level, by class.",
        )
        self.service_level_good = self._counter(
            "azurewick_service_level_good_total",
            "Requests that finished within their target, by class.",
        )
        self.first_token = Histogram(
            "azurewick_first_token_seconds",
            "Time from the request to the first bytes of the answer.",
            buckets=(*FIRST_TOKEN_BUCKETS_S, float("inf")),
            registry=self.registry,
        )
        self.inter_token = Histogram(
            "azurewick_inter_token_seconds",
            "Mean time between the chunks of an answer.",
            buckets=(*INTER_TOKEN_BUCKETS_S, float("inf")),
            registry=self.registry,
        )
        self.running = Gauge(
            "azurewick_running_requests",
            "Requests that run now.",
            registry=self.registry,
        )
        # Totals over all classes by code, and of offers, retries and joins;
        # served in the status document.
        self.counts: dict[str, int] = {}

    def _counter(self, name: str, description: str) -> Counter:
        return Counter(name, description, registry=self.registry)

    def set_running(self, count: int) -> None:
        """Set the gauge of running requests."""
        self.running.set({}, count)

    def count_request(
        self, request_class: str, outcome: str, code: str
    ) -> None:
        """Count a caller's request that has ended."""
        self.requests.inc(
            {"class": request_class, "outcome": outcome, "code": code}
        )
        self.counts[code] = self.counts.get(code, 0) + 1

    def count_service_level(self, request_class: str, is_good: bool) -> None:
        """Count a request towards the service level of its class.

        is_good says whether it finished within its target.
        """
        self.service_level_total.inc({"class": request_class})
        if is_good:
            self.service_level_good.inc({"class": request_class})

    def count_offer(self, request_class: str, is_retry: bool) -> None:
        """Count an offer to an agent."""
        self.offers.inc({"class": request_class})
        self.counts["offers"] = self.counts.get("offers", 0) + 1
        if is_retry:
            self.retries.inc({"class": request_class})
            self.counts["retries"] = self.counts.get("retries", 0) + 1

    def count_join(self, request_class: str) -> None:
        """Count a request that joined a running one."""
        self.joins.inc({"class": request_class})
        self.counts["joins"] = self.counts.get("joins", 0) + 1

    def observe_answer(
        self, context: RequestContext, meter: AnswerMeter
    ) -> None:
        """Record the latencies and the service level of a finished answer."""
        if meter.first_chunk_s is None:
            return
        labels = {"class": context.class_label}
        self.first_token.observe(
            labels, meter.first_chunk_s - context.received_s
        )
        if meter.inter_token_s is not None:
            self.inter_token.observe(labels, meter.inter_token_s)
        self.count_service_level(
            context.class_label, is_target_met(context, meter)
        )


def is_target_met(context: RequestContext, meter: AnswerMeter) -> bool:
    """Return whether a finished answer met all latency targets."""
    target = context.request_class.target
    first_s = (meter.first_chunk_s or 0.0) - context.received_s
    completion_s = meter.last_chunk_s - context.received_s
    inter_token_s = meter.inter_token_s or 0.0
    return (
        (target.first_token_s is None or first_s <= target.first_token_s)
        and (
            target.completion_s is None or completion_s <= target.completion_s
        )
        and (
            target.inter_token_s is None
            or inter_token_s <= target.inter_token_s
        )
    )
