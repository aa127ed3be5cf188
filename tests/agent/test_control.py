"""Tests of the agent's control port and metrics."""

from __future__ import annotations

from asyncio import create_task
from asyncio import sleep
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession
from aioprometheus.service import Service as MetricsServer
from grpclib.testing import ChannelFor

from azurewick.agent.control_api import ControlApi
from azurewick.agent.metrics import AgentMetrics
from azurewick.agent.orders import FencingCheck
from azurewick.agent.orders import SignatureAuthenticator
from azurewick.control.authentication import OrderAuthenticator
from azurewick.control.control_grpc import AgentControlStub
from azurewick.control.control_pb2 import AdmissionFloorRequest
from azurewick.control.control_pb2 import OrderRequest
from azurewick.control.control_pb2 import ProbeRequest
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome
from azurewick.helpers.clock import wall_clock_s
from azurewick.settings.models import OrderKey
from bench.memory_store import MemoryStore
from bench.memory_store import StoreData
from tests.agent.builders import AgentHarness
from tests.agent.builders import async_respond_when_released
from tests.agent.builders import async_wait_for
from tests.agent.builders import make_offer
from tests.agent.builders import ScriptedBackend
from tests.claims.builders import store_error

ORDER_KEY = OrderKey(key_id="k1", secret="s" * 32)


class FencingTest(IsolatedAsyncioTestCase):
    """Guards against an order of a lease holder that has been replaced.

    Its fencing number is lower than that of the new holder. A restarted
    agent knows no numbers, so it has to read the lease from the store.
    """

    async def test_older_fencing_number_is_refused_also_after_a_restart(self):
        store = MemoryStore(StoreData())
        item = await store.async_create(
            "leases", "version-moves", {"fencing_number": 7}
        )
        self.assertEqual("version-moves", item.name)
        fencing = FencingCheck(store)
        for number, accepted in ((6, False), (7, True), (9, True), (8, False)):
            with self.subTest(number=number):
                self.assertEqual(
                    accepted, await self._async_is_accepted(fencing, number)
                )
        restarted = FencingCheck(store)
        self.assertFalse(await self._async_is_accepted(restarted, 6))

        async def async_refuse(kind, effect):
            raise store_error(Outcome.NOT_RUN)

        unreadable = FencingCheck(MemoryStore(store.data, async_refuse))
        with self.assertRaises(AzurewickError) as caught:
            await unreadable.async_check("version-moves", 99)
        self.assertEqual("store_unavailable", caught.exception.code)
        unreadable._store = store
        self.assertTrue(await self._async_is_accepted(unreadable, 7))

    async def _async_is_accepted(self, fencing, number):
        try:
            await fencing.async_check("version-moves", number)
        except AzurewickError as err:
            self.assertEqual("stale_fencing_number", err.code)
            return False
        return True


class MetricsTest(IsolatedAsyncioTestCase):
    """Guards against a metrics label with an unbounded set of values.

    The end of a request is a label, and its code may come from a peer.
    """

    async def test_unknown_codes_share_one_label_value(self):
        metrics = AgentMetrics()
        for number in range(50):
            metrics.record_outcome(0, f"code-{number}")
        metrics.record_outcome(1, "finished")
        metrics.record_crash()
        server = MetricsServer(metrics.registry)
        await server.start(addr="127.0.0.1", port=0)
        try:
            async with (
                ClientSession() as client,
                client.get(server.metrics_url) as response,
            ):
                text = await response.text()
        finally:
            await server.stop()
        name = "azurewick_agent_requests_total"
        self.assertEqual(2, text.count(name + "{"))
        self.assertIn(name + '{end="other",tier="0"} 50', text)


class ControlPortTest(IsolatedAsyncioTestCase):
    """Guards against unsigned orders and a floor acknowledged too early.

    After the acknowledgement a gateway relies on no lower tier being
    dispatched, but a lower-tier request may hold a slot and not be sent yet.
    """

    def _build_api(self, agent, store):
        return ControlApi(
            "assistant",
            agent.dispatcher,
            FencingCheck(store),
            SignatureAuthenticator([ORDER_KEY]),
            agent.build_load_report,
            agent.async_execute_order,
        )

    async def test_orders_drain_and_resume(self):
        store = MemoryStore(StoreData())
        await store.async_create("leases", "drains", {"fencing_number": 3})
        async with AgentHarness(ScriptedBackend()) as harness:
            api = self._build_api(harness.agent, store)
            async with ChannelFor([api]) as channel:
                stub = AgentControlStub(channel)
                unsigned = OrderRequest(
                    order_id="o1",
                    lease="drains",
                    fencing_number=3,
                    action="drain",
                )
                reply = await stub.Order(unsigned)
                self.assertEqual("unauthenticated", reply.code)
                self.assertTrue(harness.agent.dispatcher.is_ready)
                signer = OrderAuthenticator([ORDER_KEY])
                for number, action, ready in (
                    (3, "drain", False),
                    (3, "resume", True),
                    (5, "drain", False),
                    (4, "resume", False),
                ):
                    with self.subTest(number=number, action=action):
                        order = OrderRequest(
                            order_id=f"o-{number}-{action}",
                            lease="drains",
                            fencing_number=number,
                            action=action,
                        )
                        await stub.Order(signer.sign(order, wall_clock_s()))
                        probe = await stub.Probe(ProbeRequest(node="gw"))
                        self.assertEqual(ready, probe.ready)

    async def test_floor_is_acknowledged_after_granted_requests_are_sent(self):
        backend = ScriptedBackend(async_respond_when_released)
        async with AgentHarness(backend, limit=1) as harness:
            dispatcher = harness.agent.dispatcher
            dispatcher.record_contact()
            api = self._build_api(harness.agent, MemoryStore(StoreData()))
            granted_slot = await dispatcher.async_acquire(
                make_offer("g", tier=2)
            )
            queued = create_task(
                harness.async_dispatch(make_offer("q", tier=1))
            )
            await async_wait_for(lambda: dispatcher.queued == 1)
            async with ChannelFor([api]) as channel:
                stub = AgentControlStub(channel)
                request = AdmissionFloorRequest(
                    pool="assistant", floor_tier=0, hold_ms=5000, gateway="gw"
                )
                acknowledgement = create_task(stub.SetAdmissionFloor(request))
                status, _, outcome = await queued
                self.assertEqual((503, "not_run"), (status, outcome))
                for _ in range(20):
                    await sleep(0)
                self.assertFalse(acknowledgement.done())
                granted_slot.sent.set()
                reply = await acknowledgement
                self.assertEqual(0, reply.floor_tier)
            dispatcher.release(granted_slot)
            self.assertEqual([], backend.requests)
