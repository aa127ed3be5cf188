"""Budgets for repeated offers and for late answers."""

from __future__ import annotations

from collections import deque
from typing import Final

RETRY_WINDOW_S: Final = 10.0
RETRY_RATIO: Final = 0.1
RETRY_ALLOWANCE: Final = 10
# Offers of one request to agents, including the first.
MAX_OFFERS: Final = 3

# Shedding a request of a higher tier stops all lower tiers of the pool until
# the admission floor expires. When only a few requests per window can't be
# answered in time by any server, a late answer costs less.
LATE_ANSWER_RATIO: Final = 0.05
LATE_ANSWER_ALLOWANCE: Final = 1


class _SlidingWindowCounter:
    """Count of events in a sliding window, kept in ten buckets."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._bucket_s = window_s / 10
        self._buckets: deque[list[float]] = deque()
        self._total = 0

    def add(self, now_s: float) -> None:
        self.total(now_s)
        if not self._buckets or (
            now_s - self._buckets[-1][0] >= self._bucket_s
        ):
            self._buckets.append([now_s, 0])
        self._buckets[-1][1] += 1
        self._total += 1

    def total(self, now_s: float) -> int:
        while self._buckets and now_s - self._buckets[0][0] > self._window_s:
            self._total -= int(self._buckets.popleft()[1])
        return self._total


class RetryBudget:
    """Limit on repeated offers per window.

    By default a window of 10 s allows 10 repeated offers plus 10% of the
    requests, which keeps retries from multiplying an overload.
    """

    def __init__(
        self,
        *,
        window_s: float = RETRY_WINDOW_S,
        ratio: float = RETRY_RATIO,
        allowance: float = RETRY_ALLOWANCE,
    ) -> None:
        self.allowance = allowance
        self._ratio = ratio
        self._requests = _SlidingWindowCounter(window_s)
        self._retries = _SlidingWindowCounter(window_s)

    def record_request(self, now_s: float) -> None:
        """Record the first offer of a request."""
        self._requests.add(now_s)

    def try_retry(self, now_s: float) -> bool:
        """Take a repeated offer from the budget; return whether it had one."""
        if not self.has_retry(now_s):
            return False
        self._retries.add(now_s)
        return True

    def has_retry(self, now_s: float) -> bool:
        """Return whether the budget has a repeated offer left."""
        limit = self.allowance + self._ratio * self._requests.total(now_s)
        return self._retries.total(now_s) + 1 <= limit


def build_late_answer_budget() -> RetryBudget:
    """Return a budget for requests of one tier that are answered late.

    A gateway offers such a request without a deadline instead of shedding it.
    """
    return RetryBudget(
        ratio=LATE_ANSWER_RATIO, allowance=LATE_ANSWER_ALLOWANCE
    )
