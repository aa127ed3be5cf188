"""Tests of the processor share that an instance reports."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.processor_share import ProcessorShare
from azurewick.entry.processor_share import RISE_AFTER_S
from azurewick.entry.processor_share import SAMPLE_INTERVAL_S
from azurewick.entry.processor_share import SAMPLES


class ProcessorShareTest(TestCase):
    """Guards against brokers that are late, or that change all the time."""

    def setUp(self):
        self.now_s = 0.0
        self.changes = []
        self.share = ProcessorShare(self.changes.append)

    def add(self, lateness_s: float, count: int = SAMPLES) -> None:
        for _ in range(count):
            self.now_s += SAMPLE_INTERVAL_S
            self.share.add_sample(lateness_s, self.now_s)

    def test_a_late_event_loop_is_no_broker(self):
        self.add(0.2)
        self.assertEqual([0.0], self.changes)

    def test_a_pause_changes_nothing(self):
        self.add(0.0005)
        self.add(0.8, 3)
        self.add(0.0005)
        self.assertEqual([], self.changes)

    def test_a_share_rises_only_after_a_time(self):
        self.add(0.2)
        self.add(0.0005)
        self.assertEqual(0.0, self.share.value)
        self.add(0.0005, round(RISE_AFTER_S / SAMPLE_INTERVAL_S) + 1)
        self.assertEqual([0.0, 1.0], self.changes)

    def test_a_stopping_instance_stays_out(self):
        self.share.stop()
        self.add(0.0005, 200)
        self.assertEqual(0.0, self.share.value)
