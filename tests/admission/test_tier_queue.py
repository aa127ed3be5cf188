"""Tests of the agent's queue."""

from __future__ import annotations

import unittest

from azurewick.admission.models import QueuedRequest
from azurewick.admission.tier_queue import TierQueue
from azurewick.errors import ErrorCode


def build_item(
    name: str,
    tier: int = 0,
    customer: str = "a",
    *,
    deadline_s: float | None = None,
    time_to_target_s: float = 0.0,
    cost_s: float = 1.0,
) -> QueuedRequest:
    return QueuedRequest(
        request_id=name,
        customer=customer,
        request_class="quick",
        tier=tier,
        deadline_s=deadline_s,
        time_to_target_s=time_to_target_s,
        cost_s=cost_s,
    )


def take_all(queue: TierQueue, floor: int = 9, now_s: float = 0.0) -> list:
    taken = []
    while (item := queue.take(floor, now_s).item) is not None:
        taken.append(item.request_id)
    return taken


class TierQueueTest(unittest.TestCase):
    """Order, deadlines, displacement and removal."""

    def test_tier_order_and_fair_shares(self) -> None:
        """Guards against lower tiers or busy customers that delay others."""
        large = [build_item(f"l{i}", customer="large") for i in range(4)]
        cases = {
            "tiers": (
                [build_item("x", 2), build_item("y", 0), build_item("z", 1)],
                ["y", "z", "x"],
            ),
            "fair share": (
                [*large, build_item("s0", customer="small")],
                ["l0", "s0", "l1", "l2", "l3"],
            ),
            "share by cost": (
                [
                    build_item("b0", customer="b", cost_s=4.0),
                    build_item("b1", customer="b", cost_s=4.0),
                    *[build_item(f"c{i}", customer="c") for i in range(4)],
                ],
                ["b0", "c0", "c1", "c2", "c3", "b1"],
            ),
        }
        for name, (items, expected) in cases.items():
            with self.subTest(name):
                queue = TierQueue()
                for item in items:
                    self.assertTrue(queue.offer(item, 0.0).accepted)
                self.assertEqual(expected, take_all(queue))

    def test_deadlines(self) -> None:
        """Guards against prefills for requests that will miss their target."""
        queue = TierQueue()
        for name, deadline_s in (("old", 5.0), ("new", 9.0)):
            item = build_item(
                name, deadline_s=deadline_s, time_to_target_s=1.0
            )
            queue.offer(item, 0.0)
        decision = queue.take(9, 6.0)
        self.assertEqual("new", decision.item.request_id)
        self.assertEqual(["old"], [i.request_id for i in decision.expired])
        loaded = TierQueue()
        for index in range(3):
            loaded.offer(build_item(f"q{index}"), 0.0)
        late = build_item("late", deadline_s=3.0, time_to_target_s=0.5)
        decision = loaded.offer(late, 0.0)
        self.assertEqual(ErrorCode.TARGET_UNREACHABLE, decision.reason)
        self.assertAlmostEqual(0.5, decision.retry_after_s)
        small = build_item(
            "s", customer="b", deadline_s=3.0, time_to_target_s=0.5
        )
        self.assertTrue(loaded.offer(small, 0.0).accepted)

    def test_displacement(self) -> None:
        """Guards against refusing a higher tier while lower ones wait."""
        queue = TierQueue(max_queue=2)
        queue.offer(build_item("low1", 2), 0.0)
        queue.offer(build_item("low2", 2, cost_s=2.0), 0.0)
        decision = queue.offer(build_item("same", 2), 0.0)
        self.assertEqual(ErrorCode.OVERLOADED, decision.reason)
        decision = queue.offer(build_item("high", 1), 0.0)
        self.assertTrue(decision.accepted)
        self.assertEqual("low2", decision.displaced[0].request_id)
        self.assertIsNone(queue.take(0, 0.0).item)
        below = queue.displace_below(1)
        self.assertEqual(["low1"], [item.request_id for item in below])
        self.assertEqual(["high"], take_all(queue))
        self.assertEqual((0, 0.0), (len(queue), queue.work_s))

    def test_remove(self) -> None:
        """Guards against a cancelled request being dispatched."""
        queue = TierQueue()
        queue.offer(build_item("a"), 0.0)
        queue.offer(build_item("b"), 0.0)
        self.assertTrue(queue.remove("a"))
        self.assertFalse(queue.remove("a"))
        self.assertEqual(["b"], take_all(queue))
