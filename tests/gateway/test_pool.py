"""Tests of server selection in one pool."""

from __future__ import annotations

from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from azurewick.gateway.context import RequestContext
from azurewick.gateway.pool import PoolState
from azurewick.helpers.clock import monotonic_s
from azurewick.models import LoadReport
from tests.gateway.builders import create_settings
from tests.gateway.builders import create_snapshot
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import FixedCluster
from tests.gateway.stubs import build_components


class ListeningCluster(FixedCluster):
    """Cluster that stores the listener for load reports."""

    def async_add_load_listener(self, listener):
        """Store the listener as the method report."""
        self.report = listener


class PoolStateTest(IsolatedAsyncioTestCase):
    """Guards against offers for a wrong incarnation or version.

    An old load report from a relay must not replace the incarnation of a
    restarted agent. A class must not get a version that is neither
    configured for it nor part of a version move.
    """

    def setUp(self):
        self.cluster = ListeningCluster(create_snapshot(version="v1"))
        agent = FakeAgent("agent-1")
        agent.address = "127.0.0.1:1"
        self.cluster.servers["agent-1"] = agent.server
        components = build_components(create_settings())
        self.pool = PoolState(
            "models", replace(components, cluster=self.cluster)
        )
        self.pool.refresh(0.0)
        snapshot = self.cluster.snapshot
        self.context = RequestContext(
            request_id="r1",
            received_s=monotonic_s(),
            method="POST",
            path="/",
            headers={},
            payload=None,
        )
        self.context.customer = snapshot.customers["north"]
        self.context.request_class = snapshot.classes["quick"]

    def send_report(self, incarnation, age_s):
        self.cluster.report(
            LoadReport(
                backend_server="agent-1",
                incarnation=incarnation,
                version="v1",
                age_s=age_s,
            )
        )

    def get_offered_incarnation(self):
        return self.pool.build_offer(self.context, "agent-1").incarnation

    async def test_older_report_does_not_restore_incarnation(self):
        self.send_report("new", 1.0)
        self.send_report("old", 20.0)
        self.assertEqual("new", self.get_offered_incarnation())
        self.pool.forget_incarnation("agent-1")
        self.send_report("new", 1.0)
        self.assertEqual("", self.get_offered_incarnation())
        self.send_report("newer", 0.0)
        self.assertEqual("newer", self.get_offered_incarnation())

    async def test_class_without_move_keeps_its_configured_version(self):
        for version, expected in (("v1", "agent-1"), ("v2", None)):
            with self.subTest(version):
                self.cluster.servers["agent-1"] = replace(
                    self.cluster.servers["agent-1"], version=version
                )
                chosen = await self.pool.async_choose(
                    self.context, frozenset()
                )
                self.assertEqual(expected, getattr(chosen, "name", None))
