"""Test case with an entry instance that runs as a process."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import sys
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from azurewick.platform.const import ENV_NODE_FILE
from fakes.platform_store import FakePlatformStore
from tests.entry.builders import answer
from tests.entry.builders import free_port
from tests.entry.builders import ScriptedServer
from tests.entry.instance_case import FIELDS
from tests.entry.instance_case import PATH
from tests.entry.instance_case import SERVER_WITHOUT_PHASE
from tests.platform.builders import build_node_text
from tests.platform.builders import CONFIGURATION

REQUEST = f"POST {PATH} HTTP/1.1\r\n{FIELDS}Content-Length: 2\r\n\r\n{{}}"
HANG_TIMEOUT_S = 20.0


class EntryProcessCase(IsolatedAsyncioTestCase):
    """Test case that starts an instance with one backend server."""

    grace_s = 5.0
    stdout = asyncio.subprocess.PIPE

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = FakePlatformStore()
        store_address = await self.store.async_start()
        self.addAsyncCleanup(self.store.async_stop)
        server = ScriptedServer("i-1", self.async_script)
        backend = await server.async_start()
        self.addAsyncCleanup(server.async_stop)
        self.server = server
        entry = {**SERVER_WITHOUT_PHASE, "addr": backend.entry.address}
        self.store.put("servers", "i-1", entry)
        route = {
            **CONFIGURATION["routes"][1],
            "service": "huvo11a",
            "goal_ms": 250,
        }
        route.pop("split")
        self.store.put("config", "main", {**CONFIGURATION, "routes": [route]})
        self.port = free_port()
        self.ready_port = free_port()
        self.settings = Path(folder.name) / "node.json"
        self.settings.write_text(
            build_node_text(
                listen={
                    "front": f"127.0.0.1:{self.port}",
                    "ready_addr": f"127.0.0.1:{self.ready_port}",
                },
                port_range=[free_port(), free_port()],
                platform={"addr": store_address},
                bounds={"grace_s": self.grace_s},
            ),
            encoding="utf-8",
        )

    async def async_script(self, reader, writer):
        """Answer a request; the test case replaces it."""
        writer.write(answer())

    async def async_start(self) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "azurewick.platform",
            env={**os.environ, ENV_NODE_FILE: str(self.settings)},
            stdout=self.stdout,
        )
        self.addAsyncCleanup(self._async_end, process)
        return process

    async def _async_end(self, process) -> None:
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def async_wait_ready(self) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            line = b""
            while b"200 OK" not in line:
                await asyncio.sleep(0.05)
                line = await self.async_exchange(
                    self.ready_port, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                )

    async def async_exchange(self, port: int, data: bytes) -> bytes:
        """Send a request; return the status line, empty without one."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return b""
        try:
            writer.write(data)
            return await reader.readline()
        except OSError:
            return b""
        finally:
            writer.close()
