"""Cluster of ClusterState objects in one process, on loopback."""

from __future__ import annotations

import asyncio

from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.settings.models import AgentSettings
from azurewick.settings.models import GatewaySettings
from tests.membership.builders import agent_spec
from tests.membership.builders import gateway_spec
from tests.store.builders import MemoryStore

INTERVAL_S = 0.2


class StoreAccess:
    """Access of one process to the shared store.

    It can be disconnected without affecting other processes.
    """

    def __init__(self, store):
        self.store = store
        self.unreachable_store = MemoryStore()
        self.is_disconnected = False

    def __getattr__(self, name):
        target = self.unreachable_store if self.is_disconnected else self.store
        return getattr(target, name)

    def disconnect(self):
        self.is_disconnected = True
        self.unreachable_store.set_down(True)


class Cluster:
    """Starts ClusterState objects and lists them as instances in the store."""

    def __init__(self, test):
        self.test = test
        self.store = MemoryStore()
        self.nodes: dict[str, ClusterState] = {}
        self.access: dict[str, StoreAccess] = {}

    async def async_add(
        self,
        name,
        *,
        role="gateway",
        domain="lima-a",
        peers=(),
        listed=True,
        store_disconnected=False,
        transport=None,
    ):
        values = {
            "role": role,
            "name": name,
            "region": "lima",
            "failure_domain": domain,
            "address": "127.0.0.1:1",
            "control_address": "127.0.0.1:0",
            "store": {"url": "http://127.0.0.1:1"},
            "peers": peers,
            "sync_interval_s": INTERVAL_S,
        }
        model = GatewaySettings
        if role == "agent":
            model = AgentSettings
            values |= {
                "pool": "chat",
                "kind": "model",
                "version": "v1",
                "backend_url": "http://127.0.0.1:1",
            }
        access = StoreAccess(self.store)
        if store_disconnected:
            access.disconnect()
        node = ClusterState(
            model.model_validate(values),
            access,
            monotonic_s,
            transport=transport,
        )
        await node.async_start()
        self.test.addAsyncCleanup(node.async_stop)
        self.nodes[name] = node
        self.access[name] = access
        if listed and role == "gateway":
            spec = gateway_spec(self.address(name), domain)
            self.store.put("instances", name, spec)
        elif listed:
            self.store.put("instances", name, agent_spec(domain=domain))
        return node

    def address(self, name):
        return f"127.0.0.1:{self.nodes[name].control_port}"

    def revisions(self):
        return {
            node.snapshot.revision if node.snapshot else 0
            for node in self.nodes.values()
        }

    async def async_remove(self, name):
        await self.nodes.pop(name).async_stop()


class SilentServer:
    """Accepts connections and never answers, like a frozen process."""

    async def async_start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self.connected = True
        while await reader.read(4096):
            pass
        writer.close()
