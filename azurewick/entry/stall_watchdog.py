"""Watchdog that ends an attempt at a server that makes no progress."""

from __future__ import annotations

import asyncio
from asyncio import get_running_loop
from asyncio import TimerHandle
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType

# Interval of the checks while a stalled attempt may not end yet, because no
# other server can take its request.
RECHECK_INTERVAL_S = 0.1
# A stall is confirmed after this time. A check that is later than that again
# shows that the event loop was held up, and what the server has sent meanwhile
# may still be unread.
CONFIRM_INTERVAL_S = 0.02


class StalledError(Exception):
    """An attempt has made no progress within its timeout."""


class StallWatchdog:
    """Async context manager that raises StalledError without progress.

    timeout_s is the longest time between two reports of progress, None for no
    limit. A stalled block goes on as long as may_end returns false: a slow
    answer is better than none. The time of writes to a caller doesn't count,
    and what arrived while the event loop was held up counts as progress.
    """

    def __init__(
        self, timeout_s: float | None, may_end: Callable[[], bool]
    ) -> None:
        self._timeout_s = timeout_s
        self._may_end = may_end
        self._loop = get_running_loop()
        self._scope = asyncio.timeout(None)
        self._timer: TimerHandle | None = None
        # Time of the check that confirms a stall, None before its first one.
        self._confirm_at_s: float | None = None
        self._progress_s = self._loop.time()
        self._paused_at_s: float | None = None

    def idle_s(self) -> float:
        """Return the time since the last progress, without pauses."""
        now_s = (
            self._loop.time()
            if self._paused_at_s is None
            else self._paused_at_s
        )
        return now_s - self._progress_s

    def record_progress(self) -> None:
        """Restart the timeout."""
        self._progress_s = self._loop.time()

    def set_timeout(self, timeout_s: float | None) -> None:
        """Change the timeout of a block that has been entered."""
        if timeout_s != self._timeout_s:
            self._timeout_s = timeout_s
            self._cancel_timer()
            self._check()

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Stop the timeout within the block."""
        self._paused_at_s = self._loop.time()
        try:
            yield
        finally:
            self._progress_s += self._loop.time() - self._paused_at_s
            self._paused_at_s = None

    async def __aenter__(self) -> StallWatchdog:
        await self._scope.__aenter__()
        self._check()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._cancel_timer()
        try:
            await self._scope.__aexit__(exc_type, exc, traceback)
        except TimeoutError as err:
            raise StalledError(
                f"no progress for {self.idle_s():.3f} s"
            ) from err

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        """End the block if it is stalled, else check again later."""
        if self._timeout_s is None:
            return
        wait_s = self._timeout_s - self.idle_s()
        if wait_s > 0:
            self._confirm_at_s = None
        elif not self._is_confirmed():
            wait_s = CONFIRM_INTERVAL_S
            self._confirm_at_s = self._loop.time() + wait_s
        elif self._may_end():
            self._scope.reschedule(self._loop.time())
            return
        else:
            wait_s = RECHECK_INTERVAL_S
        self._timer = self._loop.call_later(wait_s, self._check)

    def _is_confirmed(self) -> bool:
        """Return whether this check comes in time after another one."""
        if self._confirm_at_s is None:
            return False
        late_s = self._loop.time() - self._confirm_at_s
        return late_s < CONFIRM_INTERVAL_S
