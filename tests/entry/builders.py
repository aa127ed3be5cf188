"""Builders for the tests of the entry instance."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from random import SystemRandom
import socket
import struct

from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from azurewick.admission.retry_budget import RetryBudget
from azurewick.entry.backend_client import BackendClient
from azurewick.entry.backends import Backend
from azurewick.entry.crash_guard import CrashGuard
from azurewick.entry.departures import Departure
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.exchange import Exchange
from azurewick.entry.exchange import ExchangeParts
from azurewick.entry.models import AnswerHead
from azurewick.entry.models import BackendEntry
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import Route
from azurewick.entry.models import RouteKind
from azurewick.entry.models import WeightedService
from azurewick.entry.peers import PeerView
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.request_age import RequestAgeEstimator
from azurewick.entry.request_body import BodyMemory
from azurewick.entry.request_body import RequestBody
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_traits import request_traits
from azurewick.entry.send_limits import NoSendLimits
from azurewick.entry.send_limits import SendLimits
from azurewick.entry.state import FleetState
from azurewick.entry.version_moves import ExposureLimits
from azurewick.entry.version_moves import VersionMoves
from azurewick.entry.watches import FleetWatches
from azurewick.entry.watches import StoreKinds
from azurewick.entry.work import WorkEstimate
from azurewick.entry.work import WorkEstimator
from azurewick.helpers.clock import monotonic_s
from azurewick.platform.application import PlatformDocuments
from azurewick.platform.requests import PlatformProtocol
from azurewick.platform.store import PlatformStore
from azurewick.replication.models import ConfigurationNotice
from azurewick.replication.models import ObjectName
from azurewick.replication.replicator import ConfigurationReplicator
from azurewick.util.decaying_rate import DecayingRate

REQUEST_ID = "9c41d07be2a35f68"
SIGNATURE = "3e1b.07"
FIRST_PORT = 12_000
LAST_PORT = 32_000


def build_route(**changes) -> Route:
    fields = {
        "name": "quotes",
        "host": "shop.example",
        "path_prefix": "/quotes/",
        "kind": RouteKind.IDEMPOTENT,
        "services": (WeightedService(name="models", weight=1.0),),
        "target_s": 0.6,
        "timeout_s": 5.0,
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def build_request(**changes) -> CallerRequest:
    fields = {
        "request_id": REQUEST_ID,
        "method": "POST",
        "target": "/quotes/2f?a=1",
        "path": "/quotes/2f",
        "host": "shop.example",
        "headers": CIMultiDictProxy(CIMultiDict()),
        "received_s": 0.0,
        "deadline_s": 5.0,
    }
    return CallerRequest(**{**fields, **changes})


def build_entry(name: str = "s1", **changes) -> BackendEntry:
    fields = {
        "service": "models",
        "address": "127.0.0.1:1",
        "failure_domain": "north",
        "version": "v1",
        "slots": 12,
        "is_engine": True,
    }
    return BackendEntry(name=name, **{**fields, **changes})


KINDS = StoreKinds(
    configuration=ObjectName(plural="config", name="main"),
    servers="servers",
    moves="rollouts",
    evacuations="evacuations",
)


def build_watches(
    store: PlatformStore, state: FleetState, seed: int = 1, **changes
) -> FleetWatches:
    return FleetWatches(store, KINDS, state, Random(seed), **changes)


def build_replicator(
    store: PlatformStore, state: FleetState, seed: int = 1, **changes
) -> ConfigurationReplicator:
    fields = {
        "link_mbit_per_s": 100.0,
        "apply": lambda item: state.update_configuration({item.name: item}),
    }
    return ConfigurationReplicator(
        store,
        KINDS.configuration,
        "e1",
        Random(seed),
        **{**fields, **changes},
    )


def build_notice(**changes) -> ConfigurationNotice:
    fields = {
        "revision": 2,
        "checked_revision": 2,
        "age_s": 0.0,
        "read_time_s": 0.0,
    }
    return ConfigurationNotice(**{**fields, **changes})


def build_demand(**changes) -> Demand:
    fields = {
        "rank": (0, 0),
        "work": WorkEstimate(first_token_s=0.1, total_s=1.0),
        "target_s": 0.6,
        "deadline_at_s": 15.0,
    }
    return Demand(**{**fields, **changes})


def build_body(
    data: bytes,
    memory: BodyMemory | None = None,
    *,
    declared_bytes: int | None = None,
    started_s: float = 0.0,
) -> RequestBody:
    """Return a body of which data have been received."""
    body = RequestBody(
        memory or BodyMemory(1_000_000),
        declared_bytes=declared_bytes or len(data),
        started_s=started_s,
    )
    assert body.try_begin(started_s)
    assert body.try_append(data, started_s)
    if declared_bytes is None:
        body.finish_upload()
    return body


def build_customer(**changes) -> CustomerQuota:
    fields = {
        "name": "north",
        "rate_per_s": 1000.0,
        "burst": 1000.0,
        "counts_tokens": True,
    }
    return CustomerQuota(**{**fields, **changes})


def build_peers(own_name: str = "e1", *others: str) -> PeerView:
    peers = PeerView(own_name)
    peers.set_members(others)
    return peers


def build_placement(
    peers: PeerView | None = None, **changes
) -> LeastLoadPlacement:
    return LeastLoadPlacement(
        failure_domain="north",
        regions={"north": "home", "south": "home", "far": "away"},
        peers=peers or build_peers(),
        random=Random(1),
        **changes,
    )


def build_moves(state: FleetState, **changes) -> VersionMoves:
    fields = {
        "limits": ExposureLimits(),
        "instance_rank": lambda: (0, 1),
        "random": Random(1),
        "started_s": float("-inf"),
    }
    return VersionMoves(state, **{**fields, **changes})


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a free port of the loopback address.

    It is below the range from which the kernel takes ports for connections.
    """
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                port = SystemRandom().randrange(FIRST_PORT, LAST_PORT)
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class RecordingWriter:
    """AnswerWriter that records what would be sent to the caller."""

    def __init__(self):
        self.head: AnswerHead | None = None
        self.length: int | None = None
        self.body = b""

    async def async_start(self, head: AnswerHead, length: int | None) -> None:
        self.head = head
        self.length = length

    async def async_write(self, data: bytes) -> None:
        self.body += data


Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class ScriptedServer:
    """Backend server that runs a script on each connection.

    The script is called after the head of the request has been read and
    writes raw bytes.
    """

    def __init__(self, name: str, script: Script):
        self.name = name
        self.requests: list[bytes] = []
        self._script = script
        self._server: asyncio.Server | None = None

    async def async_start(self) -> Backend:
        self._server = await asyncio.start_server(
            self._async_serve, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        return Backend(
            entry=build_entry(self.name, address=f"127.0.0.1:{port}")
        )

    async def async_stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head)
            await self._script(reader, writer)
        except asyncio.IncompleteReadError:
            # A probe connects without sending a request.
            pass
        finally:
            writer.close()


class CrashedServer(ScriptedServer):
    """Backend server that is still listed and refuses connections."""

    def __init__(self, name: str):
        super().__init__(name, async_never_answer)

    async def async_start(self) -> Backend:
        backend = await super().async_start()
        await self.async_stop()
        return backend


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def answer(
    status: str = "200 OK",
    body: bytes = b"whole",
    *,
    request_id: str = REQUEST_ID,
    signed: bool = True,
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Return the bytes of an answer; length overrides Content-Length."""
    signature = f"X-Response-Seal: {SIGNATURE}\r\n" if signed else ""
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        f"{signature}{extra}Content-Length: {size}\r\n\r\n"
    ).encode() + body


def replies(data: bytes) -> Script:
    """Return a script that sends data and closes the connection."""

    async def async_play(reader, writer):
        writer.write(data)
        await writer.drain()

    return async_play


def replies_then_resets(data: bytes) -> Script:
    """Return a script that sends data and resets the connection."""

    async def async_play(reader, writer):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    return async_play


class EndlessScript:
    """Script that sends data again and again until the caller closes.

    is_closed is set once the caller has closed the connection.
    """

    def __init__(self, start: bytes, repeated: bytes, pause_s: float = 0.0):
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()
        self._start = start
        self._repeated = repeated
        self._pause_s = pause_s

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            writer.write(self._start)
            while not writer.transport.is_closing():
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
        except ConnectionError:
            pass
        finally:
            self.is_closed.set()


async def async_never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that never answers."""
    await reader.read()


class ExchangeHarness:
    """Builds exchanges with scripted servers over real connections.

    The servers are tried in order.
    """

    def __init__(
        self,
        servers: list[ScriptedServer],
        *,
        retries: int = 10,
        send_limits: SendLimits | None = None,
    ):
        self.writer = RecordingWriter()
        self.backends: list[Backend] = []
        self.crash_guard = CrashGuard(monotonic_s)
        self.departures: list[Departure] = []
        self._servers = servers
        self._client = BackendClient(PlatformProtocol())
        self._send_limits = send_limits or NoSendLimits()
        self._retries = RetryBudget(ratio=0.0, allowance=retries)

    async def async_start(self) -> None:
        await self._client.async_start()
        for server in self._servers:
            self.backends.append(await server.async_start())

    async def async_stop(self) -> None:
        await self.crash_guard.async_stop()
        await self._client.async_stop()
        for server in self._servers:
            await server.async_stop()

    def check_first_send(self) -> None:
        """Accept all requests; tests replace it."""

    def build(self, route: Route, **changes) -> Exchange:
        dispatcher = Dispatcher(
            lambda demand: self.backends,
            _InOrderPlacement(),
            DecayingRate(1.0),
            monotonic_s,
        )
        state = FleetState(PlatformDocuments(), monotonic_s)
        parts = ExchangeParts(
            service="models",
            client=self._client,
            protocol=PlatformProtocol(),
            dispatcher=dispatcher,
            retry_budget=self._retries,
            work_estimator=WorkEstimator(),
            request_ages=RequestAgeEstimator(),
            crash_guard=self.crash_guard,
            moves=build_moves(state),
            tokens_per_event=lambda: 6,
            record_departure=self.departures.append,
            servers_age_s=lambda: state.servers_age_s,
            clock=monotonic_s,
            send_limits=self._send_limits,
        )
        request = build_request(received_s=monotonic_s(), **changes)
        return Exchange(
            parts,
            request,
            route,
            customer="north",
            rank=(0, 0),
            body=build_body(b"{}"),
            traits=request_traits(request, "north", [b"{}"]),
            writer=self.writer,
            check_first_send=self.check_first_send,
        )


class _InOrderPlacement:
    """Placement that chooses the first server that isn't excluded."""

    def capacity(self, candidates, now_s):
        return 1000.0

    def choose(self, candidates, demand, now_s):
        for backend in candidates:
            if backend.name not in demand.excluded:
                return backend
        return None
