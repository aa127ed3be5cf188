"""Tests of supervised tasks."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task


class SupervisedTaskTest(IsolatedAsyncioTestCase):
    """Guards against a background task that fails unnoticed.

    Nothing awaits such a task, so that an error would end it silently.
    """

    async def test_failed_task_is_logged_and_restarted(self):
        runs = []
        done = asyncio.Event()

        async def async_run():
            runs.append(1)
            if len(runs) == 1:
                raise ValueError("bad input")
            done.set()
            await asyncio.sleep(60)

        with self.assertLogs("azurewick.helpers.tasks", "ERROR") as logs:
            task = create_supervised_task("reader", async_run, 0.01)
            async with asyncio.timeout(2):
                await done.wait()
        await async_cancel(task)
        self.assertIn("reader", logs.output[0])
        self.assertTrue(task.cancelled())
