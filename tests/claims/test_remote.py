"""Tests of forwarding claim operations to the writer of a shard."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from grpclib.server import Server

from azurewick.claims.coordinator import ClaimCoordinator
from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimKind
from azurewick.claims.remote import ClaimWriterApi
from azurewick.claims.remote import GrpcClaimForwarder
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


class ClaimForwarderTest(IsolatedAsyncioTestCase):
    """Guards against a claim that is lost or granted twice by forwarding.

    It comes about when gateways choose a writer that has left, or when a
    connection breaks and the gateway doesn't write the shard itself.
    """

    def _build(self, data, gateways, clock=lambda: 0.0):
        forwarder = GrpcClaimForwarder("gw-1", lambda now_s: gateways, clock)
        self.addCleanup(forwarder.close)
        store = MemoryStore(data)
        return forwarder, ClaimCoordinator(
            store, "gw-1/a", 1, forwarder=forwarder, wall_clock=lambda: EPOCH_S
        )

    def _find_name(self, is_writer):
        """Return a gateway name that is, or isn't, preferred to gw-1."""
        for number in range(2, 100):
            name = f"gw-{number}"
            forwarder = GrpcClaimForwarder(
                "gw-1",
                lambda now_s, name=name: [make_instance(name, "a:1")],
                lambda: 0.0,
            )
            if (forwarder.writer(0) is not None) == is_writer:
                return name
        raise AssertionError(f"no gateway name gives is_writer={is_writer}")

    async def test_writer_is_a_live_gateway_chosen_alike_by_all(self):
        name = self._find_name(True)
        for state, expected in (
            (InstanceState.LIVE, "a:1"),
            (InstanceState.LEAVING, None),
        ):
            gateways = [make_instance(name, "a:1", state)]
            forwarder, _ = self._build(StoreData(), gateways)
            self.assertEqual(expected, forwarder.writer(0))
        own = [make_instance(name, "a:1"), make_instance("gw-1", "b:1")]
        forwarder = GrpcClaimForwarder(name, lambda now_s: own, lambda: 0.0)
        self.assertIsNone(forwarder.writer(0))

    async def test_gateway_writes_itself_after_writer_is_lost(self):
        data = StoreData()
        writer = ClaimCoordinator(
            MemoryStore(data), "writer/a", 1, wall_clock=lambda: EPOCH_S
        )
        server = Server([ClaimWriterApi(writer)])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        gateways = [make_instance(self._find_name(True), address)]
        forwarder, claims = self._build(data, gateways)
        decision = await claims.async_claim(KEY, "f", EPOCH_S)
        self.assertIs(ClaimKind.GRANTED, decision.kind)
        # Only the writer has read the shard, so the writer wrote the claim.
        self.assertEqual(1, data.calls["read"])
        # Stop the writer: its port is closed and the connection broken.
        server.close()
        forwarder.close()
        await server.wait_closed()
        answer = Answer(status=200, content_type="text/plain", body=b"a")
        await claims.async_complete(KEY, answer, EPOCH_S)
        self.assertIsNone(forwarder.writer(0))
        again = await claims.async_claim(KEY, "f", EPOCH_S)
        self.assertEqual(answer, again.answer)
        self.assertEqual(0, claims.deferred_count)

    async def test_malformed_operations_are_refused(self):
        data = StoreData()
        writer = ClaimCoordinator(MemoryStore(data), "writer/a", 1)
        server = Server([ClaimWriterApi(writer)])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        gateways = [make_instance(self._find_name(True), f"127.0.0.1:{port}")]
        _, claims = self._build(data, gateways)
        # The writer rejects the key, and the gateway then writes itself.
        decision = await claims.async_claim("0" * 31 + "G", "f", EPOCH_S)
        self.assertIs(ClaimKind.GRANTED, decision.kind)
        self.assertEqual(1, data.calls["write"])
        server.close()
        await server.wait_closed()
