"""Bytes that callers send, passed to the parser in bounded portions."""

from __future__ import annotations

from asyncio import BufferedProtocol
from asyncio import Protocol
from typing import Any

from aiohttp.streams import StreamReader

# Size of one read, and so of what a connection holds when its parser pauses.
READ_BYTES = 32_768
# aiohttp pauses a connection that has twice this many unread bytes of a body.
BODY_BUFFER_BYTES = 32_768
# Bytes that are parsed at once. The parser makes an object and a boundary of
# each chunk, which take 60 times the memory of a chunk of one byte.
PARSED_BYTES = 4096
# Pipelined requests that a connection holds before it is paused.
MAX_QUEUED_REQUESTS = 4
# Maximum of the bytes of chunk extensions or trailers between two bytes of a
# body, or after its end. Sound callers send a few dozen.
MAX_FRAMING_BYTES = 16_384
# Memory of a parsed header field beside its bytes, which are held twice.
FIELD_OVERHEAD_BYTES = 250

# One buffer serves all connections: what is read is copied before the next
# read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class BoundedReads(BufferedProtocol):
    """Protocol that reads READ_BYTES at most and passes them to another one.

    The event loop reads up to 256 KB at once for other protocols.
    """

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self._protocol.data_received(bytes(_READ_BUFFER[:nbytes]))

    def eof_received(self) -> bool | None:
        """Pass on the end of the input."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the buffer of the answer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the buffer of the answer has room."""
        self._protocol.resume_writing()


def merge_chunks(payload: StreamReader, first: int) -> None:
    """Join the pieces of a body from number first on; drop the boundaries.

    Earlier pieces stay as they are, since a read that is in progress counts
    them.
    """
    if payload._http_chunk_splits:
        payload._http_chunk_splits.clear()
    pieces = payload._buffer
    if len(pieces) - first < 2:
        return
    added = [pieces.pop() for _ in range(len(pieces) - first)]
    pieces.append(b"".join(reversed(added)))


def head_memory_bytes(message: Any) -> int:
    """Return about how much memory the parsed head of a request takes."""
    return sum(
        2 * (len(name) + len(value)) + FIELD_OVERHEAD_BYTES
        for name, value in message.raw_headers
    )
