"""Tests that requests are counted when they are sent to a server."""

from __future__ import annotations

import asyncio

from azurewick.entry.send_limits import NoSendLimits
from tests.entry.builders import answer
from tests.entry.builders import async_never_answer
from tests.entry.builders import build_route
from tests.entry.builders import replies
from tests.entry.builders import reset
from tests.entry.test_exchange import ExchangeCase


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
