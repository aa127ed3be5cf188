"""Tests of input in many small or unusual portions."""

from __future__ import annotations

import asyncio
from itertools import count
import socket
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from aiohttp.web import RequestPayloadError
from aiohttp.web import Response
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite

from azurewick.helpers import caller_server
from azurewick.helpers.caller_memory import CallerLimits
from azurewick.helpers.caller_memory import CloseCause
from azurewick.helpers.caller_server import CallerServer

CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
HANG_TIMEOUT_S = 20.0


class CallerInputTest(IsolatedAsyncioTestCase):
    """Guards against sound input that the limits break or refuse."""

    async def asyncSetUp(self):
        self.bodies = []
        self.answer = b"ok"
        self.closed = []
        self.server = CallerServer(
            self.async_handle,
            header_timeout_s=5.0,
            max_connections=20,
            limits=CallerLimits(memory_bytes=1_000_000, unread_answer_s=1.0),
        )
        self.server.memory.on_close = self.closed.append
        runner = ServerRunner(self.server, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await TCPSite(runner, "127.0.0.1", 0).start()
        self.port = runner.addresses[0][1]

    async def async_handle(self, request):
        body = bytearray()
        try:
            async for data in request.content.iter_any():
                body += data
        except RequestPayloadError:
            return Response(status=400)
        self.bodies.append(bytes(body))
        return Response(body=self.answer)

    async def async_send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def async_until(self, condition) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            for _ in count():
                if condition():
                    return
                await asyncio.sleep(0.05)

    async def async_read_status(self, reader) -> int:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return int((await reader.readline()).split()[1])

    async def test_large_body_of_one_byte_chunks_is_served_whole(self):
        body = bytes(range(256)) * 1200
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        reader, _ = await self.async_send(CHUNKED_HEAD + chunks + b"0\r\n\r\n")
        self.assertEqual(200, await self.async_read_status(reader))
        self.assertEqual([body], self.bodies)
        self.assertEqual([], self.closed)

    async def test_pipelined_bodies_are_served_whole_and_in_order(self):
        bodies = [bytes([65 + number]) * 90_000 for number in range(12)]
        data = b"".join(
            CHUNKED_HEAD + b"15f90\r\n" + body + b"\r\n0\r\n\r\n"
            for body in bodies
        )
        reader, _ = await self.async_send(data)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            for _ in bodies:
                await reader.readuntil(b"\r\n\r\nok")
        self.assertEqual(bodies, self.bodies)

    async def test_extensions_without_end_end_the_request_with_an_error(self):
        reader, _ = await self.async_send(
            CHUNKED_HEAD + b"1;" + b"e" * 200_000
        )
        self.assertEqual(400, await self.async_read_status(reader))
        self.assertEqual([], self.bodies)
        self.assertIn(CloseCause.FRAMING, self.closed)

    async def test_body_that_turns_malformed_is_answered_once(self):
        reader, writer = await self.async_send(CHUNKED_HEAD + b"1\r\nx\r\n")
        # The request has begun, so that the error is that of its own answer.
        await self.async_until(lambda: self.server.requests_count)
        writer.write(b"none\r\n")
        async with asyncio.timeout(HANG_TIMEOUT_S):
            data = await reader.readuntil(b"\r\n\r\n")
            data += await reader.read()
        self.assertTrue(data.startswith(b"HTTP/1.1 400 "), data)
        self.assertEqual(1, data.count(b"HTTP/1.1"))

    async def test_unread_answer_is_given_up(self):
        self.enterContext(patch.object(caller_server, "SWEEP_INTERVAL_S", 0.1))
        self.answer = b"x" * 20_000_000
        await self.async_send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.async_until(lambda: self.closed)
        await self.async_until(lambda: not self.server.connection_count)
        self.assertEqual([CloseCause.UNREAD_ANSWER], self.closed)
        self.assertEqual(0, self.server.memory.held_bytes)

    async def test_answer_that_is_read_slowly_is_sent_whole(self):
        self.enterContext(patch.object(caller_server, "SWEEP_INTERVAL_S", 0.1))
        self.answer = b"x" * 20_000_000
        # The kernel takes bytes in steps of a sixteenth of a buffer.
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        connection.connect(("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=connection)
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
            for _ in range(20):
                await reader.readexactly(100_000)
                await asyncio.sleep(0.15)
            await reader.readexactly(18_000_000)
        self.assertEqual([], self.closed)
