"""Tests that requests are counted when they are sent to a server."""

from __future__ import annotations

import asyncio

from azurewick.entry.send_limits import NoSendLimits
from azurewick.helpers.clock import monotonic_s
from tests.entry.builders import answer
from tests.entry.builders import async_never_answer
from tests.entry.builders import build_route
from tests.entry.builders import replies
from tests.entry.builders import reset
from tests.entry.instance_case import EntryInstanceCase
from tests.entry.test_exchange import ExchangeCase
from tests.platform.builders import CONFIGURATION


class RecordingLimits(NoSendLimits):
    """Limits that refuse sends to some servers, and record what they hear."""

    def __init__(self, *refused):
        self.refused = refused
        self.sent = []
        self.failed = []
        self.answered = []

    def try_send(self, entry, now_s):
        if entry.name in self.refused:
            return False
        self.sent.append(entry.name)
        return True

    def record_failure(self, entry, now_s):
        self.failed.append(entry.name)

    def record_success(self, entry, sent_s, now_s):
        self.answered.append(entry.name)


class ColdSendTest(ExchangeCase):
    """Guards against requests that pass the check of a cold server's budget.

    A request may wait for its connection while others use up the budget.
    """

    async def test_refused_send_goes_elsewhere_without_a_retry(self):
        limits = RecordingLimits("s1")
        await self.async_run(
            build_route(max_attempts=1),
            replies(answer()),
            replies(answer()),
            retries=0,
            send_limits=limits,
        )
        self.assertEqual([0, 1], self.dispatches)
        self.assertEqual(["s2"], limits.sent)
        self.assertEqual(["s2"], limits.answered)
        self.assertEqual([], limits.failed)
        counts = [
            (server.in_flight, server.sent_in_flight)
            for server in self.harness.backends
        ]
        self.assertEqual([(0, 0), (0, 0)], counts)

    async def test_refused_and_lost_connections_show_a_restart(self):
        async def async_reset(reader, writer):
            reset(writer)

        limits = RecordingLimits()
        await self.async_run(
            build_route(max_attempts=3),
            None,
            async_reset,
            replies(answer()),
            send_limits=limits,
        )
        self.assertEqual(["s1", "s2"], limits.failed)
        self.assertEqual(["s2", "s3"], limits.sent)

    async def test_silent_server_and_one_that_fails_show_none(self):
        limits = RecordingLimits()
        await self.async_run(
            build_route(max_attempts=3, target_s=0.2),
            async_never_answer,
            replies(answer("500 Internal Server Error")),
            replies(answer()),
            send_limits=limits,
        )
        self.assertEqual([], limits.failed)
        await asyncio.sleep(0)
        self.assertEqual(["s3"], limits.answered)


class ColdInstanceTest(EntryInstanceCase):
    """Guards against parts of an instance that bypass the budget."""

    async def async_start_cold(self, cold_left_ms: int) -> None:
        await self.async_start(
            replies(answer()), cold_overage=1.5, cold_allowance=5.0
        )
        services = [
            {**service, "cold_s": 3.0, "cold_per_s": 3}
            for service in CONFIGURATION["services"]
        ]
        self.put_configuration(2, services=services)
        entry = self.store.objects["servers"]["i-1"]["spec"]
        entry = {**entry, "cold_left_ms": cold_left_ms}
        self.store.put("servers", "i-1", entry)
        (backend,) = self.instance.state.registry
        await self.async_until(
            lambda: (
                self.instance.state.configuration.version == 2
                and backend.entry.cold_left_s == cold_left_ms / 1000
            )
        )

    async def async_send_many(self) -> list[int]:
        answers = await asyncio.gather(*(self.async_send() for _ in range(12)))
        return [status for status, _, _ in answers]

    async def test_many_requests_at_once_keep_to_the_budget(self):
        await self.async_start_cold(60_000)
        self.instance._directory.registered_s = monotonic_s() - 60.0
        await asyncio.sleep(0.5)
        self.assertEqual(1, self.instance.cold_servers.count)
        statuses = await self.async_send_many()
        sent = len(self.servers[0].requests)
        # They are refused after a second, in which 3 requests may be sent.
        self.assertIn(sent, range(3, 7))
        self.assertEqual([503] * (12 - sent), sorted(statuses)[sent:])

    async def test_warm_server_has_no_budget(self):
        await self.async_start_cold(0)
        self.assertEqual([200] * 12, await self.async_send_many())
