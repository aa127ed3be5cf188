"""Backend server that records each run and injects faults."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

from soak.const import HOST
from soak.const import PATH_DRAFT
from soak.const import SERVICE_STREAM
from soak.records import event_count
from soak.records import plain_body
from soak.records import Run
from soak.records import seal_of
from soak.records import stream_body
from soak.records import stream_event

SLOTS = 8
MAX_QUEUED = 4
RUN_DURATION_S = 0.04
EVENT_INTERVAL_S = 0.05
DISCONNECT_POLL_S = 0.02


@dataclass(slots=True)
class BackendFaults:
    """Faults injected into a backend server.

    Shares are probabilities from 0 to 1:
    - error_share: the request runs and gets a 500.
    - truncation_share: the connection is cut in the middle of the body; for
      streams the share applies to each event.
    - lost_answer_share: the request runs and the connection is cut without a
      response; not for streams.
    - rejection_share: the request gets a 503 and doesn't run.
    slowdown_factor multiplies the processing time.
    """

    error_share: float = 0.0
    truncation_share: float = 0.0
    lost_answer_share: float = 0.0
    rejection_share: float = 0.0
    slowdown_factor: float = 1.0


class CallerDisconnectedError(Exception):
    """The entry instance has closed the connection."""


class SoakBackend:
    """One backend server of a service.

    record is called with each run when it starts. The run is updated when it
    ends.
    """

    def __init__(
        self,
        name: str,
        service: str,
        random: Random,
        record: Callable[[Run], None],
    ) -> None:
        self.name = name
        self.service = service
        self.faults = BackendFaults()
        self.port = 0
        self._random = random
        self._record = record
        self._server: asyncio.Server | None = None
        self._active = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close the listener and cut all connections, as in a crash."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def server_spec(self) -> dict[str, object]:
        """Return the object that lists the server, without the address."""
        entry: dict[str, object] = {
            "service": self.service,
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        if self.service == SERVICE_STREAM:
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
            head = await reader.readuntil(b"\r\n\r\n")
            line, headers = parse_head(head)
            await reader.readexactly(int(headers.get("content-length", "0")))
            await self._async_answer(line.split()[1], headers, reader, writer)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            CallerDisconnectedError,
        ):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        finally:
            writer.close()

    async def _async_answer(
        self,
        path: str,
        headers: dict[str, str],
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            _write_rejection(writer, request_id, "421 Misdirected Request")
            return
        faults = self.faults
        if (
            self._active >= SLOTS + MAX_QUEUED
            or self._random.random() < faults.rejection_share
        ):
            _write_rejection(writer, request_id, "503 Service Unavailable")
            return
        run = Run(
            request_id=request_id,
            path=path,
            backend=self.name,
            service=self.service,
            customer=headers.get("x-tenant", ""),
            started_s=monotonic(),
        )
        self._record(run)
        self._active += 1
        try:
            if path.startswith(PATH_DRAFT):
                last_event_id = int(headers.get("last-event-id", "0"))
                await self._async_answer_stream(
                    run, last_event_id, reader, writer
                )
            else:
                await self._async_answer_plain(run, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            run.is_answer_incomplete = True
            raise
        finally:
            self._active -= 1
            run.ended_s = monotonic()

    async def _async_answer_plain(
        self, run: Run, reader: StreamReader, writer: StreamWriter
    ) -> None:
        await _async_work(RUN_DURATION_S * self.faults.slowdown_factor, reader)
        if self._random.random() < self.faults.lost_answer_share:
            raise ConnectionResetError("injected fault: response not sent")
        if self._fail_by_chance(run, writer):
            return
        body = plain_body(run.request_id, run.path)
        writer.write(_response_head("200 OK", run.request_id, body, len(body)))
        if self._random.random() < self.faults.truncation_share:
            writer.write(body[: len(body) // 2])
            await writer.drain()
            raise ConnectionResetError("injected fault: response truncated")
        writer.write(body)
        await writer.drain()

    def _fail_by_chance(self, run: Run, writer: StreamWriter) -> bool:
        """Answer 500 for error_share of the calls; return whether it did."""
        if self._random.random() >= self.faults.error_share:
            return False
        body = b"failed"
        writer.write(
            _response_head("500 Error", run.request_id, body, len(body))
        )
        writer.write(body)
        return True

    async def _async_answer_stream(
        self,
        run: Run,
        last_event_id: int,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        request_id = run.request_id
        if self._fail_by_chance(run, writer):
            return
        writer.write(
            _response_head("200 OK", request_id, stream_body(request_id))
        )
        for number in range(last_event_id + 1, event_count(request_id) + 1):
            await _async_work(
                EVENT_INTERVAL_S * self.faults.slowdown_factor, reader
            )
            event = stream_event(request_id, number)
            if self._random.random() < self.faults.truncation_share:
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                raise ConnectionResetError("injected fault: event truncated")
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the start line and the header fields of an HTTP message.

    Field names are in lower case.
    """
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _async_work(seconds: float, reader: StreamReader) -> None:
    """Simulate work of the given duration.

    Raises CallerDisconnectedError when the other side closes the connection.
    """
    ends_s = monotonic() + seconds
    while (left_s := ends_s - monotonic()) > 0:
        await asyncio.sleep(min(DISCONNECT_POLL_S, left_s))
        if reader.at_eof() or reader.exception() is not None:
            raise CallerDisconnectedError


def _write_rejection(
    writer: StreamWriter, request_id: str, status: str
) -> None:
    writer.write(
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
    )


def _response_head(
    status: str, request_id: str, body: bytes, length: int | None = None
) -> bytes:
    framing = (
        "Transfer-Encoding: chunked"
        if length is None
        else f"Content-Length: {length}"
    )
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Response-Seal: {seal_of(body)}\r\n{framing}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
