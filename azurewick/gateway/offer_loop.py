"""Offers of one request to agents, one at a time.

An offer asks an agent to run a request. The agent runs it or refuses it, and
after most refusals the request is offered to another agent.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from azurewick.claims.models import Answer
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import SHED_CODES
from azurewick.errors import Step
from azurewick.gateway.offer_run import OfferRun
from azurewick.gateway.pool import PoolState
from azurewick.gateway.refusals import not_ready_error
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer

MAX_OFFERS = 3
# Refusals for a reason that need not hold at the other agents.
RETRYABLE_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.TARGET_UNREACHABLE,
        ErrorCode.DRAINING,
        ErrorCode.NOT_READY,
        ErrorCode.WRONG_INCARNATION,
        ErrorCode.BACKEND_UNREACHABLE,
    }
)


@dataclass(slots=True)
class _OfferProgress:
    """Offers of one request so far.

    is_exhausted says that no further server may get an offer, and
    is_floor_confirmed that the pool's admission floor was confirmed for it.
    """

    excluded_servers: set[str] = field(default_factory=set)
    offer_count: int = 0
    is_floor_confirmed: bool = False
    is_exhausted: bool = False
    last_refusal: AzurewickError | None = None


class OfferLoop:
    """Offers requests to agents until one runs them or all refuse."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def async_run(
        self, running: RunningRequest, pool: PoolState
    ) -> Answer:
        """Run a request and forward its answer to the callers.

        Returns the answer, cut off above the size that is stored with a
        claim. Raises AzurewickError; unless its outcome is not_run, the
        request may have been run.
        """
        progress = _OfferProgress()
        pool.record_request(running.context)
        while True:
            server = await pool.async_choose(
                running.context, frozenset(progress.excluded_servers)
            )
            if isinstance(server, AzurewickError):
                # The refusal of an agent tells the caller more than the error
                # that no server is left.
                error = progress.last_refusal or server
                progress.is_exhausted = True
            else:
                progress.offer_count += 1
                self._components.metrics.count_offer(
                    running.context.class_label, progress.offer_count > 1
                )
                answer = await self._async_offer(running, pool, server)
                if not isinstance(answer, AzurewickError):
                    return answer
                error = progress.last_refusal = answer
                if error.code not in RETRYABLE_CODES | SHED_CODES:
                    raise error
                progress.excluded_servers.add(server.name)
                progress.is_exhausted = error.code is ErrorCode.DISPLACED
            if not await self._async_may_retry(running, pool, progress, error):
                raise error

    async def _async_may_retry(
        self,
        running: RunningRequest,
        pool: PoolState,
        progress: _OfferProgress,
        error: AzurewickError,
    ) -> bool:
        """Return whether the request may be offered again after an error.

        A request that would be shed gets the admission floor of its tier
        confirmed before its last offer: the floor frees the queue capacity
        that lower tiers use. A request that may be answered late is offered
        once more without a deadline, also to agents that have refused it.
        """
        budget = pool.retry_budget
        if running.context.may_miss_target:
            needs_floor = error.code in SHED_CODES
            if needs_floor and not progress.is_floor_confirmed:
                await self._async_confirm_floor(running, pool)
            return False
        can_offer_again = (
            not progress.is_exhausted and progress.offer_count < MAX_OFFERS
        )
        needs_floor = (
            error.code in SHED_CODES and not progress.is_floor_confirmed
        )
        is_last_offer = progress.offer_count == MAX_OFFERS - 1
        if can_offer_again and not (needs_floor and is_last_offer):
            if budget.try_retry(monotonic_s()):
                return True
        if not needs_floor:
            return False
        if pool.try_late_answer(running.context, error):
            # Shedding the request would stop all lower tiers of the pool,
            # which costs more than the few late answers that the budget
            # allows.
            running.context.may_miss_target = True
            progress.excluded_servers.clear()
            progress.is_exhausted = False
            return True
        await self._async_confirm_floor(running, pool)
        progress.is_floor_confirmed = True
        return can_offer_again and budget.try_retry(monotonic_s())

    async def _async_confirm_floor(
        self, running: RunningRequest, pool: PoolState
    ) -> None:
        tier = running.context.request_class.tier
        if not await self._components.floor_confirmer.async_confirm(
            pool.name, tier
        ):
            raise not_ready_error(
                f"admission floor {tier} of pool {pool.name} could not be"
                " confirmed",
                Step.SELECT,
            )

    async def _async_offer(
        self, running: RunningRequest, pool: PoolState, server: BackendServer
    ) -> Answer | AzurewickError:
        """Return the answer, or the error of a request that was not run."""
        offer = pool.build_offer(running.context, server.name)
        run = OfferRun(self._components, running, pool, server, offer)
        try:
            return await run.async_run()
        finally:
            pool.release(running.context)
