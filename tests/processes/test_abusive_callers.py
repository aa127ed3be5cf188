"""Tests of an instance process beside callers that take its memory."""

from __future__ import annotations

import asyncio
from itertools import repeat
import json
from pathlib import Path

from tests.entry.builders import answer
from tests.entry.instance_case import FIELDS
from tests.entry.instance_case import PATH
from tests.processes.caller_crowd import CHUNKED_HEAD
from tests.processes.caller_crowd import Crowd
from tests.processes.caller_crowd import declared_head
from tests.processes.entry_case import EntryProcessCase
from tests.processes.entry_case import HANG_TIMEOUT_S
from tests.processes.entry_case import REQUEST

MEMORY_MB = 80
MAX_FDS = 300
# Time for which a crowd stays when it has sent its bytes.
HOLD_S = 1.0
BYTES_PER_MB = 1_048_576
LARGE_ANSWER_BYTES = 2_000_000
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
LARGE_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
LARGEST_FIELDS = "".join(f"X-F{n}: {'v' * 1000}\r\n" for n in range(15))


class AbusiveCallersBase(EntryProcessCase):
    """Test case with an instance process that has low limits."""

    large_answer = False
    # With a pipe that nobody reads, asyncio's wait for the process hangs.
    stdout = asyncio.subprocess.DEVNULL

    async def asyncSetUp(self):
        await super().asyncSetUp()
        settings = json.loads(self.settings.read_text())
        settings["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        self.settings.write_text(json.dumps(settings))
        self.peer_port = settings["port_range"][0] + 1

    async def async_script(self, reader, writer):
        """Answer a request with a small body, or with a large one."""
        size = LARGE_ANSWER_BYTES if self.large_answer else 2
        writer.write(answer(body=b"x" * size))

    async def async_begin(self, port=None) -> Crowd:
        self.process = await self.async_start()
        await self.async_wait_ready()
        crowd = Crowd(port or self.port)
        self.addCleanup(crowd.close)
        return crowd

    async def async_check(self) -> None:
        """Check the process while the crowd is connected."""
        await asyncio.sleep(HOLD_S)
        self.large_answer = False
        self.check_limits()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            line = b""
            while b"200 OK" not in line:
                line = await self.async_exchange(self.port, REQUEST.encode())
                await asyncio.sleep(0.05)
        self.check_limits()

    def check_limits(self) -> None:
        """Check that the process lives, its memory and its descriptors."""
        self.assertIsNone(self.process.returncode, "the process has ended")
        folder = Path(f"/proc/{self.process.pid}")
        self.assertLess(len(list((folder / "fd").iterdir())), MAX_FDS)
        self.assertLess(_peak_bytes(folder), MEMORY_MB * BYTES_PER_MB)

    async def async_run_crowd(self, callers, parts=(), port=None) -> None:
        crowd = await self.async_begin(port)
        await crowd.async_send(callers, parts)
        await self.async_check()


class AbusiveCallersTest(AbusiveCallersBase):
    """Guards against callers that end an instance process.

    It would run out of memory or of file descriptors, and the requests of all
    its callers would end with it.
    """

    async def test_bodies_of_large_chunks(self):
        await self.async_run_crowd(
            60, [CHUNKED_HEAD, *repeat(LARGE_CHUNK, 63)]
        )

    async def test_bodies_of_one_byte_chunks(self):
        await self.async_run_crowd(
            100, [CHUNKED_HEAD + ONE_BYTE_CHUNK * 60_000]
        )

    async def test_bodies_that_stop_before_their_last_byte(self):
        size = 4_000_000
        await self.async_run_crowd(
            60, [declared_head(size), b"x" * (size - 1)]
        )

    async def test_heads_without_end(self):
        head = b"GET / HTTP/1.1\r\nX-Field: "
        parts = [head, *repeat(b"v", 1000)]
        await self.async_run_crowd(150, parts)

    async def test_fields_without_end(self):
        parts = [b"GET / HTTP/1.1\r\n", *repeat(b"X-F: " + b"v" * 8000, 20)]
        await self.async_run_crowd(150, parts)

    async def test_connections_without_a_request(self):
        await self.async_run_crowd(600)

    async def test_declared_lengths_that_never_come(self):
        await self.async_run_crowd(150, [declared_head(4_194_304)])

    async def test_chunk_extensions_without_end(self):
        extension = b"1;" + b"e" * 65_536
        await self.async_run_crowd(
            60, [CHUNKED_HEAD, extension, *repeat(b"e" * 65_536, 60)]
        )

    async def test_trailers_without_end(self):
        await self.async_run_crowd(
            60, [CHUNKED_HEAD, b"0\r\n", *repeat(b"X-F: v\r\n" * 8192, 60)]
        )

    async def test_answers_that_nobody_reads(self):
        crowd = await self.async_begin()
        self.large_answer = True
        await crowd.async_send(150, [REQUEST.encode()])
        await self.async_check()

    async def test_pipelined_requests(self):
        await self.async_run_crowd(60, [REQUEST.encode() * 2000])

    async def test_pipelined_requests_with_largest_heads(self):
        request = (
            f"POST {PATH} HTTP/1.1\r\n{FIELDS}{LARGEST_FIELDS}"
            "Content-Length: 2\r\n\r\n{}"
        ).encode()
        await self.async_run_crowd(100, [request * 60])

    async def test_bodies_behind_a_pipelined_request(self):
        await self.async_run_crowd(
            100,
            [REQUEST.encode() + CHUNKED_HEAD + ONE_BYTE_CHUNK * 60_000],
        )

    async def test_bodies_of_many_keys(self):
        crowd = await self.async_begin()
        for number in range(100):
            head = CHUNKED_HEAD.replace(b"key-1", b"key-%d" % number)
            await crowd.async_send(1, [head + ONE_BYTE_CHUNK * 20_000])
        await self.async_check()

    async def test_wave_that_leaves_and_comes_back(self):
        crowd = await self.async_begin()
        for _ in range(5):
            await crowd.async_send(
                100, [CHUNKED_HEAD + ONE_BYTE_CHUNK * 20_000]
            )
            crowd.close()
        await self.async_check()

    async def test_connections_at_the_peers_address(self):
        await self.async_run_crowd(600, port=self.peer_port)

    async def test_fields_without_end_at_the_peers_address(self):
        parts = [b"GET / HTTP/1.1\r\n", *repeat(b"X-F: v\r\n" * 8192, 20)]
        await self.async_run_crowd(150, parts, port=self.peer_port)

    async def test_one_byte_chunks_at_the_peers_address(self):
        await self.async_run_crowd(
            100,
            [CHUNKED_HEAD + ONE_BYTE_CHUNK * 60_000],
            port=self.peer_port,
        )


def _peak_bytes(folder: Path) -> int:
    """Return the largest resident size of a process."""
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError("the process has no resident size")
