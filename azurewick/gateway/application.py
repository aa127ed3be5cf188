"""Start, drain and stop of the gateway daemon."""

from __future__ import annotations

from asyncio import sleep
from asyncio import timeout
from logging import getLogger
from random import Random
from typing import Any

from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from aiomisc import entrypoint
from aiomisc import Service

from azurewick.gateway.composition import build_gateway
from azurewick.gateway.execution import RequestExecutor
from azurewick.gateway.server import GatewayRequestHandler
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.address import split_address
from azurewick.helpers.caller_server import CallerServer
from azurewick.helpers.stop_signal import StopSignal
from azurewick.settings.models import GatewaySettings

_LOGGER = getLogger(__name__)

# Time allowed for closing connections and services after the drain.
CLOSE_TIMEOUT_S = 10.0
# EX_SOFTWARE of sysexits.h.
EXIT_STOP_TIMED_OUT = 70


class Gateway:
    """HTTP server and background services of one gateway."""

    def __init__(
        self, components: GatewayComponents, random: Random | None = None
    ) -> None:
        self.components = components
        self.executor = RequestExecutor(components)
        self.handler = GatewayRequestHandler(
            components, self.executor, random or Random()
        )
        self._runner: ServerRunner | None = None

    @property
    def port(self) -> int:
        """Return the port of the HTTP server for callers."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def async_start(self) -> None:
        """Start the services, then the HTTP server for callers."""
        components = self.components
        settings = components.settings
        await components.agents.async_start()
        await components.cluster.async_start()
        for service in components.services:
            await service.async_start()
        await components.metrics.async_start(settings.metrics_address)
        server = CallerServer(
            self.handler.async_handle,
            header_timeout_s=settings.header_timeout_s,
            max_connections=settings.max_connections,
        )
        self._runner = ServerRunner(server, shutdown_timeout=1.0)
        await self._runner.setup()
        host, port = split_address(settings.address)
        await TCPSite(self._runner, host, port).start()
        _LOGGER.info(
            "gateway %s listening on port %s", settings.name, self.port
        )

    async def async_drain(self) -> None:
        """Refuse new requests and wait for the running ones to finish.

        Gives up after drain_timeout_s.
        """
        settings = self.components.settings
        self.handler.readiness.draining = True
        _LOGGER.info(
            "draining: waiting for %d running requests",
            len(self.executor.requests),
        )
        # Keep the listener open until load balancers have seen /ready fail.
        await sleep(settings.drain_delay_s)
        try:
            async with timeout(settings.drain_timeout_s):
                await self.executor.requests.async_wait_idle()
                await self.handler.async_wait_idle()
                await self.components.background.async_wait_idle()
        except TimeoutError:
            _LOGGER.warning(
                "%d requests still running after the drain timeout of %g s",
                len(self.executor.requests),
                settings.drain_timeout_s,
            )

    async def async_stop(self) -> None:
        """Close the HTTP servers and stop the services."""
        if self._runner is not None:
            await self._runner.cleanup()
        components = self.components
        await components.metrics.async_stop()
        for service in reversed(components.services):
            await service.async_stop()
        await components.cluster.async_stop()
        await components.floor_confirmer.async_stop()
        await components.agents.async_stop()


class GatewayService(Service):
    """aiomisc service that runs a gateway until SIGTERM."""

    def __init__(self, components: GatewayComponents, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._components = components
        self._gateway: Gateway | None = None
        self.stop_signal = StopSignal()
        self.exit_code = 0

    async def start(self) -> None:
        """Start the gateway."""
        self.stop_signal.install()
        self._gateway = Gateway(self._components)
        await self._gateway.async_start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the gateway and stop it."""
        if self._gateway is None:
            return
        settings = self._components.settings
        limit_s = settings.drain_delay_s + settings.drain_timeout_s
        try:
            async with timeout(limit_s + CLOSE_TIMEOUT_S):
                await self._gateway.async_drain()
                await self._gateway.async_stop()
        except TimeoutError:
            _LOGGER.error("gateway %s did not stop in time", settings.name)
            self.exit_code = EXIT_STOP_TIMED_OUT


def run_gateway(settings: GatewaySettings) -> int:
    """Run a gateway until SIGTERM and return the exit code."""
    return run_components(build_gateway(settings))


def run_components(components: GatewayComponents) -> int:
    """Run a gateway with the given components until SIGTERM.

    Returns the exit code.
    """
    service = GatewayService(components)
    try:
        with entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.stop_signal.async_wait())
    except OSError as err:
        name = components.settings.name
        _LOGGER.error("gateway %s failed to start: %s", name, err)
        return 1
    return service.exit_code
