"""Test case with a whole entry instance, fake servers and a fake store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession
from aiohttp import ClientTimeout

from azurewick.entry.application import EntryInstance
from azurewick.entry.settings import EntrySettings
from azurewick.platform.application import build_entry
from fakes.platform_store import FakePlatformStore
from tests.entry.builders import free_port
from tests.entry.builders import REQUEST_ID
from tests.entry.builders import ScriptedServer
from tests.platform.builders import CONFIGURATION
from tests.platform.builders import SERVER

HEADERS = {
    "Host": "ficu95.example",
    "X-Request-Id": REQUEST_ID,
    "Authorization": "Token key-1",
    "X-Deadline-Ms": "3000",
}
FIELDS = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
PATH = "/lohu930/2f"
SERVER_WITHOUT_PHASE = {key: SERVER[key] for key in SERVER if key != "phase"}


def build_settings(store_address: str, name: str = "e1") -> EntrySettings:
    return EntrySettings(
        name=name,
        failure_domain="north",
        region="home",
        regions={"north": "home"},
        address=f"127.0.0.1:{free_port()}",
        ready_address=f"127.0.0.1:{free_port()}",
        peer_address=f"127.0.0.1:{free_port()}",
        store_address=store_address,
        grace_s=4.0,
    )


class EntryInstanceCase(IsolatedAsyncioTestCase):
    """Test case whose tests start an instance and send requests to it."""

    async def asyncSetUp(self):
        self.store = FakePlatformStore()
        self.address = await self.store.async_start()
        self.addAsyncCleanup(self.store.async_stop)
        self.session = ClientSession(timeout=ClientTimeout(total=8))
        self.addAsyncCleanup(self.session.close)
        self.instance: EntryInstance | None = None

    async def async_start(self, *scripts, **changes) -> EntryInstance:
        self.servers = []
        for index, script in enumerate(scripts, 1):
            server = ScriptedServer(f"i-{index}", script)
            backend = await server.async_start()
            self.addAsyncCleanup(server.async_stop)
            self.servers.append(server)
            entry = {**SERVER_WITHOUT_PHASE, "addr": backend.entry.address}
            self.store.put("servers", server.name, entry)
        self.put_configuration(1)
        settings = replace(build_settings(self.address), **changes)
        instance = build_entry(settings)
        await instance.async_start()
        self.addAsyncCleanup(instance.async_stop)
        await self.async_until(lambda: instance.state.is_ready)
        self.instance = instance
        return instance

    async def async_start_peer(self, **changes) -> EntryInstance:
        """Start an instance with a way of its own to the store."""
        address = await self.store.async_add_address()
        self.peer_port = int(address.rpartition(":")[2])
        settings = replace(build_settings(address, "e2"), **changes)
        peer = build_entry(settings)
        await peer.async_start()
        self.addAsyncCleanup(peer.async_stop)
        await self.async_until(lambda: peer.state.is_ready)
        # Both find each other in the store.
        await self.async_until(
            lambda: all(
                instance._peers.instance_count == 2
                for instance in (self.instance, peer)
            ),
            8.0,
        )
        await asyncio.sleep(0.5)
        return peer

    def put_configuration(self, version, **changes):
        route = {**CONFIGURATION["routes"][1], "service": "huvo11a"}
        route.pop("split")
        spec = {
            **CONFIGURATION,
            "version": version,
            "routes": [CONFIGURATION["routes"][0], route],
            **changes,
        }
        self.store.put("config", "main", spec)

    async def async_until(self, condition, timeout_s=4.0):
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def async_send(self, path=PATH, **headers):
        url = f"http://{self.instance.settings.address}{path}"
        fields = {**HEADERS, **headers}
        async with self.session.post(url, headers=fields, data=b"{}") as got:
            return got.status, await got.read(), got.headers

    async def async_get_ready_status(self) -> int:
        url = f"http://{self.instance.settings.ready_address}/readyz"
        async with self.session.get(url) as got:
            return got.status
