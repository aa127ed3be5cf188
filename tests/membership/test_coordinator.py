"""Tests of ClusterState."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from azurewick.control.topology import rank_gateways
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.membership.view import parse_instances
from bench.counting_store import CountingStore
from bench.virtual_time import run_virtual
from tests.membership.builders import agent_spec
from tests.membership.builders import async_until
from tests.membership.builders import configuration_spec
from tests.membership.builders import gateway_settings
from tests.membership.builders import gateway_spec
from tests.store.builders import MemoryStore


class RefusingTransport:
    """Transport to gateways that all refuse connections."""

    async def async_call(self, address, request):
        raise ConnectionRefusedError(address)

    def close(self):
        pass


class ClusterStateTest(IsolatedAsyncioTestCase):
    """Guards against a gateway without a valid configuration.

    The store may be down or return an invalid one, and all peers may refuse
    connections.
    """

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

    def test_gateway_without_any_contact_reads_the_store(self):
        """Guards against a late start when all peers refuse connections.

        Without the isolation timeout a gateway of the last rank becomes a
        relay only after each other one has failed.
        """

        async def async_measure():
            loop = asyncio.get_running_loop()
            store = CountingStore()
            specs = {f"gateway-{n}": gateway_spec() for n in range(60)}
            store.put("configurations", "fleet", configuration_spec())
            for name, spec in specs.items():
                store.put("instances", name, spec)
            # The last-ranked gateway becomes a relay when 58 others failed.
            listed = parse_instances(specs).gateways.values()
            last = rank_gateways(listed, "lima-a")[-1]
            node = ClusterState(
                gateway_settings(last.name),
                store,
                loop.time,
                incarnation="i",
                transport=RefusingTransport(),
            )
            await node.async_start()
            await asyncio.sleep(8.0)
            early = node.is_ready, node.is_relay
            await asyncio.sleep(8.0)
            return early, (node.is_ready, node.is_relay)

        self.assertEqual(
            ((False, False), (True, True)), run_virtual(async_measure())
        )
