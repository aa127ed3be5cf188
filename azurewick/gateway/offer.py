"""Offers of one request to agents, one at a time."""

from __future__ import annotations

from asyncio import CancelledError
from dataclasses import dataclass
from dataclasses import field
import json

from aiohttp import ClientError
from aiohttp import ClientResponse

from azurewick.claims.models import Answer
from azurewick.const import HEADER_OUTCOME
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import SHED_CODES
from azurewick.errors import Step
from azurewick.gateway.agent_client import AgentAnswerLostError
from azurewick.gateway.agent_client import AgentNotConnectedError
from azurewick.gateway.pool import PoolState
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.streaming import AnswerHead
from azurewick.gateway.streaming import AnswerMeter
from azurewick.gateway.streaming import EventSplitter
from azurewick.gateway.streaming import WINDOW_BYTES
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer
from azurewick.models import Offer
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

MAX_OFFERS = 3
# The agent's size limit for kept answers; one byte more shows that an
# answer is above it.
CLAIM_ANSWER_BYTES = 16_384
MAX_ERROR_BYTES = 16_384
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
# Answers of an agent whose backend server broke during the run.
CRASH_CODES = frozenset({ErrorCode.BACKEND_FAILED, ErrorCode.STREAM_BROKEN})


@dataclass(slots=True)
class _Progress:
    """Offers of one request so far."""

    excluded: set[str] = field(default_factory=set)
    offers: int = 0
    floor_confirmed: bool = False
    none_left: bool = False


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
        pool.retry_budget.record_request(monotonic_s())
        while True:
            server = await pool.async_choose(
                running.context, frozenset(progress.excluded)
            )
            if isinstance(server, AzurewickError):
                error = server
                progress.none_left = True
            else:
                progress.offers += 1
                answer = await self._async_offer(running, pool, server)
                if not isinstance(answer, AzurewickError):
                    return answer
                error = answer
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
        confirmed: it frees the room that lower tiers hold in the queues.
        """
        tier = running.context.request_class.tier
        floor = self._components.floor
        is_shed = error.code in SHED_CODES
        at_last = progress.offers >= MAX_OFFERS - 1 or progress.none_left
        if is_shed and at_last and not progress.floor_confirmed:
            if not await floor.async_confirm(pool.name, tier):
                raise AzurewickError(
                    ErrorCode.NOT_READY,
                    "admission floor of the pool could not be confirmed",
                    step=Step.SELECT,
                )
            progress.floor_confirmed = True
            progress.excluded.clear()
            if error.code is not ErrorCode.DISPLACED:
                progress.none_left = not floor.has_lower_tier(pool.name, tier)
        if progress.none_left or progress.offers >= MAX_OFFERS:
            return False
        return pool.retry_budget.try_retry(monotonic_s())

    async def _async_offer(
        self, running: RunningRequest, pool: PoolState, server: BackendServer
    ) -> Answer | AzurewickError:
        """Return the answer, or the error of an offer that was not run."""
        offer = pool.build_offer(running.context, server.name)
        run = _OfferRun(self._components, running, pool, server, offer)
        self._components.metrics.count_offer(running.context.class_label)
        try:
            return await run.async_run()
        finally:
            pool.release(running.context, server)


class _OfferRun:
    """One offer to one agent."""

    def __init__(
        self,
        components: GatewayComponents,
        running: RunningRequest,
        pool: PoolState,
        server: BackendServer,
        offer: Offer,
    ) -> None:
        self._components = components
        self._running = running
        self._pool = pool
        self._server = server
        self._offer = offer
        self._meter = AnswerMeter(
            0 if offer.repeatable else CLAIM_ANSWER_BYTES + 1
        )
        self._incarnation = offer.incarnation
        self._sent_s = monotonic_s()

    async def async_run(self) -> Answer | AzurewickError:
        """Send the offer and pass the answer on."""
        self._pool.router.record_sent(
            self._offer, self._server.name, self._sent_s
        )
        try:
            response = await self._components.agents.async_dispatch(
                self._server, self._offer, self._running.context.body
            )
        except AgentNotConnectedError as err:
            self._components.cluster.record_failure(
                self._server.name, monotonic_s()
            )
            self._record(OfferStatus.REFUSED)
            return self._error(
                ErrorCode.BACKEND_UNREACHABLE,
                f"no connection to the agent: {err}",
                Outcome.NOT_RUN,
            )
        except AgentAnswerLostError as err:
            self._record_crash()
            raise self._error(
                ErrorCode.OUTCOME_UNKNOWN,
                f"no answer to the offer: {err}",
                Outcome.UNKNOWN,
            ) from err
        except CancelledError:
            self._cancel()
            raise
        try:
            return await self._async_take(response)
        except CancelledError:
            self._cancel()
            raise
        finally:
            # Closes the connection unless the answer has been read wholly.
            response.release()

    async def _async_take(
        self, response: ClientResponse
    ) -> Answer | AzurewickError:
        self._components.cluster.record_success(
            self._server.name, monotonic_s()
        )
        report = self._pool.take_load(response, self._server.name)
        if report is not None:
            self._incarnation = report.incarnation
        outcome = response.headers.get(HEADER_OUTCOME)
        if outcome == Outcome.NOT_RUN:
            error = await self._async_read_refusal(response)
            self._record(OfferStatus.REFUSED)
            return error
        if outcome != Outcome.RAN:
            self._record(OfferStatus.BROKEN)
            raise self._error(
                ErrorCode.OUTCOME_UNKNOWN,
                "agent's answer has no outcome",
                Outcome.UNKNOWN,
            )
        return await self._async_pass_on(response)

    async def _async_read_refusal(
        self, response: ClientResponse
    ) -> AzurewickError:
        try:
            body = await response.content.read(MAX_ERROR_BYTES)
            error = AzurewickError.from_body(json.loads(body))
        except (ClientError, OSError, TimeoutError, ValueError):
            # The header alone proves not_run; the reason is lost.
            error = self._error(
                ErrorCode.NOT_READY, "agent refused", Outcome.NOT_RUN
            )
        error.outcome = Outcome.NOT_RUN
        error.peer = error.peer or self._server.name
        return error

    async def _async_pass_on(self, response: ClientResponse) -> Answer:
        head = AnswerHead(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            content_length=response.content_length,
        )
        try:
            if (
                head.content_length is not None
                and head.content_length <= WINDOW_BYTES
            ):
                # A short answer is passed on when it is whole, so that the
                # caller gets an error and not a part of it.
                await self._async_pass_whole(response, head)
            else:
                await self._async_pass_stream(response, head)
        except (ClientError, OSError, TimeoutError) as err:
            self._record_crash()
            raise self._error(
                ErrorCode.STREAM_BROKEN,
                f"answer is not whole: {err!r}",
                Outcome.UNKNOWN,
            ) from err
        self._record_finished(head)
        self._running.buffer.close()
        return Answer(
            status=head.status,
            content_type=head.content_type,
            body=self._meter.history,
        )

    async def _async_pass_whole(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        body = await response.read()
        self._meter.record(body, monotonic_s())
        self._running.start_answer(head)
        await self._running.buffer.async_append(body)

    async def _async_pass_stream(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        self._running.start_answer(head)
        splitter = EventSplitter() if head.is_event_stream else None
        append = self._running.buffer.async_append
        async for chunk in response.content.iter_any():
            self._meter.record(chunk, monotonic_s())
            await append(splitter.feed(chunk) if splitter else chunk)
        if splitter is not None:
            await append(splitter.finish())

    def _record_finished(self, head: AnswerHead) -> None:
        if head.status >= 500:
            self._record(OfferStatus.FAILED)
            if self._is_crash_answer(head):
                self._record_suspicion()
            return
        self._components.poison.record_success(self._offer.fingerprint)
        self._record(OfferStatus.FINISHED, head.is_event_stream)

    def _is_crash_answer(self, head: AnswerHead) -> bool:
        if head.status != 502:
            return False
        try:
            body = json.loads(self._meter.read_tail())
            return AzurewickError.from_body(body).code in CRASH_CODES
        except ValueError:
            return False

    def _record_crash(self) -> None:
        self._record(OfferStatus.BROKEN)
        self._record_suspicion()

    def _record_suspicion(self) -> None:
        self._components.poison.record_crash(
            self._server.name,
            self._incarnation,
            (self._offer.fingerprint,),
            monotonic_s(),
        )

    def _record(
        self, status: OfferStatus, is_event_stream: bool = False
    ) -> None:
        now_s = monotonic_s()
        usage = self._meter.read_usage(is_event_stream)
        first_s = self._meter.first_chunk_s
        result = OfferResult(
            status=status,
            first_token_s=None if first_s is None else first_s - self._sent_s,
            duration_s=now_s - self._sent_s,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            output_tokens=usage.output_tokens,
        )
        self._pool.record_result(self._offer, self._server, result, now_s)
        if status is OfferStatus.FINISHED:
            self._components.metrics.observe_answer(
                self._running.context, self._meter
            )

    def _cancel(self) -> None:
        self._record(OfferStatus.CANCELLED)
        self._components.background.create_task(
            self._components.agents.async_cancel(
                self._server, self._offer.request_id
            )
        )

    def _error(
        self, code: ErrorCode, message: str, outcome: Outcome
    ) -> AzurewickError:
        return AzurewickError(
            code,
            message,
            step=Step.OFFER,
            peer=self._server.name,
            outcome=outcome,
        )
