"""Tests of the registration and discovery of entry instances."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

import orjson

from azurewick.entry.instances import INSTANCE_TIMEOUT_S
from azurewick.entry.instances import InstanceDirectory
from azurewick.entry.instances import InstanceTable
from azurewick.entry.instances import KIND_INSTANCES
from azurewick.entry.instances import PeerInstance
from azurewick.platform.store import PlatformStore
from fakes.platform_store import FakePlatformStore

# About the deepest nesting that orjson decodes.
NESTED = orjson.Fragment(b"[" * 1000 + b"]" * 1000)


class InstanceTableTest(TestCase):
    """Guards against peers that have stopped or have no valid address."""

    def test_peer_without_an_address_is_left_out(self):
        table = InstanceTable("e1")
        table.update(
            {
                "e1": {"beat": 1, "address": "127.0.0.1:1"},
                "e2": {},
                "e3": {"beat": 1, "address": 7},
                "e4": {"beat": 1, "address": "nowhere"},
                "e5": {"beat": 1, "address": "127.0.0.1:5"},
            },
            0.0,
        )
        self.assertEqual(
            {"e5": PeerInstance(address="127.0.0.1:5", region="")},
            table.live_peers(0.0),
        )

    def test_odd_statuses_do_not_hide_the_other_peers(self):
        sound = {"beat": 1, "address": "127.0.0.1:5", "region": "home"}
        for odd in (
            {"region": NESTED},
            {"beat": NESTED},
            {"address": "127.0.0.1:" + "9" * 5000},
            {"address": "127.0.0.1:\u00b2"},
        ):
            table = InstanceTable("e1")
            for now_s in (0.0, 3.0):
                status = orjson.loads(orjson.dumps({**sound, **odd}))
                table.update({"e2": status, "e5": sound}, now_s)
                self.assertEqual(["e5"], list(table.live_peers(now_s)))

    def test_peer_without_heartbeats_is_not_live(self):
        table = InstanceTable("e1")
        status = {"beat": 1, "address": "127.0.0.1:5"}
        for now_s in (*range(0, int(INSTANCE_TIMEOUT_S), 3), 25.0):
            table.update({"e5": status}, now_s)
        self.assertEqual({}, table.live_peers(INSTANCE_TIMEOUT_S))
        table.update({"e5": {**status, "beat": 2}}, INSTANCE_TIMEOUT_S + 1)
        self.assertEqual(
            ["e5"], list(table.live_peers(INSTANCE_TIMEOUT_S + 1))
        )

    def test_peer_is_live_after_an_outage_of_the_store(self):
        table = InstanceTable("e1")
        status = {"beat": 1, "address": "127.0.0.1:5"}
        table.update({"e5": status}, 0.0)
        table.update({"e5": status}, 60.0)
        self.assertEqual(["e5"], list(table.live_peers(60.0)))
        for now_s in range(63, 90, 3):
            table.update({"e5": status}, now_s)
        self.assertEqual({}, table.live_peers(90.0))


class InstanceDirectoryTest(IsolatedAsyncioTestCase):
    """Guards against instances that don't find each other."""

    async def asyncSetUp(self):
        self.fake = FakePlatformStore()
        self.store = PlatformStore(await self.fake.async_start())
        self.addAsyncCleanup(self.fake.async_stop)
        self.addAsyncCleanup(self.store.async_close)

    def start(self, on_peers):
        directory = InstanceDirectory(
            self.store,
            "e1",
            PeerInstance(address="127.0.0.1:1", region="home"),
            Random(1),
            on_peers,
        )
        directory.start()
        self.addAsyncCleanup(directory.async_stop)
        return directory

    async def test_status_is_written_right_after_the_creation(self):
        # The store drops a status that is sent when an object is created.
        self.start(lambda peers: None)
        async with asyncio.timeout(2):
            while (  # noqa: ASYNC110
                "e1" not in self.fake.objects.get(KIND_INSTANCES, {})
                or not (self.fake.objects[KIND_INSTANCES]["e1"]["status"])
            ):
                await asyncio.sleep(0.01)
        status = self.fake.objects[KIND_INSTANCES]["e1"]["status"]
        self.assertEqual("127.0.0.1:1", status["address"])
        self.assertEqual("home", status["region"])

    async def test_list_counts_once_it_has_the_status_of_this_run(self):
        # An older list doesn't have the instances that have just started.
        self.fake.put(KIND_INSTANCES, "e1", {})
        item = self.fake.objects[KIND_INSTANCES]["e1"]
        item["status"] = {"beat": 1, "address": "127.0.0.1:1", "region": ""}
        self.fake.refuses_writes = True
        found = asyncio.Event()
        directory = self.start(lambda peers: found.set())
        async with asyncio.timeout(2):
            await found.wait()
        self.assertIsNone(directory.registered_s)
        self.fake.refuses_writes = False
        await directory._async_publish()
        await directory._async_read()
        self.assertIsNotNone(directory.registered_s)

    async def test_peers_are_found_while_writes_are_refused(self):
        self.fake.put(KIND_INSTANCES, "e2", {})
        item = self.fake.objects[KIND_INSTANCES]["e2"]
        item["status"] = {"beat": 1, "address": "127.0.0.1:2"}
        self.fake.refuses_writes = True
        found = asyncio.Event()
        self.start(lambda peers: found.set() if "e2" in peers else None)
        async with asyncio.timeout(2):
            await found.wait()
