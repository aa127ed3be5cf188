"""Writing of answers and errors to callers."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import get_running_loop
from asyncio import timeout
import json
from math import ceil
from random import Random
from typing import Final
from typing import NoReturn

from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import Response
from aiohttp.web import StreamResponse

from azurewick.const import HEADER_CLAIM_REPLAYED
from azurewick.const import HEADER_REQUEST_ID
from azurewick.const import HEADER_RETRY_AFTER
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import SHED_CODES
from azurewick.errors import Step
from azurewick.gateway.running import RunningRequest
from azurewick.gateway.streaming import AnswerReader
from azurewick.gateway.streaming import ReaderTooSlowError
from azurewick.helpers.caller_abort import mark_answer_broken

# A caller that accepts no bytes for this long has gone or blocks an engine.
WRITE_TIMEOUT_S = 30.0
# A smaller write to an empty transport buffer stays below the transport's
# high-water mark of 64 KiB, so it doesn't wait.
MAX_NONBLOCKING_WRITE_BYTES = 32_768
# Time for sending the buffered error event before the connection is aborted.
ABORT_DELAY_S = 5.0
DEFAULT_RETRY_AFTER_S = 2.0
# Retry-After is spread over 1 to 3 times the base, so that callers that were
# refused together don't retry together.
RETRY_JITTER_FACTOR = 3.0
# Errors sent with a Retry-After header even if they carry no retry time.
RETRY_AFTER_CODES: Final = SHED_CODES | {
    ErrorCode.DRAINING,
    ErrorCode.NOT_READY,
    ErrorCode.STORE_UNAVAILABLE,
    ErrorCode.RATE_LIMITED,
    ErrorCode.BACKEND_UNREACHABLE,
}


class BrokenAnswerError(Exception):
    """An answer failed after its first byte was written.

    abort_delay_s is the time for sending the bytes already written before
    the connection is aborted.
    """

    def __init__(self, error: AzurewickError, abort_delay_s: float) -> None:
        super().__init__(str(error))
        self.error = error
        self.abort_delay_s = abort_delay_s


class Responder:
    """Writes answers and builds error responses."""

    def __init__(
        self, random: Random, write_timeout_s: float = WRITE_TIMEOUT_S
    ) -> None:
        self._random = random
        self._write_timeout_s = write_timeout_s

    def jittered_retry_after_s(self, error: AzurewickError) -> float | None:
        """Return the seconds until the caller may retry, with jitter.

        None if no Retry-After applies to the error.
        """
        base_s = error.retry_after_s
        if base_s is None:
            if error.code not in RETRY_AFTER_CODES:
                return None
            base_s = DEFAULT_RETRY_AFTER_S
        return round(
            base_s * self._random.uniform(1.0, RETRY_JITTER_FACTOR), 3
        )

    def build_error(
        self, error: AzurewickError, request_id: str = ""
    ) -> Response:
        """Return the HTTP response for an error."""
        body = error.as_body()
        retry_after_s = self.jittered_retry_after_s(error)
        body["error"]["retry_after_s"] = retry_after_s
        response = json_response(body, status=error.http_status)
        if request_id:
            response.headers[HEADER_REQUEST_ID] = request_id
        if retry_after_s is not None:
            response.headers[HEADER_RETRY_AFTER] = str(ceil(retry_after_s))
        return response

    async def async_write_answer(
        self, request: BaseRequest, running: RunningRequest, request_id: str
    ) -> StreamResponse:
        """Write the answer of a run to one caller.

        Raises AzurewickError if the run fails before the head of the answer
        is sent, and BrokenAnswerError after it.
        """
        reader = running.open_reader()
        try:
            head = await running.async_head()
            response = StreamResponse(
                status=head.status,
                headers={
                    **dict(head.headers),
                    "Content-Type": head.content_type,
                    HEADER_REQUEST_ID: request_id,
                },
            )
            if head.replayed:
                response.headers[HEADER_CLAIM_REPLAYED] = "1"
            if head.content_length is not None:
                response.content_length = head.content_length
            await response.prepare(request)
            try:
                await self._async_write_body(request, reader, response)
            except AzurewickError as err:
                if head.is_event_stream:
                    await self._async_write_error_event(response, err)
                raise BrokenAnswerError(err, ABORT_DELAY_S) from err
            except (ReaderTooSlowError, TimeoutError) as err:
                raise BrokenAnswerError(_slow_caller_error(), 0.0) from err
            return response
        finally:
            reader.close()

    async def _async_write_body(
        self,
        request: BaseRequest,
        reader: AnswerReader,
        response: StreamResponse,
    ) -> None:
        has_body = request.method != "HEAD"
        transport = request.transport
        while data := await reader.async_read():
            if not has_body:
                continue
            if (
                len(data) < MAX_NONBLOCKING_WRITE_BYTES
                and transport is not None
                and transport.get_write_buffer_size() == 0
            ):
                # Can't block; saves a timer for each chunk.
                await response.write(data)
                continue
            async with timeout(self._write_timeout_s):
                await response.write(data)
        await response.write_eof()

    async def _async_write_error_event(
        self, response: StreamResponse, error: AzurewickError
    ) -> None:
        event = f"event: error\ndata: {json.dumps(error.as_body())}\n\n"
        try:
            async with timeout(self._write_timeout_s):
                await response.write(event.encode())
        except TimeoutError:
            return


def _slow_caller_error() -> AzurewickError:
    return AzurewickError(
        ErrorCode.STREAM_BROKEN,
        "caller reads the answer too slowly",
        step=Step.STREAM,
        outcome=Outcome.RAN,
    )


def abort_connection(request: BaseRequest, delay_s: float) -> NoReturn:
    """Abort a connection so that the caller sees an incomplete answer.

    Raises CancelledError, on which aiohttp closes the connection without
    the final chunk. Bytes already written are sent during delay_s.
    """
    mark_answer_broken(request)
    transport = request.transport
    if transport is not None:
        if delay_s:
            get_running_loop().call_later(delay_s, transport.abort)
        else:
            transport.abort()
    raise CancelledError
