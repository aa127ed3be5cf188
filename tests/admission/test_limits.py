"""Tests of the admission floor, rate limits and batch limit."""

from __future__ import annotations

import unittest

from azurewick.admission.batch_limit import BatchLimit
from azurewick.admission.customer_limit import CustomerLimiter
from azurewick.admission.floor import AdmissionFloor
from azurewick.admission.floor import FloorRound
from azurewick.admission.retry_budget import RetryBudget
from azurewick.models import Customer


class FloorTest(unittest.TestCase):
    """The admission floor of an agent and its confirmation by a gateway."""

    def test_agent_floor(self) -> None:
        """Guards against dispatch below the floor or without a permit."""
        floor = AdmissionFloor()
        self.assertEqual(0, floor.current(0.0))
        floor.record_contact(0.0)
        floor.set_floor(1, 5.0, 1.0)
        floor.set_floor(2, 5.0, 4.0)
        floor.set_floor(1, 1.0, 4.0)
        for now_s, expected in ((0.5, 1), (6.0, 1), (6.5, 2), (9.1, 0)):
            with self.subTest(now_s=now_s):
                self.assertEqual(expected, floor.current(now_s))
        floor.record_contact(10.0)
        self.assertEqual(9, floor.current(10.0))

    def test_floor_round(self) -> None:
        """Guards against shedding while an agent may dispatch lower tiers.

        An agent may do so until it acknowledges the floor or, if unreachable,
        until its permit expires, and again after its floor expires.
        """
        first = FloorRound(("a", "b"), floor_tier=1, started_s=0.0)
        first.record_ack("a", 0.1)
        self.assertFalse(first.is_confirmed(0.2))
        first.record_unreachable("b", 0.3)
        self.assertFalse(first.is_confirmed(3.0))
        second = FloorRound(
            ("a", "b"),
            floor_tier=1,
            started_s=4.0,
            unreachable_since_s=first.unreachable_since_s,
        )
        second.record_ack("a", 4.1)
        self.assertFalse(second.is_confirmed(5.2))
        self.assertTrue(second.is_confirmed(5.4))
        # The agents' floors expire at 9.0, one second after this.
        self.assertFalse(second.is_confirmed(8.1))


class LimitsTest(unittest.TestCase):
    """Rate limit of a customer, retry budget and batch limit."""

    def test_customer_limiter(self) -> None:
        """Guards against customers that exceed their configured rate."""
        customer = Customer(
            name="c",
            key_hashes=frozenset(),
            classes=frozenset(),
            rate_limit_per_s=2.0,
            burst_requests=2.0,
        )
        limiter = CustomerLimiter()
        waits = [limiter.take(customer, t) for t in (0.0, 0.0, 0.0, 0.5)]
        self.assertEqual([None, None, 0.5, None], waits)

    def test_retry_budget(self) -> None:
        """Guards against retries that multiply an overload."""
        budget = RetryBudget()
        for _ in range(100):
            budget.record_request(0.0)
        granted = sum(budget.try_retry(1.0) for _ in range(100))
        self.assertEqual(20, granted)
        self.assertTrue(budget.try_retry(12.0))

    def test_batch_limit(self) -> None:
        """Guards against a batch limit that misses the inter-token target.

        The limit must converge to a step time close below the target.
        """
        cases = ((0.02, 0.0005, 0.079), (0.03, 0.002, 0.079))
        for base_s, slope_s, target_s in cases:
            with self.subTest(base_s=base_s):
                limit = BatchLimit(initial=8, maximum=256)
                now_s = 0.0
                for _ in range(4000):
                    step_s = base_s + slope_s * limit.limit
                    now_s += step_s
                    limit.record_step(limit.limit, step_s, target_s, now_s)
                step_s = base_s + slope_s * limit.limit
                self.assertLessEqual(step_s, 1.02 * target_s)
                self.assertGreaterEqual(step_s, 0.8 * target_s)
