"""Fake backend server, agent harness and builders for the agent's tests."""

from __future__ import annotations

from asyncio import Event
from asyncio import IncompleteReadError
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import timeout
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
import json
from typing import Any

from aiohttp import ClientSession
from aiohttp.web import AppRunner
from aiohttp.web import TCPSite

from azurewick.admission.floor import AdmissionFloor
from azurewick.admission.tier_queue import TierQueue
from azurewick.agent.agent import Agent
from azurewick.const import HEADER_OFFER
from azurewick.const import PATH_AGENT_DISPATCH
from azurewick.models import Offer
from azurewick.settings.models import AgentSettings

# Ends a test that hangs; no assertion depends on the value.
HANG_TIMEOUT_S = 20.0
RESPONSE_BODY = b'{"answer": 1}'


async def async_wait_for(condition: Callable[[], object]) -> None:
    """Wait until the condition is true; TimeoutError after HANG_TIMEOUT_S."""
    async with timeout(HANG_TIMEOUT_S):
        while True:
            if condition():
                return
            await sleep(0.002)


@dataclass(frozen=True, kw_only=True)
class BackendRequest:
    """Request as the backend server received it."""

    method: str
    path: str
    request_id: str
    body: bytes


BackendBehaviour = Callable[
    ["ScriptedBackend", BackendRequest, StreamWriter], Awaitable[None]
]


async def async_respond(backend, request, writer):
    """Send a complete response."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(RESPONSE_BODY)}\r\n\r\n"
    writer.write(head.encode() + RESPONSE_BODY)
    await writer.drain()


async def async_reset_connection(backend, request, writer):
    """Reset the connection without a response."""
    writer.transport.abort()


async def async_break_chunked_response(backend, request, writer):
    """Send one chunk, then close after the release without a final chunk."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n"
    )
    await writer.drain()
    await backend.released.wait()


async def async_close_without_length(backend, request, writer):
    """Send a body without length or chunks and close the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans")
    await writer.drain()


async def async_respond_when_released(backend, request, writer):
    """Send a complete response after the release."""
    await backend.released.wait()
    await async_respond(backend, request, writer)


class ScriptedBackend:
    """Backend server that records its requests and treats all alike.

    released lets the behaviours that wait for it go on.
    """

    def __init__(self, behaviour: BackendBehaviour = async_respond) -> None:
        self.behaviour = behaviour
        self.requests: list[BackendRequest] = []
        self.completed: list[str] = []
        self.released = Event()
        self.health_status = 200
        self._server: Any = None
        self.port = 0

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def count_requests(self, request_id: str) -> int:
        return sum(
            request.request_id == request_id for request in self.requests
        )

    async def async_start(self) -> None:
        self._server = await start_server(
            self._async_serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def refuse_connections(self) -> None:
        self._server.close()

    async def async_stop(self) -> None:
        self.released.set()
        self._server.close()

    async def _async_serve(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            request = await self._async_read_request(reader)
            if request.path == "/health":
                status = f"HTTP/1.1 {self.health_status} status\r\n"
                writer.write(status.encode() + b"Content-Length: 0\r\n\r\n")
                return
            self.requests.append(request)
            await self.behaviour(self, request, writer)
            self.completed.append(request.request_id)
        except (ConnectionError, IncompleteReadError):
            return
        finally:
            writer.close()

    async def _async_read_request(
        self, reader: StreamReader
    ) -> BackendRequest:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        length = int(headers.get("content-length", 0))
        return BackendRequest(
            method=method,
            path=path,
            request_id=headers.get("x-request-id", ""),
            body=await reader.readexactly(length),
        )


def make_settings(backend_url: str, **changes: Any) -> AgentSettings:
    fields = {
        "role": "agent",
        "name": "agent-1",
        "region": "lima",
        "failure_domain": "lima-a",
        "address": "127.0.0.1:0",
        "control_address": "127.0.0.1:0",
        "store": {"url": "http://127.0.0.1:1"},
        "pool": "assistant",
        "kind": "service",
        "version": "v1",
        "backend_url": backend_url,
    }
    return AgentSettings.model_validate({**fields, **changes})


def make_offer(request_id: str = "gw-1/a/1", **changes: Any) -> Offer:
    fields: dict[str, Any] = {
        "request_id": request_id,
        "customer": "studio",
        "request_class": "booking",
        "tier": 0,
        "method": "POST",
        "path": "/bookings?day=1",
    }
    return Offer(**{**fields, **changes})


class FixedLimit:
    """Concurrency limit that never changes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit

    def record_step(self, *step: object) -> None:
        return


class AgentHarness:
    """Agent with its HTTP port, a backend server and an HTTP client.

    It is also the agent's crash listener: crashes lists the fingerprints of
    each crash, and the fingerprint "poison" is refused.
    """

    def __init__(
        self, backend: ScriptedBackend, limit: int = 8, **settings: Any
    ) -> None:
        self.backend = backend
        self._limit = limit
        self._settings = settings
        self.crashes: list[frozenset[str]] = []

    def record_crash(self, source, incarnation, fingerprints, now_s):
        self.crashes.append(frozenset(fingerprints))

    def is_poison(self, fingerprint, now_s):
        return fingerprint == "poison"

    async def __aenter__(self) -> AgentHarness:
        await self.backend.async_start()
        self.agent = Agent(
            make_settings(self.backend.url, **self._settings),
            queue=TierQueue(16),
            floor=AdmissionFloor(),
            limit=FixedLimit(self._limit),
            crash_listener=self,
        )
        await self.agent.backend.async_start()
        await self.agent.async_probe()
        self.runner = AppRunner(
            self.agent.api.build_application(), handler_cancellation=True
        )
        await self.runner.setup()
        site = TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}"
        self.client = ClientSession()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.client.close()
        self.backend.released.set()
        await self.runner.cleanup()
        await self.agent.backend.async_stop()
        await self.backend.async_stop()

    async def async_kill_agent(self) -> None:
        """Abort all connections and close the port, like a killed process."""
        for protocol in list(self.runner.server.connections):
            if protocol.transport is not None:
                protocol.transport.abort()
        for site in list(self.runner.sites):
            await site.stop()

    def open_dispatch(self, offer: Offer, body: bytes = b"{}") -> Any:
        """Return the context manager of a dispatch call's response."""
        return self.client.post(
            self.url + PATH_AGENT_DISPATCH,
            data=body,
            headers={HEADER_OFFER: json.dumps(asdict(offer))},
        )

    async def async_dispatch(self, offer: Offer, body: bytes = b"{}"):
        """Dispatch; return status, body and outcome header of the response."""
        async with (
            timeout(HANG_TIMEOUT_S),
            self.open_dispatch(offer, body) as response,
        ):
            outcome = response.headers.get("X-Azurewick-Outcome")
            return response.status, await response.read(), outcome

    async def async_cancel(self, request_id: str, incarnation: str = ""):
        """Cancel a request and return the outcome that the agent reports."""
        async with self.client.post(
            self.url + "/v1/cancel",
            json={"request_id": request_id, "incarnation": incarnation},
        ) as response:
            return (await response.json())["outcome"]
