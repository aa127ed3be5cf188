"""One offer to one agent, and the forwarding of its answer."""

from __future__ import annotations

from asyncio import CancelledError
from http import HTTPStatus
import json

from aiohttp import ClientError
from aiohttp import ClientPayloadError
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
from azurewick.helpers.http_client import answer_framing
from azurewick.helpers.http_client import FRAMING_CHUNKS
from azurewick.helpers.http_client import FRAMING_LENGTH
from azurewick.models import BackendServer
from azurewick.models import Offer
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

# Size limit of answers stored with a claim. The meter keeps one byte more to
# show that an answer exceeds it.
MAX_CLAIM_ANSWER_BYTES = 16_384
# Largest part of an answer that is forwarded at once.
MAX_CHUNK_BYTES = 32_768
MAX_ERROR_BODY_BYTES = 16_384
# Error codes of an agent whose backend server failed during the run.
CRASH_CODES = frozenset({ErrorCode.BACKEND_FAILED, ErrorCode.STREAM_BROKEN})
# Headers of an answer that callers need to interpret it. Other headers, such
# as Connection, apply only between gateway and agent.
FORWARDED_HEADERS = (
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "ETag",
    "Location",
    "Retry-After",
)


class OfferRun:
    """Sends one offer to one agent and forwards the answer."""

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
            0 if offer.repeatable else MAX_CLAIM_ANSWER_BYTES + 1
        )
        self._incarnation = offer.incarnation
        self._sent_s = monotonic_s()

    async def async_run(self) -> Answer | AzurewickError:
        """Send the offer and forward the answer to the callers.

        Returns the answer, or the error of an agent that did not run the
        request. Raises AzurewickError when it may have run.
        """
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
            self._record_result(OfferStatus.REFUSED)
            self._pool.forget_incarnation(self._server.name)
            return self._error(
                ErrorCode.BACKEND_UNREACHABLE,
                f"could not connect to agent {self._server.name}: {err}",
                Outcome.NOT_RUN,
            )
        except AgentAnswerLostError as err:
            self._record_broken(err.is_timeout)
            if self._offer.repeatable:
                # A paused agent must not run the request when it resumes.
                self._send_cancel()
            raise self._error(
                ErrorCode.OUTCOME_UNKNOWN,
                f"no response from agent {self._server.name}: {err}",
                Outcome.UNKNOWN,
            ) from err
        except CancelledError:
            self._cancel()
            raise
        try:
            return await self._async_handle_response(response)
        except CancelledError:
            self._cancel()
            raise
        finally:
            # Has no effect when the answer was read to its end.
            response.close()

    async def _async_handle_response(
        self, response: ClientResponse
    ) -> Answer | AzurewickError:
        self._components.cluster.record_success(
            self._server.name, monotonic_s()
        )
        report = self._pool.record_load(response, self._server.name)
        if report is not None:
            self._incarnation = report.incarnation
        outcome = response.headers.get(HEADER_OUTCOME)
        if outcome == Outcome.NOT_RUN:
            error = await self._async_read_refusal(response)
            self._record_result(OfferStatus.REFUSED)
            return error
        if outcome != Outcome.RAN:
            self._record_result(OfferStatus.BROKEN)
            raise self._error(
                ErrorCode.OUTCOME_UNKNOWN,
                f"response of agent {self._server.name} has no valid"
                f" {HEADER_OUTCOME} header",
                Outcome.UNKNOWN,
            )
        return await self._async_forward_answer(response)

    async def _async_read_refusal(
        self, response: ClientResponse
    ) -> AzurewickError:
        try:
            body = b""
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > MAX_ERROR_BODY_BYTES:
                    raise ValueError(
                        f"error body exceeds {MAX_ERROR_BODY_BYTES} bytes"
                    )
            error = AzurewickError.from_body(json.loads(body))
        except (ClientError, OSError, TimeoutError, ValueError):
            # The outcome header is enough to know that the request was not
            # run; only the reason is unknown.
            error = self._error(
                ErrorCode.NOT_READY,
                f"agent {self._server.name} refused the request without a"
                " readable reason",
                Outcome.NOT_RUN,
            )
        # An agent that already knows the request id may have dispatched the
        # request after an earlier offer.
        error.outcome = (
            Outcome.UNKNOWN
            if error.code is ErrorCode.DUPLICATE_REQUEST
            else Outcome.NOT_RUN
        )
        error.peer = error.peer or self._server.name
        return error

    async def _async_forward_answer(self, response: ClientResponse) -> Answer:
        head = AnswerHead(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            content_length=response.content_length,
            headers=tuple(
                (name, response.headers[name])
                for name in FORWARDED_HEADERS
                if name in response.headers
            ),
        )
        try:
            if self._is_unframed(response):
                # Its end can't be told from that of a broken connection.
                raise ClientPayloadError("no length and no chunks")
            if (
                head.content_length is not None
                and head.content_length <= WINDOW_BYTES
            ):
                # A short answer is forwarded only when it is complete, so
                # that the caller gets an error instead of a part of it.
                await self._async_forward_buffered(response, head)
            else:
                await self._async_forward_stream(response, head)
        except (ClientError, OSError, TimeoutError) as err:
            self._record_broken(isinstance(err, TimeoutError))
            raise self._error(
                ErrorCode.STREAM_BROKEN,
                f"answer of agent {self._server.name} is incomplete: {err!r}",
                Outcome.UNKNOWN,
            ) from err
        self._record_finished(head)
        self._running.buffer.close()
        return Answer(
            status=head.status,
            content_type=head.content_type,
            body=self._meter.kept_body,
        )

    def _is_unframed(self, response: ClientResponse) -> bool:
        has_body = self._offer.method != "HEAD" and response.status not in (
            HTTPStatus.NO_CONTENT,
            HTTPStatus.NOT_MODIFIED,
        )
        return has_body and answer_framing(response) not in (
            FRAMING_LENGTH,
            FRAMING_CHUNKS,
        )

    async def _async_forward_buffered(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        body = await response.read()
        self._meter.record(body, monotonic_s())
        self._running.start_answer(head)
        await self._running.buffer.async_append(body)

    async def _async_forward_stream(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        self._running.start_answer(head)
        splitter = EventSplitter() if head.is_event_stream else None
        append = self._running.buffer.async_append
        async for chunk in response.content.iter_chunked(MAX_CHUNK_BYTES):
            self._meter.record(chunk, monotonic_s())
            await append(splitter.feed(chunk) if splitter else chunk)
        if splitter is not None:
            await append(splitter.finish())

    def _record_finished(self, head: AnswerHead) -> None:
        if head.status >= 500:
            self._record_result(OfferStatus.FAILED)
            self._components.metrics.count_service_level(
                self._offer.request_class, False
            )
            if self._is_crash_answer(head):
                self._record_crash()
            return
        self._components.poison.record_success(self._offer.fingerprint)
        self._record_result(OfferStatus.FINISHED, head.is_event_stream)

    def _is_crash_answer(self, head: AnswerHead) -> bool:
        if head.status != 502:
            return False
        try:
            body = json.loads(self._meter.read_tail())
            return AzurewickError.from_body(body).code in CRASH_CODES
        except ValueError:
            return False

    def _record_broken(self, is_timeout: bool) -> None:
        self._record_result(OfferStatus.BROKEN)
        self._pool.forget_incarnation(self._server.name)
        # An agent that sends nothing may be paused or unreachable. Only a
        # closed connection indicates a crash.
        if not is_timeout:
            self._record_crash()

    def _record_crash(self) -> None:
        self._components.poison.record_crash(
            self._server.name,
            self._incarnation,
            (self._offer.fingerprint,),
            monotonic_s(),
        )

    def _record_result(
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
        self._record_result(OfferStatus.CANCELLED)
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
