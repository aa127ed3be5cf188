"""HTTP client that sends requests from a gateway to agents."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
import json
from math import isfinite
from typing import Any

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector

from azurewick.const import HEADER_LOAD
from azurewick.const import HEADER_OFFER
from azurewick.const import PATH_AGENT_CANCEL
from azurewick.const import PATH_AGENT_DISPATCH
from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer

# Regions are 8 ms apart, so a connection attempt of a second has failed.
CONNECT_TIMEOUT_S = 1.0
# Longest time without a byte from the agent. An answer that is not streamed
# starts only when the run has ended, so this equals the agent's drain
# time-out.
READ_TIMEOUT_S = 300.0
CANCEL_TIMEOUT_S = 2.0
# Shorter than the keep-alive time-out of the agents, so that the gateway
# closes idle connections first and no offer is sent on a closed one.
KEEPALIVE_TIMEOUT_S = 15.0
# aiohttp stops reading from the agent when twice this size is buffered.
READ_BUFFER_BYTES = 65_536
MAX_LOAD_HEADER_BYTES = 2048

_OFFER_FIELDS = tuple(
    item.name for item in fields(Offer) if item.name != "prefix_hashes"
)
# Converters by the annotation of a field, which is a string here.
_CASTS: dict[object, Callable[[Any], Any]] = {
    "int": int,
    "float": float,
    "str": str,
    "bool": bool,
}
_LOAD_CASTS = {item.name: _CASTS[item.type] for item in fields(LoadReport)}


class AgentNotConnectedError(Exception):
    """The connection could not be opened, so the offer was not sent."""


class AgentAnswerLostError(Exception):
    """The offer may have reached the agent, but no response was received.

    is_timeout says that the agent sent nothing within the read time-out
    while the connection stayed open.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(repr(cause))
        self.is_timeout = isinstance(cause, TimeoutError)


class AgentClient:
    """Sends offers and cancellations to agents."""

    def __init__(self, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        self._timeout = ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=read_timeout_s,
        )
        self._session: ClientSession | None = None

    async def async_start(self) -> None:
        """Open the connection pool."""
        self._session = ClientSession(
            connector=TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            ),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=self._timeout,
        )

    async def async_stop(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def async_dispatch(
        self, server: BackendServer, offer: Offer, body: bytes
    ) -> ClientResponse:
        """Send an offer and return the response once its headers are read.

        Raises AgentNotConnectedError when the offer was not sent, and
        AgentAnswerLostError when it may have reached the agent.
        """
        assert self._session is not None
        try:
            # aiohttp follows redirects, and resends idempotent methods when
            # a kept-alive connection was closed. Either would dispatch the
            # request a second time, so this is a POST without redirects.
            return await self._session.post(
                f"http://{server.address}{PATH_AGENT_DISPATCH}",
                data=body,
                headers={
                    HEADER_OFFER: encode_offer_header(offer),
                    "Content-Type": offer.content_type,
                },
                allow_redirects=False,
            )
        except (ClientConnectorError, ConnectionTimeoutError) as err:
            raise AgentNotConnectedError(str(err)) from err
        except (ClientError, OSError, TimeoutError, ValueError) as err:
            raise AgentAnswerLostError(err) from err

    async def async_cancel(
        self, server: BackendServer, request_id: str
    ) -> None:
        """Ask an agent to cancel a request; errors are ignored.

        Closing the connection of the dispatch cancels the request as well.
        """
        assert self._session is not None
        try:
            async with self._session.post(
                f"http://{server.address}{PATH_AGENT_CANCEL}",
                json={"request_id": request_id},
                timeout=ClientTimeout(total=CANCEL_TIMEOUT_S),
                allow_redirects=False,
            ):
                return
        except (ClientError, OSError, TimeoutError):
            return


def encode_offer_header(offer: Offer) -> str:
    """Return the value of the offer header.

    It omits the prefix hashes, which only the gateway uses.
    """
    return json.dumps({name: getattr(offer, name) for name in _OFFER_FIELDS})


def parse_load(response: ClientResponse) -> LoadReport | None:
    """Return the load report in a response, or None when it is not valid."""
    text = response.headers.get(HEADER_LOAD, "")
    if not text or len(text) > MAX_LOAD_HEADER_BYTES:
        return None
    try:
        values = {
            name: _LOAD_CASTS[name](value)
            for name, value in json.loads(text).items()
            if name in _LOAD_CASTS
        }
        if any(
            isinstance(v, float) and not isfinite(v) for v in values.values()
        ):
            return None
        return LoadReport(**values)
    except (ValueError, TypeError, AttributeError, OverflowError):
        return None
