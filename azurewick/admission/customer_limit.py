"""Rate limit of each customer."""

from __future__ import annotations

from azurewick.models import Customer


class CustomerLimiter:
    """Token bucket for each customer, by the customer's configuration."""

    def __init__(self) -> None:
        # Tokens and the time at which they were counted.
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, customer: Customer, now_s: float) -> float | None:
        """Take a token; return None, or the time until one is there."""
        burst = max(1.0, customer.burst_requests)
        tokens, counted_s = self._buckets.get(customer.name, (burst, now_s))
        elapsed_s = max(0.0, now_s - counted_s)
        tokens = min(burst, tokens + elapsed_s * customer.rate_limit_per_s)
        if tokens >= 1.0:
            self._buckets[customer.name] = (tokens - 1.0, now_s)
            return None
        self._buckets[customer.name] = (tokens, now_s)
        return (1.0 - tokens) / max(customer.rate_limit_per_s, 1e-6)
