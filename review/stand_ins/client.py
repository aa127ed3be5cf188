"""Client of the system."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from itertools import count

from stand_ins.entry_process import HOST
from stand_ins.http import async_read_message
from stand_ins.http import Message
from stand_ins.record import Record

CLIENT_HOST = "shop.example"
API_KEY = "key-of-tenant-1"
CONNECT_TIMEOUT_S = 1.0
_NUMBERS = count(1)


class Client:
    """Client with one channel that it keeps open for many requests."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None
        # Requests that the open channel has carried.
        self.requests = 0

    @property
    def is_open(self) -> bool:
        """Return whether the channel is open."""
        return self._writer is not None

    async def async_send(
        self,
        method: str,
        path: str,
        *,
        deadline_ms: int,
        headers: str = "",
        body: bytes = b"",
    ) -> tuple[str, Message]:
        """Send a request; return its id and the answer.

        The error of the answer is set when there is no complete one.
        """
        request_id = f"q-{next(_NUMBERS)}"
        message = Message()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self.async_connect()
                assert self._writer is not None and self._reader is not None
                self.requests += 1
                self._writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n"
                    f"X-Request-Id: {request_id}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n"
                    f"Authorization: Token {API_KEY}\r\n{headers}"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                )
                self._writer.write(body)
                await self._writer.drain()
                message = await async_read_message(self._reader)
        except TimeoutError:
            message.error = "gave up at its time limit"
        except OSError as err:
            message.error = f"failed: {err!r}"
        self._record.write(
            "client answered",
            id=request_id,
            path=path,
            status=message.status,
            error=message.error or "-",
        )
        is_last = message.headers.get("connection", "").lower() == "close"
        if message.error or is_last:
            self.close()
        return request_id, message

    async def async_connect(self) -> None:
        """Open the channel unless it is open."""
        if self._writer is not None:
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(
                HOST, self._port
            )
        self.requests = 0

    async def async_wait_closed(self) -> None:
        """Wait until the system closes the idle channel."""
        assert self._reader is not None
        try:
            await self._reader.read(1)
        except OSError as err:
            self._record.write("idle channel failed", error=repr(err))
        self.close()

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
