"""Tests of requests from the caller through the gateway to an agent."""

from __future__ import annotations

from asyncio import open_connection
from asyncio import timeout
from dataclasses import replace
import json
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

from aiohttp import web

from azurewick.errors import ErrorCode
from azurewick.gateway.agent_client import parse_load
from azurewick.gateway.context import digest
from azurewick.gateway.context import RequestIds
from azurewick.models import LoadReport
from tests.gateway.builders import ANSWER
from tests.gateway.builders import async_reset
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import HANG_TIMEOUT_S
from tests.gateway.builders import refuse_with


class PassThroughTest(IsolatedAsyncioTestCase):
    """Guards against requests and answers changed by the gateway."""

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
            (server,) = status["pools"]["models"]["servers"]
            self.assertEqual("agent-1-1", server["load"]["incarnation"])
            async with bench.session.get("/ready") as response:
                self.assertEqual(200, response.status)

    async def test_service_paths_accept_any_method_and_path(self):
        async def async_created(agent, request):
            return web.Response(
                status=201,
                body=b"\x00\xff",
                headers={
                    "X-Azurewick-Outcome": "ran",
                    "Location": "/orders/1",
                    "Content-Type": "image/png",
                    "Set-Cookie": "a=b",
                },
            )

        agent = FakeAgent("agent-1", "shop", async_created)
        async with GatewayBench(agent) as bench:
            for method, path in (
                ("GET", "/orders?page=2&q=a%20b"),
                ("PUT", "/"),
                ("DELETE", "/orders/%2e%2e/1"),
                ("PATCH", "//orders"),
                ("HEAD", "/orders"),
            ):
                with self.subTest(method):
                    async with bench.session.request(
                        method,
                        f"/services/shop{path}",
                        headers={
                            "Authorization": "Bearer north-key",
                            "X-Request-Class": "lookup",
                        },
                    ) as response:
                        body = await response.read()
                    self.assertEqual(
                        b"" if method == "HEAD" else b"\x00\xff", body
                    )
                    self.assertEqual(201, response.status)
                    self.assertEqual("image/png", response.content_type)
                    self.assertEqual("/orders/1", response.headers["Location"])
                    self.assertNotIn("Set-Cookie", response.headers)
                    self.assertEqual(method, agent.offers[-1]["method"])

    async def test_expect_100_continue(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            reader, writer = await open_connection(
                "127.0.0.1", bench.gateway.port
            )
            writer.write(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer north-key\r\n"
                b"X-Request-Class: quick\r\n"
                b"Expect: 100-continue\r\nConnection: close\r\n"
                b"Content-Length: 2\r\n\r\n"
            )
            async with timeout(HANG_TIMEOUT_S):
                answer = await reader.readuntil(b"\r\n\r\n")
                self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", answer)
                writer.write(b"{}")
                answer = await reader.read()
            writer.close()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"))
            self.assertTrue(answer.endswith(ANSWER))


class VersionTest(IsolatedAsyncioTestCase):
    """Guards against shed requests that another version could run.

    All servers of the chosen version refuse; the request then goes to the
    fallback version, if the selector names one.
    """

    async def test_falls_back_only_to_version_named_by_selector(self):
        for other, status in (("v1", 200), (None, 503)):
            with self.subTest(other=other):
                agents = (
                    FakeAgent("agent-1"),
                    FakeAgent(
                        "agent-2", behaviour=refuse_with(ErrorCode.DRAINING)
                    ),
                )
                async with GatewayBench(*agents) as bench:
                    bench.cluster.servers["agent-2"] = replace(
                        agents[1].server, version="v2"
                    )
                    versions = bench.components.versions
                    versions.choose = lambda offer, versions, now_s: "v2"
                    versions.choose_fallback = (
                        lambda offer, refused, versions, other=other: other
                    )
                    self.assertEqual(status, (await bench.async_post())[0])
                    self.assertEqual(1, len(agents[1].offers))


class IncarnationTest(IsolatedAsyncioTestCase):
    """Guards against offers with the incarnation from before a restart.

    After a broken connection the agent may have restarted, so the gateway
    must send no incarnation until it has learned the new one.
    """

    async def test_offers_carry_incarnation_until_connection_breaks(self):
        agent = FakeAgent("agent-1")
        async with GatewayBench(agent) as bench:
            for _ in range(2):
                await bench.async_post()
            good, agent.behaviour = agent.behaviour, async_reset
            await bench.async_post()
            agent.behaviour = good
            await bench.async_post()
            self.assertEqual(
                ["", "agent-1-1", "agent-1-1", ""],
                [offer["incarnation"] for offer in agent.offers],
            )


class LoadReportAndIdTest(TestCase):
    """Guards against malformed load reports and colliding ids or digests."""

    def test_load_reports(self):
        good = {"backend_server": "a", "incarnation": "1", "version": "v"}
        cases = (
            ({}, None),
            (good, LoadReport(**good)),
            (
                good | {"running": 2, "unknown": 1},
                LoadReport(running=2, **good),
            ),
            (good | {"running": "x"}, None),
            (good | {"queued_work_s": float("nan")}, None),
            (good | {"age_s": [1]}, None),
            ([good], None),
        )
        for document, expected in cases:
            with self.subTest(document=document):
                response = SimpleNamespace(
                    headers={"X-Azurewick-Load": json.dumps(document)}
                )
                self.assertEqual(expected, parse_load(response))

    def test_digest_depends_on_part_boundaries(self):
        self.assertNotEqual(digest("ab", "c"), digest("a", "bc"))
        self.assertEqual(32, len(digest("a", b"b")))

    def test_request_ids_differ_between_incarnations(self):
        ids = [RequestIds("gateway-1") for _ in range(2)]
        names = {item.create() for item in ids for _ in range(100)}
        self.assertEqual(200, len(names))
        self.assertEqual("g.i.1", RequestIds("g", "i").create())
