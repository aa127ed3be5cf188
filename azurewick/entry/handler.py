"""HTTP handler of callers' requests."""

from __future__ import annotations

from asyncio import CancelledError
from collections.abc import Callable
from functools import partial
from logging import getLogger
from random import Random
from typing import NoReturn

from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import Response
from aiohttp.web import StreamResponse

from azurewick.const import HEADER_RETRY_AFTER
from azurewick.entry.context import EntryContext
from azurewick.entry.drain import Drain
from azurewick.entry.exchange import BrokenAnswerError
from azurewick.entry.exchange import Exchange
from azurewick.entry.filters import DrainFilter
from azurewick.entry.metrics import EntryMetrics
from azurewick.entry.models import AnswerHead
from azurewick.entry.models import CallerRequest
from azurewick.entry.open_requests import OpenRequest
from azurewick.entry.open_requests import OpenRequests
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.quota import QuotaLimiter
from azurewick.entry.relay import CallerDisconnectedError
from azurewick.entry.request_body import BodyMemory
from azurewick.entry.retry_after import jittered_retry_after_s
from azurewick.entry.services import ServicePools
from azurewick.entry.trace import AttemptTrace
from azurewick.entry.trace import ExchangeTrace
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.helpers.caller_abort import mark_answer_broken
from azurewick.helpers.filter_chain import FilterChain

_LOGGER = getLogger(__name__)

CODE_OK = "ok"
CODE_BROKEN = "broken"
CODE_CALLER_LEFT = "caller_left"


class CallerWriter:
    """AnswerWriter that sends an answer over the caller's connection."""

    def __init__(self, http_request: BaseRequest, drain: Drain) -> None:
        self.response: StreamResponse | None = None
        self._http_request = http_request
        self._drain = drain

    async def async_start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head of the answer."""
        response = StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        if length is not None:
            response.content_length = length
        if self._drain.is_active:
            response.force_close()
        self.response = response
        try:
            await response.prepare(self._http_request)
        except ConnectionError as err:
            raise CallerDisconnectedError from err

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        try:
            await self.response.write(data)
        except ConnectionError as err:
            # A ConnectionError would count as a failure of the backend
            # server.
            raise CallerDisconnectedError from err


class EntryHandler:
    """Applies the filters to each request and dispatches it."""

    def __init__(
        self,
        *,
        protocol: WireProtocol,
        filters: FilterChain[EntryContext],
        pools: ServicePools,
        limiter: QuotaLimiter,
        drain: Drain,
        drain_filter: DrainFilter,
        body_memory: BodyMemory,
        metrics: EntryMetrics,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._protocol = protocol
        self._filters = filters
        self._pools = pools
        self._limiter = limiter
        self._drain = drain
        self._drain_filter = drain_filter
        self._body_memory = body_memory
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self.open_requests = OpenRequests()

    async def async_handle(self, http_request: BaseRequest) -> StreamResponse:
        """Answer one request."""
        request = self._protocol.decode_request(http_request, self._clock())
        open_request = OpenRequest(
            context=EntryContext(http_request=http_request, request=request)
        )
        self.open_requests.add(open_request)
        self._update_gauges()
        try:
            return await self._async_answer(open_request)
        finally:
            self.open_requests.remove(open_request)
            self._update_gauges()

    def _update_gauges(self) -> None:
        self._metrics.active.set({}, len(self.open_requests))
        self._metrics.body_bytes.set({}, self._body_memory.held_bytes)

    async def _async_answer(self, open_request: OpenRequest) -> StreamResponse:
        context = open_request.context
        http_request = context.http_request
        trace = ExchangeTrace()
        writer = CallerWriter(http_request, self._drain)
        try:
            async with open_request.limit:
                await self._filters.async_apply(context)
                exchange = self._build_exchange(context, writer)
                open_request.exchange = exchange
                trace = exchange.trace
                await exchange.async_run()
                assert writer.response is not None
                await writer.response.write_eof()
            self._record(context, trace, CODE_OK)
            return writer.response
        except AzurewickError as err:
            return self._refuse(context, trace, err)
        except TimeoutError:
            if not open_request.limit.expired():
                raise
            error = open_request.build_stop_error()
            if writer.response is None:
                return self._refuse(context, trace, error)
            self._record(context, trace, CODE_BROKEN, error)
            _abort_connection(http_request)
        except BrokenAnswerError as err:
            self._record(context, trace, CODE_BROKEN, err.__cause__)
            _abort_connection(http_request)
        except (
            CancelledError,
            ConnectionError,
            CallerDisconnectedError,
        ) as err:
            self._record(context, trace, CODE_CALLER_LEFT, err)
            raise CancelledError from err
        finally:
            if context.body is not None:
                context.body.release()

    def _refuse(
        self,
        context: EntryContext,
        trace: ExchangeTrace,
        error: AzurewickError,
    ) -> Response:
        """Return the error response; record the end of the request."""
        response = self._build_error_response(error, context.request)
        self._refund_quota(context, error)
        trace.status = response.status
        self._record(context, trace, error.code.value, error)
        return response

    def _build_exchange(
        self, context: EntryContext, writer: CallerWriter
    ) -> Exchange:
        route = context.route
        assert route is not None
        customer = context.customer
        service = self._pools.choose_service(route)
        return Exchange(
            self._pools.exchange_parts(service),
            context.request,
            route,
            customer="" if customer is None else customer.name,
            rank=context.rank,
            body=context.body,
            traits=context.traits,
            writer=writer,
            check_first_send=partial(
                self._drain_filter.raise_if_late, route, context.request
            ),
            homes=self._pools.home_regions.bind(
                context.request, route, customer
            ),
        )

    def _refund_quota(
        self, context: EntryContext, error: AzurewickError
    ) -> None:
        if context.quota_cost and error.outcome is Outcome.NOT_RUN:
            assert context.customer is not None
            self._limiter.refund(context.customer, context.quota_cost)

    def _build_error_response(
        self, error: AzurewickError, request: CallerRequest
    ) -> Response:
        headers: dict[str, str] = {}
        body = error.as_body()
        if error.retry_after_s is not None:
            retry_after_s = round(
                jittered_retry_after_s(
                    error.retry_after_s, request.deadline_s, self._random
                ),
                3,
            )
            body["error"]["retry_after_s"] = retry_after_s
            headers[HEADER_RETRY_AFTER] = str(retry_after_s)
        response = json_response(
            body, status=error.http_status, headers=headers
        )
        if self._drain.is_active or error.code in (
            ErrorCode.BODY_TOO_LARGE,
            ErrorCode.REQUEST_TIMEOUT,
        ):
            response.force_close()
        return response

    def _record(
        self,
        context: EntryContext,
        trace: ExchangeTrace,
        code: str,
        cause: BaseException | None = None,
    ) -> None:
        now_s = self._clock()
        request = context.request
        route = "" if context.route is None else context.route.name
        took_s = now_s - request.received_s
        self._metrics.count_request(route, code, took_s)
        configuration = context.configuration
        _LOGGER.info(
            "request ended",
            extra={
                "request_id": request.request_id,
                "route": route,
                "customer": (
                    "" if context.customer is None else context.customer.name
                ),
                "rank": context.rank,
                "quota_cost": context.quota_cost,
                "outcome": code,
                "status": trace.status,
                "attempts": [
                    _attempt_fields(attempt) for attempt in trace.attempts
                ],
                "waited_s": round(trace.waited_s, 4),
                "took_s": round(took_s, 4),
                "bytes_sent": trace.bytes_sent,
                "configuration_version": (
                    0 if configuration is None else configuration.version
                ),
                "reason": "" if cause is None else str(cause)[:200],
            },
        )


def _attempt_fields(attempt: AttemptTrace) -> dict[str, object]:
    first_byte_s = attempt.first_byte_s
    list_age_s = attempt.list_age_s
    return {
        "server": attempt.server,
        "load": attempt.load,
        "revision": attempt.revision,
        "is_listed": attempt.is_listed,
        "list_age_s": None if list_age_s is None else round(list_age_s, 3),
        "sent_s": round(attempt.sent_s, 4),
        "first_byte_s": (
            None if first_byte_s is None else round(first_byte_s, 4)
        ),
        "outcome": attempt.outcome,
        "bytes_received": attempt.bytes_received,
        "bytes_sent": attempt.bytes_sent,
        "framing": attempt.framing,
        "ending": attempt.ending,
    }


def _abort_connection(http_request: BaseRequest) -> NoReturn:
    """Close the connection so that the caller sees an incomplete answer.

    Raises CancelledError, on which aiohttp doesn't send the final chunk.
    """
    mark_answer_broken(http_request)
    if http_request.transport is not None:
        http_request.transport.close()
    raise CancelledError
