"""Expected cost, in seconds, of sending a request to a server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import math
from typing import Final

from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

DEFAULT_PREFILL_TOKENS_PER_S: Final = 4000.0
DEFAULT_DECODE_TOKENS_PER_S: Final = 400.0
DEFAULT_BATCH_LIMIT: Final = 8
# A load report's weight decays with its age, to about a third at this age; the
# pool's mean has the remaining weight.
REPORT_TIME_CONSTANT_S: Final = 5.0
# Seconds of cost added per second of a report's age, since the load of the
# server becomes uncertain.
STALENESS_PENALTY_RATIO: Final = 0.02
MAX_STALENESS_PENALTY_S: Final = 0.5
SPEED_SMOOTHING_FACTOR: Final = 0.4
# A server slower than the pool's median by more than this factor is a
# straggler. The two hardware generations differ by less.
STRAGGLER_FACTOR: Final = 4.0
# An answer that has not begun after this multiple of its expected time, plus
# the allowance, shows that a server is slow before any result arrives.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_ALLOWANCE_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SentOffer:
    """Outstanding offer of this gateway.

    sent_s is the time of sending, service_s the offer's share of the server's
    time, prefill_s the expected prefill time and expected_first_token_s the
    expected time from sending to the first token.
    """

    sent_s: float
    service_s: float
    prefill_s: float
    expected_first_token_s: float


class ServerEstimate:
    """Load and speed of one server, as estimated by a gateway."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.reported_s = 0.0
        self.outstanding: dict[str, SentOffer] = {}
        # Smoothed time between tokens, None before the first result.
        self.inter_token_s: float | None = None
        self.consecutive_failures = 0
        self.next_probe_s = 0.0
        self.probe_delay_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the reported prefill rate, or the default."""
        if self.report is None or self.report.prefill_tokens_per_s <= 0.0:
            return DEFAULT_PREFILL_TOKENS_PER_S
        return self.report.prefill_tokens_per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Return the reported decode rate of a full batch, or the default."""
        if self.report is None or self.report.decode_tokens_per_s <= 0.0:
            return DEFAULT_DECODE_TOKENS_PER_S
        return self.report.decode_tokens_per_s

    @property
    def batch_limit(self) -> int:
        """Return the reported batch limit, or the default."""
        if self.report is None:
            return DEFAULT_BATCH_LIMIT
        return max(1, self.report.batch_limit)

    def service_s(self, offer: Offer, cached_tokens: int = 0) -> float:
        """Return the server time, in s, that an offer takes."""
        return (
            max(0, offer.prompt_tokens - cached_tokens)
            / self.prefill_tokens_per_s
            + offer.expected_output_tokens / self.decode_tokens_per_s
        )

    def record_report(self, report: LoadReport, now_s: float) -> bool:
        """Record a report; return False if a newer one is known."""
        reported_s = now_s - report.age_s
        if self.report is not None:
            if (
                report.incarnation == self.report.incarnation
                and reported_s < self.reported_s
            ):
                return False
            if report.incarnation != self.report.incarnation:
                self.inter_token_s = None
                self.consecutive_failures = 0
        self.report = report
        self.reported_s = reported_s
        return True

    def record_result(
        self, offer: Offer, result: OfferResult, now_s: float
    ) -> None:
        """Update the speed from a finished offer and count failures."""
        self.outstanding.pop(offer.request_id, None)
        if result.status in (OfferStatus.FAILED, OfferStatus.BROKEN):
            self.consecutive_failures += 1
            return
        if result.status is not OfferStatus.FINISHED:
            return
        self.consecutive_failures = 0
        if result.first_token_s is None or result.output_tokens < 2:
            return
        inter_token_s = (result.duration_s - result.first_token_s) / (
            result.output_tokens - 1
        )
        if self.inter_token_s is None:
            self.inter_token_s = inter_token_s
        self.inter_token_s += SPEED_SMOOTHING_FACTOR * (
            inter_token_s - self.inter_token_s
        )

    def report_weight(self, now_s: float) -> float:
        """Return the weight of the report by its age, from 0 to 1."""
        if self.report is None:
            return 0.0
        age_s = max(0.0, now_s - self.reported_s)
        return math.exp(-age_s / REPORT_TIME_CONSTANT_S)

    def reported_wait_s(self) -> float:
        """Return the reported wait of a new request in seconds."""
        if self.report is None:
            return 0.0
        return self.report.queued_work_s

    def occupancy(self, now_s: float) -> float:
        """Return the ratio of requests to the batch limit.

        It counts the reported ones and those sent since the report.
        """
        if self.report is None:
            return len(self.outstanding) / self.batch_limit
        sent_since_report = sum(
            1
            for sent in self.outstanding.values()
            if sent.sent_s > self.reported_s
        )
        reported = self.report.running + self.report.queued
        return (reported + sent_since_report) / self.batch_limit

    def unreported_work_s(self, now_s: float) -> tuple[float, float]:
        """Return the service and prefill time that the report lacks.

        Both are in seconds. Offers sent since the report count in full, older
        ones in proportion to the weight that the report has lost. The prefill
        time excludes offers whose first token was expected by now.
        """
        stale_weight = 1.0 - self.report_weight(now_s)
        service_s = 0.0
        prefill_s = 0.0
        for sent in self.outstanding.values():
            weight = 1.0 if sent.sent_s > self.reported_s else stale_weight
            service_s += weight * sent.service_s
            if now_s - sent.sent_s < sent.expected_first_token_s:
                prefill_s += weight * sent.prefill_s
        return service_s, prefill_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the first token of an outstanding offer is overdue.

        An offer sent before the last report doesn't count, because the report
        shows that the server works.
        """
        return any(
            sent.sent_s >= self.reported_s
            and now_s - sent.sent_s
            > OVERDUE_FACTOR * sent.expected_first_token_s
            + OVERDUE_ALLOWANCE_S
            for sent in self.outstanding.values()
        )

    def worst_inter_token_s(self) -> float | None:
        """Return the longer of the measured and reported inter-token time."""
        reported_s = None
        if self.report is not None and self.report.decode_tokens_per_s > 0.0:
            reported_s = self.batch_limit / self.report.decode_tokens_per_s
        if self.inter_token_s is None:
            return reported_s
        return max(self.inter_token_s, reported_s or 0.0)


def pool_means(estimates: Iterable[ServerEstimate]) -> tuple[float, float]:
    """Return the mean reported wait, in seconds, and the mean occupancy.

    They replace a server's own values as its report ages.
    """
    reports = [item.report for item in estimates if item.report is not None]
    if not reports:
        return 0.0, 0.0
    wait_s = sum(report.queued_work_s for report in reports) / len(reports)
    occupancy = sum(
        (report.running + report.queued) / max(1, report.batch_limit)
        for report in reports
    ) / len(reports)
    return wait_s, occupancy


@dataclass(frozen=True, kw_only=True, slots=True)
class CostEstimate:
    """Components of the cost of sending an offer to a server."""

    wait_s: float
    prefill_s: float
    decode_s: float
    staleness_penalty_s: float

    @property
    def first_token_s(self) -> float:
        """Return the expected time until the first token."""
        return self.wait_s + self.prefill_s


def estimate_cost(
    estimate: ServerEstimate,
    offer: Offer,
    *,
    cached_tokens: int,
    mean_wait_s: float,
    mean_occupancy: float,
    now_s: float,
) -> CostEstimate:
    """Return the expected cost of sending an offer to a server."""
    weight = estimate.report_weight(now_s)
    unreported_service_s, unreported_prefill_s = estimate.unreported_work_s(
        now_s
    )
    wait_s = mean_wait_s + weight * (estimate.reported_wait_s() - mean_wait_s)
    occupancy = estimate.occupancy(now_s)
    if estimate.report is not None:
        reported_occupancy = (
            estimate.report.running + estimate.report.queued
        ) / estimate.batch_limit
        occupancy += (1.0 - weight) * (mean_occupancy - reported_occupancy)
    if occupancy >= 1.0:
        # The batch is full, so the work missing in the report is queued.
        wait_s += unreported_service_s
    else:
        wait_s += unreported_prefill_s
    prefill_s = (
        max(0.0, offer.prompt_tokens - cached_tokens)
        / estimate.prefill_tokens_per_s
    )
    # The request's own decode time at the expected batch size: with an idle
    # engine 0.4 of the time with a full batch.
    decode_s = (
        offer.expected_output_tokens
        * estimate.batch_limit
        / estimate.decode_tokens_per_s
        * (0.4 + 0.6 * min(1.0, max(0.0, occupancy)))
    )
    age_s = max(0.0, now_s - estimate.reported_s)
    staleness_penalty_s = min(
        MAX_STALENESS_PENALTY_S, STALENESS_PENALTY_RATIO * age_s
    )
    return CostEstimate(
        wait_s=wait_s,
        prefill_s=prefill_s,
        decode_s=decode_s,
        staleness_penalty_s=staleness_penalty_s,
    )
