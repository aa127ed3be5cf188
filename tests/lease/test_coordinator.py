"""Tests of leases with a clock that the test sets."""

from __future__ import annotations

from random import Random
from unittest import IsolatedAsyncioTestCase

from azurewick.errors import AzurewickError
from azurewick.lease.coordinator import LeaseCoordinator
from azurewick.lease.decisions import get_fencing_number
from tests.store.builders import MemoryStore

NAME = "version-moves"
KEY = ("leases", NAME)


class LeaseTest(IsolatedAsyncioTestCase):
    """Guards against two holders at once and falling fencing numbers.

    They can come about when a holder is paused beyond its lease, or when the
    store is down or the answer to a write is lost. The orders of an older
    holder would then be carried out.
    """

    def setUp(self):
        self.now_s = 0.0
        self.store = MemoryStore()

    def _build(self, holder):
        return LeaseCoordinator(
            self.store, NAME, holder, lambda: self.now_s, duration_s=15.0
        )

    async def _async_step_and_get_number(self, lease):
        """Take a step, which may fail, and return the fencing number."""
        try:
            await lease.async_step()
        except AzurewickError:
            pass
        return lease.fencing_number(self.now_s)

    async def test_paused_holder_sees_its_lease_expire(self):
        first, second = self._build("a"), self._build("b")
        number = await self._async_step_and_get_number(first)
        self.assertEqual(self.store.objects[KEY].version, number)
        self.assertIsNone(await self._async_step_and_get_number(second))
        self.now_s += 12.0
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNone(await self._async_step_and_get_number(second))
        self.now_s += 6.0
        newer = await self._async_step_and_get_number(second)
        self.assertGreater(newer, number)
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNone(await self._async_step_and_get_number(first))

    async def test_lost_answers_are_read_back(self):
        lease = self._build("a")
        for what in ("acquire", "renew"):
            with self.subTest(what):
                self.store.lose_answers = 1
                await self._async_step_and_get_number(lease)
                written = self.store.objects[KEY]
                number = await self._async_step_and_get_number(lease)
                self.assertEqual(get_fencing_number(written), number)
                self.assertEqual(written, self.store.objects[KEY])
                self.now_s += 6.0
        self.assertEqual(1, number)

    async def test_store_outage_ends_the_lease(self):
        lease = self._build("a")
        await self._async_step_and_get_number(lease)
        self.store.set_down(True)
        for _ in range(4):
            self.now_s += 4.0
            number = await self._async_step_and_get_number(lease)
        self.assertIsNone(number)
        self.store.set_down(False)
        self.assertGreater(await self._async_step_and_get_number(lease), 1)

    async def test_released_lease_is_free_at_once(self):
        first, second = self._build("a"), self._build("b")
        await self._async_step_and_get_number(first)
        await first.async_release()
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNotNone(await self._async_step_and_get_number(second))

    async def test_at_most_one_holder_under_random_faults(self):
        random = Random(7)
        leases = [self._build(name) for name in "abc"]
        highest, taken = 0, 0
        for _ in range(4000):
            self.now_s += random.expovariate(1.0)
            self.store.set_down(random.random() < 0.2)
            self.store.lose_answers = int(random.random() < 0.2)
            await self._async_step_and_get_number(random.choice(leases))
            if random.random() < 0.005:
                # All processes pause beyond the duration of the lease.
                self.now_s += 40.0
            numbers = {
                number
                for lease in leases
                if (number := lease.fencing_number(self.now_s)) is not None
            }
            self.assertLessEqual(len(numbers), 1)
            for number in numbers:
                self.assertGreaterEqual(number, highest)
                taken += number > highest
                highest = number
        self.assertGreater(taken, 20)
