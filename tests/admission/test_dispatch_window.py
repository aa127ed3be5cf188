"""Tests of the dispatch window."""

from __future__ import annotations

import unittest

from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.admission.dispatch_window import remaining_prefill_s


class DispatchWindowTest(unittest.TestCase):
    """Limits on the requests that an agent hands to its engine."""

    def test_is_open_and_reserved_slots(self) -> None:
        """Guards against requests that queue in the engine.

        The engine ignores tiers, so a queued lower tier would delay a higher
        one. The last slots of a batch take only the highest tier.
        """
        window = DispatchWindow()
        for running, prefilling, expected in (
            (3, 0, True),
            (3, 1, False),
            (10, 0, False),
        ):
            with self.subTest(running=running, prefilling=prefilling):
                self.assertEqual(
                    expected, window.is_open(running, prefilling, 10)
                )
        self.assertEqual(2, window.lowest_dispatchable_tier(8, 10, 2))
        self.assertEqual(0, window.lowest_dispatchable_tier(9, 10, 2))

    def test_remaining_time_of_overdue_prefill(self) -> None:
        """Guards against expecting an overdue prefill to end at once.

        The queue of a slow server would then accept requests that miss their
        targets.
        """
        self.assertAlmostEqual(0.6, remaining_prefill_s(1.0, 0.4))
        self.assertAlmostEqual(3.0, remaining_prefill_s(1.0, 4.0))
