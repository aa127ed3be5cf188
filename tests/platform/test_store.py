"""Tests of the platform store's client against a fake store."""

from __future__ import annotations

from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.platform.store import decode_events
from azurewick.platform.store import decode_page
from azurewick.platform.store import PlatformStore
from azurewick.store.protocols import EventType
from azurewick.store.protocols import StoredObject
from fakes.platform_store import FakePlatformStore


class PlatformStoreTest(IsolatedAsyncioTestCase):
    """Guards against calls that differ from the store's protocol.

    Such a call would lose objects, overwrite a concurrent change or report
    a wrong outcome.
    """

    async def asyncSetUp(self):
        self.fake = FakePlatformStore(page_items=3)
        self.store = PlatformStore(await self.fake.async_start())
        self.addAsyncCleanup(self.fake.async_stop)
        self.addAsyncCleanup(self.store.async_close)

    async def async_catch_error(self, awaitable) -> AzurewickError:
        with self.assertRaises(AzurewickError) as caught:
            await awaitable
        return caught.exception

    async def test_list_reads_all_pages(self):
        for index in range(8):
            self.fake.put("servers", f"s{index}", {"index": index})
        listed = await self.store.async_list("servers")
        self.assertEqual(
            [f"s{index}" for index in range(8)],
            [item.name for item in listed.items],
        )

    async def test_stale_list_sends_allow_stale(self):
        await self.store.async_list("servers", allow_stale=True)
        self.assertIn("allow_stale=1", self.fake.calls[0])

    async def test_conditional_write_fails_on_another_revision(self):
        item = await self.store.async_create("k", "o", {"a": 1})
        self.fake.put("k", "o", {"a": 2})
        err = await self.async_catch_error(self.store.async_update(item))
        self.assertEqual(ErrorCode.STORE_CONFLICT, err.code)

    async def test_status_update_keeps_the_spec(self):
        item = await self.store.async_create("k", "o", {"a": 1})
        written = await self.store.async_update_status(
            replace(item, status={"state": "complete"})
        )
        self.assertEqual({"a": 1}, written.spec)
        self.assertEqual({"state": "complete"}, written.status)

    async def test_lost_answer_leaves_the_outcome_unknown(self):
        self.fake.lose_answers = 1
        err = await self.async_catch_error(
            self.store.async_create("k", "o", {})
        )
        self.assertEqual(Outcome.UNKNOWN, err.outcome)
        self.assertIn("o", self.fake.objects["k"])

    async def test_status_update_of_missing_object_is_not_found(self):
        item = StoredObject(plural="k", name="o", version=0)
        err = await self.async_catch_error(
            self.store.async_update_status(item)
        )
        self.assertEqual(ErrorCode.STORE_NOT_FOUND, err.code)

    async def test_watch_returns_changes_and_its_revision(self):
        self.fake.put("servers", "s1", {})
        listed = await self.store.async_list("servers")
        self.fake.put("servers", "s2", {})
        self.fake.remove("servers", "s1")
        events = [
            event
            async for event in self.store.async_watch(
                "servers", listed.version, 1.0
            )
        ]
        self.assertEqual(
            [EventType.MODIFIED, EventType.DELETED, EventType.BOOKMARK],
            [event.type for event in events],
        )
        self.assertEqual(self.fake.revision, events[-1].version)

    async def test_watch_from_discarded_revision_expires(self):
        self.fake.put("servers", "s1", {})
        self.fake.forget_history()
        with self.assertRaises(AzurewickError) as caught:
            async for _ in self.store.async_watch("servers", 1, 0.1):
                pass
        self.assertEqual(ErrorCode.STORE_WATCH_EXPIRED, caught.exception.code)

    async def test_invalid_objects_are_skipped(self):
        good = {"meta": {"name": "a", "revision": 2}, "spec": 7}
        body = {
            "items": [good, {"meta": {}}, "text", {"meta": {"name": 1}}],
            "store_revision": 5,
        }
        page = decode_page("servers", body)
        self.assertEqual(["a"], [item.name for item in page.items])
        self.assertEqual({}, page.items[0].spec)

    async def test_malformed_answers_are_errors(self):
        for body in ({}, [], {"events": 1, "store_revision": 1}, None):
            with self.subTest(body), self.assertRaises(ValueError):
                decode_events("servers", body)
