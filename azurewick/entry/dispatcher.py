"""Waiting requests and the places at backend servers."""

from __future__ import annotations

from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout_at
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

from azurewick.entry.backends import Backend
from azurewick.entry.line import Rank
from azurewick.entry.line import Waiter
from azurewick.entry.line import WaitingLine
from azurewick.entry.placement import Placement
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step


class Dispatcher:
    """Gives the servers of one service to requests in the line's order."""

    def __init__(
        self,
        candidates: Callable[[], Sequence[Backend]],
        placement: Placement,
        clock: Callable[[], float],
    ) -> None:
        self._candidates = candidates
        self._placement = placement
        self._clock = clock
        self._line: WaitingLine[Future[Backend]] = WaitingLine()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._line)

    async def async_acquire(
        self,
        *,
        rank: Rank,
        on_time_until_s: float,
        waits_until_s: float,
        excluded: Collection[str] = (),
    ) -> Backend:
        """Return a server with a place taken; call release afterwards.

        Raises AzurewickError with code overloaded when none gets free in
        time.
        """
        now_s = self._clock()
        loop = get_running_loop()
        waiter: Waiter[Future[Backend]] = Waiter(
            payload=loop.create_future(),
            rank=rank,
            arrived_s=now_s,
            on_time_until_s=on_time_until_s,
            waits_until_s=waits_until_s,
            excluded=frozenset(excluded),
        )
        self._line.add(waiter)
        self.fill()
        try:
            async with timeout_at(
                loop.time() + max(0.0, waits_until_s - now_s)
            ):
                return await waiter.payload
        except TimeoutError as err:
            self._return_unused(waiter)
            raise AzurewickError(
                ErrorCode.OVERLOADED,
                "no backend server became free in time",
                step=Step.QUEUE,
            ) from err
        except BaseException:
            self._return_unused(waiter)
            raise
        finally:
            self._line.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Give a place back."""
        backend.in_flight -= 1
        self.fill()

    def fill(self) -> None:
        """Give the free places to waiting requests."""
        if not len(self._line):
            return
        now_s = self._clock()
        candidates = self._candidates()
        for waiter in self._line.in_order(now_s):
            backend = self._placement.choose(
                candidates, waiter.excluded, now_s
            )
            if backend is None:
                if not waiter.excluded:
                    return
                continue
            backend.in_flight += 1
            self._line.remove(waiter)
            waiter.payload.set_result(backend)

    def _return_unused(self, waiter: Waiter[Future[Backend]]) -> None:
        future = waiter.payload
        if future.done() and not future.cancelled():
            self.release(future.result())
