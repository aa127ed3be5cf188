"""Tests of the gateway's metrics and of Retry-After."""

from __future__ import annotations

from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

from aiohttp import web
from aioprometheus.renderer import render

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.responder import Responder
from tests.gateway.builders import async_stream_events
from tests.gateway.builders import create_snapshot
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench


def render_text(bench: GatewayBench) -> str:
    """Return the metrics in the Prometheus text format."""
    content, _ = render(bench.components.metrics.registry, ["text/plain"])
    return content.decode()


class MetricsTest(IsolatedAsyncioTestCase):
    """Guards against unbounded labels and a wrong service level.

    Customers, API keys and class names sent by callers have no bounded
    number, so as label values they would create ever more time series.
    """

    async def test_counters_and_labels(self):
        agent = FakeAgent("agent-1", behaviour=async_stream_events)
        async with GatewayBench(agent) as bench:
            async with bench.post() as response:
                await response.content.readuntil(b"\n\n")
                agent.continue_event.set()
                await response.read()
            for i in range(20):
                await bench.async_post(customer=f"none-{i}")
                await bench.async_post(headers={"X-Request-Class": f"c-{i}"})
            await agent.async_stop()
            await bench.async_post()
            text = render_text(bench)
        for name in ("north", "south", "none-", "c-1"):
            self.assertNotIn(name, text)
        for line in (
            'requests_total{class="",code="unknown_key",outcome="not_run"} 20',
            'requests_total{class="quick",code="ok",outcome="ran"} 1',
            'offers_total{class="quick"} 2',
            'service_level_total{class="quick"} 2',
            'service_level_good_total{class="quick"} 1',
            'first_token_seconds_count{class="quick"} 1.0',
            'inter_token_seconds_count{class="quick"} 1.0',
        ):
            self.assertIn(f"azurewick_{line}\n", text)

    async def test_missed_target_does_not_count_as_good(self):
        for part in ("inter_token_s", "completion_s"):
            with self.subTest(part):
                agent = FakeAgent("agent-1", behaviour=async_stream_events)
                snapshot = create_snapshot(target={part: 30.0})
                async with GatewayBench(agent, snapshot=snapshot) as bench:
                    async with bench.post() as response:
                        await response.content.readuntil(b"\n\n")
                        (running,) = bench.gateway.executor.requests
                        running.context.received_s -= 100.0
                        target = running.context.request_class.target
                        object.__setattr__(target, "inter_token_s", 1e-9)
                        agent.continue_event.set()
                        await response.read()
                    text = render_text(bench)
                self.assertIn('level_total{class="quick"} 1', text)
                self.assertNotIn('level_good_total{class="quick"}', text)

    async def test_backend_failure_does_not_count_as_good(self):
        async def async_fail(agent, request):
            return web.Response(
                status=500, text="{}", headers={"X-Azurewick-Outcome": "ran"}
            )

        agent = FakeAgent("agent-1", behaviour=async_fail)
        async with GatewayBench(agent) as bench:
            self.assertEqual(500, (await bench.async_post())[0])
            text = render_text(bench)
        self.assertIn('code="backend_failed",outcome="ran"} 1', text)
        self.assertIn('level_total{class="quick"} 1', text)
        self.assertNotIn('level_good_total{class="quick"}', text)


class RetryAfterTest(TestCase):
    """Guards against refused callers that all retry at the same time."""

    def test_retry_after_has_jitter(self):
        responder = Responder(Random(3))
        for code, given_s, low_s, high_s in (
            (ErrorCode.OVERLOADED, None, 2.0, 6.0),
            (ErrorCode.RATE_LIMITED, 10.0, 10.0, 30.0),
        ):
            error = AzurewickError(
                code, "", step=Step.LIMIT, retry_after_s=given_s
            )
            times = [
                responder.jittered_retry_after_s(error) for _ in range(200)
            ]
            self.assertGreater(len(set(times)), 150)
            self.assertGreaterEqual(min(times), low_s)
            self.assertLessEqual(max(times), high_s)
            self.assertGreater(max(times) - min(times), low_s * 1.8)
            response = responder.build_error(error)
            self.assertGreaterEqual(
                int(response.headers["Retry-After"]), low_s
            )
        error = AzurewickError(ErrorCode.UNKNOWN_KEY, "", step=Step.LIMIT)
        self.assertIsNone(responder.jittered_retry_after_s(error))
