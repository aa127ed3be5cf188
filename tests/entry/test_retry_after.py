"""Tests of the Retry-After of refused requests."""

from __future__ import annotations

from math import inf
from random import Random
from unittest import TestCase

from azurewick.entry.retry_after import jittered_retry_after_s
from azurewick.entry.retry_after import MAX_DEADLINE_SHARE
from azurewick.entry.retry_after import MAX_RETRY_AFTER_S

CALLERS = 500


def retry_delays_s(wait_s: float, deadline_s: float | None) -> list[float]:
    random = Random(1)
    return sorted(
        jittered_retry_after_s(wait_s, deadline_s, random)
        for _ in range(CALLERS)
    )


class RetryAfterTest(TestCase):
    """Guards against refused callers that retry at the same time.

    Without jitter, or with all values at the maximum, they would overload
    the servers again.
    """

    def assert_spread(self, delays, span_s):
        """Check that no quarter of the span holds half of the delays."""
        for start in range(CALLERS // 2):
            covered_s = delays[start + CALLERS // 2] - delays[start]
            self.assertGreater(covered_s, 0.25 * span_s)

    def test_retry_after_is_at_least_the_wait_and_spread(self):
        delays = retry_delays_s(1.0, 15.0)
        self.assertGreaterEqual(delays[0], 1.0)
        self.assert_spread(delays, 0.6)

    def test_long_wait_is_capped_and_still_spread(self):
        for wait_s in (4.0, inf):
            with self.subTest(wait_s):
                delays = retry_delays_s(wait_s, 6.0)
                self.assertLessEqual(delays[-1], 6.0 * MAX_DEADLINE_SHARE)
                self.assert_spread(delays, 3.0 * MAX_DEADLINE_SHARE)

    def test_caller_without_a_deadline_gets_the_default_maximum(self):
        self.assertLessEqual(retry_delays_s(inf, None)[-1], MAX_RETRY_AFTER_S)
