"""One offer to one agent, and the answer to it."""

from __future__ import annotations

from asyncio import CancelledError
import json

from aiohttp import ClientError
from aiohttp import ClientResponse

from azurewick.claims.models import Answer
from azurewick.const import HEADER_OUTCOME
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
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

# The size limit of answers kept with a claim; one byte more shows that an
# answer is above it.
CLAIM_ANSWER_BYTES = 16_384
# Largest part of an answer that is passed on at once.
CHUNK_BYTES = 32_768
MAX_ERROR_BYTES = 16_384
# Answers of an agent whose backend server broke during the run.
CRASH_CODES = frozenset({ErrorCode.BACKEND_FAILED, ErrorCode.STREAM_BROKEN})
# Headers of an answer that callers need to read it; connection headers
# belong to the connection between gateway and agent.
PASSED_HEADERS = (
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "ETag",
    "Location",
    "Retry-After",
)


class OfferRun:
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
            self._pool.forget_incarnation(self._server.name)
            return self._error(
                ErrorCode.BACKEND_UNREACHABLE,
                f"no connection to the agent: {err}",
                Outcome.NOT_RUN,
            )
        except AgentAnswerLostError as err:
            self._record_broken(err.is_silence)
            if self._offer.repeatable:
                # A paused agent must not run it when it resumes.
                self._send_cancel()
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
            # Has no effect when the answer has been read wholly.
            response.close()

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
            body = b""
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_ERROR_BYTES:
                    raise ValueError("error body is too long")
            error = AzurewickError.from_body(json.loads(body))
        except (ClientError, OSError, TimeoutError, ValueError):
            # The header alone proves not_run; the reason is lost.
            error = self._error(
                ErrorCode.NOT_READY, "agent refused", Outcome.NOT_RUN
            )
        # A known request id may have been dispatched by an earlier offer.
        error.outcome = (
            Outcome.UNKNOWN
            if error.code is ErrorCode.DUPLICATE_REQUEST
            else Outcome.NOT_RUN
        )
        error.peer = error.peer or self._server.name
        return error

    async def _async_pass_on(self, response: ClientResponse) -> Answer:
        head = AnswerHead(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            content_length=response.content_length,
            headers=tuple(
                (name, response.headers[name])
                for name in PASSED_HEADERS
                if name in response.headers
            ),
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
            self._record_broken(isinstance(err, TimeoutError))
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
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            self._meter.record(chunk, monotonic_s())
            await append(splitter.feed(chunk) if splitter else chunk)
        if splitter is not None:
            await append(splitter.finish())

    def _record_finished(self, head: AnswerHead) -> None:
        if head.status >= 500:
            self._record(OfferStatus.FAILED)
            self._components.metrics.count_level(
                self._offer.request_class, False
            )
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

    def _record_broken(self, is_silence: bool) -> None:
        self._record(OfferStatus.BROKEN)
        self._pool.forget_incarnation(self._server.name)
        # A silent agent is paused or cut off; only a closed connection is
        # the sign of a crash.
        if not is_silence:
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
        self._pool.record_result(
            self._offer,
            self._server,
            result,
            now_s,
            route=self._running.context.model,
        )
        if status is OfferStatus.FINISHED:
            self._components.metrics.observe_answer(
                self._running.context, self._meter
            )

    def _cancel(self) -> None:
        self._record(OfferStatus.CANCELLED)
        self._send_cancel()

    def _send_cancel(self) -> None:
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
