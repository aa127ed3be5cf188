"""Tests of the call budget, the retry allowance and the backoff."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from azurewick.store.budget import Backoff
from azurewick.store.budget import CallBudget
from azurewick.store.budget import RetryAllowance


class BudgetTest(TestCase):
    """Guards the store against more calls than its rates allow."""

    def test_calls_stay_within_rate_and_burst(self):
        budget = CallBudget(5.0, 20.0)
        granted = sum(
            budget.reserve(step * 0.01, 0.0) >= 0 for step in range(1001)
        )
        self.assertEqual(20 + 50, granted)

    def test_retries_add_a_tenth(self):
        allowance = RetryAllowance()
        retries = 0
        for _ in range(1000):
            allowance.record_call()
            retries += allowance.try_retry()
        self.assertLessEqual(retries, 10 + 100)
        self.assertGreater(retries, 100)

    def test_backoff_grows_is_bounded_and_obeys_the_store(self):
        backoff = Backoff(Random(1), initial_s=1.0, maximum_s=8.0)
        waits = [backoff.next_wait_s() for _ in range(200)]
        self.assertLessEqual(waits[0], 1.0)
        self.assertGreater(max(waits), 6.0)
        self.assertLessEqual(max(waits), 8.0)
        self.assertEqual(60.0, backoff.next_wait_s(60.0))
        backoff.reset()
        self.assertLessEqual(backoff.next_wait_s(), 1.0)
