"""Quota of each customer over all entry instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota

# Part of the tolerated overrun that instances use together. The rest covers
# instances that have just started and those that count each other late.
OVERRUN_SAFETY = 0.5
# Shortest time between the end of a process and its next start: what all
# quotas gain while all instances are down.
RESTART_CREDIT_S = 1.5
# An instance that is older than this knows the levels; a younger one takes
# them over.
SETTLED_AFTER_S = 3.0
# Levels are taken over from instances that are older by this. Those that
# start together all count from the credit of a start.
OLDER_BY_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaTolerance:
    """Overrun of a quota that all instances together may cause.

    In each window, allowance tokens and the share overage of the quota may
    pass beyond it.
    """

    window_s: float = 8.0
    overage: float = 0.0
    allowance: float = 0.0


@dataclass(slots=True)
class _Bucket:
    """Tokens of all instances together, as this one counts them.

    used is what this instance has taken since its start.
    """

    tokens: float
    updated_s: float
    depth: float
    used: float = 0.0


class QuotaLimiter:
    """Token bucket a customer, which all instances fill and empty together.

    Each instance counts what the peers report to have taken. fraction is
    the part of the quotas that no silent peer may be using; the rest of a
    bucket and of its rate is left to the silent ones. The bucket is deeper
    than the burst by a part of the tolerated overrun.

    What was used before the start at started_s isn't known. The limiter
    starts with what the quotas have gained while all instances were down
    and with the rest of the overrun, and takes over the levels of a peer
    that has run on.
    """

    def __init__(
        self,
        tolerance: QuotaTolerance,
        fraction: Callable[[float], float],
        started_s: float,
    ) -> None:
        self.tolerance = tolerance
        self._fraction = fraction
        self._started_s = started_s
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, customer: CustomerQuota, cost: float, now_s: float
    ) -> float | None:
        """Take a request's cost; return None, or seconds until it fits."""
        if customer.rate_per_s <= 0:
            return None
        bucket = self._refill(customer, now_s)
        fraction = self._fraction(now_s)
        # A request larger than the bucket passes when the bucket is full.
        needed = min(cost, bucket.depth * fraction)
        missing = needed + (1 - fraction) * bucket.depth - bucket.tokens
        if missing <= 0:
            bucket.tokens -= cost
            bucket.used += cost
            return None
        rate_per_s = customer.rate_per_s * fraction
        return missing / rate_per_s if rate_per_s > 0 else inf

    def give_back(self, customer: CustomerQuota, cost: float) -> None:
        """Return the cost of a request that hasn't run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.tokens = min(bucket.depth, bucket.tokens + cost)
            bucket.used -= cost

    def used(self) -> dict[str, float]:
        """Return what this instance has taken since its start."""
        return {
            name: bucket.used
            for name, bucket in self._buckets.items()
            if bucket.used
        }

    def is_settled(self, now_s: float) -> bool:
        """Return whether this instance knows the levels by itself."""
        return self.age_s(now_s) >= SETTLED_AFTER_S

    def age_s(self, now_s: float) -> float:
        """Return the time since the start."""
        return now_s - self._started_s

    def levels(
        self, customers: Mapping[str, CustomerQuota], now_s: float
    ) -> dict[str, float]:
        """Return what this instance believes to be left."""
        return {
            name: self._refill(customers[name], now_s).tokens
            for name in self._buckets
            if name in customers
        }

    def adopt_levels(
        self,
        customers: Mapping[str, CustomerQuota],
        levels: Mapping[str, float],
        peer_age_s: float,
        now_s: float,
    ) -> None:
        """Take over the levels of an older peer soon after the start."""
        if (
            self.is_settled(now_s)
            or peer_age_s < self.age_s(now_s) + OLDER_BY_S
        ):
            return
        for name, level in levels.items():
            customer = customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                self._refill(customer, now_s).tokens = level

    def take_report(
        self,
        customers: Mapping[str, CustomerQuota],
        before: Mapping[str, float],
        after: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Take what a peer has used between two of its reports."""
        for name, used in after.items():
            customer = customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                bucket = self._refill(customer, now_s)
                bucket.tokens -= used - before.get(name, 0.0)

    def _overrun(self, customer: CustomerQuota) -> float:
        tolerance = self.tolerance
        overrun = tolerance.overage * (
            customer.rate_per_s * tolerance.window_s + customer.burst
        )
        if customer.counts_tokens:
            overrun += tolerance.allowance
        return overrun

    def _refill(self, customer: CustomerQuota, now_s: float) -> _Bucket:
        overrun = self._overrun(customer)
        depth = customer.burst + OVERRUN_SAFETY * overrun
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            gained = customer.rate_per_s * RESTART_CREDIT_S
            bucket = _Bucket(
                gained + (1 - OVERRUN_SAFETY) * overrun, self._started_s, depth
            )
            self._buckets[customer.name] = bucket
        passed_s = max(0.0, now_s - bucket.updated_s)
        rate_per_s = customer.rate_per_s * self._fraction(now_s)
        bucket.tokens = min(depth, bucket.tokens + passed_s * rate_per_s)
        bucket.updated_s = now_s
        bucket.depth = depth
        return bucket


def request_cost(customer: CustomerQuota, request: CallerRequest) -> float:
    """Return what a request takes from its customer's quota."""
    if not customer.counts_tokens:
        return 1.0
    if request.input_tokens is None:
        return float(customer.default_tokens)
    return float(request.input_tokens + request.output_tokens)
