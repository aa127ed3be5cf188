"""Client that gets the configuration from peers."""

from __future__ import annotations

import asyncio

from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.probed_socket import create_probed_socket
from azurewick.replication.codec import MAX_DOCUMENT_BYTES
from azurewick.replication.peer_api import PATH_CONFIGURATION
from azurewick.replication.peer_api import QUERY_BASE

STATUS_OK = 200
# A peer in the other region answers within some tens of milliseconds.
CONNECT_TIMEOUT_S = 0.5
# Longest time without any byte.
STALL_LIMIT_S = 0.6
# The largest document takes less on the narrowest link, compressed or not.
TOTAL_TIMEOUT_S = 3.0


class PeerClient:
    """Gets encoded documents from peers."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    async def async_close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_fetch(self, address: str, base_digest: str) -> bytes:
        """Return the encoded newest document of a peer.

        Raises AzurewickError with code peer_unreachable.
        """
        try:
            async with self._get_session().get(
                f"http://{address}{PATH_CONFIGURATION}",
                params={QUERY_BASE: base_digest},
                allow_redirects=False,
            ) as response:
                if response.status != STATUS_OK:
                    raise _error(address, f"status {response.status}")
                return await _async_read(response)
        except (ClientError, TimeoutError, OSError, ValueError) as err:
            raise _error(address, repr(err)) from err

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(socket_factory=create_probed_socket),
                timeout=ClientTimeout(
                    total=TOTAL_TIMEOUT_S,
                    connect=CONNECT_TIMEOUT_S,
                    sock_read=STALL_LIMIT_S,
                ),
            )
        return self._session


async def _async_read(response: ClientResponse) -> bytes:
    parts: list[bytes] = []
    size_bytes = 0
    async with asyncio.timeout(TOTAL_TIMEOUT_S):
        async for part in response.content.iter_any():
            size_bytes += len(part)
            if size_bytes > MAX_DOCUMENT_BYTES:
                raise ValueError(
                    f"document is larger than {MAX_DOCUMENT_BYTES} bytes"
                )
            parts.append(part)
    return b"".join(parts)


def _error(address: str, reason: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.PEER_UNREACHABLE,
        f"no configuration from the peer: {reason}",
        step=Step.SYNC,
        peer=address,
    )
