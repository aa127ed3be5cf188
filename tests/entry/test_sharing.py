"""Tests of how many instances share the slots of engines in a burst.

In the burst, all callers return at once and ask for 1.8 times the engines'
capacity, unevenly spread over twelve instances whose reports are up to 0.2 s
old. The share of each instance is less than one slot of each engine.
"""

from __future__ import annotations

from statistics import mean
from unittest import TestCase
from unittest.mock import patch

from tests.entry.sharing_model import Load
from tests.entry.sharing_model import Outcome
from tests.entry.sharing_model import SharingModel

BURST = Load(instances=12, engines=10, duration_s=5.0)
CALM = Load(instances=12, engines=10, load_factor=0.8, duration_s=5.0)
SEEDS = range(3)
# Baseline: every instance borrows each free slot that it sees.
UNLIMITED_BORROWERS = 1_000_000


def run_model(load: Load, borrowers: int | None = None) -> list[Outcome]:
    if borrowers is None:
        return [SharingModel(load, seed).run() for seed in SEEDS]
    with patch("azurewick.entry.slot_shares.BORROWERS_PER_SLOT", borrowers):
        return run_model(load)


def mean_wait_s(outcomes: list[Outcome]) -> float:
    return mean(mean(outcome.engine_waits_s) for outcome in outcomes)


class SlotSharingTest(TestCase):
    """Guards against instances that all use the same free slot.

    Their requests then wait in the engine's queue, where urgent ones can't
    go first.
    """

    def test_burst_waits_in_the_queue_and_not_at_the_engines(self):
        outcomes, baseline = (
            run_model(BURST),
            run_model(BURST, UNLIMITED_BORROWERS),
        )
        self.assertLess(mean_wait_s(outcomes), 0.75 * mean_wait_s(baseline))
        self.assertGreater(
            mean(outcome.earned_share for outcome in outcomes),
            mean(outcome.earned_share for outcome in baseline),
        )

    def test_no_instance_starves_in_a_burst(self):
        for outcome in run_model(BURST):
            for index, arrivals in outcome.arrivals_by_instance.items():
                served = outcome.served_by_instance.get(index, 0)
                self.assertGreater(
                    served / arrivals,
                    0.25
                    * outcome.served
                    / sum(outcome.arrivals_by_instance.values()),
                )

    def test_calm_load_is_served_in_time(self):
        for outcome in run_model(CALM):
            self.assertGreater(outcome.earned_share, 0.97)
