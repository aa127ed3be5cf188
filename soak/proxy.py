"""Loopback proxy that disturbs the connections passing through it."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from enum import StrEnum
from logging import getLogger
import socket
import struct

from soak.const import HOST

_LOGGER = getLogger(__name__)

CHUNK_BYTES = 65_536
# A linger time of zero makes the kernel end a connection with a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """What a proxy does to the bytes that pass."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_REPLIES = "no_replies"
    RESET = "reset"


class FaultProxy:
    """Forwards connections to one target, in a state that faults set.

    delay_s applies to each chunk while the link is delayed.
    """

    def __init__(self, target_port: int) -> None:
        self.state = LinkState.OPEN
        self.delay_s = 0.0
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[StreamWriter] = set()
        self._opened = asyncio.Event()
        self._opened.set()

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.set_state(LinkState.OPEN)
        self.reset_connections()

    def set_state(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Change what happens to the bytes; a reset ends what is open."""
        self.state = state
        self.delay_s = delay_s
        if state in (LinkState.SILENT, LinkState.NO_REPLIES):
            self._opened.clear()
        else:
            self._opened.set()
        if state is LinkState.RESET:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections; new ones pass again."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _async_serve(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        if self.state is LinkState.RESET:
            _reset(writer)
            return
        if self.state is LinkState.SILENT:
            await self._opened.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
        except OSError:
            _reset(writer)
            return
        ends = (writer, far_writer)
        self._writers.update(ends)
        try:
            await asyncio.gather(
                self._async_copy(reader, far_writer, is_reply=False),
                self._async_copy(far_reader, writer, is_reply=True),
            )
        except OSError as err:
            _LOGGER.debug("connection through the proxy broke: %s", err)
            for end in ends:
                _reset(end)
        finally:
            for end in ends:
                self._writers.discard(end)
                end.close()

    async def _async_copy(
        self, reader: StreamReader, writer: StreamWriter, *, is_reply: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SILENT or (
                is_reply and self.state is LinkState.NO_REPLIES
            ):
                await self._opened.wait()
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if is_reply:
            # The server has ended; a caller's half close isn't passed on,
            # as HTTP clients don't use it.
            writer.close()
        else:
            raise ConnectionResetError("the client has closed")


def _reset(writer: StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
