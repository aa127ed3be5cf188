"""Tests of the detection of servers that crash under their requests."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from azurewick.entry.backends import Backend
from azurewick.entry.crash_watch import CrashWatch
from azurewick.entry.crash_watch import PROBE_DELAY_S
from azurewick.entry.exchange import BrokenAnswerError
from azurewick.entry.models import PromptPart
from azurewick.entry.models import RouteKind
from azurewick.errors import AzurewickError
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.connect_probe import async_is_refused
from tests.entry.builders import answer
from tests.entry.builders import build_entry
from tests.entry.builders import build_route
from tests.entry.builders import ExchangeHarness
from tests.entry.builders import free_port
from tests.entry.builders import replies
from tests.entry.builders import ScriptedServer

PARTS = (PromptPart(name="p1", tokens=60), PromptPart(name="own", tokens=9))
STREAM = build_route(kind=RouteKind.STREAM, max_attempts=1)


class CrashWatchTest(IsolatedAsyncioTestCase):
    """Guards against crashes that are missed, or seen where there are none."""

    def setUp(self):
        self.crashes = []
        self.refused = True
        self.probes = 0
        self.watch = CrashWatch(
            self.crashes.append, monotonic_s, self.async_is_refused
        )
        self.backend = Backend(entry=build_entry(started_ms=7))

    async def async_is_refused(self, address, timeout_s):
        self.probes += 1
        return self.refused

    async def test_requests_lost_together_are_one_crash(self):
        self.watch.record_lost(self.backend, ("part:a",))
        self.watch.record_lost(self.backend, ("part:b",))
        await asyncio.sleep(2 * PROBE_DELAY_S)
        self.watch.record_lost(self.backend, ("part:c",))
        self.assertEqual(1, self.probes)
        self.assertEqual(
            [{"part:a", "part:b"}, {"part:c"}],
            [set(crash.traits) for crash in self.crashes],
        )
        self.assertEqual({"s1/7"}, {c.server_run for c in self.crashes})

    async def test_server_that_still_accepts_has_not_crashed(self):
        self.refused = False
        self.watch.record_lost(self.backend, ("part:a",))
        await asyncio.sleep(2 * PROBE_DELAY_S)
        self.assertEqual([], self.crashes)

    async def test_closed_port_refuses_and_open_one_does_not(self):
        self.assertTrue(
            await async_is_refused(f"127.0.0.1:{free_port()}", 1.0)
        )
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        self.assertFalse(await async_is_refused(f"127.0.0.1:{port}", 1.0))
        server.close()


class LostRequestTest(IsolatedAsyncioTestCase):
    """Guards against a crash that names no part of the request it hit."""

    async def async_run(self, script):
        self.server = ScriptedServer("s1", script)
        self.harness = ExchangeHarness([self.server])
        await self.harness.async_start()
        self.addAsyncCleanup(self.harness.async_stop)
        exchange = self.harness.build(STREAM, prompt_parts=PARTS)
        try:
            await exchange.async_run()
        except (AzurewickError, BrokenAnswerError):
            pass
        await asyncio.sleep(3 * PROBE_DELAY_S)

    async def test_crashed_server_is_recorded_with_the_shared_part(self):
        async def async_crash(reader, writer):
            await self.server.async_stop()

        await self.async_run(async_crash)
        traits = {item.trait for item in self.harness.crash_guard.suspicions()}
        self.assertIn("part:p1", traits)
        self.assertNotIn("part:own", traits)

    async def test_broken_answer_of_a_running_server_is_no_crash(self):
        await self.async_run(replies(answer(length=50)))
        self.assertEqual([], self.harness.crash_guard.suspicions())
