"""Helpers to run tasks in the background."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger

_LOGGER = getLogger(__name__)

# A task that fails on the same input each time must not use up the core.
RESTART_DELAY_S = 0.5


def create_supervised_task(
    name: str,
    run: Callable[[], Awaitable[None]],
    restart_delay_s: float = RESTART_DELAY_S,
) -> Task[None]:
    """Run a controller until cancelled, and again when it fails.

    A controller that ends unnoticed would leave the process with a view
    that grows old.
    """
    return asyncio.create_task(
        _async_supervise(name, run, restart_delay_s), name=name
    )


async def async_cancel(*tasks: Task[None]) -> None:
    """Cancel tasks and wait for their end."""
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
            _LOGGER.exception("%s failed and is started again", name)
        await asyncio.sleep(restart_delay_s)
