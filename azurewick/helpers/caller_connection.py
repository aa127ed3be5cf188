"""Connection of a caller, whose input and output take bounded memory."""

from __future__ import annotations

import asyncio
from asyncio import BaseTransport
from asyncio import TimerHandle
from asyncio import Transport
from typing import Any
from typing import cast

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.streams import StreamReader
from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import RequestHandler
from aiohttp.web import RequestPayloadError
from aiohttp.web import Server
from aiohttp.web import StreamResponse
from aiohttp.web_protocol import _ErrInfo

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.caller_input import BoundedReads
from azurewick.helpers.caller_input import head_memory_bytes
from azurewick.helpers.caller_input import MAX_FRAMING_BYTES
from azurewick.helpers.caller_input import MAX_QUEUED_REQUESTS
from azurewick.helpers.caller_input import merge_chunks
from azurewick.helpers.caller_input import PARSED_BYTES
from azurewick.helpers.caller_memory import CloseCause
from azurewick.helpers.connection_owner import ConnectionOwner
from azurewick.helpers.unread_answer import unacknowledged_bytes
from azurewick.helpers.unread_answer import UnreadAnswer

# Longest time in which the rest of malformed input is read, and the pause of
# its caller that ends it.
DISCARD_S = 2.0
DISCARD_POLL_S = 0.1


class CallerConnection(RequestHandler):
    """Caller's connection, closed if no request arrives in time."""

    _finished_count = 0
    # Bytes of an incomplete head, None while no head is being received.
    _head_bytes: int | None = 0
    # Payload of the request that is being received, or was last.
    _payload: StreamReader | None = None
    # Bytes received since the last byte of the body of an unfinished request.
    _framing_bytes = 0
    # Bytes that wait for the parser, as a body or the requests aren't taken.
    _pending = b""
    # aiohttp forgets the transport before its last bytes are sent.
    _caller_transport: Transport | None = None
    progress_s = 0.0
    # The input can't be parsed any further.
    _is_malformed = False
    _has_new_input = False
    _request_timer: TimerHandle | None = None

    def __init__(self, manager: Server, **kwargs: Any) -> None:
        super().__init__(manager, **kwargs)
        self._unread = UnreadAnswer()
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2

    @property
    def owner(self) -> ConnectionOwner | None:
        """Return the server, None once the connection is lost."""
        return cast("ConnectionOwner | None", self._manager)

    def connection_made(self, transport: BaseTransport) -> None:
        """Close the connection if there is no room, or if no request arrives.

        Room is made by the connection that has been idle for longest.
        """
        super().connection_made(transport)
        owner = self.owner
        if owner is None:
            return
        # The transports of uvloop have another base class.
        self._caller_transport = cast(Transport, transport)
        self._caller_transport.set_protocol(BoundedReads(self))
        self.progress_s = self._loop.time()
        if (
            owner.connection_count > owner.max_connections
            and not owner.close_oldest_idle()
            and not owner.close_oldest_new()
        ):
            owner.memory.record_close(
                CloseCause.CONNECTIONS, self._loop.time()
            )
            self.force_close()
            return
        owner.add_new(self)
        self._start_request_timer(owner, 0)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        owner = self.owner
        if owner is not None:
            owner.forget(self)
        self._cancel_request_timer()
        self._pending = b""
        self._payload = None
        self._caller_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data in portions until the parser is paused.

        aiohttp calls this without data when the parser may go on.
        """
        self._has_new_input = True
        pending = self._pending + data if self._pending else data
        self._pending = b""
        if not pending:
            self._parse(b"")
            return
        start = 0
        while start < len(pending) and not self._is_input_held():
            size = PARSED_BYTES
            payload = self._payload
            if (
                payload is not None
                and not payload.is_eof()
                and payload._http_chunk_splits is None
            ):
                # The rest of a body of a declared length.
                size = len(pending)
            self._parse(pending[start : start + size])
            start += size
        if self._force_close or self._close:
            return
        self._pending = pending[start:]
        if self._pending and not self._reading_paused:
            self._pause_reading_for_buffer()
        owner = self.owner
        if owner is not None:
            owner.memory.update(self, self.held_bytes())
            owner.keep_memory_limit()

    def held_bytes(self) -> int:
        """Return the bytes that are held for this connection."""
        held = len(self._pending)
        if self._payload is not None:
            held += self._payload._size
        for message, payload in self._messages:
            if not isinstance(message, _ErrInfo):
                held += head_memory_bytes(message)
            if payload is not self._payload and payload is not EMPTY_PAYLOAD:
                held += payload._size
        if self._current_request is not None:
            held += head_memory_bytes(self._current_request._message)
        if self._caller_transport is not None:
            held += self._caller_transport.get_write_buffer_size()
        return held + (self._head_bytes or 0)

    def unread_answer_s(self, now_s: float) -> float:
        """Return for how long the caller has read nothing of an answer."""
        transport = self._caller_transport
        return self._unread.stalled_s(
            0 if transport is None else unacknowledged_bytes(transport),
            now_s,
            may_grow=self._current_request is not None and not self._paused,
        )

    def abort(self) -> None:
        """Close the connection at once, without the bytes that are unsent."""
        transport = self._caller_transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def _is_input_held(self) -> bool:
        return (
            self._reading_paused
            or len(self._messages) >= MAX_QUEUED_REQUESTS
            or self._force_close
            or self._close
        )

    def _parse(self, data: bytes) -> None:
        """Pass a portion of the input on to the parser."""
        payload = self._payload
        is_open = payload is not None and not payload.is_eof()
        first = 0 if payload is None else len(payload._buffer)
        received = 0 if payload is None else payload.total_bytes
        queued = len(self._messages)
        self._receive(data)
        if payload is not None and is_open:
            merge_chunks(payload, min(first, len(payload._buffer)))
            if payload.total_bytes > received or payload.is_eof():
                self._framing_bytes = 0
            else:
                self._framing_bytes += len(data)
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self._end_input(payload)
                self._record_close(CloseCause.FRAMING)
                return
            if (
                len(self._messages) > queued
                and isinstance(self._messages[-1][0], _ErrInfo)
                and not payload.is_eof()
            ):
                # The fault is in the body of a request that has its own
                # answer.
                self._messages.pop()
                self._request_count -= 1
                self._end_input(payload)
                return
        for _, new in list(self._messages)[queued:]:
            if new is not EMPTY_PAYLOAD:
                self._payload = new
                self._framing_bytes = 0
                merge_chunks(new, 0)

    def _end_input(self, payload: StreamReader) -> None:
        """Discard all further input; the body of a request is malformed."""
        self._is_malformed = True
        if self._current_request is not None or self._messages:
            payload.set_exception(RequestPayloadError("malformed body"))
        payload.feed_eof()
        self._pending = b""
        self.close()

    async def _async_discard_input(self) -> None:
        """Read on until the caller pauses, so that it gets its answer.

        The close of a connection with unread input resets it.
        """
        self.close()
        if self.transport is None:
            return
        self.transport.resume_reading()
        for _ in range(round(DISCARD_S / DISCARD_POLL_S)):
            self._has_new_input = False
            await asyncio.sleep(DISCARD_POLL_S)
            if not self._has_new_input:
                return

    def _record_close(self, cause: CloseCause) -> None:
        owner = self.owner
        if owner is not None:
            owner.memory.record_close(cause, self._loop.time())

    def _receive(self, data: bytes) -> None:
        """Handle data; the connection isn't idle from the first byte on."""
        owner = self.owner
        was_idle = owner is not None and owner.remove_idle(self)
        count = self._request_count
        head_bytes = self._head_bytes
        super().data_received(data)
        if self._request_count > count:
            self._head_bytes = None
            if owner is not None:
                owner.remove_new(self)
        elif head_bytes is not None:
            # None if these were the last bytes of a body, which may come after
            # the response and leave the connection idle.
            self._add_head_bytes(head_bytes, len(data))
        if was_idle and self._request_count == count:
            assert owner is not None
            self._start_request_timer(owner, count)

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Finish a response; the connection is idle once the body has come."""
        result = await super().finish_response(request, resp, start_time)
        if self._is_malformed:
            await self._async_discard_input()
        self._finished_count += 1
        self.progress_s = self._loop.time()
        request.content.on_eof(self._handle_end)
        return result

    def close(self) -> None:
        """Close the connection after its requests, at once without any.

        aiohttp would keep a connection that has just been accepted until the
        shutdown timeout, and discard what it receives.
        """
        super().close()
        if self._request_count == 0:
            self.force_close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return the error response to a request that can't be parsed.

        aiohttp would log a traceback for each one, so that a flood of
        malformed requests could fill the log.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._is_malformed = True
        too_large = isinstance(exc, LineTooLong) or "headers" in exc.message
        error = AzurewickError(
            ErrorCode.HEADERS_TOO_LARGE
            if too_large
            else ErrorCode.INVALID_REQUEST,
            "request head is too large or malformed",
            step=Step.RECEIVE,
        )
        response = json_response(error.as_body(), status=error.http_status)
        response.force_close()
        return response

    def _handle_end(self) -> None:
        owner = self.owner
        if owner is not None and self._finished_count == self._request_count:
            owner.add_idle(self)
            self._head_bytes = 0

    def _add_head_bytes(self, head_bytes: int, added_bytes: int) -> None:
        """Refuse a request whose head has become too large.

        aiohttp limits each field and their number, but keeps all of them in
        memory until the head is complete.
        """
        owner = self.owner
        if owner is None:
            return
        self._head_bytes = head_bytes + added_bytes
        if self._head_bytes <= owner.max_head_bytes:
            return
        self._head_bytes = None
        error = HttpProcessingError(
            message=f"headers exceed {owner.max_head_bytes} bytes"
        )
        self._request_count += 1
        self._messages.append(
            (
                _ErrInfo(status=400, exc=error, message=error.message),
                EMPTY_PAYLOAD,
            )
        )
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _start_request_timer(
        self, owner: ConnectionOwner, known_count: int
    ) -> None:
        self._cancel_request_timer()
        self._request_timer = self._loop.call_later(
            owner.header_timeout_s, self._close_without_request, known_count
        )

    def _cancel_request_timer(self) -> None:
        """Cancel the timer, which refers to the connection until its end."""
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _close_without_request(self, known_count: int) -> None:
        """Close unless a request has arrived since the known ones."""
        if self._request_count == known_count:
            self.force_close()
