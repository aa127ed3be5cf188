"""Contract tests of the plain service stand-in and of process mode."""

from __future__ import annotations

from asyncio import create_subprocess_exec
from asyncio import timeout
from asyncio.subprocess import PIPE
import json
import sys
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientError
from aiohttp import ClientSession

from fakes.plain_service import PlainService
from tests.fakes.builders import build_chat
from tests.fakes.builders import FakeTestCase


class PlainServiceTest(FakeTestCase):
    """Guards against a stand-in that counts runs wrongly.

    The demonstration and the process tests read these counts to find calls
    that ran more than once.
    """

    async def test_runs_are_counted_by_idempotency_key(self):
        await self.async_start_server(PlainService())
        key = {"Idempotency-Key": "k"}
        for method, path, headers in (
            ("POST", "/deposits", key),
            ("POST", "/reservations", key),
            ("GET", "/deposits", key),
            ("PATCH", "/any/path?x=1", None),
        ):
            status, answer = await self.async_call(
                method, path, {"a": 1}, headers
            )
            self.assertEqual((200, path), (status, answer["path"]))
        _, counted = await self.async_call("GET", "/admin/runs")
        self.assertEqual({"runs": {"k": 2}, "calls": 4}, counted)

    async def test_failures_before_and_after_the_effect(self):
        service = PlainService()
        await self.async_start_server(service)
        faults = {"fail_before_effect": 1, "fail_after_effect": 1}
        await self.async_call("POST", "/admin/faults", faults)
        key = {"Idempotency-Key": "k"}
        status, _ = await self.async_call("POST", "/deposits", {}, key)
        self.assertEqual((500, 0), (status, service.runs["k"]))
        with self.assertRaises(ClientError):
            await self.async_call("POST", "/deposits", {}, key)
        self.assertEqual(1, service.runs["k"])


class ProcessTest(IsolatedAsyncioTestCase):
    """Guards against a stand-in that can't be run as a process.

    The benchmarks and the demonstration start stand-ins as processes and
    stop them by SIGTERM.
    """

    async def async_start_process(self, name):
        process = await create_subprocess_exec(
            sys.executable, "-m", f"fakes.{name}", "--port", "0", stdout=PIPE
        )
        line = json.loads(await process.stdout.readline())
        self.assertTrue(line["ready"])
        return process, f"http://127.0.0.1:{line['port']}"

    async def test_ready_line_and_end_on_sigterm(self):
        for name in ("object_api", "model_engine", "plain_service"):
            with self.subTest(name=name):
                async with timeout(60):
                    process, _ = await self.async_start_process(name)
                    process.terminate()
                    self.assertEqual(0, await process.wait())

    async def test_poison_request_ends_the_engine_process(self):
        async with timeout(60):
            process, url = await self.async_start_process("model_engine")
            async with ClientSession(base_url=url) as session:
                faults = {"crash_marker": "XX"}
                await session.post("/admin/faults", json=faults)
                with self.assertRaises(ClientError):
                    body = build_chat("XX")
                    await session.post("/v1/chat/completions", json=body)
            self.assertEqual(70, await process.wait())
