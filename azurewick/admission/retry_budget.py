"""Limit on repeated offers."""

from __future__ import annotations

from collections import deque
from typing import Final

RETRY_WINDOW_S: Final = 10.0
RETRY_RATIO: Final = 0.1
RETRY_ALLOWANCE: Final = 10
MAX_OFFERS: Final = 3

# Shedding a request of a higher tier stops all lower tiers of the pool for
# the floor's hold time. A few requests in a window that no server can
# answer in time are cheaper to answer late.
LATE_RATIO: Final = 0.05
LATE_ALLOWANCE: Final = 1


class _WindowCount:
    """Count of events in a sliding window, in buckets of a tenth of it."""

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
    """Allow at most 10% more offers than requests over 10 s, plus 10."""

    def __init__(
        self,
        *,
        window_s: float = RETRY_WINDOW_S,
        ratio: float = RETRY_RATIO,
        allowance: float = RETRY_ALLOWANCE,
    ) -> None:
        self.allowance = allowance
        self._ratio = ratio
        self._requests = _WindowCount(window_s)
        self._retries = _WindowCount(window_s)

    def record_request(self, now_s: float) -> None:
        """Record a request's first offer."""
        self._requests.add(now_s)

    def try_retry(self, now_s: float) -> bool:
        """Take one repeated offer from the budget if it has one."""
        limit = self.allowance + self._ratio * self._requests.total(now_s)
        if self._retries.total(now_s) + 1 > limit:
            return False
        self._retries.add(now_s)
        return True


def build_late_budget() -> RetryBudget:
    """Return the budget, for one tier, of requests answered late.

    A gateway offers such a request without a deadline.
    """
    return RetryBudget(ratio=LATE_RATIO, allowance=LATE_ALLOWANCE)
