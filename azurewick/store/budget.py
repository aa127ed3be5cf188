"""Rate limit, retry budget and backoff for calls to the store."""

from __future__ import annotations

from random import Random

# Retries may add a tenth to the calls, so that they don't multiply the load on
# the store when it recovers from an outage.
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
DEFAULT_BACKOFF_INITIAL_S = 0.2
DEFAULT_BACKOFF_MAXIMUM_S = 30.0


class TokenBucket:
    """Token bucket that limits a rate and its burst; it starts full."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    def reserve(self, now_s: float, maximum_wait_s: float) -> float:
        """Take one token and return the time to wait before using it.

        If the wait would exceed maximum_wait_s, no token is taken and the
        wait is returned as a negative number.
        """
        if self._updated_s is not None:
            passed_s = max(0.0, now_s - self._updated_s)
            self._tokens = min(
                self._burst, self._tokens + passed_s * self._rate_per_s
            )
        self._updated_s = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate_per_s)
        if wait_s > maximum_wait_s:
            return -wait_s
        self._tokens -= 1.0
        return wait_s


class StoreRetryBudget:
    """Retry budget that all users of a store client share."""

    def __init__(
        self, share: float = RETRY_SHARE, burst: float = RETRY_BURST
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_call(self) -> None:
        """Count one call, which adds its share of a retry to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Take one retry; return False when the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with full jitter for one retry loop."""

    def __init__(
        self,
        random: Random,
        *,
        initial_s: float = DEFAULT_BACKOFF_INITIAL_S,
        maximum_s: float = DEFAULT_BACKOFF_MAXIMUM_S,
    ) -> None:
        self._random = random
        self._initial_s = initial_s
        self._maximum_s = maximum_s
        self._ceiling_s = initial_s

    def reset(self) -> None:
        """Return to the initial wait, after a success."""
        self._ceiling_s = self._initial_s

    def next_wait_s(self, at_least_s: float | None = None) -> float:
        """Return the next wait; at_least_s is the store's Retry-After."""
        wait_s = self._random.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._maximum_s, self._ceiling_s * 2)
        return max(wait_s, at_least_s or 0.0)
