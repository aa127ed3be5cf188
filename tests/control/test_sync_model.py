"""Tests of sync times, simulated in virtual time."""

from __future__ import annotations

import asyncio
from unittest import TestCase

from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.membership.view import parse_instances
from azurewick.models import LoadReport
from bench.config import async_measure_changes
from bench.sync_model import Network
from bench.virtual_time import run_virtual

SEED = 5
ITEMS = {"customers/a": {"name": "a"}}
REVISION = 7


class SyncModelTest(TestCase):
    """Guards against changes that arrive late.

    Each test uses one mechanism (held calls, pushes, cross-checks) and fails
    when changes take longer than that mechanism allows.
    """

    async def _async_start(self, gateways, agents=0):
        network = Network(gateways, agents, SEED)
        network.start()
        await asyncio.sleep(5.0)
        return network

    async def _async_in_force_after(self, network, limit_s):
        await asyncio.sleep(limit_s)
        return {node.in_force_s is not None for node in network.living()}

    def test_held_calls_carry_a_change_at_once(self):
        for uses_long_polling, low_s, high_s in (
            (True, 0.0, 1.0),
            (False, 1.0, 9),
        ):
            figures = run_virtual(
                async_measure_changes(
                    60,
                    30,
                    SEED,
                    ("plain",),
                    uses_long_polling=uses_long_polling,
                )
            )
            self.assertTrue(low_s < figures["plain"] < high_s, figures)

    def test_faults(self):
        """Nodes leave a dead parent and notice the end of a partition.

        The limit also holds with lost messages.
        """
        figures = run_virtual(
            async_measure_changes(
                60, 30, SEED, ("dead_relay", "loss", "partition")
            )
        )
        self.assertLess(max(figures.values()), 8.0, figures)

    def test_change_known_to_one_non_relay_reaches_all(self):
        async def async_measure():
            network = await self._async_start(60, 30)
            non_relay = next(
                node
                for node in network.nodes.values()
                if not node.place().is_relay
            )
            non_relay.accept_store_update(ITEMS, REVISION)
            return await self._async_in_force_after(network, 1.5)

        self.assertEqual({True}, run_virtual(async_measure()))

    def test_urgent_entries_go_to_all_gateways_at_once(self):
        async def async_measure():
            network = await self._async_start(60, 30)
            agent = network.nodes["agent-007"]
            report = LoadReport(
                backend_server=agent.name,
                incarnation="i",
                version="v",
                draining=True,
            )
            cut = CutNotice(request_class="c", version="v", move_id="m")
            now_s = asyncio.get_running_loop().time()
            part = DigestPart(loads=(report,), cuts=(cut,))
            agent.replica.digest.merge(part, agent.name, now_s)
            agent.sync.notify(push=True)
            await asyncio.sleep(1.5)
            entries = [
                node.replica.digest.all_entries(now_s + 1.5)
                for node in network.nodes.values()
            ]
            loads = sum(bool(one.loads) for one in entries)
            return loads, sum(bool(one.cuts) for one in entries)

        # Agents get cuts, but not the loads of others.
        self.assertEqual((61, 90), run_virtual(async_measure()))

    def test_node_with_an_old_list_finds_a_configured_peer(self):
        async def async_measure():
            network = Network(10, 0, SEED)
            nodes = list(network.nodes.values())
            # Two nodes know only each other; nobody else calls them.
            for node in nodes:
                names = nodes[:2] if node in nodes[:2] else nodes[2:]
                specs = {
                    name: spec
                    for name, spec in node.view.instances.specs.items()
                    if name in {one.name for one in names}
                }
                node.view.update_list(parse_instances(specs), 2, 0.0)
            network.start()
            nodes[0].sync._peers = (nodes[9].name,)
            nodes[9].accept_store_update(ITEMS, REVISION)
            return await self._async_in_force_after(network, 25.0)

        self.assertEqual({True}, run_virtual(async_measure()))
