"""Filters that each request passes before it is dispatched."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp import StreamReader
from aiohttp.web import RequestPayloadError

from azurewick.entry.context import EntryContext
from azurewick.entry.crash_guard import CrashGuard
from azurewick.entry.drain import Drain
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route
from azurewick.entry.quota import QuotaLimiter
from azurewick.entry.quota import request_cost
from azurewick.entry.request_body import BodyMemory
from azurewick.entry.request_body import RequestBody
from azurewick.entry.request_traits import request_traits
from azurewick.entry.state import FleetState
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# A starting instance receives the configuration within a second.
RETRY_AFTER_NOT_READY_S = 0.5
# Short, as the caller's next connection goes to another instance.
RETRY_AFTER_DRAINING_S = 0.02
# Bodies are held until their answers end, some seconds for long prompts.
RETRY_AFTER_NO_MEMORY_S = 1.0
MAX_REQUEST_ID_BYTES = 128


class RouteFilter:
    """Sets the configuration and the route of a request."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    async def async_apply(self, context: EntryContext) -> None:
        """Set the route; refuse requests without a route or a valid id."""
        configuration = self._state.configuration
        if configuration is None or not self._state.is_ready:
            raise AzurewickError(
                ErrorCode.NOT_READY,
                "the configuration, the servers or the evacuations have not"
                " been received yet",
                step=Step.RECEIVE,
                retry_after_s=RETRY_AFTER_NOT_READY_S,
            )
        request = context.request
        if not 0 < len(request.request_id) <= MAX_REQUEST_ID_BYTES:
            raise AzurewickError(
                ErrorCode.INVALID_REQUEST,
                f"request id must have 1 to {MAX_REQUEST_ID_BYTES} bytes",
                step=Step.RECEIVE,
            )
        context.configuration = configuration
        context.route = configuration.routes.find(request.host, request.path)
        if context.route is None:
            raise AzurewickError(
                ErrorCode.UNKNOWN_ROUTE,
                "no route serves this host and path",
                step=Step.CLASSIFY,
            )


class DrainFilter:
    """Refuses requests that can't end before a draining instance stops.

    max_run_s estimates the longest run of a request. The time limit of the
    request replaces the estimate when the request couldn't be ended early: it
    may not run again elsewhere, or its answer is a stream.
    """

    def __init__(
        self,
        drain: Drain,
        max_run_s: Callable[[Route, CallerRequest], float],
        clock: Callable[[], float],
    ) -> None:
        self._drain = drain
        self._max_run_s = max_run_s
        self._clock = clock

    async def async_apply(self, context: EntryContext) -> None:
        """Refuse a request that can't end before the instance stops."""
        assert context.route is not None
        # Before it runs, it may wait for a server until its target.
        self.raise_if_late(
            context.route, context.request, wait_s=context.route.target_s
        )

    def raise_if_late(
        self, route: Route, request: CallerRequest, *, wait_s: float = 0.0
    ) -> None:
        """Raise AzurewickError if the request can't end before the stop.

        wait_s is how long it may wait before it runs.
        """
        if not self._drain.is_active:
            return
        now_s = self._clock()
        limit_s = None
        if not route.is_repeatable:
            limit_s = request.received_s + route.limit_s(request) - now_s
        run_s = wait_s + self._max_run_s(route, request)
        if self._drain.accepts(now_s, run_s, limit_s=limit_s):
            return
        raise AzurewickError(
            ErrorCode.DRAINING,
            "entry instance is shutting down",
            step=Step.RECEIVE,
            retry_after_s=RETRY_AFTER_DRAINING_S,
        )


class CustomerFilter:
    """Sets the customer by the API key."""

    async def async_apply(self, context: EntryContext) -> None:
        """Set the customer; refuse other callers on non-public routes."""
        configuration, route = context.configuration, context.route
        assert configuration is not None and route is not None
        if not configuration.customers:
            return
        key = context.request.api_key
        if key is not None:
            context.customer = configuration.customer_by_key.get(key)
        if context.customer is None and not route.is_public:
            raise AzurewickError(
                ErrorCode.UNKNOWN_KEY,
                "API key is missing or unknown",
                step=Step.AUTHENTICATE,
            )


class BodyFilter:
    """Reads the body within the configured size and time limits.

    Without memory for it, the request is refused before its body is read. An
    upload that takes long may lose its memory to other bodies.
    """

    def __init__(self, memory: BodyMemory, clock: Callable[[], float]) -> None:
        self._memory = memory
        self._clock = clock

    async def async_apply(self, context: EntryContext) -> None:
        """Set the body; refuse large, slow and malformed ones."""
        assert context.configuration is not None
        limits = context.configuration.limits
        http_request = context.http_request
        if not http_request.body_exists:
            return
        declared_bytes = http_request.content_length
        if declared_bytes is not None:
            # A larger body is refused once it exceeds the limit.
            declared_bytes = min(declared_bytes, limits.max_body_bytes)
        limit = asyncio.timeout(limits.idle_timeout_s)
        body = context.body = RequestBody(
            self._memory,
            declared_bytes=declared_bytes,
            started_s=self._clock(),
            customer=_sharing_customer(context),
            on_withdrawn=lambda: limit.reschedule(
                asyncio.get_running_loop().time()
            ),
        )
        if not body.try_begin(self._clock()):
            raise self._no_memory_error(body)
        try:
            async with limit:
                await self._async_read(
                    http_request.content, body, limits.max_body_bytes
                )
        except TimeoutError as err:
            if body.is_withdrawn:
                raise _withdrawn_error() from err
            raise _receive_error(
                ErrorCode.REQUEST_TIMEOUT,
                f"body is not complete after {limits.idle_timeout_s:g} s",
            ) from err
        except (ClientError, RequestPayloadError, ValueError) as err:
            raise _receive_error(
                ErrorCode.INVALID_REQUEST, "body is malformed"
            ) from err
        if body.is_withdrawn:
            raise _withdrawn_error()
        body.finish_upload()

    async def _async_read(
        self, content: StreamReader, body: RequestBody, max_bytes: int
    ) -> None:
        async for data in content.iter_any():
            size = body.size + len(data)
            is_added = size <= max_bytes and body.try_append(
                data, self._clock()
            )
            # The tracebacks of the errors keep this frame.
            del data
            if size > max_bytes:
                raise _receive_error(
                    ErrorCode.BODY_TOO_LARGE,
                    f"body exceeds {max_bytes} bytes",
                )
            if body.is_withdrawn:
                raise _withdrawn_error()
            if not is_added:
                raise self._no_memory_error(body)

    def _no_memory_error(self, body: RequestBody) -> AzurewickError:
        memory = self._memory
        declared_bytes = body.declared_bytes
        size = "unknown" if declared_bytes is None else declared_bytes
        return AzurewickError(
            ErrorCode.OVERLOADED,
            f"no memory for the body (declared bytes: {size}, received: "
            f"{body.size}): all bodies take {memory.held_bytes} of "
            f"{memory.limit_bytes} bytes",
            step=Step.RECEIVE,
            retry_after_s=RETRY_AFTER_NO_MEMORY_S,
        )


class CrashFilter:
    """Refuses requests that crash the servers that run them.

    It comes before the quota: callers of sound requests share it with them.
    """

    def __init__(self, guard: CrashGuard) -> None:
        self._guard = guard

    async def async_apply(self, context: EntryContext) -> None:
        """Set the traits; refuse a request that has a crashing one."""
        customer = "" if context.customer is None else context.customer.name
        context.traits = request_traits(
            context.request,
            customer,
            () if context.body is None else context.body.parts,
        )
        self._guard.raise_if_culprit(context.traits)


class QuotaFilter:
    """Charges requests to the quotas of their customers."""

    def __init__(
        self, limiter: QuotaLimiter, clock: Callable[[], float]
    ) -> None:
        self._limiter = limiter
        self._clock = clock

    async def async_apply(self, context: EntryContext) -> None:
        """Charge the request; refuse it when its customer is over quota."""
        if context.customer is None:
            return
        cost = request_cost(context.customer, context.request)
        wait_s = self._limiter.take(context.customer, cost, self._clock())
        if wait_s is not None:
            raise AzurewickError(
                ErrorCode.RATE_LIMITED,
                "customer is above its quota",
                step=Step.LIMIT,
                retry_after_s=wait_s,
            )
        context.quota_cost = cost


def _sharing_customer(context: EntryContext) -> str | None:
    """Return the customer's name, None if it shares with no other one."""
    assert context.configuration is not None
    if len(context.configuration.customers) < 2:
        return None
    return "" if context.customer is None else context.customer.name


def _withdrawn_error() -> AzurewickError:
    return AzurewickError(
        ErrorCode.OVERLOADED,
        "the body took long to arrive, and other requests need its memory",
        step=Step.RECEIVE,
        retry_after_s=RETRY_AFTER_NO_MEMORY_S,
    )


def _receive_error(code: ErrorCode, message: str) -> AzurewickError:
    return AzurewickError(code, message, step=Step.RECEIVE)
