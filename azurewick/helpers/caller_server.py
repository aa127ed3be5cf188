"""HTTP server with limits on the callers' connections."""

from __future__ import annotations

from asyncio import BaseTransport
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import BaseRequest
from aiohttp.web import json_response
from aiohttp.web import RequestHandler
from aiohttp.web import Server
from aiohttp.web import StreamResponse

from azurewick.const import MAX_HEADER_FIELDS
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# Idle callers' connections stay open for as long as load balancers keep
# theirs.
KEEPALIVE_S = 75.0
# Time to read the rest of a refused body: a caller that still writes
# might otherwise lose the error to a reset.
LINGERING_S = 2.0
# Longest request line or header field.
MAX_FIELD_BYTES = 8190


class CallerConnection(RequestHandler):
    """Connection of a caller that has to send its first request in time."""

    def connection_made(self, transport: BaseTransport) -> None:
        """Close the connection when there are too many, or later if idle."""
        super().connection_made(transport)
        manager = self._manager
        if not isinstance(manager, CallerServer):
            return
        if manager.connection_count > manager.max_connections:
            self.force_close()
            return
        self._loop.call_later(manager.header_timeout_s, self._check_started)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return the answer to a request that can't be parsed.

        aiohttp logs a traceback for each, which a flood of bad requests
        would use to fill the log.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        too_large = isinstance(exc, LineTooLong) or "headers" in exc.message
        error = AzurewickError(
            ErrorCode.HEADERS_TOO_LARGE
            if too_large
            else ErrorCode.INVALID_REQUEST,
            "request head is too large or malformed",
            step=Step.RECEIVE,
        )
        response = json_response(error.as_body(), status=error.http_status)
        response.force_close()
        return response

    def _check_started(self) -> None:
        if self._request_count == 0:
            self.force_close()


class CallerServer(Server):
    """aiohttp server with limits on connections and on their start."""

    def __init__(
        self,
        handler: Any,
        *,
        header_timeout_s: float,
        max_connections: int,
        max_field_bytes: int = MAX_FIELD_BYTES,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGERING_S,
            max_headers=MAX_HEADER_FIELDS,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
        )
        self.header_timeout_s = header_timeout_s
        self.max_connections = max_connections

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)
