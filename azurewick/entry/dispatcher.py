"""Assignment of waiting requests to slots of backend servers."""

from __future__ import annotations

from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout_at
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

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

# Limits on the wait of a request that can't meet its target any more, as a
# time and as a share of the time until its deadline. Such a request was
# usually refused before, and a second refusal would end it; but callers
# abandon a stream that sends nothing for 2 s.
MAX_LATE_WAIT_S = 1.5
LATE_WAIT_SHARE = 0.25
# Limit on the wait of the rest of a stream that has begun: callers abandon it
# after a gap of 2 s.
MAX_RESUME_WAIT_S = 2.0
# Lower bound of the predicted wait on which Retry-After is based.
MIN_REPORTED_WAIT_S = 0.2


class SlotDispatcher(Protocol):
    """Provides slots of one service's servers."""

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""

    async def async_acquire(self, demand: Demand) -> Backend:
        """Wait for a slot and return its server; call release afterwards.

        Raises AzurewickError with code overloaded.
        """

    def has_free_slot(self, demand: Demand) -> bool:
        """Return whether a server could take a request at once."""

    def release(self, backend: Backend) -> None:
        """Free a slot of a server."""

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests."""


class Dispatcher:
    """Assigns slots of one service's servers to requests by urgency.

    demand_rate counts the work of all requests that arrive, in seconds of
    work per second.
    """

    def __init__(
        self,
        candidates: Callable[[Demand], Sequence[Backend]],
        placement: Placement,
        demand_rate: DecayingRate,
        clock: Callable[[], float],
    ) -> None:
        self._candidates = candidates
        self._placement = placement
        self._demand_rate = demand_rate
        self._clock = clock
        self._queue: RequestQueue[Future[Backend]] = RequestQueue()
        self._arrival_rates = ArrivalRates()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    async def async_acquire(
        self, demand: Demand, *, budget_s: float | None = None
    ) -> Backend:
        """Wait for a slot and return its server; call release afterwards.

        budget_s is the rest of the time that a request may wait which has
        been counted in demand_rate and has waited elsewhere.

        Raises AzurewickError with code overloaded: at once when the
        predicted wait, or the time until a server wants requests again,
        exceeds the time that the request may wait, otherwise when that time
        has passed without a free slot. The rest of a stream that has begun
        isn't refused by a prediction.
        """
        now_s = self._clock()
        loop = get_running_loop()
        waiter: Waiter[Future[Backend]] = Waiter(
            payload=loop.create_future(),
            demand=demand,
            urgency=demand.urgency(now_s),
            arrived_s=now_s,
        )
        if budget_s is None:
            budget_s = wait_budget_s(demand, now_s)
            self._demand_rate.add(demand.work.total_s, now_s)
        wait_s = self._predict_wait_s(waiter, now_s)
        self._arrival_rates.add(waiter.urgency, demand.work.total_s, now_s)
        if (
            wait_s > budget_s
            and not demand.is_started
            and not self._can_overtake(demand)
        ):
            raise overloaded_error(
                f"predicted wait of {wait_s:.3f} s in the queue exceeds"
                f" the limit of {budget_s:.3f} s",
                wait_s,
            )
        self.raise_if_paused(demand, budget_s, now_s)
        self._queue.add(waiter)
        self.assign_slots()
        try:
            async with timeout_at(loop.time() + budget_s):
                return await waiter.payload
        except TimeoutError as err:
            self._release_unused(waiter)
            raise overloaded_error(
                f"no backend server became free within {budget_s:.3f} s",
                self._predict_wait_s(waiter, self._clock()),
            ) from err
        except BaseException:
            self._release_unused(waiter)
            raise
        finally:
            self._queue.remove(waiter)

    def raise_if_paused(
        self, demand: Demand, budget_s: float, now_s: float
    ) -> None:
        """Refuse a request if no server wants any within its time."""
        self.raise_if_exhausted(demand)
        pause_s = self._pause_left_s(demand, now_s)
        if pause_s > budget_s:
            raise overloaded_error(
                f"all backend servers want no requests for {pause_s:.3f} s",
                pause_s,
            )

    def has_free_slot(self, demand: Demand) -> bool:
        """Return whether a server could take a request at once."""
        return (
            self._placement.choose(
                self._candidates(demand), demand, self._clock()
            )
            is not None
        )

    def release(self, backend: Backend) -> None:
        """Free a slot of a server and assign it to a waiting request."""
        backend.in_flight -= 1
        self.assign_slots()

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests, the most urgent first."""
        if not len(self._queue):
            return
        now_s = self._clock()
        # Versions, by on_new_version, and home regions whose servers have no
        # free slot.
        full: set[tuple[bool, frozenset[str] | None]] = set()
        for waiter in self._queue.in_order():
            if waiter.payload.done():
                # Cancelled; its task removes it from the queue when it runs
                # again.
                continue
            demand = waiter.demand
            group = demand.on_new_version, demand.current_home_regions()
            if group in full:
                continue
            backend = self._placement.choose(
                self._candidates(demand), demand, now_s
            )
            if backend is None:
                if not demand.excluded:
                    full.add(group)
                continue
            backend.in_flight += 1
            self._queue.remove(waiter)
            waiter.payload.set_result(backend)

    def _pause_left_s(self, demand: Demand, now_s: float) -> float:
        """Return the time until a server wants requests again.

        Returns 0 unless each server that may get work has asked for a pause.
        """
        left_s: list[float] = []
        for backend in self._candidates(demand):
            if backend.is_leaving or backend.is_evacuated:
                continue
            if now_s >= backend.paused_until_s:
                return 0.0
            left_s.append(backend.paused_until_s - now_s)
        return min(left_s, default=0.0)

    def _predict_wait_s(
        self, waiter: Waiter[Future[Backend]], now_s: float
    ) -> float:
        urgency = waiter.urgency
        demand = waiter.demand
        home_regions = demand.current_home_regions()
        work_ahead_s = self._queue.work_ahead_s(urgency, home_regions)
        if not work_ahead_s:
            # Most requests find no work ahead of them; the capacity is
            # computed over all servers.
            return 0.0
        capacity = self._placement.capacity(self._candidates(demand), now_s)
        more_urgent_per_s = self._arrival_rates.more_urgent_per_s(
            urgency, now_s
        )
        if home_regions is not None:
            # The work that arrives may be meant for any region.
            total = self._placement.capacity(
                self._candidates(
                    replace(demand, home_regions=None, find_home_regions=None)
                ),
                now_s,
            )
            more_urgent_per_s *= capacity / total if total else 1.0
        return predict_wait_s(work_ahead_s, capacity, more_urgent_per_s)

    def raise_if_exhausted(self, demand: Demand) -> None:
        """Raise AzurewickError if no server is left to resume a stream.

        The caller waits for the rest, which then has to end at once.
        """
        if demand.is_started and all(
            backend.name in demand.excluded
            for backend in self._candidates(demand)
        ):
            raise overloaded_error("no other server can resume the stream", 0)

    def _can_overtake(self, demand: Demand) -> bool:
        """Return whether a server is free that the requests ahead can't use.

        They may have other home regions.
        """
        return self._queue.has_other_home_regions(
            demand.current_home_regions()
        ) and self.has_free_slot(demand)

    def _release_unused(self, waiter: Waiter[Future[Backend]]) -> None:
        """Release the slot of a waiter that ended as it was assigned one."""
        future = waiter.payload
        if future.done() and not future.cancelled():
            self.release(future.result())


def wait_budget_s(demand: Demand, now_s: float) -> float:
    """Return how long a request may wait for a slot, in seconds."""
    left_s = max(0.0, demand.deadline_at_s - now_s)
    if demand.is_started:
        return min(left_s, MAX_RESUME_WAIT_S)
    if demand.is_on_time(now_s):
        return min(left_s, demand.target_s - demand.work.first_token_s - now_s)
    return min(LATE_WAIT_SHARE * left_s, MAX_LATE_WAIT_S)


def overloaded_error(message: str, wait_s: float) -> AzurewickError:
    """Return the refusal of a request with a predicted wait."""
    return AzurewickError(
        ErrorCode.OVERLOADED,
        message,
        step=Step.QUEUE,
        retry_after_s=max(MIN_REPORTED_WAIT_S, wait_s),
    )
