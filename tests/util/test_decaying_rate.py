"""Tests of the decaying rate."""

from __future__ import annotations

from math import exp
from unittest import TestCase

from azurewick.util.decaying_rate import DecayingRate


class DecayingRateTest(TestCase):
    """Guards against a rate that decays too fast or too slowly."""

    def test_amounts_add_up_and_decay(self):
        rate = DecayingRate(2.0)
        self.assertEqual(0.0, rate.per_s(100.0))
        rate.add(3.0, 100.0)
        rate.add(1.0, 100.0)
        self.assertAlmostEqual(2.0, rate.per_s(100.0))
        self.assertAlmostEqual(2.0 * exp(-1.0), rate.per_s(102.0))

    def test_steady_arrivals_converge_to_their_rate(self):
        rate = DecayingRate(2.0)
        for step in range(2000):
            rate.add(0.05, step * 0.01)
        self.assertAlmostEqual(5.0, rate.per_s(19.99), delta=0.05)

    def test_earlier_time_does_not_increase_the_rate(self):
        rate = DecayingRate(2.0)
        rate.add(4.0, 10.0)
        self.assertAlmostEqual(2.0, rate.per_s(9.0))
