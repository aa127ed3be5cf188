"""Tests of claims with faults at each call to the store, and with pairs."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import wait
from collections import Counter
from itertools import combinations
from itertools import product
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies

from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimKind
from azurewick.errors import Outcome
from bench.memory_store import StoreData
from bench.virtual_time import run_virtual
from tests.claims.builders import EPOCH_S
from tests.claims.builders import Fault
from tests.claims.builders import Gateway
from tests.claims.builders import KEY
from tests.claims.builders import LossyForwarder
from tests.claims.builders import make_gateways

# Without a fault a request makes three calls: it reads the head, writes the
# claim and writes the completion. A fault adds reads and writes.
CALL_NUMBERS = range(6)
SINGLE_FAULTS = tuple(product(CALL_NUMBERS, Fault))
FAULT_PAIRS = tuple(
    pair for pair in combinations(SINGLE_FAULTS, 2) if pair[0][0] != pair[1][0]
)


class FaultTableTest(TestCase):
    """Guards against a second run, a false not_run and a wrong answer.

    They come about when a call to the store fails, and the gateway takes a
    written claim for an unwritten one or the other way round.
    """

    async def _async_run(self, faults):
        data = StoreData()
        first = Gateway("first/a", data, dict(faults))
        others = make_gateways(2, data)
        first.start(body=b"first")
        await sleep(2.5)
        # The first resend meets the first request at any stage; the second
        # one comes 100 s later.
        others[0].start(body=b"second")
        await sleep(100.0)
        others[1].start(body=b"third")
        await sleep(100.0)
        for gateway in (first, *others):
            gateway.task.cancel()
        return first, others

    def _check(self, first, others):
        runs = [first.runs, *(other.runs for other in others)]
        self.assertLessEqual(sum(runs), 1, runs)
        for other in others:
            if other.result and other.result.kind is ClaimKind.REPLAY:
                self.assertIn(other.result.answer.body, (b"first", b"second"))
                self.assertEqual(1, sum(runs))
        if first.refusal is not None:
            self.assertEqual(0, first.runs)
            if first.refusal.outcome is Outcome.NOT_RUN:
                # Nothing was written, so the first resend is granted the key.
                self.assertEqual(1, others[0].runs)
        if first.result is not None and first.runs:
            self.assertIs(ClaimKind.GRANTED, first.result.kind)

    def test_each_fault_at_each_call(self):
        for fault in SINGLE_FAULTS:
            with self.subTest(fault=fault):
                self._check(*run_virtual(self._async_run([fault])))

    def test_pairs_of_faults(self):
        for pair in FAULT_PAIRS:
            try:
                self._check(*run_virtual(self._async_run(pair)))
            except AssertionError as err:
                raise AssertionError(f"faults {pair}") from err

    def test_outage_gives_not_run_and_lost_reply_is_released(self):
        for fault, outcome in (
            (Fault.OUTAGE, Outcome.NOT_RUN),
            (Fault.LOST, Outcome.UNKNOWN),
        ):
            with self.subTest(fault=fault):
                faults = {1: fault, 2: Fault.OUTAGE}
                first, others = run_virtual(self._async_run(faults.items()))
                self.assertIs(outcome, first.refusal.outcome)
                # After the outage the claim is released, so that a resend
                # runs without waiting until the claim expires.
                self.assertEqual(1, others[0].runs + others[1].runs)
                self.assertEqual(0, first.claims.deferred_count)


class InterleavingTest(TestCase):
    """Guards against a second run by races between gateways.

    Random delays, faults and forwarders give orders of calls that
    FaultTableTest doesn't reach.
    """

    @settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=strategies.integers(0, 2**32),
        gateways=strategies.integers(2, 3),
        fault_share=strategies.sampled_from((0.0, 0.1, 0.4)),
        uses_forwarder=strategies.booleans(),
    )
    def test_racing_gateways_run_a_key_at_most_once(
        self, seed, gateways, fault_share, uses_forwarder
    ):
        run_virtual(
            self._async_race(
                Random(seed), gateways, fault_share, uses_forwarder
            )
        )

    async def _async_race(self, random, count, fault_share, uses_forwarder):
        faults = [fault for fault in Fault if fault not in (Fault.OUTAGE,)]
        data = StoreData()
        keys = [KEY, "1" * 32]
        gateways = []
        forwarder = (
            LossyForwarder(gateways, random, fault_share)
            if uses_forwarder
            else None
        )
        gateways += [
            Gateway(
                f"gw-{i}/a",
                data,
                {
                    call: random.choice(faults)
                    for call in range(40)
                    if random.random() < fault_share
                },
                delay=lambda: random.choice((0.0, 0.001, 0.01, 0.2)),
                commit_interval_s=0.005,
                forwarder=forwarder,
            )
            for i in range(count)
        ]
        runs = Counter()
        tasks = []
        for gateway in gateways:
            for key in keys * 2:
                await sleep(random.choice((0.0, 0.01)))
                release = random.random() < 0.3
                tasks.append(
                    create_task(
                        gateway.async_request(key, b"x", release, runs)
                    )
                )
        await wait(tasks, timeout=100.0)
        self.assertLessEqual(max(runs.values(), default=0), 1, runs)


class GroupCommitTest(TestCase):
    """Guards against a write for each claim, and stale or oversized heads.

    Claims that are submitted together have to share a write, and settled
    ones have to leave the head before it reaches the limit of the store.
    """

    def test_claims_share_writes_and_other_fingerprint_mismatches(self):
        async def async_run():
            (gateway,) = make_gateways(1)
            keys = [f"{number:032x}" for number in range(200)]
            decisions = await gather(
                *(
                    gateway.claims.async_claim(key, "f", EPOCH_S)
                    for key in keys
                )
            )
            other = Gateway("gw-2/a", gateway.data)
            mismatch = await other.claims.async_claim(keys[0], "g", EPOCH_S)
            self.assertEqual(
                {ClaimKind.GRANTED}, {item.kind for item in decisions}
            )
            self.assertIs(ClaimKind.MISMATCH, mismatch.kind)
            self.assertLessEqual(gateway.data.calls["write"], 3)

        run_virtual(async_run())

    def test_flushed_claims_replay_and_values_stay_below_1_mb(self):
        async def async_run():
            data = StoreData()
            first, second = make_gateways(2, data)
            keys = [f"{number:032x}" for number in range(600)]
            for start in range(0, len(keys), 100):
                group = keys[start : start + 100]
                await gather(
                    *(first.async_request(key, b"a" * 1000) for key in group)
                )
            self.assertLess(data.largest_value_bytes, 1_000_000)
            self.assertGreater(len(data.objects), 2)
            for key in keys[::50]:
                decision = await second.claims.async_claim(key, "f", EPOCH_S)
                self.assertIs(ClaimKind.REPLAY, decision.kind)
                self.assertEqual(b"a" * 1000, decision.answer.body)
            await sleep(90_000.0)
            now_s = EPOCH_S + 90_000.0
            again = await second.claims.async_claim(keys[0], "g", now_s)
            self.assertIs(ClaimKind.GRANTED, again.kind)
            self.assertEqual(1, len(data.objects))

        run_virtual(async_run())

    def test_decision_without_a_write_is_made_on_a_fresh_head(self):
        async def async_run():
            first, second = make_gateways(2)
            await first.claims.async_claim(KEY, "f", EPOCH_S)
            before = await second.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.IN_PROGRESS, before.kind)
            answer = Answer(status=200, content_type="t", body=b"a")
            await first.claims.async_complete(KEY, answer, EPOCH_S)
            after = await second.claims.async_claim(KEY, "f", EPOCH_S)
            self.assertEqual(answer, after.answer)

        run_virtual(async_run())

    def test_large_answer_is_not_retained(self):
        async def async_run():
            (gateway,) = make_gateways(1)
            claims = gateway.claims
            await claims.async_claim(KEY, "f", EPOCH_S)
            answer = Answer(
                status=200, content_type="text/plain", body=bytes(16_385)
            )
            await claims.async_complete(KEY, answer, EPOCH_S)
            again = await claims.async_claim(KEY, "f", EPOCH_S)
            self.assertIs(ClaimKind.NOT_RETAINED, again.kind)

        run_virtual(async_run())
