"""Filters that each caller's request passes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.web import RequestPayloadError

from azurewick.entry.context import EntryContext
from azurewick.entry.drain import Drain
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route
from azurewick.entry.quota import QuotaLimiter
from azurewick.entry.quota import request_cost
from azurewick.entry.state import FleetState
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# A starting instance reads the configuration within a second.
RETRY_AFTER_NOT_READY_S = 0.5
# The caller's next connection goes to another instance.
RETRY_AFTER_DRAINING_S = 0.02
MAX_REQUEST_ID_BYTES = 128


class RouteFilter:
    """Finds the configuration and the route."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    async def async_apply(self, context: EntryContext) -> None:
        """Set the route; refuse paths that no route serves."""
        configuration = self._state.configuration
        if configuration is None or not self._state.has_servers:
            raise AzurewickError(
                ErrorCode.NOT_READY,
                "no configuration has been received yet",
                step=Step.RECEIVE,
                retry_after_s=RETRY_AFTER_NOT_READY_S,
            )
        request = context.request
        if not 0 < len(request.request_id) <= MAX_REQUEST_ID_BYTES:
            raise AzurewickError(
                ErrorCode.INVALID_REQUEST,
                "request has no usable id",
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
    """Refuses requests that can't end before a draining instance stops."""

    def __init__(
        self,
        drain: Drain,
        longest_run_s: Callable[[Route, CallerRequest], float],
        clock: Callable[[], float],
    ) -> None:
        self._drain = drain
        self._longest_run_s = longest_run_s
        self._clock = clock

    async def async_apply(self, context: EntryContext) -> None:
        """Refuse a request that comes too late in the drain."""
        if not self._drain.is_active:
            return
        assert context.route is not None
        # It may wait for a server until its target.
        run_s = context.route.target_s + self._longest_run_s(
            context.route, context.request
        )
        if self._drain.takes(self._clock(), run_s):
            return
        raise AzurewickError(
            ErrorCode.DRAINING,
            "entry instance is shutting down",
            step=Step.RECEIVE,
            retry_after_s=RETRY_AFTER_DRAINING_S,
        )


class CustomerFilter:
    """Finds the customer by the API key."""

    async def async_apply(self, context: EntryContext) -> None:
        """Set the customer; refuse unknown keys on routes that need one."""
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
    """Reads the body within the limits of the configuration."""

    async def async_apply(self, context: EntryContext) -> None:
        """Set the body; refuse large and malformed ones."""
        assert context.configuration is not None
        limits = context.configuration.limits
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                async for data in context.http.content.iter_any():
                    size += len(data)
                    if size > limits.max_body_bytes:
                        raise _refuse(
                            ErrorCode.BODY_TOO_LARGE, "body is too large"
                        )
                    parts.append(data)
        except TimeoutError as err:
            raise _refuse(
                ErrorCode.REQUEST_TIMEOUT, "body is not complete in time"
            ) from err
        except (ClientError, RequestPayloadError, ValueError) as err:
            raise _refuse(
                ErrorCode.INVALID_REQUEST, "body is malformed"
            ) from err
        context.body = b"".join(parts)


class QuotaFilter:
    """Keeps each customer to its quota."""

    def __init__(
        self, limiter: QuotaLimiter, clock: Callable[[], float]
    ) -> None:
        self._limiter = limiter
        self._clock = clock

    async def async_apply(self, context: EntryContext) -> None:
        """Refuse the request when its customer is above the quota."""
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


def _refuse(code: ErrorCode, message: str) -> AzurewickError:
    return AzurewickError(code, message, step=Step.RECEIVE)
