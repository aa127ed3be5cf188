"""Request rate limit of each customer."""

from __future__ import annotations

from azurewick.models import Customer


class CustomerLimiter:
    """Token bucket for each customer, with its configured rate and burst."""

    def __init__(self) -> None:
        # Customer name to the tokens left and the time of that count.
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, customer: Customer, now_s: float) -> float | None:
        """Take a token; return None, or the seconds until one is available."""
        burst = max(1.0, customer.burst_requests)
        tokens, updated_s = self._buckets.get(customer.name, (burst, now_s))
        elapsed_s = max(0.0, now_s - updated_s)
        tokens = min(burst, tokens + elapsed_s * customer.rate_limit_per_s)
        if tokens >= 1.0:
            self._buckets[customer.name] = (tokens - 1.0, now_s)
            return None
        self._buckets[customer.name] = (tokens, now_s)
        return (1.0 - tokens) / max(customer.rate_limit_per_s, 1e-6)
