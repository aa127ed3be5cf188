"""Test of slot grants between whole entry instances."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from azurewick.entry.processor_share import ProcessorShare
from azurewick.helpers.clock import monotonic_s
from azurewick.platform.application import build_entry
from tests.entry.builders import answer
from tests.entry.instance_case import build_settings
from tests.entry.instance_case import EntryInstanceCase
from tests.platform.builders import SERVER

# Time for which the engine runs a request.
RUN_S = 0.05


class GrantingInstancesTest(EntryInstanceCase):
    """Guards against parts of the slot grants that aren't connected."""

    async def test_an_engine_of_one_slot_gets_one_request_at_a_time(self):
        running = most = 0

        async def async_run(reader, writer):
            nonlocal running, most
            running += 1
            most = max(most, running)
            await asyncio.sleep(RUN_S)
            running -= 1
            writer.write(answer())
            await writer.drain()

        # The machine may be too busy for a broker.
        self.enterContext(patch.object(ProcessorShare, "add_sample"))
        first = await self.async_start(async_run)
        (backend,) = first.state.registry
        entry = {"addr": backend.entry.address, "slots": 1}
        self.store.put("servers", "i-1", {**SERVER, **entry})
        instances = [first]
        for name in ("e2", "e3"):
            other = build_entry(build_settings(self.address, name))
            await other.async_start()
            self.addAsyncCleanup(other.async_stop)
            instances.append(other)
        await self.async_until(
            lambda: all(
                len(instance._peers.processor_shares(monotonic_s())) == 2
                and [b.entry.slots for b in instance.state.registry] == [1]
                for instance in instances
            ),
            timeout_s=10.0,
        )
        tasks = []
        for self.instance in instances * 2:
            tasks.append(asyncio.create_task(self.async_send()))
            await asyncio.sleep(0)
        answers = await asyncio.gather(*tasks)
        self.assertEqual([200] * 6, [status for status, _, _ in answers])
        self.assertEqual(1, most)
        granted = sum(
            instance.metrics._slot_asks.get({"outcome": "granted"})
            for instance in instances
        )
        self.assertEqual(6, granted)
