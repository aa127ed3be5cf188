"""Tests of failing routes, rolls under faults and limits of waiting."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import timeout
from unittest import TestCase

from azurewick.claims.models import ClaimKind
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome
from bench.memory_store import StoreData
from bench.virtual_time import run_virtual
from tests.claims.builders import EPOCH_S
from tests.claims.builders import Fault
from tests.claims.builders import Gateway
from tests.claims.builders import KEY
from tests.claims.builders import store_error

LEAVING = (Fault.KILLED_BEFORE, Fault.KILLED_AFTER, Fault.DELAYED)


class FixedRoute:
    """Way to a fixed gateway; the answer is lost after the effect."""

    def __init__(self, loses_answer=False):
        self.loses_answer = loses_answer
        self.target = None

    def writer(self, shard):
        return "peer"

    async def async_apply(self, writer, shard, operations):
        if self.target is None:
            raise store_error(Outcome.NOT_RUN)
        decisions = await self.target.claims.async_apply(operations)
        if self.loses_answer:
            raise store_error(Outcome.NOT_RUN)
        return decisions


class RouteTest(TestCase):
    """Guards against a false not_run and endless passing on."""

    def test_unreachable_writer_is_bridged(self):
        async def async_run():
            gateway = Gateway("gw-1/a", StoreData(), route=FixedRoute())
            decision = await gateway.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())

    def test_lost_answer_of_the_writer_is_unknown_and_released(self):
        async def async_run():
            data = StoreData()
            route = FixedRoute(loses_answer=True)
            route.target = Gateway("peer/a", data)
            # The store is down for the gateway itself, not for the writer.
            gateway = Gateway("gw-1/a", data, {0: Fault.OUTAGE}, route=route)
            with self.assertRaises(AzurewickError) as caught:
                await gateway.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
            await sleep(30.0)
            other = Gateway("gw-2/a", data)
            decision = await other.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())

    def test_two_gateways_that_name_each_other(self):
        async def async_run():
            data = StoreData()
            routes = [FixedRoute(), FixedRoute()]
            members = [
                Gateway(f"gw-{i}/a", data, route=routes[i]) for i in range(2)
            ]
            routes[0].target, routes[1].target = members[1], members[0]
            async with timeout(1.0):
                decision = await members[0].claims.async_claim(
                    KEY, "f", EPOCH_S
                )
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())


class ShardTest(TestCase):
    """Guards against lost segments, garbage and claims made too late."""

    def _listed(self, data):
        head = data.read("claims", "shard-000").spec
        names = {name for name, _, _ in head["segments"]}
        return names, {name for _, name in data.objects} - {"shard-000"}

    def test_segments_under_faults_of_each_call(self):
        # The first 60 answers of 1,000 bytes make the head roll: call 2
        # creates the segment and call 3 updates the head.
        async def async_run(call, fault):
            data = StoreData()
            gateway = Gateway("gw-1/a", data, {call: fault})
            keys = [f"{number:032x}" for number in range(60)]
            tasks = [
                create_task(gateway.async_request(key, b"a" * 1000))
                for key in keys
            ]
            await sleep(60.0)
            other = Gateway("gw-2/a", data)
            more = [f"{number:032x}" for number in range(100, 160)]
            await gather(
                *(other.async_request(key, b"a" * 1000) for key in more)
            )
            listed, stored = self._listed(data)
            self.assertTrue(listed)
            self.assertLessEqual(listed, stored)
            if fault not in (Fault.KILLED_BEFORE, Fault.KILLED_AFTER):
                more += keys
            # A killed process, or a segment that appears after it was given
            # up, leaves one segment that nobody lists.
            self.assertLessEqual(len(stored - listed), int(fault in LEAVING))
            for key in more[::5]:
                decision = await other.claims.async_claim(key, "f", EPOCH_S)
                self.assertIs(ClaimKind.REPLAY, decision.kind)
            for task in tasks:
                task.cancel()

        for call in (2, 3, 4):
            for fault in Fault:
                with self.subTest(call=call, fault=fault):
                    run_virtual(async_run(call, fault))

    def test_other_number_of_shards_is_refused(self):
        async def async_run():
            data = StoreData()
            first = Gateway("gw-1/a", data, shards=1)
            await first.claims.async_claim(KEY, "f", EPOCH_S)
            second = Gateway("gw-2/a", data, shards=2)
            with self.assertRaises(AzurewickError) as caught:
                await second.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(Outcome.NOT_RUN, caught.exception.outcome)

        run_virtual(async_run())

    def test_claim_that_waited_too_long_is_not_written(self):
        async def async_run():
            gateway = Gateway("gw-1/a", StoreData(), {1: Fault.PAUSED_AFTER})
            first = create_task(gateway.claims.async_claim(KEY, "f", EPOCH_S))
            await sleep(0.02)
            with self.assertRaises(AzurewickError) as caught:
                await gateway.claims.async_claim("1" * 32, "f", EPOCH_S)
            self.assertIs(Outcome.NOT_RUN, caught.exception.outcome)
            self.assertIs(ClaimKind.GRANTED, (await first).kind)
            self.assertEqual(1, gateway.data.calls["write"])

        run_virtual(async_run())
