"""Quota of each customer over all entry instances."""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_s: float
    rate_per_s: float
    burst: float


class QuotaLimiter:
    """Token bucket a customer for this instance's share of the quota.

    share is the part of the quota that this instance may use, between 0
    and 1.
    """

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
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

    def _refill(self, customer: CustomerQuota, now_s: float) -> _Bucket:
        rate_per_s = customer.rate_per_s * self.share
        burst = max(customer.burst, customer.rate_per_s) * self.share
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
