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
# A report of this age counts about a third; the rest is the pool's mean.
REPORT_TIME_CONSTANT_S: Final = 5.0
# Doubt, in seconds of waiting, that a second of a report's age adds.
DOUBT_PER_S: Final = 0.02
MAX_DOUBT_S: Final = 0.5
SPEED_SMOOTHING: Final = 0.4
# The two hardware generations differ by less than this factor; a server
# slower than the pool's median by more is a straggler.
STRAGGLER_FACTOR: Final = 4.0
# An answer that has not begun after this many times its expected time says
# that the server is slow before any result does.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_ALLOWANCE_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SentOffer:
    """Outstanding offer of this gateway.

    service_s is its share of the server's time and start_s the expected
    time until its first token.
    """

    sent_s: float
    service_s: float
    prefill_s: float
    start_s: float


class ServerEstimate:
    """What a gateway knows of one server, and what it expects of it."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.reported_s = 0.0
        self.sent: dict[str, SentOffer] = {}
        # Measured seconds between tokens, None before the first result.
        self.inter_token_s: float | None = None
        self.failures = 0
        self.probe_after_s = 0.0
        self.probe_delay_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the reported prefill rate, or the default."""
        if self.report is None or self.report.prefill_tokens_per_s <= 0.0:
            return DEFAULT_PREFILL_TOKENS_PER_S
        return self.report.prefill_tokens_per_s

    @property
    def decode_tokens_per_s(self) -> float:
        """Return the reported decode rate of a full batch."""
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
        """Return the share of the server's time that an offer takes."""
        return (
            max(0, offer.prompt_tokens - cached_tokens)
            / self.prefill_tokens_per_s
            + offer.expected_output_tokens / self.decode_tokens_per_s
        )

    def record_report(self, report: LoadReport, now_s: float) -> bool:
        """Record a report unless a newer one is known."""
        reported_s = now_s - report.age_s
        if self.report is not None:
            if (
                report.incarnation == self.report.incarnation
                and reported_s < self.reported_s
            ):
                return False
            if report.incarnation != self.report.incarnation:
                self.inter_token_s = None
                self.failures = 0
        self.report = report
        self.reported_s = reported_s
        return True

    def record_result(
        self, offer: Offer, result: OfferResult, now_s: float
    ) -> None:
        """Learn the speed from a finished offer, and count failures."""
        self.sent.pop(offer.request_id, None)
        if result.status in (OfferStatus.FAILED, OfferStatus.BROKEN):
            self.failures += 1
            return
        if result.status is not OfferStatus.FINISHED:
            return
        self.failures = 0
        if result.first_token_s is None or result.output_tokens < 2:
            return
        inter_token_s = (result.duration_s - result.first_token_s) / (
            result.output_tokens - 1
        )
        if self.inter_token_s is None:
            self.inter_token_s = inter_token_s
        self.inter_token_s += SPEED_SMOOTHING * (
            inter_token_s - self.inter_token_s
        )

    def report_weight(self, now_s: float) -> float:
        """Return how much the report still counts, from 0 to 1."""
        if self.report is None:
            return 0.0
        age_s = max(0.0, now_s - self.reported_s)
        return math.exp(-age_s / REPORT_TIME_CONSTANT_S)

    def reported_wait_s(self) -> float:
        """Return the wait of a new request by the report alone."""
        if self.report is None:
            return 0.0
        return self.report.queued_work_s

    def occupancy(self, now_s: float) -> float:
        """Return running, queued and newly sent over the batch limit."""
        if self.report is None:
            return len(self.sent) / self.batch_limit
        since = sum(
            1 for sent in self.sent.values() if sent.sent_s > self.reported_s
        )
        known = self.report.running + self.report.queued
        return (known + since) / self.batch_limit

    def own_work_s(self, now_s: float) -> tuple[float, float]:
        """Return the service and prefill seconds sent since the report.

        Older offers count as far as the report no longer does.
        """
        forgotten = 1.0 - self.report_weight(now_s)
        service_s = 0.0
        prefill_s = 0.0
        for sent in self.sent.values():
            weight = 1.0 if sent.sent_s > self.reported_s else forgotten
            service_s += weight * sent.service_s
            if now_s - sent.sent_s < sent.start_s:
                prefill_s += weight * sent.prefill_s
        return service_s, prefill_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether an answer that should have begun has not.

        A report made after the offer was sent shows that the server works.
        """
        return any(
            sent.sent_s >= self.reported_s
            and now_s - sent.sent_s
            > OVERDUE_FACTOR * sent.start_s + OVERDUE_ALLOWANCE_S
            for sent in self.sent.values()
        )

    def per_token_s(self) -> float | None:
        """Return the slower of the measured and the reported token time."""
        reported_s = None
        if self.report is not None and self.report.decode_tokens_per_s > 0.0:
            reported_s = self.batch_limit / self.report.decode_tokens_per_s
        if self.inter_token_s is None:
            return reported_s
        return max(self.inter_token_s, reported_s or 0.0)


def pool_means(estimates: Iterable[ServerEstimate]) -> tuple[float, float]:
    """Return the mean reported wait, in seconds, and the mean occupancy.

    They stand in for what an old report no longer tells.
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
    """Parts of the cost of a choice, in seconds."""

    wait_s: float
    prefill_s: float
    decode_s: float
    doubt_s: float

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
    own_service_s, own_prefill_s = estimate.own_work_s(now_s)
    wait_s = mean_wait_s + weight * (estimate.reported_wait_s() - mean_wait_s)
    occupancy = estimate.occupancy(now_s)
    if estimate.report is not None:
        known = (
            estimate.report.running + estimate.report.queued
        ) / estimate.batch_limit
        occupancy += (1.0 - weight) * (mean_occupancy - known)
    if occupancy >= 1.0:
        # A full batch: the work sent since the report has to be queued.
        wait_s += own_service_s
    else:
        wait_s += own_prefill_s
    prefill_s = (
        max(0.0, offer.prompt_tokens - cached_tokens)
        / estimate.prefill_tokens_per_s
    )
    # A request's own decode time, at the batch size that is expected.
    decode_s = (
        offer.expected_output_tokens
        * estimate.batch_limit
        / estimate.decode_tokens_per_s
        * (0.4 + 0.6 * min(1.0, max(0.0, occupancy)))
    )
    age_s = max(0.0, now_s - estimate.reported_s)
    doubt_s = min(MAX_DOUBT_S, DOUBT_PER_S * age_s)
    return CostEstimate(
        wait_s=wait_s,
        prefill_s=prefill_s,
        decode_s=decode_s,
        doubt_s=doubt_s,
    )
