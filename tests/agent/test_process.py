"""Test of the agent process: SIGTERM interrupts no running request."""

from __future__ import annotations

from asyncio import create_subprocess_exec
from asyncio import create_task
from asyncio import sleep
from asyncio import timeout
from asyncio.subprocess import PIPE
from dataclasses import asdict
import json
from pathlib import Path
import re
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession

from azurewick.const import HEADER_OFFER
from tests.agent.builders import async_respond_when_released
from tests.agent.builders import async_wait_for
from tests.agent.builders import HANG_TIMEOUT_S
from tests.agent.builders import make_offer
from tests.agent.builders import make_settings
from tests.agent.builders import RESPONSE_BODY
from tests.agent.builders import ScriptedBackend


class PlannedStopTest(IsolatedAsyncioTestCase):
    """Guards against a request interrupted by SIGTERM or accepted after it.

    The process must end only when its running requests have finished, and
    must refuse new ones with outcome not_run until then.
    """

    async def test_sigterm_finishes_running_request_and_refuses_new_one(self):
        backend = ScriptedBackend(async_respond_when_released)
        await backend.async_start()
        with TemporaryDirectory() as directory:
            path = Path(directory) / "agent.json"
            path.write_text(make_settings(backend.url).model_dump_json())
            process = await create_subprocess_exec(
                sys.executable,
                "-m",
                "azurewick.daemon",
                str(path),
                stdout=PIPE,
                stderr=PIPE,
            )
            try:
                async with timeout(HANG_TIMEOUT_S), ClientSession() as client:
                    await self._async_check_stop(process, backend, client)
            finally:
                if process.returncode is None:
                    process.kill()
                await process.communicate()
                await backend.async_stop()

    async def _async_check_stop(self, process, backend, client):
        url = await self._async_read_url(process)
        while True:
            async with client.get(url + "/ready") as response:
                if response.status == 200:
                    break
            await sleep(0.05)
        running = create_task(self._async_post(client, url, "running"))
        await async_wait_for(lambda: backend.count_requests("running"))
        process.send_signal(SIGTERM)
        while True:
            async with client.get(url + "/ready") as response:
                if response.status == 503:
                    break
            await sleep(0.02)
        status, body, outcome = await self._async_post(client, url, "new")
        self.assertEqual((503, "not_run"), (status, outcome))
        self.assertEqual("draining", json.loads(body)["error"]["code"])
        backend.released.set()
        self.assertEqual((200, RESPONSE_BODY, "ran"), await running)
        self.assertEqual(0, await process.wait())
        self.assertEqual(b"", await process.stdout.read())
        self.assertEqual(0, backend.count_requests("new"))

    async def _async_read_url(self, process):
        while True:
            line = (await process.stderr.readline()).decode()
            found = re.search(r"listens at ([0-9.]+:\d+)", line)
            if found:
                return f"http://{found.group(1)}"
            self.assertTrue(line, "the agent ended before it was listening")

    async def _async_post(self, client, url, request_id):
        headers = {HEADER_OFFER: json.dumps(asdict(make_offer(request_id)))}
        async with client.post(
            url + "/v1/dispatch", data=b"{}", headers=headers
        ) as response:
            outcome = response.headers["X-Azurewick-Outcome"]
            return response.status, await response.read(), outcome
