"""HTTP port of the agent: dispatch, cancellation, health and readiness."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import current_task
from asyncio import timeout
from asyncio import Transport
from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import asdict
import json
from typing import Final
from typing import Protocol
from weakref import WeakSet

from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp.web import Application
from aiohttp.web import HTTPRequestEntityTooLarge
from aiohttp.web import json_response
from aiohttp.web import Request
from aiohttp.web import Response
from aiohttp.web import StreamResponse

from azurewick.agent.backend import BackendClient
from azurewick.agent.dispatcher import Dispatcher
from azurewick.agent.dispatcher import Slot
from azurewick.agent.offer import parse_cancel
from azurewick.agent.offer import parse_offer
from azurewick.agent.rates import ResponseTiming
from azurewick.agent.usage import parse_usage
from azurewick.agent.usage import USAGE_TAIL_BYTES
from azurewick.const import CONTENT_TYPE_EVENTS
from azurewick.const import HEADER_LOAD
from azurewick.const import HEADER_OFFER
from azurewick.const import HEADER_OUTCOME
from azurewick.const import HEADER_RETRY_AFTER
from azurewick.const import MAX_BODY_BYTES
from azurewick.const import PATH_AGENT_CANCEL
from azurewick.const import PATH_AGENT_DISPATCH
from azurewick.const import PATH_HEALTH
from azurewick.const import PATH_READY
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.helpers.caller_abort import mark_answer_broken
from azurewick.models import LoadReport
from azurewick.models import Offer

BODY_TIMEOUT_S: Final = 30.0
# A gateway that reads nothing for this long loses its connection, so that a
# hung gateway doesn't hold a slot of the backend server for ever.
SLOW_READER_TIMEOUT_S: Final = 60.0

# Hop-by-hop headers, and those that the agent sets itself.
_NOT_FORWARDED_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "date",
        "server",
    }
)
_INTERNAL_HEADER_PREFIX: Final = "x-azurewick-"


class BackendMonitor(Protocol):
    """Receiver of events on the connections to the backend server."""

    def record_start(self, offer: Offer) -> None:
        """Record that a request is sent to the backend server."""

    def record_end(self, offer: Offer) -> None:
        """Record that a request ended without a broken connection."""

    def record_broken_connection(self, offer: Offer) -> None:
        """Record that the backend server broke a connection."""

    def record_refused_connection(self, offer: Offer) -> None:
        """Record that the backend server refused a connection."""

    def is_poison(self, fingerprint: str) -> bool:
        """Return whether requests with the fingerprint are refused."""

    def record_outcome(self, tier: int, code: str) -> None:
        """Count the end of a request.

        code is an error code, "finished" or "reader_lost".
        """


class DispatchApi:
    """Handlers of the HTTP port.

    build_load_report returns the current load; clock returns monotonic
    seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        backend: BackendClient,
        monitor: BackendMonitor,
        build_load_report: Callable[[], LoadReport],
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._backend = backend
        self._monitor = monitor
        self._build_load_report = build_load_report
        self._clock = clock
        self._transports: WeakSet[Transport] = WeakSet()

    @property
    def is_flushed(self) -> bool:
        """Return whether no response byte waits to be written."""
        return not any(
            transport.get_write_buffer_size()
            for transport in self._transports
            if not transport.is_closing()
        )

    def build_application(self) -> Application:
        """Return the application with the routes of the port."""
        app = Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post(PATH_AGENT_DISPATCH, self.async_dispatch)
        app.router.add_post(PATH_AGENT_CANCEL, self.async_cancel)
        app.router.add_get(PATH_HEALTH, self.async_health)
        app.router.add_get(PATH_READY, self.async_ready)
        return app

    async def async_health(self, request: Request) -> Response:
        """Return 200 while the process runs."""
        return json_response({"status": "ok"})

    async def async_ready(self, request: Request) -> Response:
        """Return 200 if the agent takes new work, otherwise 503."""
        ready = self._dispatcher.is_ready
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def async_cancel(self, request: Request) -> Response:
        """Cancel a request and return what is known about its run."""
        try:
            cancel = parse_cancel(await _async_read_body(request))
        except AzurewickError as err:
            return self._build_error_response(err)
        outcome = self._dispatcher.cancel(
            cancel.request_id, cancel.incarnation
        )
        return json_response(
            {
                "request_id": cancel.request_id,
                "outcome": outcome.value,
                "incarnation": self._dispatcher.incarnation,
            }
        )

    async def async_dispatch(self, request: Request) -> StreamResponse:
        """Queue an offer, run it and stream its response."""
        tier = -1
        if isinstance(request.transport, Transport):
            self._transports.add(request.transport)
        try:
            offer = parse_offer(request.headers.get(HEADER_OFFER, ""))
            tier = offer.tier
            slot = await self._async_admit(request, offer)
        except AzurewickError as err:
            self._monitor.record_outcome(tier, err.code.value)
            return self._build_error_response(err)
        try:
            return await self._async_run(request, slot)
        except AzurewickError as err:
            self._monitor.record_outcome(tier, err.code.value)
            return self._build_error_response(err)
        finally:
            self._dispatcher.release(slot)

    async def _async_admit(self, request: Request, offer: Offer) -> Slot:
        self._dispatcher.check(offer)
        if offer.fingerprint and self._monitor.is_poison(offer.fingerprint):
            raise AzurewickError(
                ErrorCode.POISON_REQUEST,
                "the request was in flight at repeated crashes of backend"
                " servers",
                step=Step.QUEUE,
                peer=self._dispatcher.name,
            )
        await _async_read_body(request)
        return await self._dispatcher.async_acquire(offer)

    async def _async_run(self, request: Request, slot: Slot) -> StreamResponse:
        offer = slot.offer
        task = current_task()
        slot.cancel = task.cancel if task is not None else None
        # The body was read before the request was queued; this returns the
        # cached bytes.
        body = await request.read()
        started_s = self._clock()
        self._monitor.record_start(offer)
        try:
            response = await self._backend.async_send(
                offer, body, slot.sent.set
            )
            async with response:
                slot.ran = True
                return await self._async_forward_response(
                    request, slot, response, started_s
                )
        except AzurewickError as err:
            self._record_failed_send(slot, err)
            raise
        except CancelledError:
            self._monitor.record_outcome(offer.tier, "cancelled")
            _abort_connection(request)
            await self._backend.async_cancel(offer.request_id)
            raise
        finally:
            self._monitor.record_end(offer)

    def _record_failed_send(self, slot: Slot, err: AzurewickError) -> None:
        if err.outcome is Outcome.NOT_RUN:
            self._dispatcher.release_unsent(slot)
            self._monitor.record_refused_connection(slot.offer)
        else:
            self._monitor.record_broken_connection(slot.offer)

    async def _async_forward_response(
        self,
        request: Request,
        slot: Slot,
        response: ClientResponse,
        started_s: float,
    ) -> StreamResponse:
        """Forward the response; abort the connection when it is incomplete.

        The final chunk is written only after the response of the backend
        server is complete.
        """
        forwarded = self._build_response(slot.offer, response)
        tail = b""
        first_chunk_s: float | None = None
        try:
            await forwarded.prepare(request)
            async for chunk in _async_iterate_body(slot.offer, response):
                if first_chunk_s is None:
                    first_chunk_s = self._clock()
                    self._dispatcher.record_first_token(slot)
                tail = (tail + chunk)[-USAGE_TAIL_BYTES:]
                # The HTTP client stops reading from the backend server
                # while this waits for a slow gateway.
                async with timeout(SLOW_READER_TIMEOUT_S):
                    await forwarded.write(chunk)
            await forwarded.write_eof()
        except _IncompleteResponseError:
            self._monitor.record_broken_connection(slot.offer)
            self._monitor.record_outcome(slot.offer.tier, "stream_broken")
            _abort_connection(request)
        except (TimeoutError, ClientError, OSError):
            self._monitor.record_outcome(slot.offer.tier, "reader_lost")
            _abort_connection(request)
        else:
            self._record_finished(
                slot,
                tail,
                ResponseTiming(
                    is_streamed=response.content_type == CONTENT_TYPE_EVENTS,
                    first_byte_s=(first_chunk_s or started_s) - started_s,
                    duration_s=self._clock() - started_s,
                    decoding=self._dispatcher.decoding,
                ),
            )
        return forwarded

    def _build_response(
        self, offer: Offer, response: ClientResponse
    ) -> StreamResponse:
        forwarded = StreamResponse(
            status=response.status, reason=response.reason
        )
        for name, value in response.headers.items():
            lower = name.lower()
            if lower not in _NOT_FORWARDED_HEADERS and not lower.startswith(
                _INTERNAL_HEADER_PREFIX
            ):
                forwarded.headers.add(name, value)
        if _has_no_body(offer, response):
            forwarded.headers.popall("Content-Length", None)
        forwarded.headers[HEADER_OUTCOME] = Outcome.RAN.value
        forwarded.headers[HEADER_LOAD] = self._format_load_header()
        return forwarded

    def _record_finished(
        self, slot: Slot, tail: bytes, timing: ResponseTiming
    ) -> None:
        self._monitor.record_outcome(slot.offer.tier, "finished")
        dispatcher = self._dispatcher
        if not dispatcher.is_model:
            dispatcher.rates.record_service_duration(timing.duration_s)
            return
        usage = parse_usage(tail)
        if usage is None:
            return
        now_s = self._clock()
        inter_token_s = dispatcher.rates.record_response(usage, timing, now_s)
        if inter_token_s is not None:
            dispatcher.limit.record_step(
                dispatcher.running,
                inter_token_s,
                dispatcher.inter_token_target_s,
                now_s,
            )

    def _build_error_response(self, err: AzurewickError) -> Response:
        headers = {HEADER_LOAD: self._format_load_header()}
        if err.outcome is not Outcome.UNKNOWN:
            headers[HEADER_OUTCOME] = err.outcome.value
        if err.retry_after_s is not None:
            headers[HEADER_RETRY_AFTER] = str(max(1, round(err.retry_after_s)))
        return json_response(
            err.as_body(), status=err.http_status, headers=headers
        )

    def _format_load_header(self) -> str:
        return json.dumps(
            asdict(self._build_load_report()), separators=(",", ":")
        )


async def _async_read_body(request: Request) -> bytes:
    try:
        async with timeout(BODY_TIMEOUT_S):
            return await request.read()
    except HTTPRequestEntityTooLarge as err:
        raise AzurewickError(
            ErrorCode.BODY_TOO_LARGE,
            f"the body is larger than {MAX_BODY_BYTES} bytes",
            step=Step.RECEIVE,
        ) from err
    except TimeoutError as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"the body did not arrive within {BODY_TIMEOUT_S:g} s",
            step=Step.RECEIVE,
        ) from err


class _IncompleteResponseError(Exception):
    """The response of the backend server is incomplete."""


def _has_no_body(offer: Offer, response: ClientResponse) -> bool:
    return offer.method == "HEAD" or response.status in (204, 304)


async def _async_iterate_body(
    offer: Offer, response: ClientResponse
) -> AsyncIterator[bytes]:
    """Yield the body; raise _IncompleteResponseError if it is incomplete.

    A response without Content-Length or chunked encoding ends when its
    connection closes. That can't be told from a broken connection, so it
    counts as incomplete.
    """
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (ClientError, OSError) as err:
        raise _IncompleteResponseError from err
    if not (
        _has_no_body(offer, response)
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    ):
        raise _IncompleteResponseError


def _abort_connection(request: Request) -> None:
    """Close the connection without sending the final chunk."""
    mark_answer_broken(request)
    if request.transport is not None:
        request.transport.abort()
