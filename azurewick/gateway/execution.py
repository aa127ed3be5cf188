"""Execution of admitted requests: joins, claims and offers."""

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
from azurewick.gateway.offer import OfferLoop
from azurewick.gateway.pool import PoolState
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.running import RunningRequests
from azurewick.gateway.streaming import AnswerHead
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import wall_clock_s

_LOGGER = getLogger(__name__)

# Longer than most runs of non-repeatable requests; the caller may resend.
CLAIM_WAIT_S = 20.0
CLAIM_WRITE_TRIES = 3
CLAIM_WRITE_PAUSE_S = 1.0


class RequestExecutor:
    """Runs requests; callers with the same key share one run."""

    def __init__(self, components: GatewayComponents) -> None:
        self.requests = RunningRequests()
        self.pools: dict[str, PoolState] = {}
        self._components = components
        self._offers = OfferLoop(components)

    def start_or_join(self, context: RequestContext) -> RunningRequest:
        """Return the run of a request: a running one or a new one.

        Raises AzurewickError when the key is in use for another content.
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
        # A task cancelled before its first step doesn't reach its handlers.
        running.task.add_done_callback(lambda _: self._end(running))
        return running

    def leave(self, running: RunningRequest) -> None:
        """Note that a caller has gone; nobody may join a cancelled run."""
        if running.is_abandoned and running.cancel():
            self.requests.remove_key(running)

    def pool(self, name: str) -> PoolState:
        """Return the state of a pool of the configuration."""
        if name not in self.pools:
            self.pools[name] = PoolState(name, self._components)
        return self.pools[name]

    def _end(self, running: RunningRequest) -> None:
        if not running.has_ended:
            running.fail(_lost("request was cancelled"))
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
            _LOGGER.exception("unexpected error in a request")
            running.fail(_lost("unexpected error in the gateway"))

    async def _async_offer(self, running: RunningRequest) -> Answer:
        pool = self.pool(running.context.request_class.pool)
        return await self._offers.async_run(running, pool)

    async def _async_run_claimed(self, running: RunningRequest) -> None:
        """Run a non-repeatable request under its claim."""
        key = running.context.claim_key
        claims = self._components.claims
        try:
            decision = await claims.async_claim(
                key, running.context.fingerprint, wall_clock_s()
            )
        except AzurewickError as err:
            # Nothing was offered yet, even if the claim may be written; the
            # coordinator releases such a claim.
            err.outcome = Outcome.NOT_RUN
            raise
        if decision.kind is ClaimKind.IN_PROGRESS:
            decision = await claims.async_wait(key, CLAIM_WAIT_S)
        if decision.kind is ClaimKind.RELEASED:
            # The other run ended without a dispatch, so the key is free.
            decision = await claims.async_claim(
                key, running.context.fingerprint, wall_clock_s()
            )
        if decision.kind is not ClaimKind.GRANTED:
            await _async_replay(running, decision)
            return
        try:
            answer = await self._async_offer(running)
        except AzurewickError as err:
            if err.outcome is Outcome.NOT_RUN:
                # Before the caller is told, so that its resend can claim.
                await self._async_release(key)
            raise
        await self._async_complete(key, answer)

    async def _async_release(self, key: str) -> None:
        try:
            await self._components.claims.async_release(key, wall_clock_s())
        except AzurewickError as err:
            _LOGGER.warning("claim of a request not run is kept: %s", err)

    async def _async_complete(self, key: str, answer: Answer) -> None:
        for attempt in range(CLAIM_WRITE_TRIES):
            try:
                await self._components.claims.async_complete(
                    key, answer, wall_clock_s()
                )
                return
            except AzurewickError as err:
                _LOGGER.warning("answer is not kept with its claim: %s", err)
            if attempt < CLAIM_WRITE_TRIES - 1:
                await sleep(CLAIM_WRITE_PAUSE_S)


async def _async_replay(
    running: RunningRequest, decision: ClaimDecision
) -> None:
    """Answer from a claim that another run has made.

    Raises AzurewickError when the claim has no answer.
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
            "idempotency key was used for another request",
            step=Step.CLAIM,
        )
    if decision.kind in (ClaimKind.NOT_RETAINED, ClaimKind.REPLAY):
        raise AzurewickError(
            ErrorCode.ANSWER_NOT_RETAINED,
            "request was run; its answer is not kept",
            step=Step.CLAIM,
            outcome=Outcome.RAN,
        )
    raise AzurewickError(
        ErrorCode.OUTCOME_UNKNOWN,
        "request was claimed before and its outcome is not known",
        step=Step.CLAIM,
        outcome=Outcome.UNKNOWN,
        retry_after_s=5.0,
    )


def _lost(message: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.OUTCOME_UNKNOWN,
        message,
        step=Step.OFFER,
        outcome=Outcome.UNKNOWN,
    )
