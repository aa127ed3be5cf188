"""Callers that send requests over kept connections and record the answers."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

from soak.backend import parse_head
from soak.const import API_KEY
from soak.const import CALLER_HOST
from soak.const import HOST
from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT
from soak.const import PATH_LOOKUP
from soak.const import PATH_PROBE
from soak.const import ROUTE_TIMEOUT_S
from soak.records import Call
from soak.records import End

CONNECT_TIMEOUT_S = 1.0
# Longer than the time limit of the routes, so that a caller gives up only on
# an instance that doesn't answer at all.
CALLER_TIMEOUT_S = ROUTE_TIMEOUT_S + 3.0
REQUESTS_PER_CONNECTION = 12
DISCONNECT_SHARE = 0.05
DISCONNECT_AFTER_S = 0.1
MEAN_PAUSE_S = 0.08
PATHS = (PATH_BOOKING, PATH_LOOKUP, PATH_DRAFT, PATH_PROBE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Name of an entry instance and the port on which callers reach it.

    has_refused tells for the port of a caller whether the instance refused
    its connection.
    """

    name: str
    port: int
    has_refused: Callable[[int], bool]


@dataclass(slots=True)
class Connection:
    """Open connection of a caller."""

    target: Target
    reader: StreamReader
    writer: StreamWriter
    request_count: int = 0

    @property
    def was_refused(self) -> bool:
        """Return whether the instance refused the connection."""
        port = self.writer.get_extra_info("sockname")[1]
        return self.target.has_refused(port)


class Caller:
    """Client that sends one request after the other.

    choose_target returns the instance for a new connection, or None when
    there is none. record is called with each call before it is sent; the
    call is updated when it ends.
    """

    def __init__(
        self,
        random: Random,
        choose_target: Callable[[Random], Target | None],
        record: Callable[[Call], None],
    ) -> None:
        self._random = random
        self._choose_target = choose_target
        self._record = record
        self._connection: Connection | None = None

    async def async_run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._async_call()
                await asyncio.sleep(
                    self._random.expovariate(1.0 / MEAN_PAUSE_S)
                )
        finally:
            self._close()

    async def _async_call(self) -> None:
        connection = self._connection or await self._async_connect()
        if connection is None:
            return
        request_id = f"{self._random.getrandbits(64):016x}"
        path = f"{self._random.choice(PATHS)}{request_id[:4]}"
        call = Call(
            request_id=request_id,
            path=path,
            instance=connection.target.name,
            sent_s=monotonic(),
        )
        self._record(call)
        connection.request_count += 1
        disconnects = self._random.random() < DISCONNECT_SHARE
        try:
            async with asyncio.timeout(
                DISCONNECT_AFTER_S if disconnects else CALLER_TIMEOUT_S
            ):
                connection.writer.write(_encode_request(call))
                await connection.writer.drain()
                call.end = End.CUT
                stays_open = await self._async_read(call, connection.reader)
                call.end = End.ANSWERED
        except TimeoutError:
            call.end = End.LEFT if disconnects else End.SILENT
            stays_open = False
        except asyncio.CancelledError:
            # The soak test has ended; the caller doesn't wait for the answer.
            call.end = End.LEFT
            call.ended_s = monotonic()
            raise
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            stays_open = False
            call.was_refused = connection.was_refused
        call.ended_s = monotonic()
        if (
            not stays_open
            or connection.request_count >= REQUESTS_PER_CONNECTION
        ):
            self._close()

    async def _async_connect(self) -> Connection | None:
        target = self._choose_target(self._random)
        if target is None:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, target.port
                )
        except (OSError, TimeoutError):
            return None
        self._connection = Connection(target, reader, writer)
        return self._connection

    async def _async_read(self, call: Call, reader: StreamReader) -> bool:
        """Read a response; return whether the connection stays open."""
        line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        call.status = int(line.split()[1])
        call.seal = headers.get("x-response-seal", "")
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                call.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(headers["content-length"])
            call.body = await reader.readexactly(length)
        return headers.get("connection", "").lower() != "close"

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None


def _encode_request(call: Call) -> bytes:
    method = "GET" if call.path.startswith(PATH_LOOKUP) else "POST"
    body = b"" if method == "GET" else b"{}"
    return (
        f"{method} {call.path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
        f"X-Request-Id: {call.request_id}\r\n"
        f"X-Deadline-Ms: {round(ROUTE_TIMEOUT_S * 1000)}\r\n"
        f"Authorization: Token {API_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
