"""Client of the platform's object API."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import TypeVar

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientHandlerType
from aiohttp import ClientOSError
from aiohttp import ClientRequest
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import ServerDisconnectedError
from aiohttp import TCPConnector
from aiohttp.http_exceptions import LineTooLong
import orjson

from azurewick.const import HEADER_RETRY_AFTER
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.helpers.clock import monotonic_s
from azurewick.settings.models import StoreSettings
from azurewick.store.budget import CallBudget
from azurewick.store.budget import RetryAllowance
from azurewick.store.codec import API_PREFIX
from azurewick.store.codec import decode_event
from azurewick.store.codec import decode_list
from azurewick.store.codec import decode_object
from azurewick.store.codec import encode_object
from azurewick.store.codec import WatchExpiredError
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent

# An object holds at most 1 MB; the rest is metadata and JSON escapes.
MAX_OBJECT_BYTES = 1_500_000
MAX_LIST_BYTES = 16_000_000
MAX_CONNECTIONS = 16
# The answer to a watch may arrive this much later than it was asked to end.
WATCH_GRACE_S = 5.0
_Decoded = TypeVar("_Decoded")
WRITE_METHODS = frozenset({"POST", "PUT", "DELETE"})

_STATUS_CODES: dict[int, ErrorCode] = {
    401: ErrorCode.UNAUTHENTICATED,
    403: ErrorCode.UNAUTHENTICATED,
    404: ErrorCode.STORE_NOT_FOUND,
    409: ErrorCode.STORE_CONFLICT,
    410: ErrorCode.STORE_WATCH_EXPIRED,
    429: ErrorCode.STORE_RATE_LIMITED,
}


class _BrokenConnectionError(ClientError):
    """The connection broke; aiohttp doesn't resend after this error."""


async def _async_prevent_resend(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Replace the errors after which aiohttp resends by itself.

    aiohttp sends GET, PUT and DELETE a second time when a connection
    breaks. The first write may have taken effect.
    """
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as err:
        raise _BrokenConnectionError(str(err)) from err


class ObjectApiClient:
    """ObjectStore over the object API, with a budget of calls.

    The client itself never resends a call. retries is the allowance that
    callers share for their own retries.
    """

    def __init__(
        self,
        url: str,
        *,
        calls_per_s: float,
        burst_calls: float,
        request_timeout_s: float,
        clock: Callable[[], float],
        prefix: str = API_PREFIX,
    ) -> None:
        self._url = url.rstrip("/") + prefix
        self._budget = CallBudget(calls_per_s, burst_calls)
        self._request_timeout_s = request_timeout_s
        self._clock = clock
        self._session: ClientSession | None = None
        self.retries = RetryAllowance()
        self.calls = 0

    async def async_close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object; errors as ObjectStore says."""
        body = await self._async_call("GET", f"{plural}/{name}")
        return self._decode(decode_object, plural, body)

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a plural; errors as ObjectStore says."""
        body = await self._async_call("GET", plural, limit=MAX_LIST_BYTES)
        return self._decode(decode_list, plural, body)

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object; errors as ObjectStore says."""
        item = StoredObject(
            plural=plural, name=name, version=0, spec=spec, status=status or {}
        )
        body = await self._async_call("POST", plural, encode_object(item))
        return self._decode(decode_object, plural, body, Outcome.UNKNOWN)

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object at its version; errors as ObjectStore says."""
        body = await self._async_call(
            "PUT", f"{item.plural}/{item.name}", encode_object(item)
        )
        return self._decode(decode_object, item.plural, body, Outcome.UNKNOWN)

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object at its version; errors as ObjectStore says."""
        options = {"preconditions": {"resourceVersion": str(item.version)}}
        await self._async_call(
            "DELETE", f"{item.plural}/{item.name}", orjson.dumps(options)
        )

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Yield changes after a version until the time-out.

        A broken stream raises store_unavailable.
        """
        query = (
            f"?watch=1&allowWatchBookmarks=true"
            f"&resourceVersion={after_version}"
            f"&timeoutSeconds={max(1, round(timeout_s))}"
        )
        total_s = timeout_s + WATCH_GRACE_S
        async with self._async_open("GET", plural + query, total_s) as answer:
            while line := await _async_read_line(answer):
                try:
                    event = decode_event(plural, line)
                except WatchExpiredError as err:
                    raise self._error(
                        ErrorCode.STORE_WATCH_EXPIRED, str(err)
                    ) from err
                yield event

    async def _async_call(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        limit: int = MAX_OBJECT_BYTES,
        timeout_s: float | None = None,
    ) -> Any:
        async with self._async_open(
            method, path, timeout_s or self._request_timeout_s, data
        ) as answer:
            return orjson.loads(await _async_read_body(answer, limit))

    @asynccontextmanager
    async def _async_open(
        self,
        method: str,
        path: str,
        timeout_s: float,
        data: bytes | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Send one call and yield its answer; translate all errors."""
        await self._async_take_call()
        outcome = (
            Outcome.UNKNOWN if method in WRITE_METHODS else Outcome.NOT_RUN
        )
        try:
            async with self._open_session().request(
                method,
                f"{self._url}/{path}",
                data=data,
                allow_redirects=False,
                timeout=ClientTimeout(
                    total=timeout_s, connect=self._request_timeout_s
                ),
            ) as answer:
                if answer.status >= 300:
                    raise await self._async_status_error(answer, outcome)
                yield answer
        except (ClientConnectorError, ConnectionTimeoutError) as err:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE, f"can't connect: {err}"
            ) from err
        except (ClientError, TimeoutError, ValueError) as err:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                f"no valid answer: {err!r}",
                outcome,
            ) from err

    async def _async_take_call(self) -> None:
        wait_s = self._budget.reserve(self._clock(), self._request_timeout_s)
        if wait_s < 0:
            raise self._error(
                ErrorCode.STORE_RATE_LIMITED,
                "the budget of calls of this process is used up",
                retry_after_s=-wait_s,
            )
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self.calls += 1
        self.retries.record_call()

    def _open_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(limit=MAX_CONNECTIONS),
                middlewares=(_async_prevent_resend,),
                headers={"Content-Type": "application/json"},
                read_bufsize=2**16,
            )
        return self._session

    async def _async_status_error(
        self, answer: ClientResponse, outcome: Outcome
    ) -> AzurewickError:
        text = (await _async_read_body(answer, MAX_OBJECT_BYTES))[:200]
        message = f"status {answer.status}: {text.decode(errors='replace')}"
        code = _STATUS_CODES.get(answer.status)
        if code is not None:
            return self._error(
                code, message, retry_after_s=_parse_retry_after(answer)
            )
        if answer.status < 500:
            return self._error(ErrorCode.INVALID_REQUEST, message)
        # A write may have taken effect before the server failed.
        return self._error(
            ErrorCode.STORE_UNAVAILABLE,
            message,
            outcome,
            retry_after_s=_parse_retry_after(answer),
        )

    def _decode(
        self,
        decoder: Callable[[str, Any], _Decoded],
        plural: str,
        body: Any,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> _Decoded:
        try:
            return decoder(plural, body)
        except ValueError as err:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE, str(err), outcome
            ) from err

    def _error(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> AzurewickError:
        return AzurewickError(
            code,
            message,
            step=Step.STORE,
            peer=self._url,
            outcome=outcome,
            retry_after_s=retry_after_s,
        )


def _parse_retry_after(answer: ClientResponse) -> float | None:
    try:
        return float(answer.headers[HEADER_RETRY_AFTER])
    except (KeyError, ValueError):
        return None


async def _async_read_body(answer: ClientResponse, limit: int) -> bytes:
    """Return the body; ValueError when it is longer than the limit."""
    parts: list[bytes] = []
    size = 0
    async for part in answer.content.iter_any():
        size += len(part)
        if size > limit:
            raise ValueError(f"answer is longer than {limit} bytes")
        parts.append(part)
    return b"".join(parts)


async def _async_read_line(answer: ClientResponse) -> bytes:
    """Return the next line, empty at the end; ValueError when too long."""
    try:
        return await answer.content.readline(max_line_length=MAX_OBJECT_BYTES)
    except LineTooLong as err:
        raise ValueError(f"line is longer than {MAX_OBJECT_BYTES}") from err


def open_store(
    settings: StoreSettings, calls_per_s: float | None = None
) -> ObjectApiClient:
    """Return a client with the budget of the settings, or another one."""
    rate = calls_per_s or settings.calls_per_s
    return ObjectApiClient(
        settings.url,
        calls_per_s=rate,
        burst_calls=max(settings.burst_calls, rate),
        request_timeout_s=settings.request_timeout_s,
        clock=monotonic_s,
    )
