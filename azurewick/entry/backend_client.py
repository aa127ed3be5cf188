"""Client that dispatches requests to backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from logging import getLogger

from aiohttp import ClientConnectorError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ServerDisconnectedError
from multidict import CIMultiDict
from yarl import URL

from azurewick.entry.models import BackendCall
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.request_body import PART_BYTES
from azurewick.entry.request_body import RequestBody
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.helpers.bounded_head import BoundedHeadConnector
from azurewick.helpers.bounded_head import check_before_send
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.http_client import async_send_once

_LOGGER = getLogger(__name__)

# Covers two round trips between regions and the setup of a connection, with
# a margin for a busy machine.
CONNECT_TIMEOUT_S = 0.5
# A timer that fires later than this shows that the event loop was held up. The
# connection may then have been ready in time.
LATE_TIMER_S = 0.1
# Basis of the Retry-After of a caller whose request no server has taken.
RETRY_AFTER_S = 1.0
# aiohttp stops reading from the backend server when twice this many bytes
# are buffered for a slow caller.
READ_BUFFER_BYTES = 32_768
# Maximum size of a header field of requests and answers.
MAX_FIELD_BYTES = 16_384


class ServerWithdrawnError(AzurewickError):
    """The server stopped to accept work before the request was sent."""

    def __init__(self, call: BackendCall) -> None:
        super().__init__(
            ErrorCode.OVERLOADED,
            "the backend server accepts no work any more",
            step=Step.DISPATCH,
            peer=call.backend_name,
            outcome=Outcome.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )


def shows_lost_server(error: AzurewickError) -> bool:
    """Return whether a failed call suggests that its server has crashed.

    That is a connection that was refused or lost before an answer. One that
    wasn't established in time rather shows a broken link.
    """
    cause = error.__cause__
    if error.code is ErrorCode.BACKEND_UNREACHABLE:
        return isinstance(cause, ClientConnectorError) and isinstance(
            cause.os_error, ConnectionRefusedError
        )
    return isinstance(
        cause, ServerDisconnectedError | OSError
    ) and not isinstance(cause, TimeoutError)


class BackendClient:
    """Sends each call exactly once, on a new connection.

    Without connection reuse, a late answer to an earlier request can't be
    taken for the answer of this one, and a request whose connection failed
    is known not to have run.
    """

    def __init__(self, protocol: WireProtocol) -> None:
        self._protocol = protocol
        self._session: ClientSession | None = None

    async def async_start(self) -> None:
        """Open the client."""
        self._session = ClientSession(
            connector=BoundedHeadConnector(),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            middlewares=(async_send_once,),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            skip_auto_headers=(
                "User-Agent",
                "Accept-Encoding",
                "Accept",
                "Content-Type",
            ),
        )

    async def async_stop(self) -> None:
        """Close the client."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_send(self, call: BackendCall) -> ClientResponse:
        """Send a call and return its response, with the body unread.

        Raises AzurewickError: backend_unreachable with outcome not_run when
        no byte was sent, otherwise backend_failed with outcome unknown.
        Raises ServerWithdrawnError when the server doesn't want the call any
        more once the connection is established; nothing was sent then.
        """
        started_s = monotonic_s()
        try:
            return await self._async_request(call)
        except AzurewickError as err:
            late_s = monotonic_s() - started_s - CONNECT_TIMEOUT_S
            if (
                err.code is not ErrorCode.BACKEND_UNREACHABLE
                or late_s < LATE_TIMER_S
            ):
                raise
            # A stall of this process is no failure of the server, and nothing
            # was sent.
            _LOGGER.info(
                "connecting again after a stall of this process",
                extra={
                    "backend_server": call.backend_name,
                    "late_s": round(late_s, 3),
                },
            )
        return await self._async_request(call)

    async def _async_request(self, call: BackendCall) -> ClientResponse:
        if self._session is None:
            raise RuntimeError("the backend client is not started")

        def check_wanted() -> None:
            if not call.is_wanted():
                raise ServerWithdrawnError(call)

        headers = self._protocol.encode_call(call)
        token = check_before_send.set(check_wanted)
        try:
            return await self._session.request(
                call.request.method,
                URL(
                    f"http://{call.address}{call.request.target}",
                    encoded=True,
                ),
                data=_encode_body(call.body, headers),
                headers=headers,
                allow_redirects=False,
            )
        finally:
            check_before_send.reset(token)


def _encode_body(
    body: RequestBody | None, headers: CIMultiDict[str]
) -> bytes | AsyncIterator[bytes] | None:
    """Return a body as aiohttp takes it, and set its length if needed."""
    if body is None or not body.size:
        return None
    if body.size <= PART_BYTES:
        return b"".join(body.parts)
    headers["Content-Length"] = str(body.size)
    return body.async_iterate()
