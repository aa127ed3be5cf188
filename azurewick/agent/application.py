"""Agent process: listeners, periodic services, start and drain."""

from __future__ import annotations

from asyncio import Event
from asyncio import sleep
from asyncio import timeout
from collections.abc import Callable
from logging import getLogger
from signal import SIGINT
from signal import SIGTERM
from socket import socket
from typing import Any

from aiohttp.web import Application
from aiomisc import bind_socket
from aiomisc import entrypoint
from aiomisc import Service
from aiomisc.service.aiohttp import AIOHTTPService
from aiomisc.service.periodic import PeriodicService
from aioprometheus.service import Service as MetricsServer
from grpclib.server import Server
import uvloop

from azurewick.admission.batch_limit import BatchLimit
from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.admission.floor import AdmissionFloor
from azurewick.admission.tier_queue import TierQueue
from azurewick.agent.agent import Agent
from azurewick.agent.cluster_link import ClusterLink
from azurewick.agent.cluster_link import CrashReporter
from azurewick.agent.control_api import ControlApi
from azurewick.agent.orders import FencingCheck
from azurewick.agent.orders import SignatureAuthenticator
from azurewick.const import MAX_HEADER_BYTES
from azurewick.const import PROBE_INTERVAL_S
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.models import PoolKind
from azurewick.settings.models import AgentSettings
from azurewick.store.factory import open_store
from azurewick.store.protocols import ObjectStore

_LOGGER = getLogger(__name__)

TICK_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.05
EXIT_DRAINED = 0
EXIT_DRAIN_TIMED_OUT = 1


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an "IP:port" setting."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bind_address(address: str) -> socket:
    """Return a socket bound to an "IP:port" setting."""
    host, port = split_address(address)
    return bind_socket(address=host, port=port)


class DispatchService(AIOHTTPService):
    """Listener of the HTTP port, which receives offers."""

    __required__ = ("agent",)
    agent: Agent

    async def create_application(self) -> Application:
        """Return the application of the port."""
        return self.agent.api.build_application()

    async def start(self) -> None:
        """Open the backend client and the port."""
        await self.agent.backend.async_start()
        await super().start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the port and the backend client."""
        await super().stop(exception)
        await self.agent.backend.async_stop()


class ControlService(Service):
    """Listener of the gRPC control port."""

    __required__ = ("api", "sock")
    api: ControlApi
    sock: socket
    _server: Server | None = None

    async def start(self) -> None:
        """Open the port."""
        self._server = Server([self.api])
        await self._server.start(sock=self.sock)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close the port."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class MetricsService(Service):
    """Listener of the Prometheus metrics port."""

    __required__ = ("agent", "address")
    agent: Agent
    address: str
    _server: MetricsServer | None = None

    async def start(self) -> None:
        """Open the port."""
        host, port = split_address(self.address)
        self._server = MetricsServer(self.agent.metrics.registry)
        await self._server.start(addr=host, port=port)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close the port."""
        if self._server is not None:
            await self._server.stop()


class ProbeService(PeriodicService):
    """Probes the health of the backend server periodically."""

    __required__ = ("agent",)
    agent: Agent

    async def callback(self) -> Any:
        """Probe once."""
        await self.agent.async_probe()


class TickService(PeriodicService):
    """Dispatches after a floor expires and shares the load periodically."""

    __required__ = ("agent", "link")  # type: ignore[assignment]
    agent: Agent
    link: ClusterLink

    async def callback(self) -> Any:
        """Run one tick."""
        self.agent.tick()
        self.link.share_load()


def build_services(
    agent: Agent,
    link: ClusterLink,
    store: ObjectStore,
    data_socket: socket,
    control_socket: socket,
) -> list[Service]:
    """Return the services that make up a running agent."""
    api = ControlApi(
        agent.settings.pool,
        agent.dispatcher,
        FencingCheck(store),
        SignatureAuthenticator(agent.settings.order_keys),
        agent.build_load_report,
        agent.async_execute_order,
    )
    services: list[Service] = [
        DispatchService(
            agent=agent,
            sock=data_socket,
            shutdown_timeout=1,
            runner_kwargs={
                "access_log": None,
                "max_field_size": MAX_HEADER_BYTES,
            },
        ),
        ControlService(api=api, sock=control_socket),
        ProbeService(agent=agent, interval=PROBE_INTERVAL_S),
        link,
        TickService(agent=agent, link=link, interval=TICK_INTERVAL_S),
    ]
    if agent.settings.metrics_address is not None:
        services.append(
            MetricsService(agent=agent, address=agent.settings.metrics_address)
        )
    return services


async def async_drain(agent: Agent) -> bool:
    """Drain and return whether every running request finished in time.

    drain_delay_s passes first, drain_timeout_s limits the wait after it. A
    request is finished when its last byte has left the process.
    """
    agent.set_draining(True)
    await sleep(agent.settings.drain_delay_s)
    try:
        async with timeout(agent.settings.drain_timeout_s):
            while True:
                if not agent.dispatcher.running and agent.api.is_flushed:
                    return True
                await sleep(DRAIN_POLL_INTERVAL_S)
    except TimeoutError:
        return False


async def _async_run_until_signal(
    agent: Agent, add_signal_handler: Callable[..., None]
) -> int:
    stopped = Event()
    for number in (SIGTERM, SIGINT):
        add_signal_handler(number, stopped.set)
    await stopped.wait()
    if await async_drain(agent):
        _LOGGER.info(
            "agent %s stops: all requests have finished", agent.settings.name
        )
        return EXIT_DRAINED
    _LOGGER.warning(
        "agent %s stops at the end of drain_timeout_s with %d requests"
        " running",
        agent.settings.name,
        agent.dispatcher.running,
    )
    return EXIT_DRAIN_TIMED_OUT


def build_limit(settings: AgentSettings) -> BatchLimit:
    """Return the concurrency limit, which is learned for a model engine.

    A plain service has the fixed limit max_batch.
    """
    is_model = PoolKind(settings.kind) is PoolKind.MODEL
    return BatchLimit(
        initial=settings.initial_batch if is_model else settings.max_batch,
        maximum=settings.max_batch,
    )


def build_window(settings: AgentSettings) -> DispatchWindow:
    """Return the dispatch window.

    A plain service has no prefill, so max_batch is its only limit.
    """
    if PoolKind(settings.kind) is PoolKind.MODEL:
        return DispatchWindow()
    return DispatchWindow(max_prefills=settings.max_batch)


def run_agent(settings: AgentSettings) -> int:
    """Run the agent until it is stopped and return the exit code.

    The exit code is 0 after a drain that finished and 1 when requests were
    still running at the end of drain_timeout_s.
    """
    data_socket = bind_address(settings.address)
    control_socket = bind_address(settings.control_address)
    store = open_store(settings.store)
    cluster = ClusterState(settings, store, monotonic_s)
    agent = Agent(
        settings,
        queue=TierQueue(settings.max_queue),
        floor=AdmissionFloor(),
        limit=build_limit(settings),
        window=build_window(settings),
        crash_listener=CrashReporter(cluster),
    )
    link = ClusterLink(agent=agent, cluster=cluster, store=store)
    services = build_services(agent, link, store, data_socket, control_socket)
    with entrypoint(
        *services,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        _LOGGER.info(
            "agent %s listens at %s, control port at %s",
            settings.name,
            _format_address(data_socket),
            _format_address(control_socket),
        )
        return loop.run_until_complete(
            _async_run_until_signal(agent, loop.add_signal_handler)
        )


def _format_address(sock: socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
