"""Listening socket of an HTTP server, closed without losing connections."""

from __future__ import annotations

import asyncio
import socket

from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import SockSite

from azurewick.helpers.address import split_address

BACKLOG = 1024


class Listener:
    """HTTP server on one address.

    close_timeout_s is how long running handlers may go on when it closes, and
    backlog how many connections may be accepted at once.
    """

    def __init__(
        self, server: Server, close_timeout_s: float, backlog: int = BACKLOG
    ) -> None:
        self._backlog = backlog
        self._server = server
        self._runner = ServerRunner(server, shutdown_timeout=close_timeout_s)
        self._socket: socket.socket | None = None
        self._site: SockSite | None = None

    async def async_start(self, address: str) -> None:
        """Listen; raise OSError when the address can't be used."""
        host, port = split_address(address)
        self._socket = socket.create_server(
            (host, port),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=self._backlog,
        )
        self._socket.setblocking(False)
        await self._runner.setup()
        self._site = SockSite(
            self._runner, self._socket, backlog=self._backlog
        )
        await self._site.start()

    async def async_stop_listening(self) -> None:
        """Refuse new connections; those in the backlog are accepted.

        Closing a socket resets the connections in its backlog, whose callers
        may have sent a request long ago if this process is busy.
        """
        if self._site is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        if isinstance(loop, asyncio.SelectorEventLoop):
            # It fails to set up a connection that it has accepted if the
            # server closes before the next two iterations have ended.
            loop.remove_reader(self._socket)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        accepted = _accept_all(self._socket)
        await self._site.stop()
        self._site = None
        for connection in accepted:
            await loop.connect_accepted_socket(self._server, connection)

    async def async_close(self) -> None:
        """Stop to listen and close all connections."""
        await self.async_stop_listening()
        await self._runner.cleanup()


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            # The backlog is empty, or a connection has been reset in it.
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
