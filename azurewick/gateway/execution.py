"""Execution of admitted requests.

Callers that send the same idempotency key join one run. A non-repeatable
request is claimed in the store before it is offered to an agent, so that no
other gateway runs it as well.
"""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import create_task
from asyncio import sleep
from logging import getLogger

from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext
from azurewick.gateway.offer_loop import OfferLoop
from azurewick.gateway.pool import PoolState
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.running import RunningRequests
from azurewick.gateway.streaming import AnswerHead
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import wall_clock_s

_LOGGER = getLogger(__name__)

# Longest wait for a run at another gateway. Most runs of non-repeatable
# requests are shorter; after it the caller may resend the request.
CLAIM_WAIT_S = 20.0
CLAIM_WRITE_ATTEMPTS = 3
CLAIM_WRITE_RETRY_DELAY_S = 1.0


class RequestExecutor:
    """Runs requests; callers with the same idempotency key share a run."""

    def __init__(self, components: GatewayComponents) -> None:
        self.requests = RunningRequests()
        self.pools: dict[str, PoolState] = {}
        self._components = components
        self._offers = OfferLoop(components)

    def start_or_join(self, context: RequestContext) -> RunningRequest:
        """Join the run with the request's idempotency key or start a run.

        Raises AzurewickError when a running request with the same key has
        other content or its answer is too long to join.
        """
        if context.claim_key:
            running = self.requests.find(context)
            if running is not None:
                self._components.metrics.count_join(context.class_label)
                return running
        running = RunningRequest(context)
        self.requests.add(running)
        self._components.metrics.set_running(len(self.requests))
        running.task = create_task(self._async_execute(running))
        # A task that is cancelled before its first step runs none of its
        # exception handlers.
        running.task.add_done_callback(lambda _: self._on_task_done(running))
        return running

    def cancel_if_abandoned(self, running: RunningRequest) -> None:
        """Cancel a run that no caller reads any more.

        Only runs of repeatable requests are cancelled. Later callers can't
        join a cancelled run.
        """
        if running.is_abandoned and running.cancel():
            self.requests.remove_key(running)

    def pool(self, name: str) -> PoolState:
        """Return the state of a pool; create it on the first use."""
        if name not in self.pools:
            self.pools[name] = PoolState(name, self._components)
        return self.pools[name]

    def _on_task_done(self, running: RunningRequest) -> None:
        if not running.has_ended:
            running.fail(
                _outcome_unknown_error("run of the request was cancelled")
            )
        self.requests.remove(running)
        self._components.metrics.set_running(len(self.requests))

    async def _async_execute(self, running: RunningRequest) -> None:
        try:
            if running.context.request_class.repeatable:
                await self._async_offer(running)
            else:
                await self._async_run_claimed(running)
        except AzurewickError as err:
            running.fail(err)
        except CancelledError:
            raise
        except Exception:
            _LOGGER.exception("unexpected error while a request ran")
            running.fail(
                _outcome_unknown_error("unexpected error in the gateway")
            )

    async def _async_offer(self, running: RunningRequest) -> Answer:
        pool = self.pool(running.context.request_class.pool)
        return await self._offers.async_run(running, pool)

    async def _async_run_claimed(self, running: RunningRequest) -> None:
        """Claim a non-repeatable request, then run it or replay its answer.

        The claim is released when the request was not run. The answer of a
        run is stored with it; it stays without one when the outcome is
        unknown.
        """
        key = running.context.claim_key
        claims = self._components.claims
        try:
            decision = await claims.async_claim(
                key, running.context.fingerprint, wall_clock_s()
            )
        except AzurewickError as err:
            # The request was not offered, so it was not run even if the
            # claim may have been written. The coordinator releases such a
            # claim.
            err.outcome = Outcome.NOT_RUN
            raise
        if decision.kind is ClaimKind.IN_PROGRESS:
            decision = await claims.async_wait(key, CLAIM_WAIT_S)
        if decision.kind is ClaimKind.RELEASED:
            # The other gateway released its claim because the request was
            # not run.
            decision = await claims.async_claim(
                key, running.context.fingerprint, wall_clock_s()
            )
        if decision.kind is not ClaimKind.GRANTED:
            await _async_answer_from_claim(running, decision)
            return
        try:
            answer = await self._async_offer(running)
        except AzurewickError as err:
            if err.outcome is Outcome.NOT_RUN:
                # Release before the caller gets the error, so that a resend
                # can claim the key.
                await self._async_release(key)
            raise
        await self._async_complete(key, answer)

    async def _async_release(self, key: str) -> None:
        try:
            await self._components.claims.async_release(key, wall_clock_s())
        except AzurewickError as err:
            _LOGGER.warning(
                "could not release the claim of a request that did not run:"
                " %s",
                err,
            )

    async def _async_complete(self, key: str, answer: Answer) -> None:
        for attempt in range(CLAIM_WRITE_ATTEMPTS):
            try:
                await self._components.claims.async_complete(
                    key, answer, wall_clock_s()
                )
                return
            except AzurewickError as err:
                _LOGGER.warning(
                    "could not store the answer of a claimed request: %s", err
                )
            if attempt < CLAIM_WRITE_ATTEMPTS - 1:
                await sleep(CLAIM_WRITE_RETRY_DELAY_S)


async def _async_answer_from_claim(
    running: RunningRequest, decision: ClaimDecision
) -> None:
    """Answer a request whose key was claimed by another run.

    Replays the stored answer. Raises AzurewickError when there is none or
    when the key belongs to a request with other content.
    """
    answer = decision.answer
    if decision.kind is ClaimKind.REPLAY and answer is not None:
        running.start_answer(
            AnswerHead(
                status=answer.status,
                content_type=answer.content_type,
                content_length=len(answer.body),
                replayed=True,
            )
        )
        await running.buffer.async_append(answer.body)
        running.buffer.close()
        return
    if decision.kind is ClaimKind.MISMATCH:
        raise AzurewickError(
            ErrorCode.IDEMPOTENCY_MISMATCH,
            "idempotency key was used for a request with other content",
            step=Step.CLAIM,
        )
    if decision.kind in (ClaimKind.NOT_RETAINED, ClaimKind.REPLAY):
        raise AzurewickError(
            ErrorCode.ANSWER_NOT_RETAINED,
            "request has already run, but its answer is not stored",
            step=Step.CLAIM,
            outcome=Outcome.RAN,
        )
    raise AzurewickError(
        ErrorCode.OUTCOME_UNKNOWN,
        "another run has claimed the request; its outcome is not known",
        step=Step.CLAIM,
        outcome=Outcome.UNKNOWN,
        retry_after_s=5.0,
    )


def _outcome_unknown_error(message: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.OUTCOME_UNKNOWN,
        message,
        step=Step.OFFER,
        outcome=Outcome.UNKNOWN,
    )
