"""Tests of buffering and measuring answers."""

from __future__ import annotations

from asyncio import create_task
from asyncio import sleep
from asyncio import timeout
import socket
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

from aiohttp import web

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.gateway.streaming import AnswerBuffer
from azurewick.gateway.streaming import AnswerMeter
from azurewick.gateway.streaming import EventSplitter
from azurewick.gateway.streaming import ReaderTooSlowError
from azurewick.gateway.streaming import Usage
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import HANG_TIMEOUT_S


class EventSplitterTest(TestCase):
    """Guards against an error event that is appended to a partial event."""

    def test_only_complete_events_are_returned(self):
        cases = (
            ((b"data: 1\n\n", b"data: 2\n\n"), b"data: 1\n\ndata: 2\n\n"),
            ((b"data: 1\n", b"\ndata: [DONE]"), b"data: 1\n\n"),
            ((b"data: 1\r\n\r\nda", b"ta: 2\r\n"), b"data: 1\r\n\r\n"),
            ((b"data: [DONE]",), b""),
        )
        for chunks, expected in cases:
            with self.subTest(chunks):
                splitter = EventSplitter()
                passed = b"".join(splitter.feed(chunk) for chunk in chunks)
                self.assertEqual(expected, passed)
                self.assertEqual(b"".join(chunks), passed + splitter.finish())

    def test_unterminated_event_is_buffered_up_to_limit(self):
        splitter = EventSplitter()
        for _ in range(100):
            splitter.feed(b"a" * 10_000)
            self.assertLessEqual(len(splitter.finish()), 65_536)


class AnswerMeterTest(TestCase):
    """Guards against token usage that is missed or misread."""

    def test_usage(self):
        usage = (
            b'{"usage": {"prompt_tokens": 9, "completion_tokens": 4,'
            b' "prompt_tokens_details": {"cached_tokens": 5}}}'
        )
        found = Usage(prompt_tokens=9, cached_tokens=5, output_tokens=4)
        none = Usage()
        cases = (
            (False, (usage[:20], usage[20:]), found),
            (True, (b"data: " + usage + b"\n\n", b"data: [DONE]\n\n"), found),
            (True, (b"data: {}\n\n",) * 50, none),
            (False, (b"not JSON",), none),
            (False, (b'{"usage": [1]}',), none),
            (False, (b'{"usage": {"prompt_tokens": "9"}}',), none),
        )
        for is_event_stream, chunks, expected in cases:
            with self.subTest(chunks=chunks[0]):
                meter = AnswerMeter()
                for now_s, chunk in enumerate(chunks):
                    meter.record(chunk, float(now_s))
                self.assertEqual(expected, meter.read_usage(is_event_stream))


class AnswerBufferTest(IsolatedAsyncioTestCase):
    """Guards against unbounded memory and readers that slow down others."""

    async def test_writer_waits_for_a_slow_reader(self):
        buffer = AnswerBuffer(window_bytes=100)
        reader = buffer.open_reader()

        async def async_write():
            for _ in range(50):
                await buffer.async_append(b"a" * 10)
            buffer.close()

        writer = create_task(async_write())
        await sleep(0)
        self.assertFalse(writer.done())
        self.assertEqual(110, buffer.kept_bytes)
        size = 0
        while data := await reader.async_read():
            size += len(data)
            await sleep(0)
            self.assertLessEqual(buffer.kept_bytes, 110)
        self.assertEqual(500, size)
        await writer

    async def test_slow_reader_is_cut_off_and_fast_one_is_not(self):
        buffer = AnswerBuffer(window_bytes=50, history_bytes=100)
        fast, slow = buffer.open_reader(), buffer.open_reader()
        async with timeout(HANG_TIMEOUT_S):
            for _ in range(50):
                await buffer.async_append(b"a" * 10)
                await fast.async_read()
                self.assertLessEqual(buffer.kept_bytes, 110)
        buffer.close()
        self.assertEqual(b"", await fast.async_read())
        with self.assertRaises(ReaderTooSlowError):
            await slow.async_read()
        self.assertFalse(buffer.can_join)

    async def test_joiner_gets_the_whole_answer(self):
        buffer = AnswerBuffer(history_bytes=100)
        first = buffer.open_reader()
        await buffer.async_append(b"one ")
        self.assertEqual(b"one ", await first.async_read())
        second = buffer.open_reader()
        await buffer.async_append(b"two")
        error = AzurewickError(
            ErrorCode.STREAM_BROKEN, "", step=Step.OFFER, outcome=Outcome.RAN
        )
        buffer.close(error)
        self.assertEqual(b"one two", await second.async_read())
        self.assertEqual(b"two", await first.async_read())
        for reader in (first, second):
            with self.assertRaises(AzurewickError):
                await reader.async_read()

    async def test_writer_does_not_wait_without_readers(self):
        buffer = AnswerBuffer(window_bytes=10)
        buffer.open_reader().close()
        async with timeout(HANG_TIMEOUT_S):
            for _ in range(100):
                await buffer.async_append(b"a" * 10)
        self.assertEqual(0, buffer.kept_bytes)


TOTAL_BYTES = 64 * 1_048_576


class SlowCallerTest(IsolatedAsyncioTestCase):
    """Guards against a caller that reads nothing and fills the memory.

    The answer is 64 MiB long; the gateway must pause the agent, and cut off
    the caller after the write timeout.
    """

    def create_streaming_agent(self) -> FakeAgent:
        """Return an agent that sends 64 MiB and counts the bytes sent."""
        agent = FakeAgent("agent-1")
        agent.sent_bytes = 0

        async def async_stream(agent, request):
            response = web.StreamResponse(
                headers={"X-Azurewick-Outcome": "ran"}
            )
            await response.prepare(request)
            while agent.sent_bytes < TOTAL_BYTES:
                await response.write(b"a" * 65_536)
                agent.sent_bytes += 65_536
            return response

        agent.behaviour = async_stream
        return agent

    def send_request_without_reading(
        self, bench: GatewayBench
    ) -> socket.socket:
        """Send a request without reading its answer."""
        caller = socket.create_connection(("127.0.0.1", bench.gateway.port))
        caller.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            b"Authorization: Bearer north-key\r\n"
            b"X-Request-Class: quick\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        return caller

    async def test_agent_is_paused_and_other_callers_are_not(self):
        agent, other = (
            self.create_streaming_agent(),
            FakeAgent("agent-2", "shop"),
        )
        async with GatewayBench(agent, other) as bench:
            with self.send_request_without_reading(bench):
                await self.async_wait_until_paused(lambda: agent.sent_bytes)
                self.assertLess(agent.sent_bytes, TOTAL_BYTES / 2)
                (running,) = bench.gateway.executor.requests
                self.assertLess(running.buffer.kept_bytes, 131_072)
                self.assertEqual(200, (await bench.async_post("lookup"))[0])

    async def test_caller_that_never_reads_is_cut_off(self):
        agent = self.create_streaming_agent()
        async with GatewayBench(agent) as bench:
            bench.gateway.handler._responder._write_timeout_s = 0.1
            with self.send_request_without_reading(bench):
                async with timeout(HANG_TIMEOUT_S):
                    await agent.cancel_seen.wait()
                    await bench.gateway.executor.requests.async_wait_idle()
            self.assertLess(agent.sent_bytes, TOTAL_BYTES / 2)

    async def async_wait_until_paused(self, get_sent):
        """Wait until the sent bytes stop growing for 10 polls in a row."""
        async with timeout(HANG_TIMEOUT_S):
            last, same = -1, 0
            while same < 10:
                await sleep(0.02)
                same = same + 1 if get_sent() == last != 0 else 0
                last = get_sent()
