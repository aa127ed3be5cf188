"""Metrics of a gateway; no label has a customer."""

from __future__ import annotations

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram

from azurewick.gateway.context import RequestContext
from azurewick.gateway.streaming import AnswerMeter
from azurewick.helpers.metrics_endpoint import MetricsEndpoint

FIRST_TOKEN_BUCKETS = (0.1, 0.25, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0)
INTER_TOKEN_BUCKETS = (0.01, 0.02, 0.04, 0.079, 0.12, 0.25, 0.5, 1.0)
CODE_OK = "ok"


class GatewayMetrics(MetricsEndpoint):
    """Counters and histograms by class, outcome and code."""

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
        # The ratio of the two is the service level; its burn rate follows
        # from their increase over a window.
        self.level_total = self._counter(
            "azurewick_service_level_total",
            "Requests that count for the service level, by class.",
        )
        self.level_good = self._counter(
            "azurewick_service_level_good_total",
            "Requests that finished within their target, by class.",
        )
        self.first_token = Histogram(
            "azurewick_first_token_seconds",
            "Time from the request to the first bytes of the answer.",
            buckets=(*FIRST_TOKEN_BUCKETS, float("inf")),
            registry=self.registry,
        )
        self.inter_token = Histogram(
            "azurewick_inter_token_seconds",
            "Mean time between the chunks of an answer.",
            buckets=(*INTER_TOKEN_BUCKETS, float("inf")),
            registry=self.registry,
        )
        self.running = Gauge(
            "azurewick_running_requests",
            "Requests that run now.",
            registry=self.registry,
        )
        self.counts: dict[str, int] = {}

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def set_running(self, count: int) -> None:
        """Set the number of running requests."""
        self.running.set({}, count)

    def count_request(
        self, request_class: str, outcome: str, code: str
    ) -> None:
        """Count the end of a caller's request."""
        self.requests.inc(
            {"class": request_class, "outcome": outcome, "code": code}
        )
        self.counts[code] = self.counts.get(code, 0) + 1

    def count_level(self, request_class: str, is_good: bool) -> None:
        """Count a request for the service level of its class."""
        self.level_total.inc({"class": request_class})
        if is_good:
            self.level_good.inc({"class": request_class})

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
        """Take the times of a finished answer."""
        if meter.first_chunk_s is None:
            return
        labels = {"class": context.class_label}
        self.first_token.observe(
            labels, meter.first_chunk_s - context.received_s
        )
        if meter.inter_token_s is not None:
            self.inter_token.observe(labels, meter.inter_token_s)
        self.count_level(context.class_label, is_target_met(context, meter))


def is_target_met(context: RequestContext, meter: AnswerMeter) -> bool:
    """Return whether a finished answer met each part of its target."""
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
