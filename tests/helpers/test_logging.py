"""Tests of the bounded log."""

from __future__ import annotations

from logging import ERROR
from logging import Formatter
from logging import INFO
from logging import LogRecord
import os
from unittest import TestCase

from azurewick.helpers.logging import BoundedHandler


def build_record(text: str, level: int = INFO) -> LogRecord:
    return LogRecord("azurewick", level, "", 0, text, None, None)


class BoundedHandlerTest(TestCase):
    """Guards against a log that blocks the process or fills the disk."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0
        self.handler = BoundedHandler(
            self.writer,
            lines_per_s=10.0,
            burst_lines=5.0,
            clock=lambda: self.now_s,
        )
        self.handler.setFormatter(Formatter("%(message)s"))

    def read(self) -> list[str]:
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_lines_beyond_the_rate_are_counted(self):
        for index in range(20):
            self.handler.emit(build_record(str(index)))
        self.assertEqual(5, len(self.read()))
        self.assertEqual(15, self.handler.left_out)
        self.now_s = 1.0
        record = build_record("next")
        self.handler.emit(record)
        self.assertEqual(["next"], self.read())
        self.assertEqual(15, record.left_out)
        self.assertEqual(0, self.handler.left_out)

    def test_errors_ignore_the_rate(self):
        for index in range(20):
            self.handler.emit(build_record(str(index), ERROR))
        self.assertEqual(20, len(self.read()))

    def test_reader_that_stops_costs_only_lines(self):
        for _ in range(3000):
            self.handler.emit(build_record("x" * 100, ERROR))
        self.assertGreater(self.handler.left_out, 0)
        lines = self.read()
        self.assertTrue(all(set(line) == {"x"} for line in lines))
        self.handler.emit(build_record("after", ERROR))
        self.assertEqual("after", self.read()[-1])
