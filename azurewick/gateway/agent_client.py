"""HTTP client of the agents."""

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

# Regions are 8 ms apart; a connection that takes a second is lost.
CONNECT_TIMEOUT_S = 1.0
# Time without a byte from the agent. Answers that are not streamed start
# with the end of the run, so it is the drain time-out of the agent.
ANSWER_TIMEOUT_S = 300.0
CANCEL_TIMEOUT_S = 2.0
# Below the time for which an agent keeps an idle connection open, so that
# the gateway closes first and no offer meets a closed connection.
KEEPALIVE_S = 15.0
# aiohttp pauses the agent's connection at twice this size.
READ_BUFFER_BYTES = 65_536
MAX_LOAD_BYTES = 2048

_OFFER_FIELDS = tuple(
    item.name for item in fields(Offer) if item.name != "prefix_hashes"
)
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
    """The offer may have reached the agent, but no answer came.

    is_silence says that the connection is still open but without a byte.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(repr(cause))
        self.is_silence = isinstance(cause, TimeoutError)


class AgentClient:
    """Sends offers and cancellations to agents."""

    def __init__(self, answer_timeout_s: float = ANSWER_TIMEOUT_S) -> None:
        self._timeout = ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=answer_timeout_s,
        )
        self._session: ClientSession | None = None

    async def async_start(self) -> None:
        """Open the connection pool."""
        self._session = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
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
        """Send an offer and return the agent's response with its head.

        Raises AgentNotConnectedError and AgentAnswerLostError.
        """
        assert self._session is not None
        try:
            # aiohttp resends idempotent methods on a closed kept-alive
            # connection and follows redirects: each would be a second
            # dispatch.
            return await self._session.post(
                f"http://{server.address}{PATH_AGENT_DISPATCH}",
                data=body,
                headers={
                    HEADER_OFFER: encode_offer(offer),
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

        The closed dispatch connection cancels the request as well.
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


def encode_offer(offer: Offer) -> str:
    """Return the offer header; prefix hashes are for the gateway only."""
    return json.dumps({name: getattr(offer, name) for name in _OFFER_FIELDS})


def parse_load(response: ClientResponse) -> LoadReport | None:
    """Return the load report of a response, None when it is not valid."""
    text = response.headers.get(HEADER_LOAD, "")
    if not text or len(text) > MAX_LOAD_BYTES:
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
