"""Tests of ClusterState."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from tests.membership.builders import agent_spec
from tests.membership.builders import async_until
from tests.membership.builders import configuration_spec
from tests.membership.builders import gateway_settings
from tests.platform.builders import MemoryStore


class ClusterStateTest(IsolatedAsyncioTestCase):
    """Guards the configuration that a gateway uses through store faults."""

    async def test_store_outage_keeps_last_configuration(self):
        store = MemoryStore()
        cluster = ClusterState(gateway_settings(), store, monotonic_s)
        self.addAsyncCleanup(cluster.async_stop)
        await cluster.async_start()
        self.assertFalse(cluster.is_ready)
        first = store.put("configurations", "fleet", configuration_spec())
        store.put("instances", "agent-1", agent_spec())
        await async_until(
            lambda: cluster.is_ready and cluster.backend_servers("chat", 0.0)
        )
        store.set_down(True)
        store.put("configurations", "fleet", {"pools": "invalid"})
        last = store.put("configurations", "fleet", configuration_spec(2))
        self.assertEqual(first.version, cluster.snapshot.revision)
        store.set_down(False)
        await async_until(lambda: cluster.snapshot.revision == last.version)
        self.assertEqual(2, len(cluster.snapshot.customers))
