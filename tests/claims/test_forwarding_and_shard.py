"""Tests of failed forwarding, flushes with faults and write time-outs."""

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

FAULTS_LEAVING_SEGMENT = (
    Fault.KILLED_BEFORE,
    Fault.KILLED_AFTER,
    Fault.DELAYED,
)


class FixedForwarder:
    """Forwarder to target, which is unreachable while it is None.

    With loses_answer, the reply is lost after the effect.
    """

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


class ForwardingTest(TestCase):
    """Guards against a false not_run and endless forwarding.

    A forwarder may report not_run although the writer has written the claim.
    Two gateways that each take the other for the writer must not send an
    operation back and forth.
    """

    def test_gateway_writes_itself_when_writer_is_unreachable(self):
        async def async_run():
            gateway = Gateway(
                "gw-1/a", StoreData(), forwarder=FixedForwarder()
            )
            decision = await gateway.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())

    def test_lost_reply_of_writer_is_unknown_and_claim_is_released(self):
        async def async_run():
            data = StoreData()
            forwarder = FixedForwarder(loses_answer=True)
            forwarder.target = Gateway("peer/a", data)
            # The store is down for this gateway, but not for the writer.
            gateway = Gateway(
                "gw-1/a", data, {0: Fault.OUTAGE}, forwarder=forwarder
            )
            with self.assertRaises(AzurewickError) as caught:
                await gateway.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
            await sleep(30.0)
            other = Gateway("gw-2/a", data)
            decision = await other.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())

    def test_gateways_that_forward_to_each_other_do_not_loop(self):
        async def async_run():
            data = StoreData()
            forwarders = [FixedForwarder(), FixedForwarder()]
            gateways = [
                Gateway(f"gw-{i}/a", data, forwarder=forwarders[i])
                for i in range(2)
            ]
            forwarders[0].target, forwarders[1].target = (
                gateways[1],
                gateways[0],
            )
            async with timeout(1.0):
                decision = await gateways[0].claims.async_claim(
                    KEY, "f", EPOCH_S
                )
            self.assertIs(ClaimKind.GRANTED, decision.kind)

        run_virtual(async_run())


class ShardTest(TestCase):
    """Guards against lost or orphaned segments and expired operations.

    A fault between the creation of a segment and the update of the head may
    lose its claims or leave a segment that no head lists. A slow write may
    delay other claims until their callers have given up.
    """

    def _listed_and_stored(self, data):
        head = data.read("claims", "shard-000").spec
        names = {name for name, _, _ in head["segments"]}
        return names, {name for _, name in data.objects} - {"shard-000"}

    def test_flush_with_each_fault_at_each_call(self):
        # 60 answers of 1,000 bytes exceed the flush threshold: call 2
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
            listed, stored = self._listed_and_stored(data)
            self.assertTrue(listed)
            self.assertLessEqual(listed, stored)
            if fault not in (Fault.KILLED_BEFORE, Fault.KILLED_AFTER):
                more += keys
            # A killed process, or a delayed creation that takes effect after
            # the segment was given up, leaves one orphaned segment.
            self.assertLessEqual(
                len(stored - listed), int(fault in FAULTS_LEAVING_SEGMENT)
            )
            for key in more[::5]:
                decision = await other.claims.async_claim(key, "f", EPOCH_S)
                self.assertIs(ClaimKind.REPLAY, decision.kind)
            for task in tasks:
                task.cancel()

        for call in (2, 3, 4):
            for fault in Fault:
                with self.subTest(call=call, fault=fault):
                    run_virtual(async_run(call, fault))

    def test_head_of_another_shard_count_is_refused(self):
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
