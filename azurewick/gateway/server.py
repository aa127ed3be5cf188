"""HTTP request handler for callers."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import Event
from functools import partial
from random import Random

from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import StreamResponse

from azurewick.const import HEADER_REQUEST_CLASS
from azurewick.const import PATH_CHAT_COMPLETIONS
from azurewick.const import PATH_HEALTH
from azurewick.const import PATH_READY
from azurewick.const import PREFIX_SERVICES
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext
from azurewick.gateway.context import RequestIds
from azurewick.gateway.execution import RequestExecutor
from azurewick.gateway.filters.admission import CustomerLimitFilter
from azurewick.gateway.filters.admission import IdempotencyKeyFilter
from azurewick.gateway.filters.admission import PoisonFilter
from azurewick.gateway.filters.admission import ReadinessFilter
from azurewick.gateway.filters.identity import AuthenticationFilter
from azurewick.gateway.filters.identity import ClassFilter
from azurewick.gateway.filters.limits import BodyFilter
from azurewick.gateway.filters.limits import HeaderLimitFilter
from azurewick.gateway.metrics import CODE_OK
from azurewick.gateway.responder import abort_connection
from azurewick.gateway.responder import BrokenAnswerError
from azurewick.gateway.responder import Responder
from azurewick.gateway.status import build_status
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.filter_chain import FilterChain

PATH_STATUS = "/v1/status"
# Errors caused by the caller don't count against the service level.
CALLER_ERROR_STATUSES = range(400, 500)


class GatewayRequestHandler:
    """Applies the filters to each request, runs it and writes the answer."""

    def __init__(
        self,
        components: GatewayComponents,
        executor: RequestExecutor,
        random: Random,
    ) -> None:
        settings = components.settings
        self.readiness = ReadinessFilter(components.cluster)
        self.request_ids = RequestIds(settings.name)
        self._components = components
        self._executor = executor
        self._active = 0
        self._idle = Event()
        self._idle.set()
        self._responder = Responder(random)
        self._filters = FilterChain(
            (
                HeaderLimitFilter(),
                self.readiness,
                AuthenticationFilter(components.cluster),
                ClassFilter(components.cluster),
                IdempotencyKeyFilter(),
                CustomerLimitFilter(components.limiter),
                BodyFilter(settings.max_body_bytes),
                PoisonFilter(components.poison),
                # The gateway may have become unready while receiving the body.
                self.readiness,
            )
        )

    async def async_handle(self, request: BaseRequest) -> StreamResponse:
        """Answer a health, readiness or status check, or run a request."""
        path = request.path
        if path == PATH_HEALTH:
            return json_response({"status": "ok"})
        if path == PATH_READY:
            return self._build_readiness()
        if path == PATH_STATUS:
            return json_response(
                build_status(
                    self._components,
                    self._executor,
                    self.readiness.is_ready,
                    monotonic_s(),
                )
            )
        self._active += 1
        self._idle.clear()
        try:
            response = await self._async_handle_request(request)
        finally:
            self._active -= 1
            if not self._active:
                self._idle.set()
        if self.readiness.draining:
            response.force_close()
        return response

    async def async_wait_idle(self) -> None:
        """Wait until all callers have received their answers."""
        await self._idle.wait()

    def _build_readiness(self) -> StreamResponse:
        if self.readiness.is_ready:
            return json_response({"ready": True})
        return json_response(
            {"ready": False, "draining": self.readiness.draining}, status=503
        )

    async def _async_handle_request(
        self, request: BaseRequest
    ) -> StreamResponse:
        context = self._build_context(request)
        try:
            _set_pool_and_path(context, request)
            await self._filters.async_apply(context)
            return await self._async_run(request, context)
        except AzurewickError as err:
            self._count_error(context, err)
            response = self._responder.build_error(err, context.request_id)
            if not request.content.is_eof():
                # Close the connection instead of reading the refused body.
                response.force_close()
            return response
        except BrokenAnswerError as err:
            self._count_error(context, err.error)
            abort_connection(request, err.abort_delay_s)
        except CancelledError:
            self._components.metrics.count_request(
                context.class_label, Outcome.UNKNOWN, ErrorCode.CANCELLED
            )
            raise

    async def _async_run(
        self, request: BaseRequest, context: RequestContext
    ) -> StreamResponse:
        running = self._executor.start_or_join(context)
        try:
            response = await self._responder.async_write_answer(
                request, running, context.request_id
            )
        finally:
            self._executor.cancel_if_abandoned(running)
        code = CODE_OK if response.status < 500 else ErrorCode.BACKEND_FAILED
        self._components.metrics.count_request(
            context.class_label, Outcome.RAN, code
        )
        return response

    def _build_context(self, request: BaseRequest) -> RequestContext:
        expects_continue = (
            request.headers.get("Expect", "").lower() == "100-continue"
        )
        return RequestContext(
            method=request.method,
            path=request.raw_path,
            headers=request.headers,
            payload=request.content if request.body_exists else None,
            send_continue=(
                partial(_async_send_continue, request)
                if expects_continue
                else None
            ),
            received_s=monotonic_s(),
            request_id=self.request_ids.create(),
            header_bytes=sum(
                len(name) + len(value) for name, value in request.raw_headers
            ),
            header_fields=len(request.raw_headers),
            content_type=request.headers.get(
                "Content-Type", "application/json"
            ),
        )

    def _count_error(
        self, context: RequestContext, error: AzurewickError
    ) -> None:
        metrics = self._components.metrics
        metrics.count_request(
            context.class_label, error.outcome.value, error.code.value
        )
        if (
            context.class_label
            and error.http_status not in CALLER_ERROR_STATUSES
        ):
            metrics.count_service_level(context.class_label, False)


def _set_pool_and_path(context: RequestContext, request: BaseRequest) -> None:
    """Set the pool and the backend path from the URL path.

    Raises AzurewickError for an unknown path or a wrong method.
    """
    path = context.path
    if path == PATH_CHAT_COMPLETIONS:
        if request.method == "POST":
            return
        raise _invalid_request(f"{PATH_CHAT_COMPLETIONS} accepts POST only")
    if not path.startswith(PREFIX_SERVICES):
        raise _invalid_request(
            f"unknown path: expected {PATH_CHAT_COMPLETIONS} or"
            f" {PREFIX_SERVICES}POOL/PATH, with the class in the header"
            f" {HEADER_REQUEST_CLASS}"
        )
    pool, separator, rest = path[len(PREFIX_SERVICES) :].partition("/")
    if not pool or not separator:
        raise _invalid_request(
            f"path does not match {PREFIX_SERVICES}POOL/PATH"
        )
    context.pool = pool
    context.path = f"/{rest}"


async def _async_send_continue(request: BaseRequest) -> None:
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # aiohttp treats any output as the start of the response.
    request.writer.output_size = 0


def _invalid_request(message: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.INVALID_REQUEST, message, step=Step.RECEIVE
    )
