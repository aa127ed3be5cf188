"""Tests of configuration changes by operators."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from azurewick.configuration.coordinator import ConfigurationCoordinator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.helpers.clock import monotonic_s
from tests.control.builders import Cluster
from tests.control.builders import SilentServer
from tests.membership.builders import async_until
from tests.membership.builders import configuration_spec
from tests.membership.builders import gateway_spec
from tests.store.builders import MemoryStore

CONFIGURATION_KEY = ("configurations", "fleet")


class ApplyTest(IsolatedAsyncioTestCase):
    """Guards against a lost, repeated or silently overwritten change.

    Operators may change one revision at the same time, and the store's
    answer to a write may get lost.
    """

    def setUp(self):
        self.store = MemoryStore()

    def _build(self):
        return ConfigurationCoordinator(self.store, monotonic_s, Random(1))

    async def test_invalid_spec_is_not_written(self):
        with self.assertRaises(AzurewickError) as caught:
            await self._build().async_apply({"pools": 1}, 0, "one")
        self.assertEqual(
            ErrorCode.INVALID_CONFIGURATION, caught.exception.code
        )
        self.assertEqual([], self.store.calls)

    async def test_only_one_of_concurrent_changes_is_applied(self):
        operators = [self._build() for _ in range(5)]
        results = await asyncio.gather(
            *(
                operator.async_apply(
                    configuration_spec(), 0, f"operation-{index}"
                )
                for index, operator in enumerate(operators)
            ),
            return_exceptions=True,
        )
        rejected = [
            result for result in results if isinstance(result, AzurewickError)
        ]
        self.assertEqual(4, len(rejected))
        applied_id = self.store.objects[CONFIGURATION_KEY].status[
            "operations"
        ][-1]
        for error in rejected:
            self.assertEqual(
                (ErrorCode.STORE_CONFLICT, Outcome.NOT_RUN),
                (error.code, error.outcome),
            )
            self.assertIn(applied_id, error.message)

    async def test_lost_answer_is_resolved_by_reading_back(self):
        self.store.lose_answers = 1
        result = await self._build().async_apply(
            configuration_spec(), 0, "one"
        )
        self.assertEqual((1, False), (result.revision, result.superseded))
        await self._build().async_apply(configuration_spec(2), 1, "two")
        again = await self._build().async_apply(configuration_spec(), 0, "one")
        self.assertEqual((2, True), (again.revision, again.superseded))
        self.assertEqual(2, self.store.version)

    async def test_outage_after_a_lost_answer_has_unknown_outcome(self):
        coordinator = self._build()
        for lose, outcome in ((0, Outcome.NOT_RUN), (1, Outcome.UNKNOWN)):
            with self.subTest(outcome):
                self.store.lose_answers = lose
                self.store.set_down(not lose)
                task = asyncio.create_task(
                    coordinator.async_apply(configuration_spec(), 0, "one")
                )
                if lose:
                    await async_until(lambda: not self.store.lose_answers)
                    self.store.set_down(True)
                with self.assertRaises(AzurewickError) as caught:
                    await task
                self.assertEqual(outcome, caught.exception.outcome)

    async def test_in_force_counts_gateways(self):
        cluster = Cluster(self)
        self.store = cluster.store
        coordinator = self._build()
        result = await coordinator.async_apply(configuration_spec(), 0, "one")
        await cluster.async_add("gateway-0")
        report = await coordinator.async_wait_in_force(result.revision, 20.0)
        self.assertEqual((1, True), (report.in_force, report.is_complete))
        silent = SilentServer()
        address = await silent.async_start()
        self.addCleanup(silent.server.close)
        self.store.put("instances", "frozen", gateway_spec(address))
        report = await coordinator.async_wait_in_force(10**6, 0.0)
        self.assertEqual(
            (0, ("gateway-0",), ("frozen",)),
            (report.in_force, report.behind, report.unreachable),
        )
