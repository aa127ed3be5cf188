"""HTTP client of the agent for its backend server."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Final
from urllib.parse import quote

from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector
from aiohttp import TraceConfig
from aiohttp import TraceRequestHeadersSentParams
from yarl import URL

from azurewick.agent.orders import AgentOrder
from azurewick.const import HEADER_IDEMPOTENCY_KEY
from azurewick.const import HEADER_REQUEST_ID
from azurewick.const import PATH_HEALTH
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.http_client import async_send_once
from azurewick.models import Offer

CONNECT_TIMEOUT_S: Final = 2.0
PROBE_TIMEOUT_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 10.0
PATH_ORDERS: Final = "/orders"
# aiohttp pauses reading from the backend server when twice this many bytes
# wait to be written to a slow gateway.
READ_BUFFER_BYTES: Final = 65_536


async def _async_report_sent(
    session: ClientSession,
    context: SimpleNamespace,
    params: TraceRequestHeadersSentParams,
) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx()


class BackendClient:
    """Sends each request to the backend server exactly once.

    Each request gets a connection of its own. A request whose connect fails
    is thus known not to have run, and no request is lost on a kept-alive
    connection that the backend server closes at the same time. has_cancel
    says that the backend server has the cancel endpoint of model engines.
    """

    def __init__(self, url: str, *, has_cancel: bool) -> None:
        self._url = url
        self._has_cancel = has_cancel
        self._session: ClientSession | None = None

    async def async_start(self) -> None:
        """Open the HTTP session."""
        trace = TraceConfig()
        trace.on_request_headers_sent.append(_async_report_sent)
        self._session = ClientSession(
            connector=TCPConnector(limit=0, force_close=True),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            middlewares=(async_send_once,),
            trace_configs=[trace],
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
        )

    async def async_stop(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def async_send(
        self, offer: Offer, body: bytes, on_sent: Callable[[], object]
    ) -> ClientResponse:
        """Send a request and return its response, with the body unread.

        on_sent is called when the request line and headers were written.
        Raises AzurewickError: backend_unreachable with outcome not_run when
        no byte was written, otherwise backend_failed with outcome unknown.
        """
        headers = {HEADER_REQUEST_ID: offer.request_id}
        if offer.claim_key:
            # Two customers may choose the same idempotency key, so the
            # service gets the claim key, which includes the customer.
            headers[HEADER_IDEMPOTENCY_KEY] = offer.claim_key
        if body:
            headers["Content-Type"] = offer.content_type
        return await self._open_session().request(
            offer.method,
            URL(self._url + offer.path, encoded=True),
            data=body or None,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=on_sent,
        )

    async def async_probe(self) -> bool:
        """Return whether the backend server reports that it is healthy.

        Raises AzurewickError when the connection is refused or breaks.
        """
        async with self._open_session().get(
            self._url + PATH_HEALTH,
            timeout=ClientTimeout(total=PROBE_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            return response.status == 200

    async def async_cancel(self, request_id: str) -> None:
        """Ask a model engine to stop a request; errors are ignored.

        Closing the connection already cancels the request. This call only
        frees its place in the engine's batch sooner.
        """
        if not self._has_cancel:
            return
        path = f"/v1/requests/{quote(request_id, safe='')}/cancel"
        try:
            async with self._open_session().post(
                URL(self._url + path, encoded=True),
                timeout=ClientTimeout(total=CANCEL_TIMEOUT_S),
                allow_redirects=False,
            ):
                return
        except (AzurewickError, ClientError, TimeoutError):
            return

    async def async_order(self, order: AgentOrder) -> None:
        """Send an order with its fencing number to the model engine.

        Raises AzurewickError: backend_failed when the engine refuses it.
        """
        async with self._open_session().post(
            self._url + PATH_ORDERS,
            json={
                "order_id": order.order_id,
                "action": order.action,
                "version": order.version,
                "lease": order.lease,
                "fencing_number": order.fencing_number,
            },
            timeout=ClientTimeout(total=ORDER_TIMEOUT_S),
            allow_redirects=False,
        ) as response:
            if response.status >= 300:
                raise AzurewickError(
                    ErrorCode.BACKEND_FAILED,
                    f"the engine refused order {order.action!r}:"
                    f" status {response.status}",
                    step=Step.ORDER,
                    peer=self._url,
                )

    def _open_session(self) -> ClientSession:
        if self._session is None:
            raise RuntimeError("the backend client is not started")
        return self._session
