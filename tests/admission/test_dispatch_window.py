"""Tests of the dispatch window."""

from __future__ import annotations

import unittest

from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.admission.dispatch_window import remaining_s


class DispatchWindowTest(unittest.TestCase):
    """When an agent may hand a request to its engine."""

    def test_open(self) -> None:
        """Guards against queueing in the engine, which has no priority."""
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
        self.assertEqual(2, window.open_floor(8, 10, 2))
        self.assertEqual(0, window.open_floor(9, 10, 2))

    def test_remaining(self) -> None:
        """Guards against a straggler that seems about to be free."""
        self.assertAlmostEqual(0.6, remaining_s(1.0, 0.4))
        self.assertAlmostEqual(3.0, remaining_s(1.0, 4.0))
