"""Stand-in of a backend server."""

from __future__ import annotations

import asyncio
from asyncio import CancelledError
from asyncio import StreamReader
from asyncio import StreamWriter
from dataclasses import dataclass
import socket
import struct
from time import monotonic
from time import time

from review.parts.http import BrokenMessageError
from review.parts.http import encode
from review.parts.http import Message
from review.parts.http import read_body
from review.parts.http import read_head
from review.parts.store import Store

HEARTBEAT_S = 1.2


@dataclass(slots=True)
class Arrival:
    """Request that has reached a server."""

    at_s: float
    server: str
    request_id: str
    head: Message


class Replica:
    """Sound server, which runs each request for work_s.

    Its entry in the store is written by itself.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        *,
        slots: int = 12,
        work_s: float = 0.02,
        extra: dict[str, object] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.address = ""
        self.arrivals: list[Arrival] = []
        self.open = 0
        # Whether answer() gets requests with their body.
        self.reads_body = True
        self._extra = extra or {}
        self._store = store
        self._writers: set[StreamWriter] = set()
        self._seq = 0
        self._born = int(time() * 1000)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.register()

    def crash(self) -> None:
        """Reset all connections and refuse new ones; the entry stays."""
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.is_closing():
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
                writer.transport.abort()

    async def restart(self) -> None:
        """Start again under the same id, as another boot.

        It gets another port if its own is in use meanwhile.
        """
        host, _, port = self.address.partition(":")
        try:
            self._server = await asyncio.start_server(
                self._serve, host, int(port), limit=2**22
            )
        except OSError:
            self._server = await asyncio.start_server(
                self._serve, host, 0, limit=2**22
            )
            port = self._server.sockets[0].getsockname()[1]
            self.address = f"{host}:{port}"
        self._born = int(time() * 1000)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry of this server."""
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "addr": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "born": self._born,
                "seq": self._seq,
                **self._extra,
            },
        )

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                if not head.target.startswith("/healthz"):
                    self.arrivals.append(
                        Arrival(
                            monotonic(),
                            self.name,
                            head.get("X-Request-Id"),
                            head,
                        )
                    )
                if self.reads_body:
                    await read_body(reader, head)
                if not await self.answer(head, reader, writer):
                    return
        except (ConnectionError, BrokenMessageError, CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, head: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        if head.get("X-Expect-Instance") not in ("", self.name):
            writer.write(
                encode(
                    "HTTP/1.1 421 Misdirected Request",
                    {"X-Instance-Id": self.name},
                )
            )
            return True
        await asyncio.sleep(self.work_s)
        writer.write(self.success(head))
        await writer.drain()
        return True

    def success(self, head: Message, body: bytes = b"x" * 800) -> bytes:
        """Return the answer to a request that has run."""
        return encode("HTTP/1.1 200 OK", self.fields(head), body)

    def fields(self, head: Message) -> dict[str, str]:
        """Return the header fields of an answer."""
        return {
            "X-Request-Id": head.get("X-Request-Id"),
            "X-Response-Seal": f"seal-{head.get('X-Request-Id')}",
            "X-Instance-Id": self.name,
        }
