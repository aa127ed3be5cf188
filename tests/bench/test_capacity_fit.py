"""Tests of the fits and of the processor time of the capacity benchmark."""

from __future__ import annotations

import asyncio
from unittest import TestCase

from bench.capacity_fit import build_series
from bench.capacity_fit import fit_line
from bench.capacity_fit import OWNER
from bench.capacity_fit import ProcessorMeter


class FitTest(TestCase):
    """Guards against slopes and verdicts that the points don't show."""

    def test_lines(self):
        for points, slope, intercept, residual in (
            ([(1, 5.0), (2, 7.0), (4, 11.0), (8, 19.0)], 2.0, 3.0, 0.0),
            ([(0, 0.0), (1, 1.0), (2, 0.0), (3, 1.0)], 0.2, 0.2, 0.6),
        ):
            with self.subTest(points=points):
                line = fit_line(points)
                self.assertAlmostEqual(slope, line.slope)
                self.assertAlmostEqual(intercept, line.intercept)
                self.assertAlmostEqual(residual, line.residual)

    def test_only_the_largest_size_has_the_bound(self):
        rows = build_series("a", 1, [(1, 9.0), (2, 1.0), (3, 4.0)], "%", 3.0)
        self.assertEqual([None, None, 3.0], [row.bound for row in rows])
        self.assertEqual([True, True, False], [row.ok for row in rows])


class MeterTest(TestCase):
    """Guards against time that is charged to the caller of a process."""

    def test_work_is_charged_to_its_owner(self):
        async def async_work():
            await asyncio.sleep(0)
            sum(range(3_000_000))
            return "answer"

        async def async_call(meter):
            return await meter.async_run("callee", async_work())

        async def async_main():
            meter = ProcessorMeter(asyncio.get_running_loop())
            OWNER.set("caller")
            task = asyncio.create_task(async_call(meter))
            self.assertEqual("answer", await task)
            meter.switch("")
            return meter.spent_ns

        spent_ns = asyncio.run(async_main())
        self.assertGreater(spent_ns["callee"], spent_ns["caller"])

    def test_errors_reach_the_work(self):
        async def async_work():
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                return "cancelled"

        async def async_main():
            ProcessorMeter(asyncio.get_running_loop())
            OWNER.set("caller")
            task = asyncio.create_task(async_work())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            return await task

        self.assertEqual("cancelled", asyncio.run(async_main()))
