"""HTTP client connections that don't trust the bytes of an answer.

aiohttp limits the length of each line and the number of header fields, but
not the number of informational (1xx) answers before the final one. A server
that sends them without end would keep the event loop busy. Nor does it
report every body that is damaged or cut off by a reset to its reader.
"""

from __future__ import annotations

from asyncio import AbstractEventLoop
from asyncio import get_running_loop
from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any
from typing import cast

from aiohttp import ClientError
from aiohttp import ClientOSError
from aiohttp import ClientPayloadError
from aiohttp import ClientRequest
from aiohttp import ClientTimeout
from aiohttp import http
from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from azurewick.helpers.chunk_checker import ChunkChecker
from azurewick.helpers.chunk_checker import ChunkError

# Maximum size of the head with all informational answers before it.
MAX_HEAD_BYTES = 131_072
FIRST_FINAL_STATUS = 200
STATUS_SWITCHING_PROTOCOLS = 101
check_before_send: ContextVar[Callable[[], None] | None] = ContextVar(
    "check_before_send", default=None
)
_HEAD_END = b"\r\n\r\n"
_TAIL_BYTES = len(_HEAD_END) - 1


class BoundedHeadHandler(ResponseHandler):
    """Connection that fails when a head exceeds MAX_HEAD_BYTES.

    The body fails as well when its framing is damaged or the connection is
    reset before its end.
    """

    def __init__(self, loop: AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._head_bytes = 0
        self._has_head = False
        # The last bytes of the head, in which an empty line may have begun.
        self._last_bytes = b""
        self._chunk_checker: ChunkChecker | None = None

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Handle a parsed head, which may be informational."""
        status = data[0].code
        if (
            status >= FIRST_FINAL_STATUS
            or status == STATUS_SWITCHING_PROTOCOLS
        ):
            self._has_head = True
            if data[0].chunked:
                self._chunk_checker = ChunkChecker()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection if the head is too large.

        aiohttp discards the head of an answer when the parsed data also holds
        bytes after the answer that are no HTTP. The head is parsed apart, so
        that such bytes don't cost a complete answer.
        """
        while not self._has_head:
            end = self._find_head_end(data)
            head, data = data[:end], data[end:]
            self._head_bytes += len(head)
            self._last_bytes = (self._last_bytes + head)[-_TAIL_BYTES:]
            self._parse(head)
            if not self._has_head and self._head_bytes > MAX_HEAD_BYTES:
                self._fail()
            if not data or self.is_eof():
                return
        if self._chunk_checker is not None:
            try:
                self._chunk_checker.feed(data)
            except ChunkError as err:
                self._fail_body(ClientPayloadError(f"damaged body: {err}"))
                if self.transport is not None:
                    self.transport.close()
                return
        self._parse(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection.

        aiohttp takes a reset for the end of a body that has neither a length
        nor chunks.
        """
        if isinstance(exc, OSError):
            self._fail_body(ClientOSError(*exc.args))
        super().connection_lost(exc)

    def _parse(self, data: bytes) -> None:
        """Parse data; fail the body if they can't be parsed.

        aiohttp reports such an error only to the reader of the next head, so
        that the reader of the body would wait on.
        """
        earlier_error = self.exception()
        super().data_received(data)
        error = self.exception()
        if error is not None and error is not earlier_error:
            self._fail_body(ClientPayloadError(f"damaged body: {error!r}"))

    def _fail_body(self, error: ClientError) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _find_head_end(self, data: bytes) -> int:
        """Return the index after the first empty line, or after the data."""
        known = self._last_bytes
        index = (known + data[:_TAIL_BYTES]).find(_HEAD_END)
        if index < 0:
            index = data.find(_HEAD_END)
            return len(data) if index < 0 else index + len(_HEAD_END)
        return index + len(_HEAD_END) - len(known)

    def _fail(self) -> None:
        if self.transport is not None:
            self.transport.close()
        self.set_exception(
            http.HttpProcessingError(
                message=f"head exceeds {MAX_HEAD_BYTES} bytes"
            )
        )


class BoundedHeadConnector(TCPConnector):
    """Connector whose connections are used for one request each.

    The function in check_before_send is called between the setup of a
    connection and the request; if it raises, nothing is sent.
    """

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = cast(
            "partial[ResponseHandler]",
            partial(BoundedHeadHandler, loop=get_running_loop()),
        )

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: ClientTimeout,  # noqa: ASYNC109 - overrides aiohttp's method
    ) -> Connection:
        """Return a new connection for a request."""
        connection = await super().connect(req, traces, timeout)
        check = check_before_send.get()
        if check is not None:
            try:
                check()
            except BaseException:
                connection.close()
                raise
        return connection
