"""Tests of requests with the same idempotency key."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import timeout
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from tests.gateway.builders import async_stream_events
from tests.gateway.builders import async_wait_for
from tests.gateway.builders import async_wait_then_answer
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error
from tests.gateway.builders import HANG_TIMEOUT_S

EVENTS = b"data: first\n\ndata: last\n\ndata: [DONE]\n\n"


class JoinTest(IsolatedAsyncioTestCase):
    """Guards against a second run for a resend of a running request.

    The resend has the same idempotency key and must read the answer of the
    running request.
    """

    async def test_duplicates_share_one_run(self):
        for request_class, pool in (("quick", "models"), ("deposit", "shop")):
            with self.subTest(request_class):
                agent = FakeAgent("agent-1", pool, async_wait_then_answer)
                async with GatewayBench(agent) as bench:
                    posts = [
                        create_task(bench.async_post(request_class, key="k"))
                        for _ in range(5)
                    ]
                    await async_wait_for(
                        lambda bench=bench: join_count(bench) == 4
                    )
                    agent.continue_event.set()
                    answers = await gather(*posts)
                    self.assertEqual(1, bench.dispatch_count)
                    self.assertEqual([answers[0]] * 5, answers)
                    self.assertEqual(200, answers[0][0])

    async def test_late_joiner_gets_the_whole_stream(self):
        agent = FakeAgent("agent-1", behaviour=async_stream_events)
        async with GatewayBench(agent) as bench:
            async with bench.post(key="k") as first:
                await first.content.readuntil(b"\n\n")
                async with bench.post(key="k") as second:
                    agent.continue_event.set()
                    self.assertEqual(EVENTS, await second.read())
                self.assertIn(b"[DONE]", await first.read())
            self.assertEqual(1, bench.dispatch_count)

    async def test_answer_that_is_too_long_to_join(self):
        async def async_stream(agent, request):
            response = web.StreamResponse(
                headers={"X-Azurewick-Outcome": "ran"}
            )
            await response.prepare(request)
            for _ in range(8):
                await response.write(b"a" * 65_536)
            await agent.continue_event.wait()
            return response

        agent = FakeAgent("agent-1", behaviour=async_stream)
        async with GatewayBench(agent) as bench:
            async with bench.post(key="k") as first:
                await first.content.readexactly(8 * 65_536)
                _, body = await bench.async_post(key="k")
                self.assertEqual(
                    ("duplicate_request", "unknown"), get_error(body)
                )
            self.assertEqual(1, bench.dispatch_count)

    async def test_run_continues_while_one_caller_is_connected(self):
        agent = FakeAgent("agent-1", behaviour=async_stream_events)
        async with GatewayBench(agent) as bench:
            first = await bench.post(key="k")
            async with bench.post(key="k") as second:
                first.close()
                # Wait until the gateway has noticed the disconnection.
                await async_wait_for(lambda: open_reader_count(bench) == 1)
                agent.continue_event.set()
                self.assertEqual(EVENTS, await second.read())
            self.assertEqual([], agent.cancelled)

    async def test_other_content_or_customer_does_not_join(self):
        cases = (
            ("other body", {"body": b'{"amount": 2}'}, "mismatch"),
            ("other customer", {"customer": "south"}, "own run"),
            ("no key", {"key": ""}, "own run"),
        )
        for name, fields, expected in cases:
            with self.subTest(name):
                agent = FakeAgent("agent-1", behaviour=async_wait_then_answer)
                async with GatewayBench(agent) as bench:
                    first = create_task(bench.async_post(key="k"))
                    async with timeout(HANG_TIMEOUT_S):
                        await agent.offered.wait()
                    second = create_task(
                        bench.async_post(**({"key": "k"} | fields))
                    )
                    if expected == "mismatch":
                        status, body = await second
                        self.assertEqual(422, status)
                        self.assertEqual(
                            ("idempotency_mismatch", "not_run"),
                            get_error(body),
                        )
                    else:
                        await async_wait_for(
                            lambda agent=agent: len(agent.offers) == 2
                        )
                    agent.continue_event.set()
                    self.assertEqual(200, (await first)[0])
                    self.assertEqual(0, join_count(bench))

    async def test_customer_cannot_cancel_or_see_requests_of_another(self):
        agent = FakeAgent("agent-1", behaviour=async_stream_events)
        async with GatewayBench(agent) as bench:
            async with bench.post(key="k") as own:
                await own.content.readuntil(b"\n\n")
                other = await bench.post(key="k", customer="south")
                request_id = other.headers["X-Request-Id"]
                other.close()
                async with timeout(HANG_TIMEOUT_S):
                    await agent.cancel_seen.wait()
                self.assertEqual([request_id], agent.cancelled)
                self.assertNotEqual(own.headers["X-Request-Id"], request_id)
                # No path of the gateway accepts a request id.
                for path in ("/v1/cancel", f"/v1/requests/{request_id}"):
                    async with bench.session.post(path) as response:
                        self.assertEqual(400, response.status)
                agent.continue_event.set()
                self.assertIn(b"[DONE]", await own.read())


class ClaimTest(IsolatedAsyncioTestCase):
    """Guards against a second run of a non-repeatable request.

    A resend is answered from the claim of the first run, or refused.
    """

    async def test_answer_is_replayed(self):
        async with GatewayBench(FakeAgent("agent-1", "shop")) as bench:
            first = await bench.async_post("deposit", key="k")
            await bench.gateway.executor.requests.async_wait_idle()
            async with bench.post("deposit", key="k") as response:
                self.assertEqual("1", response.headers["X-Azurewick-Replayed"])
                self.assertEqual(first, (200, await response.json()))
            status, body = await bench.async_post(
                "deposit", key="k", body=b"other"
            )
            self.assertEqual("idempotency_mismatch", get_error(body)[0])
            self.assertEqual(1, bench.dispatch_count)

    async def test_refused_claims(self):
        cases = (
            (ClaimKind.IN_PROGRESS, "outcome_unknown", "unknown"),
            (ClaimKind.NOT_RETAINED, "answer_not_retained", "ran"),
            (ClaimKind.MISMATCH, "idempotency_mismatch", "not_run"),
            (None, "store_unavailable", "not_run"),
        )
        for kind, code, outcome in cases:
            with self.subTest(code):
                async with GatewayBench(FakeAgent("agent-1", "shop")) as bench:

                    async def async_claim(*args, kind=kind):
                        return ClaimDecision(kind=kind)

                    if kind is None:
                        bench.claims.is_unavailable = True
                    else:
                        bench.claims.async_claim = async_claim
                    _, body = await bench.async_post("deposit", key="k")
                    self.assertEqual((code, outcome), get_error(body))
                    self.assertEqual(0, bench.dispatch_count)

    async def test_repeatable_class_runs_while_the_store_is_down(self):
        async with GatewayBench(FakeAgent("agent-1", "shop")) as bench:
            bench.claims.is_unavailable = True
            self.assertEqual(200, (await bench.async_post("lookup"))[0])

    async def test_stored_answer_is_cut_one_byte_above_limit(self):
        agent = FakeAgent("agent-1", "shop", async_wait_then_answer)
        agent.continue_event.set()
        async with GatewayBench(agent) as bench:
            body = b'"%s"' % (b"a" * 40_000)
            _, answer = await bench.async_post("deposit", key="k", body=body)
            self.assertEqual(40_000, len(answer["echo"]))
            await bench.gateway.executor.requests.async_wait_idle()
            ((_, kept),) = bench.claims.claims.values()
            self.assertEqual(16_385, len(kept.body))


def join_count(bench: GatewayBench) -> int:
    """Return the number of requests that joined a running one."""
    return bench.components.metrics.counts.get("joins", 0)


def open_reader_count(bench: GatewayBench) -> int:
    """Return the number of readers of all running requests."""
    return sum(
        running.buffer.reader_count
        for running in bench.gateway.executor.requests
    )
