"""Crowds of callers that send or read in ways that take memory."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import socket

from tests.entry.instance_case import FIELDS
from tests.entry.instance_case import PATH

# Longest time in which a caller tries to send its bytes. A caller whose bytes
# the instance doesn't take stays connected.
SEND_TIMEOUT_S = 4.0
PART_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4096
CHUNKED_HEAD = (
    f"POST {PATH} HTTP/1.1\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n"
).encode()


def declared_head(size: int) -> bytes:
    """Return the head of a request with a body of size bytes."""
    return (
        f"POST {PATH} HTTP/1.1\r\n{FIELDS}Content-Length: {size}\r\n\r\n"
    ).encode()


class Caller:
    """Connection of a caller that reads nothing unless it is asked to."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    @classmethod
    async def async_connect(cls, port: int) -> Caller | None:
        """Return a connected caller, None if the connection is refused."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await loop.sock_connect(connection, ("127.0.0.1", port))
        except OSError:
            connection.close()
            return None
        return cls(connection)

    async def async_send(self, parts: Iterable[bytes]) -> None:
        """Send the parts until the instance takes no more of them."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for part in parts:
                    for start in range(0, len(part), PART_BYTES):
                        await loop.sock_sendall(
                            self._connection, part[start : start + PART_BYTES]
                        )
                    await asyncio.sleep(0)
        except OSError:
            # The instance has closed the connection, or stopped to read.
            return

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class Crowd:
    """Callers that connect and send together."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._callers: list[Caller] = []

    async def async_send(
        self, callers: int, parts: Iterable[bytes] = ()
    ) -> None:
        """Connect callers and let each send the parts."""
        parts = list(parts)
        connected = await asyncio.gather(
            *(Caller.async_connect(self._port) for _ in range(callers))
        )
        new = [caller for caller in connected if caller is not None]
        self._callers += new
        await asyncio.gather(*(caller.async_send(parts) for caller in new))

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers:
            caller.close()
        self._callers.clear()
