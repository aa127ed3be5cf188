"""Fleet of real processes for the tests of this package."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession
from aiohttp import TCPConnector

from demo.fleet import BackendSpec
from demo.fleet import Fleet
from demo.fleet import POOL_ASSISTANT
from demo.fleet import POOL_BOOKING
from demo.load import Callers
from demo.processes import ProcessGroup
from demo.report import check_deposits
from demo.report import check_engine_runs
from demo.report import DemoFigures

# Ends a wait that would otherwise hang. On a working system no result depends
# on it.
HANG_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


def model(name: str, **fields) -> BackendSpec:
    return BackendSpec(
        name=name, pool=POOL_ASSISTANT, **{"speed": 8.0, **fields}
    )


def booking(name: str, **fields) -> BackendSpec:
    return BackendSpec(name=name, pool=POOL_BOOKING, **fields)


SMALL_FLEET = (
    model("engine-1"),
    model("engine-2", domain=1),
    booking("booking-1"),
    booking("booking-2", domain=1),
)


class FleetTestCase(IsolatedAsyncioTestCase):
    """Test case whose tests share one fleet; each test has its own callers."""

    backends = SMALL_FLEET
    drain_delay_s = 0.0

    @classmethod
    def setUpClass(cls):
        directory = Path(cls.enterClassContext(TemporaryDirectory()))
        cls.group = ProcessGroup(directory)
        cls.addClassCleanup(cls.group.stop_all)
        cls.fleet = asyncio.run(cls._async_start_fleet(directory))

    @classmethod
    async def _async_start_fleet(cls, directory: Path) -> Fleet:
        async with ClientSession() as session:
            fleet = Fleet(
                group=cls.group,
                session=session,
                directory=directory,
                drain_delay_s=cls.drain_delay_s,
            )
            await fleet.async_start(cls.backends)
        return fleet

    async def asyncSetUp(self):
        session = ClientSession(connector=TCPConnector(limit=0))
        self.addAsyncCleanup(session.close)
        self.fleet.session = session
        self.callers = Callers(
            session=session,
            gateway_urls=list(self.fleet.gateway_urls.values()),
            random=Random(1),
            name=self.id().rpartition(".")[2],
        )
        await self.async_wait_for_servers(list(self.fleet.backends))

    async def async_wait_for(
        self, async_condition: Callable[[], Awaitable[object]], what: str
    ) -> None:
        for _ in range(int(HANG_TIMEOUT_S / POLL_INTERVAL_S)):
            if await async_condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail(f"timed out waiting for {what}")

    async def async_read_servers(self, gateway: str) -> set[str]:
        """Return the names of the agents that a gateway reports as live."""
        url = f"{self.fleet.gateway_urls[gateway]}/v1/status"
        status = await self.fleet.async_read(url)
        return {
            server["name"]
            for pool in status["pools"].values()
            for server in pool["servers"]
            if server["state"] == "live"
        }

    async def async_wait_for_servers(self, names: list[str]) -> None:
        """Wait until each gateway reports the servers' agents as live."""
        agents = {f"{name}-agent" for name in names}
        agents &= {
            name
            for name, process in self.group.processes.items()
            if process.is_running
        }
        for gateway in self.fleet.gateway_urls:

            async def async_has_servers(gateway: str = gateway) -> bool:
                return agents <= await self.async_read_servers(gateway)

            await self.async_wait_for(
                async_has_servers, f"agents live at {gateway}"
            )

    async def async_check_runs(self) -> DemoFigures:
        """Check the callers' records against what the backend servers ran."""
        self.assertFalse(dict(self.callers.violations))
        figures = DemoFigures()
        records = self.callers.records
        counters = await self.fleet.async_read_counters()
        check_engine_runs(figures, records, counters.values())
        check_deposits(
            figures, records, await self.fleet.async_read_deposit_runs()
        )
        self.assertEqual(0, figures.deposits_run_twice)
        self.assertEqual(0, figures.answers_without_run)
        self.assertEqual(0, figures.false_not_run)
        self.assertEqual(0, figures.engine_runs_twice)
        self.assertEqual(0, figures.engine_false_not_run)
        return figures

    async def async_read_calls(self, name: str) -> tuple[int, int]:
        """Return the calls and the runs of a booking service."""
        url = f"{self.fleet.backend_urls[name]}/admin/runs"
        document = await self.fleet.async_read(url)
        return document["calls"], sum(document["runs"].values())
