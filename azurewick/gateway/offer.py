"""Offers of one request to agents, one at a time."""

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
from azurewick.gateway.refusals import refuse_not_ready
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer

MAX_OFFERS = 3
# Refusals of one agent that say nothing about the others.
RETRY_CODES = frozenset(
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
class _Progress:
    """Offers of one request so far."""

    excluded: set[str] = field(default_factory=set)
    offers: int = 0
    floor_confirmed: bool = False
    none_left: bool = False
    refusal: AzurewickError | None = None


class OfferLoop:
    """Offers requests to agents until one runs them or all refuse."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def async_run(
        self, running: RunningRequest, pool: PoolState
    ) -> Answer:
        """Run a request and pass its answer on.

        Return the answer, cut off above the size that claims keep. Raises
        AzurewickError; only the outcome not_run says that it was not run.
        """
        progress = _Progress()
        pool.record_request(running.context)
        while True:
            server = await pool.async_choose(
                running.context, frozenset(progress.excluded)
            )
            if isinstance(server, AzurewickError):
                # An agent's own refusal says more than that none is left.
                error = progress.refusal or server
                progress.none_left = True
            else:
                progress.offers += 1
                self._components.metrics.count_offer(
                    running.context.class_label, progress.offers > 1
                )
                answer = await self._async_offer(running, pool, server)
                if not isinstance(answer, AzurewickError):
                    return answer
                error = progress.refusal = answer
                if error.code not in RETRY_CODES | SHED_CODES:
                    raise error
                progress.excluded.add(server.name)
                progress.none_left = error.code is ErrorCode.DISPLACED
            if not await self._async_may_retry(running, pool, progress, error):
                raise error

    async def _async_may_retry(
        self,
        running: RunningRequest,
        pool: PoolState,
        progress: _Progress,
        error: AzurewickError,
    ) -> bool:
        """Return whether another offer may follow a refusal.

        Before the last offer of a request that would be shed, the floor is
        confirmed: it frees the room that lower tiers hold in the queues. A
        late answer is one more offer, which an agent that has refused the
        request may get again.
        """
        budget = pool.retry_budget
        if running.context.is_late:
            needs_floor = error.code in SHED_CODES
            if needs_floor and not progress.floor_confirmed:
                await self._async_confirm_floor(running, pool)
            return False
        can_go_on = not progress.none_left and progress.offers < MAX_OFFERS
        needs_floor = error.code in SHED_CODES and not progress.floor_confirmed
        is_last = progress.offers == MAX_OFFERS - 1
        if can_go_on and not (needs_floor and is_last):
            if budget.try_retry(monotonic_s()):
                return True
        if not needs_floor:
            return False
        if pool.may_answer_late(running.context, error):
            # The budget of late answers is smaller than the harm of a
            # refusal, which stops all lower tiers of the pool.
            running.context.is_late = True
            progress.excluded.clear()
            progress.none_left = False
            return True
        await self._async_confirm_floor(running, pool)
        progress.floor_confirmed = True
        return can_go_on and budget.try_retry(monotonic_s())

    async def _async_confirm_floor(
        self, running: RunningRequest, pool: PoolState
    ) -> None:
        tier = running.context.request_class.tier
        if not await self._components.floor.async_confirm(pool.name, tier):
            raise refuse_not_ready(
                "admission floor of the pool could not be confirmed",
                Step.SELECT,
            )

    async def _async_offer(
        self, running: RunningRequest, pool: PoolState, server: BackendServer
    ) -> Answer | AzurewickError:
        """Return the answer, or the error of an offer that was not run."""
        offer = pool.build_offer(running.context, server.name)
        run = OfferRun(self._components, running, pool, server, offer)
        try:
            return await run.async_run()
        finally:
            pool.release(running.context)
