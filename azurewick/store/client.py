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
from azurewick.helpers.probed_socket import create_probed_socket
from azurewick.store.budget import StoreRetryBudget
from azurewick.store.budget import TokenBucket
from azurewick.store.codec import API_PREFIX
from azurewick.store.codec import decode_event
from azurewick.store.codec import decode_list
from azurewick.store.codec import decode_object
from azurewick.store.codec import encode_object
from azurewick.store.codec import WatchExpiredError
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent
from azurewick.store.transfer import BodyTooLargeError
from azurewick.store.transfer import Transfer
from azurewick.store.transfer import TransferMonitor

# The content of an object is at most 1 MB; the rest allows for metadata and
# JSON escapes.
MAX_OBJECT_BYTES = 1_500_000
MAX_LIST_BYTES = 16_000_000
MAX_CONNECTIONS = 16
# Added to the time-out of a watch, as the store may end the watch a little
# later than requested.
WATCH_TIMEOUT_MARGIN_S = 5.0
# Longest wait that the store can ask for.
MAX_RETRY_AFTER_S = 30.0
# A timer that fires later than this shows that the event loop was held up.
LATE_TIMER_S = 0.2
_Decoded = TypeVar("_Decoded")
WRITE_METHODS = frozenset({"POST", "PUT", "DELETE"})

_TROUBLE_CODES = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_RATE_LIMITED)
STATUS_TOO_MANY_REQUESTS = 429
_STATUS_CODES: dict[int, ErrorCode] = {
    401: ErrorCode.UNAUTHENTICATED,
    403: ErrorCode.UNAUTHENTICATED,
    404: ErrorCode.STORE_NOT_FOUND,
    409: ErrorCode.STORE_CONFLICT,
    410: ErrorCode.STORE_WATCH_EXPIRED,
    STATUS_TOO_MANY_REQUESTS: ErrorCode.STORE_RATE_LIMITED,
}


class _BrokenConnectionError(ClientError):
    """The connection failed; aiohttp doesn't resend after this error."""


async def _async_prevent_resend(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Replace the errors after which aiohttp would resend a request.

    A client middleware. aiohttp resends GET, PUT and DELETE when a
    connection fails, although the first write may have taken effect.
    """
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as err:
        raise _BrokenConnectionError(str(err)) from err


class ObjectApiClient:
    """ObjectStore over the object API, with a rate limit on its calls.

    The client itself never retries a call. Users that do share the budget
    in retry_budget.
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
        parse: Callable[[bytes], Any] = orjson.loads,
    ) -> None:
        self._url = url.rstrip("/") + prefix
        self._call_bucket = TokenBucket(calls_per_s, burst_calls)
        self._request_timeout_s = request_timeout_s
        self._clock = clock
        self._monitor = TransferMonitor(clock, request_timeout_s)
        self._parse = parse
        self._session: ClientSession | None = None
        self.retry_budget = StoreRetryBudget()
        self.call_count = 0
        # Called with the error when a call finds the store in trouble, and
        # with the time that it waited in vain for an answer, in seconds.
        self.on_trouble: Callable[[ErrorCode, float], None] | None = None
        # Called when the store has answered a call, also with an error of
        # the call.
        self.on_answer: Callable[[], None] | None = None

    @property
    def is_receiving(self) -> bool:
        """Return whether the body of a response is arriving."""
        return self._monitor.is_receiving()

    @property
    def fastest_answer_s(self) -> float | None:
        """Return the shortest time of an answer, None before the first."""
        return self._monitor.fastest_head_s

    async def async_close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object; errors as in ObjectStore."""
        body = await self._async_call("GET", f"{plural}/{name}")
        return self._decode(decode_object, plural, body)

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a collection; errors as in ObjectStore."""
        body = await self._async_call("GET", plural, limit=MAX_LIST_BYTES)
        return self._decode(decode_list, plural, body)

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object; errors as in ObjectStore."""
        item = StoredObject(
            plural=plural, name=name, version=0, spec=spec, status=status or {}
        )
        body = await self._async_call("POST", plural, encode_object(item))
        return self._decode(decode_object, plural, body, Outcome.UNKNOWN)

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object if its version is current; see ObjectStore."""
        body = await self._async_call(
            "PUT", f"{item.plural}/{item.name}", encode_object(item)
        )
        return self._decode(decode_object, item.plural, body, Outcome.UNKNOWN)

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object if its version is current; see ObjectStore."""
        options = {"preconditions": {"resourceVersion": str(item.version)}}
        await self._async_call(
            "DELETE", f"{item.plural}/{item.name}", orjson.dumps(options)
        )

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the time-out.

        Raises AzurewickError: store_watch_expired when the store no longer
        has the changes after the version, store_unavailable when the
        connection fails or a line is invalid.
        """
        query = (
            f"?watch=1&allowWatchBookmarks=true"
            f"&resourceVersion={after_version}"
            f"&timeoutSeconds={max(1, round(timeout_s))}"
        )
        total_s = timeout_s + WATCH_TIMEOUT_MARGIN_S
        async with self._async_open("GET", plural + query, total_s) as (
            response,
            _,
        ):
            while line := await _async_read_line(response):
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
        on_head: Callable[[], None] | None = None,
        too_large_code: ErrorCode = ErrorCode.STORE_UNAVAILABLE,
    ) -> Any:
        async with self._async_open(
            method, path, timeout_s or self._request_timeout_s, data
        ) as (response, transfer):
            if on_head is not None:
                on_head()
            try:
                body = await self._monitor.async_read_body(
                    response, limit, transfer
                )
            except BodyTooLargeError as err:
                raise self._error(
                    too_large_code,
                    f"{transfer.call}: {err}",
                    _outcome_without_answer(method),
                ) from err
            return self._parse(body)

    @asynccontextmanager
    async def _async_open(
        self,
        method: str,
        path: str,
        timeout_s: float,
        data: bytes | None = None,
    ) -> AsyncIterator[tuple[ClientResponse, Transfer]]:
        """Send one call and yield the response; raise AzurewickError."""
        await self._async_wait_for_budget()
        transfer = Transfer(f"{method} {path}", self._clock())
        outcome = _outcome_without_answer(method)
        try:
            async with (
                self._monitor.async_limit(timeout_s),
                self._get_session().request(
                    method,
                    f"{self._url}/{path}",
                    data=data,
                    allow_redirects=False,
                    timeout=ClientTimeout(
                        total=None, connect=self._request_timeout_s
                    ),
                ) as response,
            ):
                self._monitor.record_head(transfer)
                if (
                    response.status < 500
                    and response.status != STATUS_TOO_MANY_REQUESTS
                    and self.on_answer is not None
                ):
                    self.on_answer()
                if response.status >= 300:
                    raise await self._async_status_error(
                        response, outcome, transfer
                    )
                yield response, transfer
        except (ClientConnectorError, ConnectionTimeoutError) as err:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                f"can't connect to the store: {err}",
                unanswered_s=self._unanswered_s(
                    err, transfer.sent_s, self._request_timeout_s
                ),
                is_trouble=not self._is_held_up(err),
            ) from err
        except (ClientError, TimeoutError, ValueError) as err:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                f"no valid response from the store: {err!r}; "
                f"{transfer.describe(self._clock())}",
                outcome,
                unanswered_s=self._unanswered_s(
                    err, transfer.sent_s, timeout_s
                ),
                is_trouble=not self._is_held_up(err),
            ) from err

    def _is_held_up(self, err: Exception) -> bool:
        """Return whether the body of another call explains a time-out."""
        return isinstance(err, TimeoutError) and self._monitor.is_receiving()

    def _unanswered_s(
        self, err: Exception, sent_s: float, timeout_s: float
    ) -> float:
        """Return for how long a failed call got no answer.

        It is 0 when the time-out fired late: this process was held up, and
        the answer may have arrived in time.
        """
        waited_s = self._clock() - sent_s
        is_late = waited_s > timeout_s + LATE_TIMER_S
        return waited_s if isinstance(err, TimeoutError) and not is_late else 0

    async def _async_wait_for_budget(self) -> None:
        wait_s = self._call_bucket.reserve(
            self._clock(), self._request_timeout_s
        )
        if wait_s < 0:
            raise self._error(
                ErrorCode.STORE_RATE_LIMITED,
                "rate limit of this process for store calls exceeded",
                retry_after_s=-wait_s,
            )
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self.call_count += 1
        self.retry_budget.record_call()

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(
                    limit=MAX_CONNECTIONS,
                    socket_factory=create_probed_socket,
                ),
                middlewares=(_async_prevent_resend,),
                headers={"Content-Type": "application/json"},
                read_bufsize=2**16,
            )
        return self._session

    async def _async_status_error(
        self, response: ClientResponse, outcome: Outcome, transfer: Transfer
    ) -> AzurewickError:
        body = await self._monitor.async_read_body(
            response, MAX_OBJECT_BYTES, transfer
        )
        text = body[:200]
        message = f"status {response.status}: {text.decode(errors='replace')}"
        code = _STATUS_CODES.get(response.status)
        if code is not None:
            return self._error(
                code, message, retry_after_s=_parse_retry_after(response)
            )
        if response.status < 500:
            return self._error(ErrorCode.INVALID_REQUEST, message)
        # A write may have taken effect before the server failed.
        return self._error(
            ErrorCode.STORE_UNAVAILABLE,
            message,
            outcome,
            retry_after_s=_parse_retry_after(response),
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
        unanswered_s: float = 0.0,
        *,
        is_trouble: bool = True,
    ) -> AzurewickError:
        if (
            code in _TROUBLE_CODES
            and is_trouble
            and self.on_trouble is not None
        ):
            self.on_trouble(code, unanswered_s)
        return AzurewickError(
            code,
            message,
            step=Step.STORE,
            peer=self._url,
            outcome=outcome,
            retry_after_s=retry_after_s,
        )


def _outcome_without_answer(method: str) -> Outcome:
    return Outcome.UNKNOWN if method in WRITE_METHODS else Outcome.NOT_RUN


def _parse_retry_after(response: ClientResponse) -> float | None:
    try:
        retry_after_s = float(response.headers[HEADER_RETRY_AFTER])
    except (KeyError, ValueError):
        return None
    # Also None for NaN.
    if not retry_after_s >= 0:
        return None
    return min(MAX_RETRY_AFTER_S, retry_after_s)


async def _async_read_line(response: ClientResponse) -> bytes:
    """Return the next line, empty at the end of the body.

    Raises ValueError when the line is longer than MAX_OBJECT_BYTES.
    """
    try:
        return await response.content.readline(
            max_line_length=MAX_OBJECT_BYTES
        )
    except LineTooLong as err:
        raise ValueError(
            f"line of a watch is longer than {MAX_OBJECT_BYTES} bytes"
        ) from err
