"""Waiting requests and the slots at backend servers."""

from __future__ import annotations

from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout_at
from collections.abc import Callable
from collections.abc import Sequence

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.backends import Backend
from azurewick.entry.placement import Placement
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.util.decaying_rate import DecayingRate

# A request that is late on arrival came back after a refusal, and a second
# one would end it. It waits at most this long, as callers leave a silent
# stream after two seconds, and this part of the time that its caller has.
LATE_WAIT_S = 1.5
LATE_WAIT_SHARE = 0.25
# A refused request comes back after this at the earliest.
SHORTEST_RETURN_S = 0.2


class Dispatcher:
    """Gives the servers of one service to requests in the queue's order."""

    def __init__(
        self,
        candidates: Callable[[], Sequence[Backend]],
        placement: Placement,
        demand: DecayingRate,
        clock: Callable[[], float],
    ) -> None:
        self._candidates = candidates
        self._placement = placement
        self._demand = demand
        self._clock = clock
        self._queue: RequestQueue[Future[Backend]] = RequestQueue()
        self._rates = ArrivalRates()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    async def async_acquire(self, demand: Demand) -> Backend:
        """Return a server with a slot taken; call release afterwards.

        Raises AzurewickError with code overloaded: at once when the request
        would miss its target in the queue, or later when it does so against
        the prediction.
        """
        now_s = self._clock()
        loop = get_running_loop()
        waiter: Waiter[Future[Backend]] = Waiter(
            payload=loop.create_future(),
            demand=demand,
            urgency=demand.urgency(now_s),
            arrived_s=now_s,
        )
        budget_s = wait_budget_s(demand, now_s)
        wait_s = self._predict_wait_s(waiter.urgency, now_s)
        self._rates.add(waiter.urgency, demand.work.total_s, now_s)
        self._demand.add(demand.work.total_s, now_s)
        if wait_s > budget_s:
            raise _refuse("queue is too long", wait_s)
        self._queue.add(waiter)
        self.fill()
        try:
            async with timeout_at(loop.time() + budget_s):
                return await waiter.payload
        except TimeoutError as err:
            self._return_unused(waiter)
            raise _refuse(
                "no backend server became free in time",
                self._predict_wait_s(waiter.urgency, self._clock()),
            ) from err
        except BaseException:
            self._return_unused(waiter)
            raise
        finally:
            self._queue.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Give a slot back."""
        backend.in_flight -= 1
        self.fill()

    def fill(self) -> None:
        """Give the free slots to waiting requests."""
        if not len(self._queue):
            return
        now_s = self._clock()
        candidates = self._candidates()
        for waiter in self._queue.in_order():
            if waiter.payload.done():
                # Cancelled; it leaves the queue when its task runs again.
                continue
            backend = self._placement.choose(candidates, waiter.demand, now_s)
            if backend is None:
                if not waiter.demand.excluded:
                    return
                continue
            backend.in_flight += 1
            self._queue.remove(waiter)
            waiter.payload.set_result(backend)

    def _predict_wait_s(self, urgency: float, now_s: float) -> float:
        work_ahead_s = self._queue.work_ahead_s(urgency)
        if not work_ahead_s:
            # The usual case; the capacity takes a look at each server.
            return 0.0
        return predict_wait_s(
            work_ahead_s,
            self._placement.capacity(self._candidates(), now_s),
            self._rates.above(urgency, now_s),
        )

    def _return_unused(self, waiter: Waiter[Future[Backend]]) -> None:
        future = waiter.payload
        if future.done() and not future.cancelled():
            self.release(future.result())


def wait_budget_s(demand: Demand, now_s: float) -> float:
    """Return how long a request may wait."""
    left_s = max(0.0, demand.ends_s - now_s)
    if demand.is_on_time(now_s):
        return min(left_s, demand.target_s - demand.work.first_s - now_s)
    return min(LATE_WAIT_SHARE * left_s, LATE_WAIT_S)


def _refuse(message: str, wait_s: float) -> AzurewickError:
    return AzurewickError(
        ErrorCode.OVERLOADED,
        message,
        step=Step.QUEUE,
        retry_after_s=max(SHORTEST_RETURN_S, wait_s),
    )
