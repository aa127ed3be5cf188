"""Tests of leases in virtual time."""

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
    """Guards against two holders and against a fencing number that falls."""

    def setUp(self):
        self.now_s = 0.0
        self.store = MemoryStore()

    def _build(self, holder):
        return LeaseCoordinator(
            self.store, NAME, holder, lambda: self.now_s, duration_s=15.0
        )

    async def _async_step(self, lease):
        try:
            await lease.async_step()
        except AzurewickError:
            pass
        return lease.fencing_number(self.now_s)

    async def test_paused_holder_knows_before_it_acts(self):
        first, second = self._build("a"), self._build("b")
        number = await self._async_step(first)
        self.assertEqual(self.store.objects[KEY].version, number)
        self.assertIsNone(await self._async_step(second))
        self.now_s += 12.0
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNone(await self._async_step(second))
        self.now_s += 6.0
        newer = await self._async_step(second)
        self.assertGreater(newer, number)
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNone(await self._async_step(first))

    async def test_lost_answers_are_read_back(self):
        lease = self._build("a")
        for what in ("acquire", "renew"):
            with self.subTest(what):
                self.store.lose_answers = 1
                await self._async_step(lease)
                written = self.store.objects[KEY]
                number = await self._async_step(lease)
                self.assertEqual(get_fencing_number(written), number)
                self.assertEqual(written, self.store.objects[KEY])
                self.now_s += 6.0
        self.assertEqual(1, number)

    async def test_store_outage_ends_the_lease(self):
        lease = self._build("a")
        await self._async_step(lease)
        self.store.set_down(True)
        for _ in range(4):
            self.now_s += 4.0
            number = await self._async_step(lease)
        self.assertIsNone(number)
        self.store.set_down(False)
        self.assertGreater(await self._async_step(lease), 1)

    async def test_released_lease_is_free_at_once(self):
        first, second = self._build("a"), self._build("b")
        await self._async_step(first)
        await first.async_release()
        self.assertIsNone(first.fencing_number(self.now_s))
        self.assertIsNotNone(await self._async_step(second))

    async def test_at_most_one_holder_under_random_faults(self):
        random = Random(7)
        leases = [self._build(name) for name in "abc"]
        highest, taken = 0, 0
        for _ in range(4000):
            self.now_s += random.expovariate(1.0)
            self.store.set_down(random.random() < 0.2)
            self.store.lose_answers = int(random.random() < 0.2)
            await self._async_step(random.choice(leases))
            if random.random() < 0.005:
                # A pause of all but the next one that is chosen.
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
