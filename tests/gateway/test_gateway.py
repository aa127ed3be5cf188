"""Tests of the path from the caller over the gateway to an agent."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from tests.gateway.builders import ANSWER
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench


class PassThroughTest(IsolatedAsyncioTestCase):
    """Guards against answers or requests that change on their way."""

    async def test_answer_and_status(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            async with bench.post() as response:
                self.assertEqual(200, response.status)
                self.assertEqual(ANSWER, await response.read())
            offer = bench.agents[0].offers[0]
            self.assertEqual("quick", offer["request_class"])
            self.assertEqual(0, offer["tier"])
            self.assertEqual([b'{"messages": []}'], bench.agents[0].bodies)
            async with bench.session.get("/v1/status") as response:
                status = await response.json()
            self.assertEqual(7, status["configuration_revision"])
            self.assertEqual(1, status["counters"]["ok"])
            async with bench.session.get("/ready") as response:
                self.assertEqual(200, response.status)
