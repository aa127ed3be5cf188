"""Loopback TCP proxy that injects faults into its connections."""

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
# SO_LINGER with a time of zero makes the kernel close with a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """How a proxy handles the bytes that pass through it."""

    OPEN = "open"
    DELAYED = "delayed"
    # Bytes of both directions, and new connections, are held back.
    SILENT = "silent"
    # Requests pass, replies are held back.
    NO_REPLIES = "no_replies"
    # Open and new connections are reset.
    RESET = "reset"


class FaultProxy:
    """Forwards connections to one port, subject to the state of the link.

    delay_s is added to each chunk while the state is DELAYED.
    """

    def __init__(self, target_port: int) -> None:
        self.state = LinkState.OPEN
        self.delay_s = 0.0
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        # Ports of callers whose connections the target has refused.
        self._refused_ports: set[int] = set()
        self._writers: set[StreamWriter] = set()
        self._unblocked = asyncio.Event()
        self._unblocked.set()

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
        """Set the state; RESET also resets the open connections."""
        self.state = state
        self.delay_s = delay_s
        if state in (LinkState.SILENT, LinkState.NO_REPLIES):
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if state is LinkState.RESET:
            self.reset_connections()

    def has_refused(self, caller_port: int) -> bool:
        """Return whether the target refused the last connection of a port.

        The proxy has accepted it by then, so that its caller can't tell.
        """
        return caller_port in self._refused_ports

    def reset_connections(self) -> None:
        """Reset all open connections, without changing the state."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _async_serve(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        caller_port = writer.get_extra_info("peername")[1]
        self._refused_ports.discard(caller_port)
        if self.state is LinkState.RESET:
            _reset(writer)
            return
        if self.state is LinkState.SILENT:
            await self._unblocked.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
        except OSError as err:
            if isinstance(err, ConnectionRefusedError):
                self._refused_ports.add(caller_port)
            _reset(writer)
            return
        writers = (writer, target_writer)
        self._writers.update(writers)
        try:
            await asyncio.gather(
                self._async_copy(reader, target_writer, is_reply=False),
                self._async_copy(target_reader, writer, is_reply=True),
            )
        except OSError as err:
            _LOGGER.debug("proxied connection failed: %s", err)
            for peer_writer in writers:
                _reset(peer_writer)
        finally:
            for peer_writer in writers:
                self._writers.discard(peer_writer)
                peer_writer.close()

    async def _async_copy(
        self, reader: StreamReader, writer: StreamWriter, *, is_reply: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SILENT or (
                is_reply and self.state is LinkState.NO_REPLIES
            ):
                await self._unblocked.wait()
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if is_reply:
            # The server has closed the connection. A half-close by the client
            # is not forwarded, as HTTP clients don't use it.
            writer.close()
        else:
            raise ConnectionResetError("client closed the connection")


def _reset(writer: StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
