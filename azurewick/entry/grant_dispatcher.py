"""Dispatcher that asks a broker for slots where grants are in use."""

from __future__ import annotations

from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout_at
from collections.abc import Callable
from functools import partial

from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.dispatcher import overloaded_error
from azurewick.entry.dispatcher import wait_budget_s
from azurewick.entry.pending_asks import GrantResult
from azurewick.entry.request_queue import Demand
from azurewick.entry.slot_grants import SlotGrants
from azurewick.util.decaying_rate import DecayingRate


class GrantDispatcher:
    """SlotDispatcher of one service that asks a broker for slots.

    It uses the local dispatcher, with the own shares, where grants aren't in
    use and for requests whose broker doesn't answer.
    """

    def __init__(
        self,
        service: str,
        local: Dispatcher,
        grants: SlotGrants,
        demand_rate: DecayingRate,
        clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._local = local
        self._grants = grants
        self._demand_rate = demand_rate
        self._clock = clock
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._local.waiting + self._waiting

    async def async_acquire(self, demand: Demand) -> Backend:
        """Wait for a slot and return its server; call release afterwards.

        Raises AzurewickError with code overloaded as the local dispatcher.
        """
        groups = self._grants.groups_to_ask(self._service, demand)
        if not groups:
            return await self._local.async_acquire(demand)
        now_s = self._clock()
        budget_s = wait_budget_s(demand, now_s)
        self._demand_rate.add(demand.work.total_s, now_s)
        self._local.raise_if_exhausted(demand)
        self._local.raise_if_paused(demand, budget_s, now_s)
        loop = get_running_loop()
        future: Future[GrantResult] = loop.create_future()
        pending = self._grants.ask(
            demand, groups, budget_s, partial(self._set_result, future), now_s
        )
        self._waiting += 1
        try:
            async with timeout_at(loop.time() + budget_s):
                result = await future
        except TimeoutError as err:
            self._release_unused(future)
            raise overloaded_error(
                f"no backend server became free within {budget_s:.3f} s",
                pending.wait_s,
            ) from err
        except BaseException:
            self._release_unused(future)
            raise
        finally:
            self._waiting -= 1
            pending.withdraw()
        if result.backend is not None:
            return result.backend
        if result.refused_wait_s is not None:
            raise overloaded_error(
                f"predicted wait of {result.refused_wait_s:.3f} s for a slot"
                f" exceeds the limit of {budget_s:.3f} s",
                result.refused_wait_s,
            )
        left_s = budget_s - (self._clock() - now_s)
        return await self._local.async_acquire(demand, budget_s=left_s)

    def has_free_slot(self, demand: Demand) -> bool:
        """Return whether a server could probably take a request at once."""
        groups = self._grants.groups_to_ask(self._service, demand)
        if not groups:
            return self._local.has_free_slot(demand)
        return self._grants.may_have_free_slot(groups, demand, self._clock())

    def release(self, backend: Backend) -> None:
        """Free a slot of a server."""
        backend.in_flight -= 1
        self._grants.client.release(backend, self._clock())
        self._local.assign_slots()

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests, the most urgent first."""
        self._local.assign_slots()
        self._grants.broker.assign(self._clock())

    def _set_result(
        self, future: Future[GrantResult], result: GrantResult
    ) -> None:
        """Set a result, or return its slot if the request has just ended."""
        if not future.done():
            future.set_result(result)
        elif result.backend is not None:
            self.release(result.backend)

    def _release_unused(self, future: Future[GrantResult]) -> None:
        """Release the slot of a request that ended as it was granted one."""
        if future.done() and not future.cancelled():
            backend = future.result().backend
            if backend is not None:
                self.release(backend)
