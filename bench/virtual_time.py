"""Event loop in virtual time, for runs that don't depend on the machine."""

from __future__ import annotations

from asyncio import all_tasks
from asyncio import gather
from asyncio import SelectorEventLoop
from collections.abc import Coroutine
from selectors import DefaultSelector
from typing import Any
from typing import TypeVar

ResultT = TypeVar("ResultT")


class _VirtualTimeSelector(DefaultSelector):
    """Selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once and add the time-out to the clock."""
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: all tasks wait and no timer is set"
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(SelectorEventLoop):
    """Loop whose clock jumps to the next timer when no task can run."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._virtual_selector.now_s


def run_virtual(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        # A cancelled task may start another one to clean up, so repeat until
        # none is left.
        while tasks := all_tasks(loop):
            for task in tasks:
                task.cancel()
            loop.run_until_complete(gather(*tasks, return_exceptions=True))
        loop.close()
