"""Tests of the line fits and the processor-time meter of capacity."""

from __future__ import annotations

import asyncio
from unittest import TestCase

from bench.capacity_fit import build_series
from bench.capacity_fit import CURRENT_OWNER
from bench.capacity_fit import fit_line
from bench.capacity_fit import ProcessorMeter


class FitTest(TestCase):
    """Guards against a wrong fit or verdict of a series of sizes.

    Slope, intercept and residual are compared with known values. The bound
    holds only for the largest size: applied to a smaller one, it would fail
    a series that meets its budget.
    """

    def test_fit_line(self):
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
    """Guards against processor time that is charged to the wrong owner.

    All simulated processes share one event loop, so the time that a callee
    needs for an answer would be charged to the caller if the meter did not
    switch owners. The meter also wraps the tasks, so it must pass results
    and exceptions through.
    """

    def test_answer_is_charged_to_the_callee(self):
        async def async_work():
            await asyncio.sleep(0)
            sum(range(3_000_000))
            return "answer"

        async def async_call(meter):
            return await meter.async_run_charged("callee", async_work())

        async def async_main():
            meter = ProcessorMeter(asyncio.get_running_loop())
            CURRENT_OWNER.set("caller")
            task = asyncio.create_task(async_call(meter))
            self.assertEqual("answer", await task)
            meter.charge_to("")
            return meter.spent_ns

        spent_ns = asyncio.run(async_main())
        self.assertGreater(spent_ns["callee"], spent_ns["caller"])

    def test_cancellation_reaches_the_wrapped_task(self):
        async def async_work():
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                return "cancelled"

        async def async_main():
            ProcessorMeter(asyncio.get_running_loop())
            CURRENT_OWNER.set("caller")
            task = asyncio.create_task(async_work())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            return await task

        self.assertEqual("cancelled", asyncio.run(async_main()))
