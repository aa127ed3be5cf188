"""Rate limits of customers, shared by all entry instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota

# Fraction of the tolerated overrun that is added to each bucket. The rest
# covers instances that have just started and usage that is reported late.
SHARED_OVERRUN_FRACTION = 0.5
# Shortest time between the end of a process and its next start. Quotas refill
# for at least this long while all instances are down.
RESTART_CREDIT_S = 1.0
# An instance that has run for this long relies on its own levels; a younger
# one adopts those of its peers.
SETTLED_AFTER_S = 3.0
# Levels are adopted from instances that are older by at least this. Those that
# start together each count from the initial level.
MIN_AGE_DIFFERENCE_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaTolerance:
    """Overrun of a quota that all instances together may cause.

    In each window, usage may exceed the quota by the fraction overage of it,
    and by allowance tokens more if the quota counts tokens.
    """

    window_s: float = 8.0
    overage: float = 0.0
    allowance: float = 0.0


@dataclass(slots=True)
class _Bucket:
    """Bucket of all instances together, as this one counts it.

    The tokens of the bucket are model tokens or requests. steady_tokens are
    those of a second bucket, which has no burst but refills faster. used is
    what this instance has taken since its start.
    """

    tokens: float
    steady_tokens: float
    updated_s: float
    capacity: float
    used: float = 0.0

    def take(self, amount: float) -> None:
        """Take an amount from both buckets; a negative one is given back."""
        self.tokens = min(self.capacity, self.tokens - amount)
        self.steady_tokens -= amount


class QuotaLimiter:
    """Token bucket per customer that all instances share.

    Each instance subtracts what its peers report as used. fraction returns
    the fraction of the quotas that no silent peer may be using; the rest of a
    bucket and of its rate is left to the silent ones. The capacity of a
    bucket is the burst and a part of the tolerated overrun.

    A quota allows its rate and its whole burst in each window, and a customer
    may use them evenly. A second bucket refills by the rate and a window's
    part of the burst. A request is accepted if one of the buckets has room,
    and is taken from both; then neither the rate with the burst nor the sum
    over a window is exceeded by more than the tolerated overrun. The second
    bucket isn't used while a part of the usage is unknown, because a peer is
    silent or this instance has just started.

    What was used before the start at started_s isn't known. A bucket starts
    with a credit: what the quota gains while all instances are down, and the
    rest of the tolerated overrun. Its level is then replaced by that of a
    peer that has been running for longer.
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
        """Charge a request's cost; return None, or seconds until it fits."""
        if customer.rate_per_s <= 0:
            return None
        bucket = self._refill(customer, now_s)
        fraction = self._fraction(now_s)
        # A request larger than the bucket is accepted when the bucket is full.
        needed = min(cost, bucket.capacity * fraction)
        missing = needed + (1 - fraction) * bucket.capacity - bucket.tokens
        rate_per_s = customer.rate_per_s * fraction
        if self._knows_usage(now_s) and bucket.steady_tokens >= needed:
            missing = 0.0
        if missing <= 0:
            bucket.take(cost)
            bucket.used += cost
            return None
        return missing / rate_per_s if rate_per_s > 0 else inf

    def refund(self, customer: CustomerQuota, cost: float) -> None:
        """Refund the cost of a request that hasn't run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.take(-cost)
            bucket.used -= cost

    def used(self) -> dict[str, float]:
        """Return what this instance has used since its start, by customer."""
        return {
            name: bucket.used
            for name, bucket in self._buckets.items()
            if bucket.used
        }

    def is_settled(self, now_s: float) -> bool:
        """Return whether this instance relies on its own levels."""
        return self.age_s(now_s) >= SETTLED_AFTER_S

    def age_s(self, now_s: float) -> float:
        """Return the time since the start."""
        return now_s - self._started_s

    def levels(
        self, customers: Mapping[str, CustomerQuota], now_s: float
    ) -> dict[str, float]:
        """Return the tokens that are left by customer, as counted here."""
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
        """Adopt the levels of an older peer until this instance is settled."""
        if (
            self.is_settled(now_s)
            or peer_age_s < self.age_s(now_s) + MIN_AGE_DIFFERENCE_S
        ):
            return
        for name, level in levels.items():
            customer = customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                bucket = self._refill(customer, now_s)
                bucket.tokens = level
                bucket.steady_tokens = min(bucket.steady_tokens, level)

    def apply_peer_usage(
        self,
        customers: Mapping[str, CustomerQuota],
        previously_used: Mapping[str, float],
        now_used: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Subtract what a peer has used between two of its reports."""
        for name, used in now_used.items():
            customer = customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                bucket = self._refill(customer, now_s)
                bucket.take(used - previously_used.get(name, 0.0))

    def _overrun(self, customer: CustomerQuota) -> float:
        tolerance = self.tolerance
        overrun = tolerance.overage * (
            customer.rate_per_s * tolerance.window_s + customer.burst
        )
        if customer.counts_tokens:
            overrun += tolerance.allowance
        return overrun

    def _knows_usage(self, now_s: float) -> bool:
        """Return whether the usage within the last window is known."""
        return (
            self._fraction(now_s) >= 1
            and self.age_s(now_s) >= self.tolerance.window_s
        )

    def _refill(self, customer: CustomerQuota, now_s: float) -> _Bucket:
        overrun = SHARED_OVERRUN_FRACTION * self._overrun(customer)
        capacity = customer.burst + overrun
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            credit = customer.rate_per_s * RESTART_CREDIT_S
            rest = (1 - SHARED_OVERRUN_FRACTION) * self._overrun(customer)
            bucket = _Bucket(
                tokens=credit + rest,
                steady_tokens=0.0,
                updated_s=self._started_s,
                capacity=capacity,
            )
            self._buckets[customer.name] = bucket
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        rate_per_s = customer.rate_per_s * self._fraction(now_s)
        bucket.tokens = min(capacity, bucket.tokens + elapsed_s * rate_per_s)
        steady_per_s = rate_per_s
        if self._knows_usage(now_s):
            steady_per_s += customer.burst / self.tolerance.window_s
        bucket.steady_tokens = min(
            overrun, bucket.steady_tokens + elapsed_s * steady_per_s
        )
        bucket.updated_s = now_s
        bucket.capacity = capacity
        return bucket


def request_cost(customer: CustomerQuota, request: CallerRequest) -> float:
    """Return the tokens or requests that a request costs its customer."""
    if not customer.counts_tokens:
        return 1.0
    if request.input_tokens is None:
        return float(customer.default_tokens)
    return float(request.input_tokens + request.output_tokens)
