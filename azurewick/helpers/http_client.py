"""Helpers for calls to backend servers."""

from __future__ import annotations

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientHandlerType
from aiohttp import ClientOSError
from aiohttp import ClientRequest
from aiohttp import ClientResponse
from aiohttp import ConnectionTimeoutError
from aiohttp.client_proto import ResponseHandler

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step


async def async_send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Turn a broken connection into an error that aiohttp doesn't retry.

    aiohttp sends idempotent methods again after ClientOSError and
    ServerDisconnectedError, which would be a second dispatch.
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
            f"the backend server broke before its answer: {err!r}",
            step=Step.DISPATCH,
            peer=str(request.url.origin()),
            outcome=Outcome.UNKNOWN,
        ) from err


class ConnectionWatch:
    """Tells whether a reset has cut off the body of a response.

    A body without a length ends with its connection. aiohttp ends such a
    body in the same way for a closed and for a reset connection, after
    which it isn't complete. Without a protocol there is nothing to watch.
    """

    def __init__(self, protocol: ResponseHandler | None) -> None:
        self._protocol = protocol

    def raise_if_reset(self) -> None:
        """Raise ClientOSError if a reset has ended the body."""
        if self._protocol is None:
            return
        error = self._protocol.exception()
        if isinstance(error, ClientOSError):
            raise error


def watch_connection(response: ClientResponse) -> ConnectionWatch:
    """Return the watch of a response whose body is not read yet.

    A body with a length or in chunks tells by itself that it is complete;
    a reset after it changes nothing.
    """
    headers, connection = response.headers, response.connection
    is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    if is_framed or connection is None:
        return ConnectionWatch(None)
    return ConnectionWatch(connection.protocol)
