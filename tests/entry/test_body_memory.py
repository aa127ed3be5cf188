"""Tests of the memory that the bodies of requests take."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from unittest import TestCase

from aiohttp import ClientSession
from aiohttp import ClientTimeout

from azurewick.entry.relay import MAX_BUFFERED_BYTES
from azurewick.entry.request_body import BodyMemory
from azurewick.entry.request_body import PART_BYTES
from azurewick.entry.request_body import RequestBody
from tests.entry.builders import answer
from tests.entry.builders import build_body
from tests.entry.builders import reset
from tests.entry.instance_case import EntryInstanceCase
from tests.entry.instance_case import HEADERS
from tests.entry.instance_case import PATH
from tests.platform.builders import CONFIGURATION

BODY_BYTES = 1_000_000
BODY = bytes(range(250)) * (BODY_BYTES // 250)
# A traced process keeps this much for other things.
TOLERANCE_BYTES = BODY_BYTES // 2


class BodyMemoryTest(TestCase):
    """Guards against bodies that take more than their share of the memory."""

    def test_room_for_bodies(self):
        for others_bytes, size, expected_bytes, expected in (
            (0, 100_000, 100_000, True),
            (0, 900_000, 900_000, True),
            (60_000, 40_000, 40_000, True),
            (60_000, 40_001, 40_001, False),
            (100_000, 1, 10_000, False),
            (100_000, 1_000, 1_000, True),
            (121_500, 1_000, 1_000, True),
            (121_501, 1_000, 1_000, False),
            (124_973, 1, 10, True),
            (124_975, 1, 10, False),
            (500_000, 0, 0, False),
        ):
            with self.subTest(others_bytes=others_bytes, size=size):
                self.assertEqual(
                    expected,
                    BodyMemory(100_000).has_room(
                        others_bytes, size, expected_bytes
                    ),
                )

    def test_released_memory_is_counted_once(self):
        memory = BodyMemory(100_000)
        first = build_body(b"x" * 60_000, memory)
        second = build_body(b"x" * 30_000, memory, declared_bytes=40_000)
        self.assertFalse(second.try_append(b"x" * 30_000, 0.0))
        self.assertEqual(90_000, memory.held_bytes)
        first.release()
        first.release()
        self.assertTrue(second.try_append(b"x" * 470_000, 0.0))
        second.release()
        self.assertEqual(0, memory.held_bytes)

    def test_declared_bytes_take_no_memory(self):
        memory = BodyMemory(100_000)
        for _ in range(60):
            build_body(b"x", memory, declared_bytes=90_000)
        self.assertEqual(60, memory.held_bytes)
        build_body(b"x" * 90_000, memory)


class CustomerShareTest(TestCase):
    """Guards against one customer whose bodies keep all others out."""

    def build_body(self, memory, customer, size, **changes):
        body = RequestBody(
            memory,
            declared_bytes=size,
            customer=customer,
            **{"started_s": 0.0, **changes},
        )
        return body, body.try_append(b"x" * size, 2.0)

    def test_customer_is_bounded_and_others_have_room(self):
        memory = BodyMemory(100_000, customer_share=0.6)
        first, is_held = self.build_body(memory, "a", 50_000)
        self.assertTrue(is_held)
        self.assertFalse(self.build_body(memory, "a", 11_000)[1])
        self.assertTrue(self.build_body(memory, "b", 40_000)[1])
        first.release()
        self.assertTrue(self.build_body(memory, "a", 11_000)[1])

    def test_single_body_may_exceed_the_share(self):
        memory = BodyMemory(100_000, customer_share=0.1)
        self.assertTrue(self.build_body(memory, "a", 90_000)[1])

    def test_full_share_takes_no_upload_of_another_customer(self):
        memory = BodyMemory(100_000, customer_share=0.5)
        for customer in ("a", "b"):
            body, _ = self.build_body(memory, customer, 40_000)
            memory.add_upload(body)
        _, is_held = self.build_body(memory, "a", 15_000, started_s=2.0)
        self.assertTrue(is_held)
        self.assertEqual(55_000, memory.held_bytes)


class UploadTest(TestCase):
    """Guards against unfinished bodies that keep the memory of others.

    An upload that has sent nearly all of its body and stalls holds it until
    the idle timeout.
    """

    def build_upload(self, memory, size, started_s=0.0):
        return build_body(
            b"x" * size, memory, declared_bytes=size + 1, started_s=started_s
        )

    def test_long_uploads_lose_their_memory_the_largest_share_first(self):
        memory = BodyMemory(100_000)
        small = self.build_upload(memory, 9_000)
        large = self.build_upload(memory, 60_000)
        new = self.build_upload(memory, 30_000, started_s=1.5)
        build_body(b"x" * 50_000, memory, started_s=2.0)
        self.assertTrue(large.is_withdrawn)
        self.assertFalse(large.try_append(b"x", 2.0))
        self.assertFalse(small.is_withdrawn or new.is_withdrawn)
        self.assertEqual(89_000, memory.held_bytes)

    def test_nothing_is_taken_in_vain(self):
        memory = BodyMemory(100_000)
        upload = self.build_upload(memory, 20_000)
        build_body(b"x" * 70_000, memory)
        body = RequestBody(memory, declared_bytes=40_000, started_s=2.0)
        self.assertFalse(body.try_begin(2.0))
        self.assertFalse(upload.is_withdrawn)

    def test_usual_uploads_and_complete_bodies_keep_their_memory(self):
        memory = BodyMemory(100_000)
        self.build_upload(memory, 40_000, started_s=1.0)
        build_body(b"x" * 40_000, memory)
        body = RequestBody(memory, declared_bytes=40_000, started_s=2.0)
        self.assertFalse(body.try_begin(2.0))
        self.assertEqual(80_000, memory.held_bytes)

    def test_upload_takes_nothing_from_those_that_have_held_less(self):
        memory = BodyMemory(100_000)
        first = self.build_upload(memory, 60_000)
        second = self.build_upload(memory, 39_000)
        self.assertFalse(first.try_append(b"x" * 9_000, 2.0))
        self.assertFalse(second.is_withdrawn)
        self.assertTrue(second.try_append(b"x" * 9_000, 2.0))
        self.assertTrue(first.is_withdrawn)


class BodyTest(EntryInstanceCase):
    """Guards against bodies that fill the memory of an instance."""

    def script(self, data, then=None, gate=None):
        """Return a script that reads the body, waits and answers."""

        async def async_play(reader, writer):
            self.received.append(await reader.readexactly(BODY_BYTES))
            self.reached.release()
            if gate is not None:
                await gate.wait()
            writer.write(data)
            await writer.drain()
            if then is not None:
                then(writer)

        self.received: list[bytes] = []
        self.reached = asyncio.Semaphore(0)
        return async_play

    async def async_post(self, body=BODY):
        url = f"http://{self.instance.settings.address}{PATH}"
        async with self.session.post(url, headers=HEADERS, data=body) as got:
            return got.status, await got.json(content_type=None), got.headers

    async def test_body_reaches_the_server_unchanged(self):
        self.assertGreater(BODY_BYTES, PART_BYTES)
        await self.async_start(self.script(answer(body=b"{}")))
        self.assertEqual(200, (await self.async_post())[0])
        self.assertEqual([BODY], self.received)
        head = self.servers[0].requests[0].lower()
        self.assertIn(b"content-length: %d\r\n" % BODY_BYTES, head)
        self.assertNotIn(b"transfer-encoding", head)

    async def test_body_does_not_stay_after_its_answer(self):
        for name, data, then in (
            ("answer", answer(body=b"{}"), None),
            ("failure", answer("500 Internal Server Error", b"{}"), None),
            ("cut answer", answer(length=9), None),
            ("reset", b"", reset),
        ):
            with self.subTest(name):
                await self.async_start(self.script(data, then))
                await self.async_post()
                self.received.clear()
                gc.collect()
                gc.disable()
                self.addCleanup(gc.enable)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                for _ in range(3):
                    await self.async_post()
                    self.received.clear()
                kept_bytes, _ = tracemalloc.get_traced_memory()
                self.assertLess(kept_bytes, TOLERANCE_BYTES)
                tracemalloc.stop()
                gc.enable()
                await self.instance.async_stop()

    async def test_body_without_room_is_refused_and_others_go_on(self):
        gate = asyncio.Event()
        await self.async_start(
            self.script(answer(body=b"{}"), gate=gate),
            body_memory_bytes=2 * BODY_BYTES,
        )
        running = [asyncio.create_task(self.async_post()) for _ in range(2)]
        for _ in running:
            await self.reached.acquire()

        async def async_chunks():
            yield BODY

        for body in (BODY, async_chunks()):
            status, document, headers = await self.async_post(body)
            self.assertEqual(503, status)
            self.assertEqual("not_run", document["error"]["outcome"])
            self.assertGreater(float(headers["Retry-After"]), 0.0)
        gate.set()
        for task in running:
            self.assertEqual(200, (await task)[0])
        self.assertEqual(2, len(self.received))
        self.assertEqual(200, (await self.async_post())[0])

    async def test_body_is_freed_once_no_server_can_need_it(self):
        gate = asyncio.Event()
        part = b"x" * (MAX_BUFFERED_BYTES + 1)

        async def async_play(reader, writer):
            await reader.readexactly(BODY_BYTES)
            writer.write(answer(body=part, length=len(part) + 4))
            await writer.drain()
            await gate.wait()
            writer.write(b"rest")
            await writer.drain()

        await self.async_start(async_play)
        url = f"http://{self.instance.settings.address}{PATH}"
        async with self.session.post(url, headers=HEADERS, data=BODY) as got:
            memory = self.instance._body_memory
            await self.async_until(lambda: not memory.held_bytes)
            gate.set()
            self.assertEqual(part + b"rest", await got.read())

    async def test_body_that_is_still_sent_stays(self):
        # More than the buffers of both sockets take.
        body = BODY * 12
        part = b"x" * (MAX_BUFFERED_BYTES + 1)

        async def async_play(reader, writer):
            writer.write(answer(body=part, length=len(part) + 4))
            await writer.drain()
            await asyncio.sleep(0.2)
            self.received = [await reader.readexactly(len(body))]
            writer.write(b"rest")
            await writer.drain()

        await self.async_start(async_play)
        self.put_configuration(
            2, limits={**CONFIGURATION["limits"], "max_body_bytes": len(body)}
        )
        await self.async_until(
            lambda: self.instance.state.configuration.version == 2
        )
        url = f"http://{self.instance.settings.address}{PATH}"
        async with self.session.post(url, headers=HEADERS, data=body) as got:
            self.assertEqual(part + b"rest", await got.read())
        self.assertEqual([body], self.received)

    async def test_caller_that_leaves_frees_its_body(self):
        await self.async_start(
            self.script(b"", gate=asyncio.Event()),
            body_memory_bytes=BODY_BYTES,
        )
        async with ClientSession(timeout=ClientTimeout(total=0.3)) as session:
            url = f"http://{self.instance.settings.address}{PATH}"
            with self.assertRaises(TimeoutError):
                await session.post(url, headers=HEADERS, data=BODY)
        memory = self.instance._body_memory
        await self.async_until(lambda: not memory.held_bytes)
