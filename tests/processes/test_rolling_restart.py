"""Planned restarts of a running fleet and the check of settings."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import signal
import sys
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientError

from azurewick.errors import Outcome
from tests.processes.builders import FleetTestCase
from tests.processes.builders import HANG_TIMEOUT_S

RATE_PER_S = 20.0


class RollingRestartTest(FleetTestCase):
    """Guards against a planned restart that cuts off running requests.

    This happens when a process exits before its requests have ended, or while
    callers still send it new ones.
    """

    # Time in which the test, in place of a load balancer, stops sending to a
    # gateway whose /ready is not 200.
    drain_delay_s = 3.0

    async def test_each_process_stops_without_cutting_off_requests(self):
        sending = asyncio.create_task(
            self.callers.async_send_for(HANG_TIMEOUT_S, RATE_PER_S, resends=5)
        )
        try:
            for name in ("engine-1-agent", "booking-1-agent"):
                await self._async_restart(name)
            url = self.fleet.gateway_urls["gateway-2"]
            await self._async_restart("gateway-2", url)
        finally:
            sending.cancel()
        await self.callers.async_wait_answered()
        for record in self.callers.records:
            self.assertTrue(
                record.is_complete or record.outcome == Outcome.NOT_RUN, record
            )
        figures = await self.async_check_runs()
        self.assertEqual(figures.deposits_sent, figures.deposits_confirmed)

    async def _async_restart(self, name: str, caller_url: str = "") -> None:
        process = self.group.processes[name]
        await self._async_wait_until_busy()
        process.send_signal(signal.SIGTERM)
        await self.async_wait_for(
            lambda: self._async_is_draining(process.health_url),
            f"{name} draining",
        )
        if caller_url:
            self.callers.gateway_urls.remove(caller_url)
        code = await asyncio.to_thread(process.popen.wait, HANG_TIMEOUT_S)
        self.assertEqual(0, code)
        await self.fleet.async_restart_daemon(name)
        if caller_url:
            self.callers.gateway_urls.append(caller_url)
        await self.async_wait_for_servers(list(self.fleet.backends))

    async def _async_wait_until_busy(self) -> None:
        async def async_is_busy() -> bool:
            running = 0
            for url in self.fleet.gateway_urls.values():
                status = await self.fleet.async_read(f"{url}/v1/status")
                running += status["running"]
            return running > 0

        await self.async_wait_for(async_is_busy, "running requests")

    async def _async_is_draining(self, url: str) -> bool:
        try:
            async with self.fleet.session.get(url) as response:
                return response.status == 503
        except ClientError:
            return True


class SettingsCheckTest(IsolatedAsyncioTestCase):
    """Guards against invalid settings that are found only at the start.

    azurewickd --check must report them with exit code 2 and name the field.
    """

    async def test_check(self):
        node = {
            "name": "node-1",
            "region": "lima",
            "failure_domain": "lima-a",
            "address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "store": {"url": "http://127.0.0.1:1"},
        }
        agent = {
            "role": "agent",
            "pool": "assistant",
            "kind": "model",
            "version": "v1",
            "backend_url": "http://127.0.0.1:1",
        }
        gateway = node | {"role": "gateway"}
        cases = (
            (gateway, 0, "valid settings of gateway"),
            (node | agent, 0, "valid settings of agent"),
            (gateway | {"sync_interval_s": 0}, 2, "sync_interval_s"),
            (gateway | {"adress": "127.0.0.1:1"}, 2, "adress"),
            (node | {"role": "router"}, 2, "role"),
        )
        for settings, wanted, text in cases:
            with self.subTest(wanted=wanted, text=text):
                code, output = await self._async_check(settings)
                self.assertEqual(wanted, code, output)
                self.assertIn(text, output)

    async def _async_check(self, settings) -> tuple[int, str]:
        with TemporaryDirectory() as directory:
            path = Path(directory) / "settings.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "azurewick.daemon",
                str(path),
                "--check",
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            output, errors = await process.communicate()
            return process.returncode, (output + errors).decode()
