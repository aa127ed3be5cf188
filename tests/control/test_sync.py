"""Tests of Sync with several processes and faults."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from azurewick.control.documents import DocumentName
from azurewick.control.documents import split_configuration
from azurewick.control.models import CutNotice
from azurewick.control.models import PoisonNotice
from azurewick.control.replica import Replica
from tests.control.builders import Cluster
from tests.control.builders import SilentServer
from tests.membership.builders import async_until
from tests.membership.builders import configuration_spec
from tests.membership.builders import gateway_spec
from tests.membership.builders import load_report

GATEWAYS = tuple(f"gateway-{number}" for number in range(5))
CONFIGURATION = ("configurations", "fleet")


class OlderPeerFirstTransport:
    """Transport to peers whose revision equals their port number.

    The peer with revision 3 answers first, and the others after it.
    """

    def __init__(self):
        self.answered = asyncio.Event()

    async def async_call(self, address, request):
        revision = int(address.rpartition(":")[2])
        peer = Replica(address, "gateway", "i")
        items = split_configuration(configuration_spec(revision))
        peer.accept(DocumentName.CONFIGURATION, items, revision)
        if revision == 3:
            self.answered.set()
        else:
            await self.answered.wait()
            await asyncio.sleep(0.05)
        return peer.build_reply(request, 0.0)

    def close(self):
        pass


class SyncTest(IsolatedAsyncioTestCase):
    """Guards against nodes that miss a change or go back to an older one.

    Relays watch the store and the other nodes get changes through Sync, so a
    failed relay, store or peer must not stop a change.
    """

    async def asyncSetUp(self):
        self.cluster = Cluster(self)

    async def _async_start_cluster(self):
        self._put_configuration()
        for name in GATEWAYS:
            await self.cluster.async_add(name)
        await self.cluster.async_add(
            "agent-1",
            role="agent",
            peers=[self.cluster.address(name) for name in GATEWAYS[:2]],
        )
        await self._async_wait_until_in_force()
        # Each gateway has the full instance list and knows whether it is a
        # relay.
        await async_until(
            lambda: (
                [
                    sum(node.is_relay for node in self.cluster.nodes.values()),
                    min(
                        len(node.gateways(0.0))
                        for node in self.cluster.nodes.values()
                    ),
                ]
                == [2, len(GATEWAYS)]
            )
        )

    def _put_configuration(self, customers=1):
        spec = configuration_spec(customers)
        item = self.cluster.store.put(*CONFIGURATION, spec)
        self.revision = item.version

    async def _async_wait_until_in_force(self):
        await async_until(lambda: self.cluster.revisions() == {self.revision})

    async def test_two_relays_watch_and_the_others_follow(self):
        await self._async_start_cluster()
        self._put_configuration(2)
        await self._async_wait_until_in_force()
        for node in self.cluster.nodes.values():
            self.assertEqual(2, len(node.snapshot.customers))

    async def test_faults_of_relays(self):
        """A change arrives although a relay stopped or lost the store."""
        await self._async_start_cluster()
        relays = [
            name for name, node in self.cluster.nodes.items() if node.is_relay
        ]
        for name, fault in (
            ("store access cut", self._async_disconnect_store),
            ("stopped, still in the list", self.cluster.async_remove),
        ):
            with self.subTest(name):
                await fault(relays[0])
                self._put_configuration(3)
                await self._async_wait_until_in_force()

    async def _async_disconnect_store(self, name):
        self.cluster.access[name].disconnect()
        # Ends the watch that runs on the shared store.
        self.cluster.store.set_down(True)
        self.cluster.store.set_down(False)

    async def test_start_during_store_outage_uses_newest_peer(self):
        """A starting node is ready only with the newest configuration.

        It asks several peers, and one that is behind answers first.
        """
        peers = OlderPeerFirstTransport()
        started = await self.cluster.async_add(
            "gateway-0",
            peers=["127.0.0.1:3", "127.0.0.1:7"],
            store_disconnected=True,
            listed=False,
            transport=peers,
        )
        self.assertFalse(started.is_ready)
        seen = []
        started.async_add_listener(
            lambda: seen.append((started.is_ready, started.snapshot.revision))
        )
        await async_until(lambda: started.is_ready)
        self.assertEqual([(False, 3), (False, 7), (True, 7)], seen)

    async def test_start_without_any_answer_is_not_ready(self):
        self._put_configuration()
        self.cluster.store.set_down(True)
        node = await self.cluster.async_add("gateway-0", listed=False)
        await async_until(lambda: self.cluster.store.calls.count("list") >= 2)
        self.assertFalse(node.is_ready)
        self.cluster.store.set_down(False)
        self.cluster.store.put(
            "instances",
            "gateway-0",
            gateway_spec(self.cluster.address("gateway-0")),
        )
        await async_until(lambda: node.is_ready)

    async def test_frozen_peer_doesnt_stop_a_node(self):
        silent = SilentServer()
        address = await silent.async_start()
        self.addCleanup(silent.server.close)
        self._put_configuration()
        await self.cluster.async_add("gateway-0")
        agent = await self.cluster.async_add(
            "agent-1",
            role="agent",
            peers=[address, self.cluster.address("gateway-0")],
        )
        # The frozen gateway is listed, so that the agent may prefer it.
        for number in range(8):
            self.cluster.store.put(
                "instances", f"frozen-{number}", gateway_spec(address)
            )
        await async_until(
            lambda: agent.is_ready and len(agent.gateways(0.0)) > 1
        )
        contacts = []
        agent.async_add_contact_listener(lambda: contacts.append(1))
        self._put_configuration(2)
        await self._async_wait_until_in_force()
        self.assertTrue(silent.connected)
        self.assertTrue(contacts)

    async def test_urgent_entries_reach_each_gateway(self):
        """Cuts, poison and draining servers don't wait for a publish period.

        Until they arrive, gateways send requests to servers and versions that
        should get none.
        """
        await self._async_start_cluster()
        nodes = self.cluster.nodes
        cut = CutNotice(request_class="c", version="v", move_id="m")
        notice = PoisonNotice(
            fingerprint="f",
            source="agent-1",
            incarnation="i",
            crashes=1,
            remaining_s=900.0,
        )
        agent = nodes["agent-1"]
        now_s = agent._clock()
        agent.record_load(load_report(), now_s)
        agent.record_poison(notice, now_s)
        agent.record_load(load_report(draining=True), now_s + 0.001)
        nodes[GATEWAYS[-1]].record_cut(cut, now_s)
        gateways = [nodes[name] for name in GATEWAYS]

        def is_known(node):
            entries = node.non_load_entries(node._clock())
            return (
                entries.cuts
                and entries.poison
                and not node.backend_servers("chat", 0.0)
            )

        await async_until(lambda: all(map(is_known, gateways)))
