"""Tests of how the gateway handles requests that crash servers."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from unittest import IsolatedAsyncioTestCase

from azurewick.helpers.clock import monotonic_s
from tests.gateway.builders import async_reset
from tests.gateway.builders import async_wait_for
from tests.gateway.builders import async_wait_then_answer
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error


class PoisonTest(IsolatedAsyncioTestCase):
    """Guards against a request that crashes one backend server after another.

    That happens when the gateway keeps offering such a request, or runs
    copies of it on several servers at once.
    """

    async def test_poison_is_refused_after_three_crashes(self):
        agents = [
            FakeAgent(f"agent-{i}", behaviour=async_reset) for i in range(8)
        ]
        async with GatewayBench(*agents) as bench:
            while bench.cluster.servers:
                _, body = await bench.async_post()
                crashed = [a.name for a in agents if a.offers]
                if get_error(body)[0] == "poison_request":
                    break
                for name in crashed:
                    bench.cluster.servers.pop(name, None)
            self.assertEqual(3, bench.dispatch_count)
            self.assertEqual(("poison_request", "not_run"), get_error(body))

    async def test_waiting_suspect_that_becomes_poison(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            detector = bench.components.poison
            pool = bench.gateway.executor.pool("models")

            def record_crashes_and_refuse(fingerprint, *_):
                for i in range(3):
                    detector.record_crash("a", str(i), [fingerprint], now_s)
                return None

            now_s = monotonic_s()
            detector.is_suspect = lambda *_: True
            pool._placement.acquire = record_crashes_and_refuse
            _, body = await bench.async_post()
            self.assertEqual(("poison_request", "not_run"), get_error(body))
            self.assertEqual(0, bench.dispatch_count)

    async def test_copies_of_a_suspect_run_on_one_server(self):
        agents = [
            FakeAgent(f"agent-{i}", behaviour=async_reset) for i in range(4)
        ]
        async with GatewayBench(*agents) as bench:
            await bench.async_post()
            for agent in agents:
                agent.behaviour = async_wait_then_answer
            posts = [create_task(bench.async_post()) for _ in range(8)]
            await async_wait_for(lambda: bench.dispatch_count == 9)
            self.assertEqual(1, sum(len(a.offers) >= 8 for a in agents))
            for agent in agents:
                agent.continue_event.set()
            await gather(*posts)
            # One success clears the crash count, so that the request is no
            # longer limited to one server.
            self.assertEqual(200, (await bench.async_post())[0])
            (fingerprint,) = {
                a.offers[0]["fingerprint"] for a in agents if a.offers
            }
            self.assertFalse(
                bench.components.poison.is_suspect(fingerprint, 0.0)
            )
