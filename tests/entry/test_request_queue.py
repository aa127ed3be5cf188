"""Tests of the queue order, the predicted wait and Retry-After."""

from __future__ import annotations

from math import inf
from random import Random
from unittest import TestCase

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.entry.retry_after import jittered_retry_after_s
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_demand


def build_waiter(name: str, arrived_s: float = 0.0, **changes) -> Waiter[str]:
    demand = build_demand(**changes)
    return Waiter(
        payload=name,
        demand=demand,
        urgency=demand.urgency(0.0),
        arrived_s=arrived_s,
    )


class RequestQueueTest(TestCase):
    """Guards against urgent or short requests waiting behind long ones."""

    def order(self, *waiters):
        queue = RequestQueue()
        for waiter in waiters:
            queue.add(waiter)
        return [waiter.payload for waiter in queue.in_order()]

    def test_highest_value_per_work_goes_first(self):
        short = WorkEstimate(first_token_s=0.07, total_s=0.1)
        self.assertEqual(
            ["quote", "tag", "answer"],
            self.order(
                build_waiter("answer", rank=(0, 1)),
                build_waiter("tag", rank=(0, 2), work=short),
                build_waiter("quote", rank=(0, 0)),
            ),
        )

    def test_equally_urgent_requests_keep_arrival_order(self):
        self.assertEqual(
            ["first", "second"],
            self.order(
                build_waiter("second", arrived_s=2.0),
                build_waiter("first", arrived_s=1.0),
            ),
        )

    def test_late_requests_go_last_and_caller_retries_before_them(self):
        self.assertEqual(
            ["on time", "returned", "late"],
            self.order(
                build_waiter("late", target_s=-1.0),
                build_waiter("returned", target_s=-1.0, is_caller_retry=True),
                build_waiter("on time"),
            ),
        )

    def test_work_ahead_excludes_less_urgent_requests(self):
        queue = RequestQueue()
        queue.add(build_waiter("quote", rank=(0, 0)))
        queue.add(build_waiter("answer", rank=(0, 1)))
        urgency = build_demand(rank=(0, 1)).urgency(0.0)
        self.assertAlmostEqual(2.0, queue.work_ahead_s(urgency))
        urgency = build_demand(rank=(0, 0)).urgency(0.0)
        self.assertAlmostEqual(1.0, queue.work_ahead_s(urgency))


class AdmissionTest(TestCase):
    """Guards against requests that wait although they will miss the target.

    A predicted wait that is too short admits them to the queue.
    """

    def test_empty_queue_has_no_wait(self):
        self.assertEqual(0.0, predict_wait_s(0.0, 5.0, 10.0))

    def test_wait_grows_with_more_urgent_arrivals(self):
        self.assertAlmostEqual(1.0, predict_wait_s(5.0, 5.0, 0.0))
        self.assertAlmostEqual(5.0, predict_wait_s(5.0, 5.0, 4.0))
        self.assertEqual(inf, predict_wait_s(5.0, 5.0, 5.0))

    def test_arrival_rates_decay(self):
        rates = ArrivalRates()
        rates.add(8.0, 3.0, 0.0)
        self.assertAlmostEqual(2.0, rates.more_urgent_per_s(1.0, 0.0))
        self.assertEqual(0.0, rates.more_urgent_per_s(8.0, 0.0))
        self.assertLess(rates.more_urgent_per_s(1.0, 10.0), 0.01)


class RetryAfterTest(TestCase):
    """Guards against refused callers that all retry at the same time."""

    def test_retry_after_is_spread_within_a_third_of_the_deadline(self):
        random = Random(1)
        times = [jittered_retry_after_s(inf, 15.0, random) for _ in range(200)]
        self.assertLessEqual(max(times), 5.0)
        self.assertGreater(max(times) - min(times), 2.0)

    def test_short_wait_gives_a_short_retry_after(self):
        self.assertLess(jittered_retry_after_s(0.3, 15.0, Random(1)), 0.5)
