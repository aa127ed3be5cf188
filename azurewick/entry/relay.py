"""Relay of backend servers' answers to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from aiohttp import ClientResponse

from azurewick.entry.events import EventSplitter
from azurewick.entry.models import AnswerHead
from azurewick.entry.trace import ExchangeTrace
from azurewick.helpers.http_client import create_reset_detector

# Answers up to this size that aren't streams are read completely before the
# first byte is sent to the caller, so that the request can be retried after a
# truncated answer.
MAX_BUFFERED_BYTES = 262_144


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


class AnswerRelay:
    """Passes the answers of all attempts of a request on to its caller.

    is_started is set once the head of an answer has been sent.
    last_event_id is the id of the last event sent.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        trace: ExchangeTrace,
        *,
        is_resumable: bool,
        last_event_id: str | None,
        started_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.is_started = False
        self.last_event_id = last_event_id
        self._writer = writer
        self._trace = trace
        self._is_resumable = is_resumable
        self._started_s = started_s
        self._clock = clock

    async def async_relay_buffered(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        """Buffer the answer up to MAX_BUFFERED_BYTES, then pass it on."""
        connection = create_reset_detector(response)
        parts: list[bytes] = []
        size = 0
        is_complete = True
        async for data in response.content.iter_any():
            parts.append(data)
            size += len(data)
            if size > MAX_BUFFERED_BYTES:
                is_complete = False
                break
        connection.raise_if_reset()
        length = size if is_complete else head.content_length
        await self._async_start(head, length)
        for data in parts:
            await self._async_write(data)
        if not is_complete:
            async for data in response.content.iter_any():
                await self._async_write(data)
            connection.raise_if_reset()

    async def async_relay_stream(
        self,
        response: ClientResponse,
        head: AnswerHead,
        timeout_s: Callable[[bool], float | None],
    ) -> int:
        """Pass events on as they arrive; return the number of complete ones.

        timeout_s returns the timeout of the next read: of the first one, if
        its argument is true, or of a later one. Of a resumable stream only
        complete events are passed on, so that another server can resume it.
        """
        connection = create_reset_detector(response)
        splitter = EventSplitter()
        if not self._is_resumable:
            await self._async_start(head, head.content_length)
        is_first = True
        while True:
            async with asyncio.timeout(timeout_s(is_first)):
                data = await response.content.readany()
            if not data:
                break
            is_first = False
            if not self._is_resumable:
                splitter.feed(data)
                await self._async_write(data)
                continue
            complete_events = splitter.feed(data)
            if complete_events:
                await self._async_start(head, head.content_length)
                await self._async_write(complete_events)
                self.last_event_id = splitter.last_event_id
        connection.raise_if_reset()
        if self._is_resumable:
            await self._async_start(head, head.content_length)
            await self._async_write(splitter.pending)
        return splitter.event_count

    async def _async_start(self, head: AnswerHead, length: int | None) -> None:
        if self.is_started:
            return
        self.is_started = True
        self._trace.status = head.status
        await self._writer.async_start(head, length)

    async def _async_write(self, data: bytes) -> None:
        if data:
            attempt = self._trace.attempts[-1]
            if attempt.first_byte_s is None:
                attempt.first_byte_s = self._clock() - self._started_s
            self._trace.bytes_sent += len(data)
            await self._writer.async_write(data)
