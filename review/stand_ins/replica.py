"""Replica of a service that records each run."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from hashlib import blake2b

from stand_ins.entry_process import HOST
from stand_ins.http import async_read_message
from stand_ins.http import Message
from stand_ins.record import Record

EVENT_INTERVAL_S = 0.1
DISCONNECT_POLL_S = 0.02
PLAIN_WORK_S = 0.045


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class Replica:
    """Sound replica: it runs requests and drops those whose caller leaves.

    Streams have as many events as the second number in X-Token-Count says,
    six tokens an event.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        *,
        slots: int,
        is_engine: bool,
        prefill_s: float = 0.1,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.is_engine = is_engine
        self.runs: list[str] = []
        self.address = ""
        self.prefill_s = prefill_s
        self.active = 0
        self.is_up = True
        self._record = record
        self._server: asyncio.Server | None = None
        self._port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen on a free port, or again on the same one."""
        self._server = await asyncio.start_server(
            self._accept, HOST, self._port, limit=262_144
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self._port}"
        self.is_up = True

    async def async_stop(self) -> None:
        """Close the listener and reset all connections, as in a crash."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def entry(self, born_ms: int = 1) -> dict[str, object]:
        """Return the object that lists the replica in the store."""
        entry: dict[str, object] = {
            "service": self.service,
            "addr": self.address,
            "zone": "pl-north",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": born_ms,
        }
        if self.is_engine:
            entry["phase"] = "mixed"
        return entry

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = asyncio.ensure_future(self._async_serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_serve(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            request = await async_read_message(reader, keep_body=False)
            if request.error:
                return
            await self._async_answer(request, reader, writer)
        except (OSError, CallerGoneError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        finally:
            writer.close()

    async def _async_answer(
        self, request: Message, reader: StreamReader, writer: StreamWriter
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await self.async_reject(
                request_id, "421 Misdirected Request", writer
            )
            return
        if self.active >= 3 * self.slots:
            await self.async_reject(
                request_id, "503 Service Unavailable", writer
            )
            return
        self.active += 1
        try:
            await self.async_run(request, request_id, reader, writer)
        finally:
            self.active -= 1

    async def async_reject(
        self, request_id: str, status: str, writer: StreamWriter
    ) -> None:
        """Answer that the request hasn't run."""
        self._record.write(
            "replica rejected", replica=self.name, id=request_id, status=status
        )
        writer.write(
            f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        await writer.drain()

    def record_run(self, request_id: str) -> None:
        """Record that a request has begun to run."""
        self.runs.append(request_id)
        self._record.write("replica ran", replica=self.name, id=request_id)

    async def async_run(
        self,
        request: Message,
        request_id: str,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        """Run a request and answer it."""
        self.record_run(request_id)
        if not self.is_engine:
            await async_work(PLAIN_WORK_S, reader)
            body = f"done {request_id}".encode()
            writer.write(
                head(
                    "200 OK", request_id, body, f"Content-Length: {len(body)}"
                )
                + body
            )
            await writer.drain()
            return
        await async_work(self.prefill_s, reader)
        tokens = request.headers.get("x-token-count", "0,60").split(",")
        count = max(1, int(tokens[1]) // 6)
        events = [
            f"id: {number}\ndata: {request_id}\n\n".encode()
            for number in range(1, count + 1)
        ]
        writer.write(
            head(
                "200 OK",
                request_id,
                b"".join(events),
                "Transfer-Encoding: chunked",
            )
        )
        done = int(request.headers.get("last-event-id", "0"))
        for event in events[done:]:
            writer.write(chunk(event))
            await writer.drain()
            await async_work(EVENT_INTERVAL_S, reader)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def head(status: str, request_id: str, body: bytes, framing: str) -> bytes:
    """Return the head of an answer with its seal."""
    seal = blake2b(body, digest_size=8).hexdigest()
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Response-Seal: {seal}\r\n{framing}\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def async_work(seconds: float, reader: StreamReader) -> None:
    """Work for some time; stop when the caller closes its connection."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + seconds
    while (left_s := ends_s - loop.time()) > 0:
        await asyncio.sleep(min(DISCONNECT_POLL_S, left_s))
        if reader.at_eof() or reader.exception() is not None:
            raise CallerGoneError
