"""Tests of the way to a shard's writer over the control port."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from grpclib.server import Server

from azurewick.claims.coordinator import ClaimCoordinator
from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimKind
from azurewick.claims.remote import ClaimWriterApi
from azurewick.claims.remote import WriterRoute
from azurewick.models import GatewayInstance
from azurewick.models import InstanceState
from bench.memory_store import MemoryStore
from bench.memory_store import StoreData
from tests.claims.builders import EPOCH_S
from tests.claims.builders import KEY


def make_instance(name, address, state=InstanceState.LIVE):
    return GatewayInstance(
        name=name,
        control_address=address,
        failure_domain="lima-a",
        region="lima",
        state=state,
    )


class WriterRouteTest(IsolatedAsyncioTestCase):
    """Guards against a claim lost or doubled on its way to the writer."""

    def _build(self, data, gateways, clock=lambda: 0.0):
        route = WriterRoute("gw-1", lambda now_s: gateways, clock)
        self.addCleanup(route.close)
        store = MemoryStore(data)
        return route, ClaimCoordinator(
            store, "gw-1/a", 1, route=route, wall_clock=lambda: EPOCH_S
        )

    def _find_names(self, is_writer):
        """Return a gateway name that is, or isn't, chosen before gw-1."""
        for number in range(2, 100):
            name = f"gw-{number}"
            route = WriterRoute(
                "gw-1",
                lambda now_s, name=name: [make_instance(name, "a:1")],
                lambda: 0.0,
            )
            if (route.writer(0) is not None) == is_writer:
                return name
        raise AssertionError("no such name")

    async def test_writer_is_live_and_the_same_for_all(self):
        name = self._find_names(True)
        for state, expected in (
            (InstanceState.LIVE, "a:1"),
            (InstanceState.LEAVING, None),
        ):
            gateways = [make_instance(name, "a:1", state)]
            route, _ = self._build(StoreData(), gateways)
            self.assertEqual(expected, route.writer(0))
        own = [make_instance(name, "a:1"), make_instance("gw-1", "b:1")]
        route = WriterRoute(name, lambda now_s: own, lambda: 0.0)
        self.assertIsNone(route.writer(0))

    async def test_writer_commits_and_its_loss_is_bridged(self):
        data = StoreData()
        writer = ClaimCoordinator(
            MemoryStore(data), "writer/a", 1, wall_clock=lambda: EPOCH_S
        )
        server = Server([ClaimWriterApi(writer)])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        gateways = [make_instance(self._find_names(True), address)]
        route, claims = self._build(data, gateways)
        decision = await claims.async_claim(KEY, "f", EPOCH_S)
        self.assertIs(ClaimKind.GRANTED, decision.kind)
        # The gateway's own shard was never read: the writer wrote the claim.
        self.assertEqual(1, data.calls["read"])
        # The writer is gone: its port is closed and the connection broken.
        server.close()
        route.close()
        await server.wait_closed()
        answer = Answer(status=200, content_type="text/plain", body=b"a")
        await claims.async_complete(KEY, answer, EPOCH_S)
        self.assertIsNone(route.writer(0))
        again = await claims.async_claim(KEY, "f", EPOCH_S)
        self.assertEqual(answer, again.answer)
        self.assertEqual(0, claims.unsettled)

    async def test_malformed_operations_are_refused(self):
        data = StoreData()
        writer = ClaimCoordinator(MemoryStore(data), "writer/a", 1)
        server = Server([ClaimWriterApi(writer)])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        gateways = [make_instance(self._find_names(True), f"127.0.0.1:{port}")]
        _, claims = self._build(data, gateways)
        # The writer refuses the key, and the gateway then writes itself.
        decision = await claims.async_claim("0" * 31 + "G", "f", EPOCH_S)
        self.assertIs(ClaimKind.GRANTED, decision.kind)
        self.assertEqual(1, data.calls["write"])
        server.close()
        await server.wait_closed()
