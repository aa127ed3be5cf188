"""HTTP interface through which peers get each other's configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from logging import getLogger

from aiohttp.web import BaseRequest
from aiohttp.web import Response

from azurewick.helpers.caller_memory import CallerLimits
from azurewick.helpers.caller_server import CallerServer
from azurewick.helpers.listener import Listener
from azurewick.replication.codec import encode_document
from azurewick.replication.document import Document
from azurewick.replication.history import DocumentHistory

_LOGGER = getLogger(__name__)

PATH_CONFIGURATION = "/configuration"
# Digest of the document that the caller has, empty if it has none.
QUERY_BASE = "base"
# Further peers get a 503 and turn to instances that have got the document
# meanwhile, so that a narrow link doesn't serve all of them.
MAX_UPLOADS = 3
# Interval at which the rest of an upload is looked at, and its longest time.
UPLOAD_POLL_S = 0.02
MAX_UPLOAD_S = 5.0
CLOSE_TIMEOUT_S = 0.1
# Time in which a request must arrive, and limits of what the connections hold.
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 400
LIMITS = CallerLimits(memory_bytes=4_194_304, unread_answer_s=MAX_UPLOAD_S)


class PeerApi:
    """Serves the newest document of this instance to its peers.

    is_peer tells whether an IP address is that of a peer: documents contain
    the keys of customers.
    """

    def __init__(
        self,
        history: DocumentHistory,
        is_peer: Callable[[str], bool],
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._history = history
        self._is_peer = is_peer
        self._max_connections = max_connections
        self._uploads = 0
        # Encoded newest document, by the digests of it and of its base.
        self._encoded: dict[tuple[str, str], bytes] = {}
        self._listener: Listener | None = None

    async def async_start(self, address: str) -> None:
        """Listen; raise OSError when the address can't be used."""
        server = CallerServer(
            self._async_handle,
            header_timeout_s=REQUEST_TIMEOUT_S,
            max_connections=self._max_connections,
            limits=LIMITS,
        )
        self._listener = Listener(server, CLOSE_TIMEOUT_S)
        await self._listener.async_start(address)

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            await self._listener.async_close()

    async def _async_handle(self, request: BaseRequest) -> Response:
        document = self._history.newest
        if request.path != PATH_CONFIGURATION or document is None:
            return Response(status=404)
        if request.remote is None or not self._is_peer(request.remote):
            _LOGGER.warning(
                "configuration refused to %s, which is no peer", request.remote
            )
            return Response(status=403)
        if self._uploads >= MAX_UPLOADS:
            return Response(status=503)
        self._uploads += 1
        try:
            response = Response(
                body=self._encode(document, request.query.get(QUERY_BASE, "")),
                content_type="application/octet-stream",
            )
            await response.prepare(request)
            await response.write_eof()
            # Sent bytes that the peer hasn't received still use the link.
            if request.transport is not None:
                await _async_wait_sent(request.transport)
        finally:
            self._uploads -= 1
        return response

    def _encode(self, document: Document, base_digest: str) -> bytes:
        base = self._history.find(base_digest)
        key = document.digest, "" if base is None else base.digest
        data = self._encoded.get(key)
        if data is None:
            data = encode_document(document, base)
            self._encoded = {
                known: value
                for known, value in self._encoded.items()
                if known[0] == document.digest
            }
            self._encoded[key] = data
        return data


async def _async_wait_sent(transport: asyncio.Transport) -> None:
    """Wait until the kernel has taken all bytes."""
    for _ in range(round(MAX_UPLOAD_S / UPLOAD_POLL_S)):
        if transport.is_closing() or not transport.get_write_buffer_size():
            return
        await asyncio.sleep(UPLOAD_POLL_S)
    transport.abort()
