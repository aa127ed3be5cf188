"""Tests of slot grants between instances' parts, with real datagrams."""

from __future__ import annotations

import asyncio
from random import Random
import socket
from unittest import IsolatedAsyncioTestCase

from azurewick.entry.backends import Backend
from azurewick.entry.broker_election import Group
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.gossip import PeerGossip
from azurewick.entry.grant_dispatcher import GrantDispatcher
from azurewick.entry.instances import PeerInstance
from azurewick.entry.peers import PeerReport
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.util.decaying_rate import DecayingRate
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers
from tests.entry.builders import build_placement
from tests.entry.builders import free_port
from tests.entry.grants_model import build_grants

NAMES = ("e1", "e2", "e3")
GROUP = Group("models", "home", 0)


class InstanceParts:
    """Reports, slot grants and dispatcher of one instance."""

    def __init__(self, name: str):
        self.name = name
        self.peers = build_peers(name, *NAMES)
        self.placement = build_placement(self.peers)
        self.backends = [
            Backend(entry=build_entry(server, slots=1))
            for server in ("s1", "s2")
        ]
        address = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
        self.own = PeerInstance(address=address, region="home")
        self.grants = build_grants(
            self,
            {"north": "home"},
            Random(1),
            incarnation=7,
            send=lambda target, message: self.gossip.send_message(
                target, message
            ),
            call_later=lambda delay_s, run: (
                asyncio.get_running_loop().call_later(delay_s, run)
            ),
            clock=monotonic_s,
        )
        self.gossip = PeerGossip(
            self.own,
            self.build_report,
            self.handle_report,
            own_name=name,
            on_message=self.grants.handle,
        )
        rate = DecayingRate(1.0)
        local = Dispatcher(
            lambda demand: self.backends, self.placement, rate, monotonic_s
        )
        self.dispatcher = GrantDispatcher(
            "models", local, self.grants, rate, monotonic_s
        )

    def build_report(self, sequence: int) -> PeerReport:
        return PeerReport(
            name=self.name,
            incarnation=7,
            sequence=sequence,
            in_flight={b.name: b.in_flight for b in self.backends},
            processor_share=1.0,
        )

    def handle_report(self, report: PeerReport) -> None:
        if self.peers.record_report(report, monotonic_s()) is not None:
            self.grants.record_report(report, monotonic_s())

    def acquire(self, wait_s=3.0, **changes) -> asyncio.Task[Backend]:
        now_s = monotonic_s()
        demand = build_demand(
            target_s=now_s + wait_s, deadline_at_s=now_s + 15.0, **changes
        )
        return asyncio.create_task(self.dispatcher.async_acquire(demand))


class SlotDatagramsTest(IsolatedAsyncioTestCase):
    """Guards against requests that hang or get slots that are in use."""

    async def asyncSetUp(self):
        self.instances = {name: InstanceParts(name) for name in NAMES}
        for instance in self.instances.values():
            await instance.gossip.async_start()
            self.addAsyncCleanup(instance.gossip.async_stop)
        for instance in self.instances.values():
            others = {
                name: other.own
                for name, other in self.instances.items()
                if name != instance.name
            }
            instance.gossip.set_peers(others)
            instance.grants.election.set_peers(dict.fromkeys(others, "home"))
        await self.async_until(
            lambda: all(
                len(instance.peers.processor_shares(monotonic_s())) == 2
                for instance in self.instances.values()
            )
        )
        first = self.instances["e1"].grants.election
        self.broker = self.instances[first.broker(GROUP, monotonic_s())]
        self.askers = [
            instance
            for instance in self.instances.values()
            if instance is not self.broker
        ]

    async def async_until(self, condition, timeout_s=4.0):
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def in_flight(self) -> int:
        return sum(
            backend.in_flight
            for instance in self.instances.values()
            for backend in instance.backends
        )

    async def async_fill(self) -> tuple[Backend, Backend]:
        """Use both slots, one of the broker and one of the first asker."""
        return await self.broker.acquire(), await self.askers[0].acquire()

    async def test_slots_go_to_the_most_urgent_request_of_all(self):
        own, other = await self.async_fill()
        self.assertNotEqual(own.name, other.name)
        modest = self.askers[0].acquire(rank=(1, 0))
        urgent = self.askers[1].acquire()
        await self.async_until(lambda: self.broker.grants.broker.waiting == 2)
        self.assertEqual(2, self.in_flight())
        self.broker.dispatcher.release(own)
        self.assertEqual(own.name, (await urgent).name)
        self.assertFalse(modest.done())
        self.askers[0].dispatcher.release(other)
        self.assertEqual(other.name, (await modest).name)
        self.assertEqual(2, self.in_flight())

    async def test_ended_waits_keep_no_slot(self):
        own, other = await self.async_fill()
        late = self.askers[1].acquire(wait_s=0.3)
        cancelled = self.askers[0].acquire()
        await self.async_until(lambda: self.broker.grants.broker.waiting == 2)
        cancelled.cancel()
        with self.assertRaises(AzurewickError) as caught:
            await late
        self.assertIs(ErrorCode.OVERLOADED, caught.exception.code)
        await self.async_until(lambda: not self.broker.grants.broker.waiting)
        self.broker.dispatcher.release(own)
        self.askers[0].dispatcher.release(other)
        first = await self.askers[1].acquire()
        second = await self.askers[1].acquire()
        self.assertEqual({"s1", "s2"}, {first.name, second.name})
        self.assertEqual(2, self.in_flight())

    async def test_requests_at_an_ended_broker_go_on(self):
        await self.async_fill()
        waiting = self.askers[1].acquire()
        await self.async_until(lambda: self.broker.grants.broker.waiting == 1)
        # It neither receives nor sends any more, as an ended process.
        self.broker.gossip.set_peers({})
        held = [b for b in self.askers[0].backends if b.in_flight]
        self.askers[0].dispatcher.release(held[0])
        backend = await waiting
        self.assertEqual(1, backend.in_flight)

    async def test_release_after_the_stop_of_the_reports_is_no_error(self):
        _, other = await self.async_fill()
        await self.askers[0].gossip.async_stop()
        await asyncio.sleep(0.01)
        self.askers[0].dispatcher.release(other)
        self.assertEqual(0, other.in_flight)

    async def test_a_server_that_the_asker_can_not_use_is_returned(self):
        asker = self.askers[0]
        # Ejected after the ask has been sent.
        waiting = asker.acquire()
        await asyncio.sleep(0)
        for backend in asker.backends:
            if backend.name == "s1":
                backend.ejected_until_s = monotonic_s() + 8.0
        self.assertEqual("s2", (await waiting).name)
        taken = await self.askers[1].acquire()
        self.assertEqual("s1", taken.name)
