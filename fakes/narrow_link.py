"""Loopback proxy whose replies share links of limited bandwidth."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from logging import getLogger

_LOGGER = getLogger(__name__)

HOST = "127.0.0.1"
# Bytes that come so late don't leave the link idle: a sender keeps its queue
# filled, while the timers of this process fire late.
QUEUE_S = 0.05
# Connections that share a link take turns after this many bytes.
CHUNK_BYTES = 8_192


class Link:
    """Link on which one chunk is sent at a time.

    Bytes wait while is_cut is set, and go on when the cut has ended.
    """

    def __init__(self, mbit_per_s: float) -> None:
        self.sent_bytes = 0
        self._bytes_per_s = mbit_per_s * 1e6 / 8
        self._free_s = 0.0
        self._healed = asyncio.Event()
        self._healed.set()

    def set_cut(self, is_cut: bool) -> None:
        """Hold back all bytes, or let them pass again."""
        if is_cut:
            self._healed.clear()
        else:
            self._healed.set()

    async def async_wait_healed(self) -> None:
        """Wait while the link is cut."""
        await self._healed.wait()

    def reserve_s(self, size_bytes: int, now_s: float) -> float:
        """Return when the link will have sent these bytes."""
        self._free_s = max(now_s - QUEUE_S, self._free_s) + (
            size_bytes / self._bytes_per_s
        )
        self.sent_bytes += size_bytes
        return self._free_s


async def _async_pass(links: tuple[Link, ...], size_bytes: int) -> None:
    """Wait until all links, which work at the same time, have sent this."""
    for link in links:
        await link.async_wait_healed()
    now_s = asyncio.get_running_loop().time()
    sent_s = max(
        (link.reserve_s(size_bytes, now_s) for link in links), default=now_s
    )
    await asyncio.sleep(max(0.0, sent_s - now_s))


class NarrowProxy:
    """Forwards connections to one address; the replies pass the links."""

    def __init__(self, target: str, *links: Link) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._links = links
        self._server: asyncio.Server | None = None

    async def async_start(self) -> str:
        """Listen on a free port; return the address as "IP:port"."""
        self._server = await asyncio.start_server(self._async_serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def async_stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self._target, limit=CHUNK_BYTES
        )
        copies = (
            asyncio.create_task(self._async_copy(reader, target_writer, ())),
            asyncio.create_task(
                self._async_copy(target_reader, writer, self._links)
            ),
        )
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            for end in (writer, target_writer):
                end.transport.abort()

    async def _async_copy(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        links: tuple[Link, ...],
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await _async_pass(links, len(data))
                writer.write(data)
                await writer.drain()
        except OSError as err:
            _LOGGER.debug("proxied connection failed: %s", err)
