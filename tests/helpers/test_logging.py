"""Tests of the rate-limited log handler."""

from __future__ import annotations

from logging import ERROR
from logging import Formatter
from logging import INFO
from logging import LogRecord
import os
from unittest import TestCase

from azurewick.helpers.logging import RateLimitedHandler


def build_record(text: str, level: int = INFO) -> LogRecord:
    return LogRecord("azurewick", level, "", 0, text, None, None)


class RateLimitedHandlerTest(TestCase):
    """Guards against a log that blocks the process or fills the disk.

    A write to a full pipe would block the event loop, and a flood of
    requests would write a line each.
    """

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0
        self.handler = RateLimitedHandler(
            self.writer,
            lines_per_s=10.0,
            burst_lines=5.0,
            clock=lambda: self.now_s,
        )
        self.handler.setFormatter(Formatter("%(message)s"))

    def read_lines(self) -> list[str]:
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_lines_above_the_rate_are_dropped_and_counted(self):
        for index in range(20):
            self.handler.emit(build_record(str(index)))
        self.assertEqual(5, len(self.read_lines()))
        self.assertEqual(15, self.handler.dropped_lines)
        self.now_s = 1.0
        record = build_record("next")
        self.handler.emit(record)
        self.assertEqual(["next"], self.read_lines())
        self.assertEqual(15, record.left_out)
        self.assertEqual(0, self.handler.dropped_lines)

    def test_errors_ignore_the_rate_limit(self):
        for index in range(20):
            self.handler.emit(build_record(str(index), ERROR))
        self.assertEqual(20, len(self.read_lines()))

    def test_full_pipe_drops_lines_without_blocking(self):
        for _ in range(3000):
            self.handler.emit(build_record("x" * 100, ERROR))
        self.assertGreater(self.handler.dropped_lines, 0)
        lines = self.read_lines()
        self.assertTrue(all(set(line) == {"x"} for line in lines))
        self.handler.emit(build_record("after", ERROR))
        self.assertEqual("after", self.read_lines()[-1])
