"""Tests of version evidence by model and of failed claims."""

from __future__ import annotations

import json
from unittest import IsolatedAsyncioTestCase

from azurewick.errors import Outcome
from azurewick.rollout.decisions import VersionSelector
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error
from tests.rollout.builders import build_move

CHAT_ROUTE = "POST /v1/chat"


class RouteTest(IsolatedAsyncioTestCase):
    """Guards against evidence of one model that counts for other models.

    All chat requests have the same path, so the route of their evidence must
    be the model that they name.
    """

    async def test_route_is_the_model(self):
        cases = (
            ("tagger", "tagger"),
            ("other/model-2", "other/model-2"),
            (None, CHAT_ROUTE),
            (3, CHAT_ROUTE),
            ("", CHAT_ROUTE),
            # A lone surrogate can't be encoded as UTF-8 for the control
            # protocol.
            ("\ud800", CHAT_ROUTE),
            ("a\nb", CHAT_ROUTE),
            ("x" * 129, CHAT_ROUTE),
        )
        for model, route in cases:
            with self.subTest(model=model):
                selector = VersionSelector("gateway-1", "1")
                selector.update_moves([build_move(previous_version="v1")])
                agent = FakeAgent("agent-1")
                body = json.dumps({"messages": [], "model": model}).encode()
                async with GatewayBench(agent, versions=selector) as bench:
                    status, _ = await bench.async_post(body=body)
                    self.assertEqual(200, status)
                    self.assertEqual([body], agent.bodies)
                rows = selector.evidence()
                self.assertEqual([route], [row.key.route for row in rows])


class ClaimErrorTest(IsolatedAsyncioTestCase):
    """Guards against the outcome unknown for a request never offered.

    When the write of a claim ends without a known result, the request itself
    was not run, and the caller may resend it.
    """

    async def test_claim_with_unknown_write_result(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            bench.claims.is_unavailable = True
            bench.claims.unavailable_outcome = Outcome.UNKNOWN
            status, body = await bench.async_post("deposit", key="k")
            self.assertEqual(503, status)
            self.assertEqual(("store_unavailable", "not_run"), get_error(body))
            self.assertEqual(0, bench.dispatch_count)
