"""Relay of a backend server's answer to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from aiohttp import ClientResponse

from azurewick.entry.events import EventSplitter
from azurewick.entry.models import AnswerHead
from azurewick.entry.trace import ExchangeTrace
from azurewick.helpers.http_client import watch_connection

# Answers of plain services up to this size are read whole before the caller
# gets the first byte, so that a torn answer can be repeated.
WHOLE_ANSWER_BYTES = 262_144


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class AnswerWriter(Protocol):
    """Caller's side of an exchange.

    Both methods raise CallerGoneError when the caller has left.
    """

    async def async_start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head of the answer."""

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""


class AnswerRelay:
    """Passes answers on to one caller, over all attempts of its request.

    is_started says that the caller has got a head. last_event_id is the id
    of the last event that it has got.
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

    async def async_relay_whole(
        self, response: ClientResponse, head: AnswerHead
    ) -> None:
        """Read the answer whole, then pass it on."""
        connection = watch_connection(response)
        parts: list[bytes] = []
        size = 0
        whole = True
        async for data in response.content.iter_any():
            parts.append(data)
            size += len(data)
            if size > WHOLE_ANSWER_BYTES:
                whole = False
                break
        connection.raise_if_reset()
        length = size if whole else head.content_length
        await self._async_start(head, length)
        for data in parts:
            await self._async_write(data)
        if not whole:
            async for data in response.content.iter_any():
                await self._async_write(data)
            connection.raise_if_reset()

    async def async_relay_stream(
        self,
        response: ClientResponse,
        head: AnswerHead,
        silence_s: Callable[[bool], float | None],
    ) -> int:
        """Pass the events on as they arrive; return how many came whole.

        silence_s gives the longest silence before the first event, if its
        argument is true, and between two others. Of a resumable stream only
        whole events are passed on, so that another server can go on.
        """
        connection = watch_connection(response)
        splitter = EventSplitter()
        if not self._is_resumable:
            await self._async_start(head, head.content_length)
        first = True
        while True:
            async with asyncio.timeout(silence_s(first)):
                data = await response.content.readany()
            if not data:
                break
            first = False
            if not self._is_resumable:
                splitter.feed(data)
                await self._async_write(data)
                continue
            whole = splitter.feed(data)
            if whole:
                await self._async_start(head, head.content_length)
                await self._async_write(whole)
                self.last_event_id = splitter.last_event_id
        connection.raise_if_reset()
        if self._is_resumable:
            await self._async_start(head, head.content_length)
            await self._async_write(splitter.rest)
        return splitter.events

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
