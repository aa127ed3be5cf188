"""HTTP endpoint for the metrics of a daemon."""

from __future__ import annotations

from aioprometheus.collectors import Registry
from aioprometheus.service import Service

from azurewick.helpers.address import split_address


class MetricsEndpoint:
    """Metrics registry served over HTTP; base of the daemons' metrics."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._service: Service | None = None

    async def async_start(self, address: str | None) -> None:
        """Serve the metrics at "IP:port"; with None, don't serve them."""
        if address is None:
            return
        host, port = split_address(address)
        self._service = Service(self.registry)
        await self._service.start(addr=host, port=port)

    async def async_stop(self) -> None:
        """Stop serving the metrics."""
        if self._service is not None:
            await self._service.stop()
            self._service = None
