"""Helpers for HTTP calls to backend servers."""

from __future__ import annotations

from typing import Final

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientHandlerType
from aiohttp import ClientPayloadError
from aiohttp import ClientRequest
from aiohttp import ClientResponse
from aiohttp import ConnectionTimeoutError
from aiohttp.hdrs import METH_HEAD

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step

STATUS_OK = 200


async def async_send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request and convert connection errors to AzurewickError.

    A client middleware. aiohttp would resend requests with idempotent
    methods after ClientOSError and ServerDisconnectedError, and the backend
    server might run the request twice; it doesn't after AzurewickError.
    """
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError) as err:
        raise AzurewickError(
            ErrorCode.BACKEND_UNREACHABLE,
            f"can't connect to the backend server: {err}",
            step=Step.DISPATCH,
            peer=str(request.url.origin()),
            outcome=Outcome.NOT_RUN,
        ) from err
    except (ClientError, OSError) as err:
        raise AzurewickError(
            ErrorCode.BACKEND_FAILED,
            "the connection to the backend server failed before its "
            f"response: {err!r}",
            step=Step.DISPATCH,
            peer=str(request.url.origin()),
            outcome=Outcome.UNKNOWN,
        ) from err


FRAMING_LENGTH: Final = "length"
FRAMING_CHUNKS: Final = "chunks"
# The body ends with its connection.
FRAMING_CLOSE: Final = "close"
# The body has an encoding that nothing here decodes.
FRAMING_UNSUPPORTED: Final = "unsupported"


def answer_framing(response: ClientResponse) -> str:
    """Return what marks the end of a response's body."""
    encodings = response.headers.getall("Transfer-Encoding", ())
    if encodings:
        if ",".join(encodings).strip().lower() == "chunked":
            return FRAMING_CHUNKS
        return FRAMING_UNSUPPORTED
    if "Content-Length" in response.headers:
        return FRAMING_LENGTH
    return FRAMING_CLOSE


def raise_if_empty(response: ClientResponse) -> None:
    """Raise ClientPayloadError for an empty body that must have content.

    A body without a length or chunks ends with its connection. A server that
    has nothing to send states a length of 0; without it, the server has
    broken off right behind the head.
    """
    if (
        answer_framing(response) == FRAMING_CLOSE
        and response.status == STATUS_OK
        and response.method != METH_HEAD
    ):
        raise ClientPayloadError("connection ended before the body")
