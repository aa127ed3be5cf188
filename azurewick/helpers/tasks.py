"""Helpers for background tasks."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger

_LOGGER = getLogger(__name__)

# Prevents a busy loop when a task fails immediately at each start.
RESTART_DELAY_S = 0.5


def create_supervised_task(
    name: str,
    run: Callable[[], Awaitable[None]],
    restart_delay_s: float = RESTART_DELAY_S,
) -> Task[None]:
    """Run a background task and restart it when it raises an error.

    The error is logged. Without a restart the process would go on with the
    outdated state that the task has left. A task that returns isn't
    restarted.
    """
    return asyncio.create_task(
        _async_supervise(name, run, restart_delay_s), name=name
    )


async def async_cancel(*tasks: Task[None]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _async_supervise(
    name: str, run: Callable[[], Awaitable[None]], restart_delay_s: float
) -> None:
    while True:
        try:
            await run()
            return
        except Exception:
            _LOGGER.exception("background task %s failed; restarting it", name)
        await asyncio.sleep(restart_delay_s)
