"""Relay of backend servers' answers to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from aiohttp import ClientPayloadError
from aiohttp import ClientResponse

from azurewick.entry.answer_ending import AnswerTooLargeError
from azurewick.entry.events import EventSplitter
from azurewick.entry.events import StreamPosition
from azurewick.entry.models import AnswerHead
from azurewick.entry.repeated_answer import RepeatedAnswerDetector
from azurewick.entry.stall_watchdog import StallWatchdog
from azurewick.entry.trace import AttemptTrace
from azurewick.entry.trace import ExchangeTrace
from azurewick.helpers.http_client import raise_if_empty

# Answers up to this size that aren't streams are read completely before the
# first byte is sent to the caller, so that the request can be retried after a
# truncated answer.
MAX_BUFFERED_BYTES = 262_144
# Larger answers that aren't streams are cut; a server in trouble may send
# bytes without end.
MAX_PLAIN_ANSWER_BYTES = 33_554_432
# A stream has at most one event for each output token, and some of another
# kind, as one that marks its end.
EXTRA_EVENTS = 16


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class AnswerWriter(Protocol):
    """Sends an answer to the caller.

    Both methods raise CallerDisconnectedError when the caller has closed its
    connection.
    """

    async def async_start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head of the answer."""

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""


class OutputCallback(Protocol):
    """Called with each part of a body that is passed on."""

    def __call__(self, *, is_first: bool) -> None:
        """Handle a part; is_first is set for the first one of an attempt."""


class AnswerRelay:
    """Passes the answers of all attempts of a request on to its caller.

    is_started is set once the head of an answer has been sent. on_output is
    called with each part of a body.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        trace: ExchangeTrace,
        *,
        is_resumable: bool,
        on_output: OutputCallback,
        last_event_id: str | None,
        started_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.is_started = False
        self._is_final = False
        self._position = StreamPosition(last_event_id)
        self._writer = writer
        self._trace = trace
        self._is_resumable = is_resumable
        self._on_output = on_output
        self._started_s = started_s
        self._clock = clock

    @property
    def may_change_server(self) -> bool:
        """Return whether another server can give the rest of the answer.

        That is all of it before its head has been sent, and later what
        follows the last event of a resumable stream.
        """
        return not self._is_final and self._position.is_exact

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last event that the caller has."""
        return self._position.last_event_id

    async def async_relay_buffered(
        self,
        response: ClientResponse,
        head: AnswerHead,
        watchdog: StallWatchdog,
    ) -> None:
        """Buffer the answer up to MAX_BUFFERED_BYTES, then pass it on.

        Raises AnswerTooLargeError when it exceeds MAX_PLAIN_ANSWER_BYTES, and
        RepeatedAnswerError when it holds a second answer.
        """
        detector = RepeatedAnswerDetector(head, self._attempt.framing)
        parts: list[bytes] = []
        size = 0
        is_complete = True
        watchdog.record_progress()
        async for data in response.content.iter_any():
            parts.append(data)
            size += len(data)
            self._attempt.bytes_received = size
            detector.feed(data)
            if size > MAX_BUFFERED_BYTES:
                is_complete = False
                break
        if is_complete:
            detector.finish()
        if not size:
            raise_if_empty(response)
        # The caller gets the first bytes, so that no other server can answer.
        watchdog.set_timeout(None)
        length = size if is_complete else head.content_length
        self._is_final = True
        await self._async_start(head, length)
        for data in parts:
            await self._async_write(data, watchdog)
        parts.clear()
        if not is_complete:
            async for data in response.content.iter_any():
                size += len(data)
                self._attempt.bytes_received = size
                if size > MAX_PLAIN_ANSWER_BYTES:
                    raise AnswerTooLargeError(
                        f"answer exceeds {MAX_PLAIN_ANSWER_BYTES} bytes"
                    )
                detector.feed(data)
                await self._async_write(data, watchdog)
            detector.finish()

    async def async_relay_stream(
        self,
        response: ClientResponse,
        head: AnswerHead,
        watchdog: StallWatchdog,
        *,
        event_timeout_s: float | None,
        max_events: int | None,
    ) -> int:
        """Pass events on as they arrive; return the number of complete ones.

        event_timeout_s is the timeout of the events after the first one. Of a
        resumable stream only complete events are passed on, so that another
        server can resume it. Its length isn't, as several servers may give
        it together.

        Raises AnswerTooLargeError when the stream has more than max_events,
        EventTooLargeError when an event has no end, EventOrderError when an
        event of a resumable stream doesn't follow the last one sent,
        RepeatedAnswerError when the stream holds a second answer, and
        ClientPayloadError when it ends inside an event.
        """
        detector = RepeatedAnswerDetector(head, self._attempt.framing)
        splitter = EventSplitter()
        if not self._is_resumable:
            self._is_final = True
            await self._async_start(head, head.content_length)
        while data := await response.content.readany():
            self._attempt.bytes_received += len(data)
            detector.feed(data)
            event_count = splitter.event_count
            passed_on = splitter.feed(data)
            if max_events is not None and splitter.event_count > max_events:
                raise AnswerTooLargeError(
                    f"stream has more than {max_events} events"
                )
            if not self._is_resumable:
                await self._async_write(data, watchdog)
            elif passed_on:
                self._position.advance(splitter.new_event_ids)
                await self._async_start(head, None)
                await self._async_write(passed_on, watchdog)
            if splitter.event_count > event_count:
                watchdog.record_progress()
                watchdog.set_timeout(event_timeout_s)
        detector.finish()
        if not splitter.event_count:
            raise_if_empty(response)
        if splitter.pending.strip():
            # Without a length or chunks, nothing else tells the end of the
            # connection of a crashed server from the end of the stream.
            raise ClientPayloadError("stream ended inside an event")
        if self._is_resumable:
            await self._async_start(head, None)
        return splitter.event_count

    @property
    def _attempt(self) -> AttemptTrace:
        return self._trace.attempts[-1]

    async def _async_start(self, head: AnswerHead, length: int | None) -> None:
        if self.is_started:
            return
        self.is_started = True
        self._trace.status = head.status
        await self._writer.async_start(head, length)

    async def _async_write(self, data: bytes, watchdog: StallWatchdog) -> None:
        if not data:
            return
        attempt = self._attempt
        is_first = attempt.first_byte_s is None
        if is_first:
            attempt.first_byte_s = self._clock() - self._started_s
        self._on_output(is_first=is_first)
        self._trace.bytes_sent += len(data)
        attempt.bytes_sent += len(data)
        with watchdog.paused():
            await self._writer.async_write(data)
