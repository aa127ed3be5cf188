"""Tests of the assignment of slots to waiting requests."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import Dispatcher
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.util.decaying_rate import DecayingRate
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers
from tests.entry.builders import build_placement


class DispatcherTest(IsolatedAsyncioTestCase):
    """Guards against slots that are lost or assigned to ended requests.

    A waiter may be cancelled or time out just before or after it has been
    assigned a slot.
    """

    async def asyncSetUp(self):
        self.backend = Backend(entry=build_entry(slots=1))
        self.dispatcher = Dispatcher(
            lambda demand: [self.backend],
            build_placement(build_peers("e1", "e1")),
            DecayingRate(1.0),
            monotonic_s,
        )

    def start(self, wait_s: float = 5.0) -> asyncio.Task[Backend]:
        now_s = monotonic_s()
        demand = build_demand(
            target_s=now_s + wait_s, deadline_at_s=now_s + 15.0
        )
        return asyncio.create_task(self.dispatcher.async_acquire(demand))

    async def test_slot_goes_to_the_next_waiter(self):
        await self.start()
        waiting = self.start()
        await asyncio.sleep(0.01)
        self.assertEqual(1, self.dispatcher.waiting)
        self.dispatcher.release(self.backend)
        self.assertIs(self.backend, await waiting)
        self.assertEqual(1, self.backend.in_flight)

    async def test_cancelled_waiter_gets_no_slot(self):
        # The cancelled waiter stays in the queue until its task runs again.
        await self.start()
        cancelled, waiting = self.start(), self.start()
        await asyncio.sleep(0.01)
        cancelled.cancel()
        self.dispatcher.release(self.backend)
        self.assertIs(self.backend, await waiting)
        with self.assertRaises(asyncio.CancelledError):
            await cancelled
        self.assertEqual(1, self.backend.in_flight)
        self.dispatcher.release(self.backend)
        self.assertEqual(0, self.backend.in_flight)

    async def test_slot_of_a_waiter_cancelled_right_after_is_returned(self):
        await self.start()
        waiting = self.start()
        await asyncio.sleep(0.01)
        self.dispatcher.release(self.backend)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(0, self.backend.in_flight)

    async def test_waiter_is_refused_when_its_time_is_over(self):
        await self.start()
        with self.assertRaises(AzurewickError) as caught:
            await self.start(0.15)
        self.assertEqual(ErrorCode.OVERLOADED, caught.exception.code)
        self.assertEqual(0, self.dispatcher.waiting)
        self.assertEqual(1, self.backend.in_flight)

    async def test_begun_stream_waits_for_a_slot_and_goes_first(self):
        """It was refused by a prediction, and what had run was lost."""
        await self.start()
        now_s = monotonic_s()
        started = build_demand(
            is_started=True, target_s=now_s, deadline_at_s=now_s + 15.0
        )
        waiting = [self.start() for _ in range(3)]
        waiting.append(
            asyncio.create_task(self.dispatcher.async_acquire(started))
        )
        await asyncio.sleep(0.01)
        self.dispatcher.release(self.backend)
        await asyncio.sleep(0.01)
        self.assertTrue(waiting[-1].done())
        for task in waiting[:-1]:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    async def test_begun_stream_ends_at_once_without_another_server(self):
        """Its caller waited for 2 s for servers that had all been tried."""
        now_s = monotonic_s()
        demand = build_demand(
            is_started=True,
            excluded=frozenset({self.backend.name}),
            target_s=now_s,
            deadline_at_s=now_s + 15.0,
        )
        with self.assertRaises(AzurewickError) as caught:
            await self.dispatcher.async_acquire(demand)
        self.assertIn("no other server", str(caught.exception))
