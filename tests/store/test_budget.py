"""Tests of the rate limit, retry budget and backoff of store calls."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from azurewick.store.budget import Backoff
from azurewick.store.budget import StoreRetryBudget
from azurewick.store.budget import TokenBucket


class BudgetTest(TestCase):
    """Guards against more calls to the store than its limits allow."""

    def test_calls_stay_within_rate_and_burst(self):
        budget = TokenBucket(5.0, 20.0)
        granted = sum(
            budget.reserve(step * 0.01, 0.0) >= 0 for step in range(1001)
        )
        self.assertEqual(20 + 50, granted)

    def test_retries_are_limited_to_a_tenth_of_the_calls(self):
        allowance = StoreRetryBudget()
        retries = 0
        for _ in range(1000):
            allowance.record_call()
            retries += allowance.try_retry()
        self.assertLessEqual(retries, 10 + 100)
        self.assertGreater(retries, 100)

    def test_backoff_grows_to_its_maximum_and_respects_retry_after(self):
        backoff = Backoff(Random(1), initial_s=1.0, maximum_s=8.0)
        waits = [backoff.next_wait_s() for _ in range(200)]
        self.assertLessEqual(waits[0], 1.0)
        self.assertGreater(max(waits), 6.0)
        self.assertLessEqual(max(waits), 8.0)
        self.assertEqual(60.0, backoff.next_wait_s(60.0))
        backoff.reset()
        self.assertLessEqual(backoff.next_wait_s(), 1.0)
