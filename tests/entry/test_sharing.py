"""Plays bursts on engines that many instances share.

Load: all callers return at once, 1.8 times what the engines do, spread
unevenly over twelve instances with reports that are 0.2 s old. Each instance
has less than one slot of each engine for its own.
"""

from __future__ import annotations

from statistics import mean
from unittest import TestCase
from unittest.mock import patch

from tests.entry.sharing_model import Load
from tests.entry.sharing_model import Outcome
from tests.entry.sharing_model import SharingModel

BURST = Load(instances=12, engines=10, duration_s=5.0)
CALM = Load(instances=12, engines=10, load=0.8, duration_s=5.0)
SEEDS = range(3)
# Baseline: every instance borrows each free slot that it sees.
ALL = 1_000_000


def play(load: Load, borrowers: int | None = None) -> list[Outcome]:
    if borrowers is None:
        return [SharingModel(load, seed).play() for seed in SEEDS]
    with patch("azurewick.entry.slot_shares.BORROWERS_PER_SLOT", borrowers):
        return play(load)


def mean_wait_s(outcomes: list[Outcome]) -> float:
    return mean(mean(one.engine_waits_s) for one in outcomes)


class SharingTest(TestCase):
    """Guards against instances that all take the same free slot."""

    def test_burst_waits_in_the_queue_and_not_at_the_engines(self):
        outcomes, baseline = play(BURST), play(BURST, ALL)
        self.assertLess(mean_wait_s(outcomes), 0.75 * mean_wait_s(baseline))
        self.assertGreater(
            mean(one.share for one in outcomes),
            mean(one.share for one in baseline),
        )

    def test_no_instance_starves_in_a_burst(self):
        for outcome in play(BURST):
            for index, asked in outcome.asked_by_instance.items():
                served = outcome.served_by_instance.get(index, 0)
                self.assertGreater(
                    served / asked,
                    0.25
                    * outcome.served
                    / sum(outcome.asked_by_instance.values()),
                )

    def test_calm_load_is_served_in_time(self):
        for outcome in play(CALM):
            self.assertGreater(outcome.share, 0.97)
