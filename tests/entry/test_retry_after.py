"""Tests of the time after which refused callers return."""

from __future__ import annotations

from math import inf
from random import Random
from unittest import TestCase

from azurewick.entry.retry_after import LONGEST_S
from azurewick.entry.retry_after import LONGEST_SHARE
from azurewick.entry.retry_after import spread_retry_s

CALLERS = 500


def spread(wait_s: float, deadline_s: float | None) -> list[float]:
    random = Random(1)
    return sorted(
        spread_retry_s(wait_s, deadline_s, random) for _ in range(CALLERS)
    )


class RetryAfterTest(TestCase):
    """Guards against refused callers that return together."""

    def assert_spread(self, delays, span_s):
        """No quarter of the span gets half of the callers."""
        for start in range(CALLERS // 2):
            covered_s = delays[start + CALLERS // 2] - delays[start]
            self.assertGreater(covered_s, 0.25 * span_s)

    def test_callers_return_after_the_wait_and_apart(self):
        delays = spread(1.0, 15.0)
        self.assertGreaterEqual(delays[0], 1.0)
        self.assert_spread(delays, 0.6)

    def test_long_wait_is_cut_to_what_callers_honour_and_still_apart(self):
        for wait_s in (4.0, inf):
            with self.subTest(wait_s):
                delays = spread(wait_s, 6.0)
                self.assertLessEqual(delays[-1], 6.0 * LONGEST_SHARE)
                self.assert_spread(delays, 3.0 * LONGEST_SHARE)

    def test_caller_without_a_time_limit(self):
        self.assertLessEqual(spread(inf, None)[-1], LONGEST_S)
