"""Fault tables of the path caller, gateway, agent."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import timeout
import json
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientPayloadError
from aiohttp import web

from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from tests.gateway.builders import async_reset
from tests.gateway.builders import async_stream_events
from tests.gateway.builders import async_wait_for
from tests.gateway.builders import create_snapshot
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error
from tests.gateway.builders import GUARD_S
from tests.gateway.builders import refuse_with

UNKNOWN = ("outcome_unknown", "unknown")
BROKEN = ("stream_broken", "unknown")
KNOWN = ("duplicate_request", "unknown")
POISON = ("poison_request", "not_run")
# The agent never goes on; the time lets its first bytes arrive.
PAUSE_S = 1.0
RAN = {"X-Azurewick-Outcome": "ran"}


async def async_die(agent, request):
    """Reset the connection and close the port, as a killed process does."""
    for site in tuple(agent.runner.sites):
        await site.stop()
    return await async_reset(agent, request)


async def async_lose_answer(agent, request):
    """Close the connection in place of an answer."""
    request.transport.close()
    return web.Response()


async def async_redirect(agent, request):
    """Redirect the offer, which must not send it a second time."""
    raise web.HTTPTemporaryRedirect("/v1/dispatch")


async def async_refuse_badly(agent, request):
    """Refuse with a body that is no error."""
    return web.Response(
        status=503, text="busy", headers={"X-Azurewick-Outcome": "not_run"}
    )


async def async_break_whole(agent, request):
    """Break an answer of known length before its end."""
    response = web.StreamResponse(headers=RAN)
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"a" * 50)
    request.transport.close()
    return response


async def async_pause_in_answer(agent, request):
    """Stop in the middle of an answer of known length."""
    response = web.StreamResponse(headers=RAN)
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"a" * 50)
    await agent.go_on.wait()
    return response


async def async_pause(agent, request):
    """Send nothing until go_on."""
    await agent.go_on.wait()
    return web.Response(headers=RAN)


# Name, behaviour of the first agent and the error; with None the second
# agent answers. No other fault may lead to a second dispatch.
OFFER_FAULTS = (
    ("reset after the offer", async_reset, UNKNOWN),
    ("agent killed after the offer", async_die, UNKNOWN),
    ("answer lost", async_lose_answer, UNKNOWN),
    ("agent paused past the time-out", async_pause, UNKNOWN),
    ("redirect", async_redirect, UNKNOWN),
    ("answer broken", async_break_whole, BROKEN),
    ("agent paused in the answer", async_pause_in_answer, BROKEN),
    ("refused overloaded", refuse_with(ErrorCode.OVERLOADED), None),
    ("refused draining", refuse_with(ErrorCode.DRAINING), None),
    ("refused restarted", refuse_with(ErrorCode.WRONG_INCARNATION), None),
    ("refused without a reason", async_refuse_badly, None),
    ("refused known id", refuse_with(ErrorCode.DUPLICATE_REQUEST), KNOWN),
    ("refused poison", refuse_with(ErrorCode.POISON_REQUEST), POISON),
)
CRASHES = (
    "reset after the offer",
    "agent killed after the offer",
    "answer lost",
    "answer broken",
)


class OfferFaultTest(IsolatedAsyncioTestCase):
    """Guards against second dispatches and a wrong not_run."""

    async def test_faults_of_the_first_agent(self):
        for request_class, pool in (("quick", "models"), ("deposit", "shop")):
            for name, behaviour, expected in OFFER_FAULTS:
                with self.subTest(name, request_class=request_class):
                    agents = (
                        FakeAgent("agent-1", pool, behaviour),
                        FakeAgent("agent-2", pool),
                    )
                    async with GatewayBench(
                        *agents,
                        answer_timeout_s=PAUSE_S if "paused" in name else 30,
                    ) as bench:
                        status, body = await bench.async_post(
                            request_class, key="k"
                        )
                        self.assertEqual(
                            [1, int(expected is None)],
                            [len(agent.offers) for agent in agents],
                        )
                        if expected is None:
                            self.assertEqual(200, status)
                        else:
                            self.assertEqual(expected, get_error(body))
                            self.check_claim(bench, request_class, expected)
                        # Only a connection that ended is the sign of a crash.
                        self.assertEqual(
                            name in CRASHES, len(bench.components.poison) > 0
                        )

    async def test_silent_agent_is_told_to_cancel_repeatable_runs(self):
        for request_class, pool in (("quick", "models"), ("deposit", "shop")):
            with self.subTest(request_class):
                agent = FakeAgent("agent-1", pool, async_pause)
                async with GatewayBench(
                    agent, answer_timeout_s=PAUSE_S
                ) as bench:
                    await bench.async_post(request_class, key="k")
                    await bench.components.background.async_wait_idle()
                    self.assertEqual(
                        request_class == "quick", bool(agent.cancelled)
                    )

    def check_claim(self, bench, request_class, error):
        """Check that only a request that was not run frees its claim."""
        if request_class == "deposit":
            self.assertEqual(
                error[1] != Outcome.NOT_RUN, bool(bench.claims.claims)
            )

    async def test_agent_that_can_t_be_reached(self):
        for live, status in ((1, 200), (0, 502)):
            with self.subTest(live=live):
                agents = [FakeAgent("agent-1"), FakeAgent("agent-2")][
                    : live + 1
                ]
                async with GatewayBench(*agents) as bench:
                    await agents[0].async_stop()
                    answer = await bench.async_post()
                    self.assertEqual(status, answer[0])
                    self.assertEqual(live, bench.dispatch_count)
                    self.assertEqual(["agent-1"], bench.cluster.failures)
                    if not live:
                        self.assertEqual("not_run", get_error(answer[1])[1])

    async def test_offers_are_bounded_and_keep_their_id(self):
        agents = [
            FakeAgent(f"agent-{i}", behaviour=refuse_with(ErrorCode.DRAINING))
            for i in range(6)
        ]
        async with GatewayBench(*agents) as bench:
            _, body = await bench.async_post()
            self.assertEqual(("draining", "not_run"), get_error(body))
            offers = [offer for agent in agents for offer in agent.offers]
            self.assertEqual(3, len(offers))
            self.assertEqual(1, len({o["request_id"] for o in offers}))
            # The budget allows 10 retries, and 10% of the requests.
            for _ in range(30):
                await bench.async_post()
            self.assertLessEqual(bench.dispatch_count, 31 + 10 + 4)

    async def test_late_request_is_not_offered(self):
        class_fields = {"target": {"first_token_s": 0.000001}}
        agent = FakeAgent("agent-1")
        async with GatewayBench(
            agent, snapshot=create_snapshot(**class_fields)
        ) as bench:
            _, body = await bench.async_post("draft")
            self.assertEqual(
                ("target_unreachable", "not_run"), get_error(body)
            )
            self.assertEqual(0, bench.dispatch_count)


class StreamFaultTest(IsolatedAsyncioTestCase):
    """Guards against a broken stream that looks whole."""

    async def test_broken_stream_ends_with_an_error_event(self):
        async def async_break(agent, request, tail=b""):
            response = web.StreamResponse(
                headers=RAN | {"Content-Type": "text/event-stream"}
            )
            await response.prepare(request)
            await response.write(b"data: first\n\n" + tail)
            await agent.go_on.wait()
            request.transport.abort()
            return response

        async def async_break_partly(agent, request):
            return await async_break(agent, request, b"data: [DONE]")

        for name, behaviour in (
            ("after an event", async_break),
            ("in the last event", async_break_partly),
        ):
            with self.subTest(name):
                agent = FakeAgent("agent-1", behaviour=behaviour)
                other = FakeAgent("agent-2")
                async with GatewayBench(agent, other) as bench:
                    async with bench.post() as response:
                        data = await response.content.readuntil(b"\n\n")
                        self.assertEqual(b"data: first\n\n", data)
                        agent.go_on.set()
                        rest = b""
                        with self.assertRaises(ClientPayloadError):
                            while part := await response.content.readany():
                                rest += part
                    event, _, data = rest.partition(b"\ndata: ")
                    self.assertEqual(b"event: error", event)
                    self.assertEqual(BROKEN, get_error(json.loads(data)))
                    self.assertNotIn(b"[DONE]", rest)
                    self.assertEqual(1, bench.dispatch_count)
                    counts = bench.components.metrics.counts
                    self.assertNotIn("ok", counts)
                    self.assertEqual(1, counts["stream_broken"])

    async def test_broken_plain_stream_is_not_ended(self):
        async def async_break(agent, request):
            response = web.StreamResponse(headers=RAN)
            await response.prepare(request)
            await response.write(b"part")
            await agent.go_on.wait()
            request.transport.abort()
            return response

        agent = FakeAgent("agent-1", "shop", async_break)
        async with GatewayBench(agent) as bench:
            async with bench.post("lookup") as response:
                self.assertEqual(b"part", await response.content.readany())
                agent.go_on.set()
                with self.assertRaises(ClientPayloadError):
                    await response.read()

    async def test_agent_that_dies_after_the_answer(self):
        agents = FakeAgent("agent-1"), FakeAgent("agent-2")
        async with GatewayBench(*agents) as bench:
            self.assertEqual(200, (await bench.async_post())[0])
            await agents[0].async_stop()
            for _ in range(3):
                self.assertEqual(200, (await bench.async_post())[0])
            self.assertEqual(4, bench.dispatch_count)


class CallerGoneTest(IsolatedAsyncioTestCase):
    """Guards against abandoned runs, and cancelled deposits."""

    async def test_caller_goes(self):
        cases = (
            ("before the answer", "quick", "models", async_pause, True),
            ("in the stream", "quick", "models", async_stream_events, True),
            ("before the answer", "deposit", "shop", async_pause, False),
            ("in the stream", "deposit", "shop", async_stream_events, False),
        )
        for name, request_class, pool, behaviour, is_cancelled in cases:
            with self.subTest(name, request_class=request_class):
                agent = FakeAgent("agent-1", pool, behaviour)
                async with GatewayBench(agent) as bench:
                    post = create_task(
                        bench.async_post(request_class, key="k")
                    )
                    async with timeout(GUARD_S):
                        await agent.offered.wait()
                    handler = bench.gateway.handler
                    post.cancel()
                    await gather(post, return_exceptions=True)
                    async with timeout(GUARD_S):
                        await handler.async_wait_idle()
                        if is_cancelled:
                            await agent.cancel_seen.wait()
                        else:
                            agent.go_on.set()
                        await bench.gateway.executor.requests.async_wait_idle()
                    self.assertEqual(is_cancelled, bool(agent.cancelled))
                    self.assertEqual(1, bench.dispatch_count)
                    if not is_cancelled:
                        async with bench.post(request_class, key="k") as again:
                            self.assertEqual(200, again.status)
                        self.assertEqual(1, bench.dispatch_count)


class CrossingTest(IsolatedAsyncioTestCase):
    """Guards against the answer of another caller."""

    async def test_answers_in_another_order(self):
        agents = [
            FakeAgent("agent-1", behaviour=async_echo_in_reverse),
            FakeAgent("agent-2", behaviour=async_echo_in_reverse),
        ]
        async with GatewayBench(*agents) as bench:
            posts = [
                create_task(
                    bench.async_post(
                        customer=("north", "south")[i % 2],
                        key=f"key-{i // 2}",
                        body=b'{"number": %d}' % i,
                    )
                )
                for i in range(40)
            ]
            await async_wait_for(lambda: bench.dispatch_count == 40)
            for agent in agents:
                agent.go_on.set()
            for i, (status, body) in enumerate(await gather(*posts)):
                self.assertEqual((200, {"number": i}), (status, body))
            ids = [o["request_id"] for a in agents for o in a.offers]
            self.assertEqual(40, len(set(ids)))


async def async_echo_in_reverse(agent, request):
    """Answer the last offer first, each with its own body."""
    index = len(agent.bodies)
    body = agent.bodies[-1]
    await agent.go_on.wait()
    await async_wait_for(lambda: agent.answered == len(agent.bodies) - index)
    agent.answered += 1
    return web.Response(body=body, headers=RAN)
