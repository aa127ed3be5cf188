"""Quota of each customer over all entry instances."""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.placement import INITIAL_SHARE


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_s: float
    rate_per_s: float
    burst: float


# Part of the tolerated overrun that instances use together. The rest covers
# instances that have just started and those that count each other late.
OVERRUN_SAFETY = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaTolerance:
    """Overrun of a quota that all instances together may cause.

    In each window, allowance tokens and the share overage of the quota may
    pass beyond it.
    """

    window_s: float = 8.0
    overage: float = 0.0
    allowance: float = 0.0


class QuotaLimiter:
    """Token bucket a customer for this instance's share of the quota.

    share is the part of the quota that this instance may use, between 0
    and 1. The bucket is deeper than the burst by the tolerated overrun:
    single requests are large against a share of the burst, and callers
    spread unevenly over the instances.
    """

    def __init__(
        self, tolerance: QuotaTolerance, share: float = INITIAL_SHARE.fraction
    ) -> None:
        self.share = share
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, customer: CustomerQuota, request: CallerRequest, now_s: float
    ) -> float | None:
        """Take a request's cost; return None, or seconds until it fits."""
        if customer.rate_per_s <= 0:
            return None
        cost = request_cost(customer, request)
        bucket = self._refill(customer, now_s)
        # A request larger than the bucket passes when the bucket is full.
        needed = min(cost, bucket.burst)
        if bucket.tokens >= needed:
            bucket.tokens -= cost
            return None
        return (needed - bucket.tokens) / bucket.rate_per_s

    def give_back(
        self, customer: CustomerQuota, request: CallerRequest
    ) -> None:
        """Return the cost of a request that hasn't run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            cost = request_cost(customer, request)
            bucket.tokens = min(bucket.burst, bucket.tokens + cost)

    def _depth(self, customer: CustomerQuota) -> float:
        tolerance = self._tolerance
        overrun = tolerance.overage * (
            customer.rate_per_s * tolerance.window_s + customer.burst
        )
        if customer.counts_tokens:
            overrun += tolerance.allowance
        return customer.burst + OVERRUN_SAFETY * overrun

    def _refill(self, customer: CustomerQuota, now_s: float) -> _Bucket:
        rate_per_s = customer.rate_per_s * self.share
        burst = self._depth(customer) * self.share
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(burst, now_s, rate_per_s, burst)
            self._buckets[customer.name] = bucket
            return bucket
        passed_s = max(0.0, now_s - bucket.updated_s)
        bucket.tokens = min(burst, bucket.tokens + passed_s * rate_per_s)
        bucket.updated_s = now_s
        bucket.rate_per_s = rate_per_s
        bucket.burst = burst
        return bucket


def request_cost(customer: CustomerQuota, request: CallerRequest) -> float:
    """Return what a request takes from its customer's quota."""
    if not customer.counts_tokens:
        return 1.0
    if request.input_tokens is None:
        return float(customer.default_tokens)
    return float(request.input_tokens + request.output_tokens)
