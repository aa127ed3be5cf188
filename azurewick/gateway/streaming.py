"""Buffering and measuring of answers between the agent and callers."""

from __future__ import annotations

from asyncio import Event
from collections import deque
from dataclasses import dataclass
import json
from typing import Any

from azurewick.errors import AzurewickError

CONTENT_TYPE_EVENTS = "text/event-stream"
# Maximum lag of the fastest reader behind the agent: a burst of several
# hundred token chunks. Beyond it reading from the agent is paused.
WINDOW_BYTES = 65_536
# Bytes kept for callers that join a running request, about 3,000 token
# chunks.
HISTORY_BYTES = 262_144
# A longer event is passed on in parts.
MAX_PARTIAL_EVENT_BYTES = 65_536
# Chunks kept for reading the token usage: it is in the last event, or the
# last one before [DONE].
_TAIL_CHUNKS = 8
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    replayed is set when the answer was stored by an earlier run.
    """

    status: int
    content_type: str
    content_length: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    replayed: bool = False

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return self.content_type.startswith(CONTENT_TYPE_EVENTS)


class ReaderTooSlowError(Exception):
    """The next bytes of a reader are no longer buffered."""


class AnswerBuffer:
    """Buffer of bounded size between one writer and several readers.

    The writer waits while the fastest reader is more than window_bytes
    behind. Each reader starts at the first byte. The last history_bytes are
    kept even after all readers have read them, for callers that join later.
    A reader whose next bytes have been discarded gets ReaderTooSlowError, so
    that it can't slow down the other readers.
    """

    def __init__(
        self,
        *,
        window_bytes: int = WINDOW_BYTES,
        history_bytes: int = 0,
    ) -> None:
        self._window_bytes = window_bytes
        self._history_bytes = history_bytes
        self._chunks: deque[bytes] = deque()
        # Stream offsets, in bytes, of the first and after the last byte kept.
        self._start_offset = 0
        self._end_offset = 0
        self._appended_chunks = 0
        self._readers: set[AnswerReader] = set()
        self._space_freed = Event()
        self._closed = False
        self.error: AzurewickError | None = None

    @property
    def kept_bytes(self) -> int:
        """Return the size of the buffered chunks."""
        return self._end_offset - self._start_offset

    @property
    def is_closed(self) -> bool:
        """Return whether the answer has ended, completely or with an error."""
        return self._closed

    @property
    def can_join(self) -> bool:
        """Return whether the start of the answer is still buffered."""
        return self._start_offset == 0

    @property
    def reader_count(self) -> int:
        """Return the number of open readers."""
        return len(self._readers)

    def open_reader(self) -> AnswerReader:
        """Return a reader that starts at the first byte."""
        reader = AnswerReader(self)
        self._readers.add(reader)
        return reader

    def close_reader(self, reader: AnswerReader) -> None:
        """Remove a reader and discard the chunks kept for it."""
        self._readers.discard(reader)
        self._trim()

    async def async_append(self, chunk: bytes) -> None:
        """Append a chunk; wait while the window is full."""
        if chunk:
            self._chunks.append(chunk)
            self._end_offset += len(chunk)
            self._appended_chunks += 1
            self._trim()
            self._wake_readers()
        while self._unread_bytes() > self._window_bytes:
            self._space_freed.clear()
            await self._space_freed.wait()

    def close(self, error: AzurewickError | None = None) -> None:
        """End the answer, with an error if it is incomplete."""
        self._closed = True
        self.error = error
        self._wake_readers()

    def take_unread(self, reader: AnswerReader) -> bytes | None:
        """Return the bytes that a reader hasn't read; None if there are none.

        Raises ReaderTooSlowError when they are no longer buffered.
        """
        if reader.offset < self._start_offset:
            raise ReaderTooSlowError
        if reader.offset == self._end_offset:
            return None
        unread = self._appended_chunks - reader.chunk_count
        parts = [self._chunks[-index] for index in range(unread, 0, -1)]
        reader.offset = self._end_offset
        reader.chunk_count = self._appended_chunks
        self._trim()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def is_at_end(self, reader: AnswerReader) -> bool:
        """Return whether a reader has read everything of an ended answer."""
        return self._closed and reader.offset == self._end_offset

    def _unread_bytes(self) -> int:
        if not self._readers:
            return 0
        return self._end_offset - max(
            reader.offset for reader in self._readers
        )

    def _trim(self) -> None:
        if not self._readers:
            fastest = slowest = self._end_offset
        elif len(self._readers) == 1:
            (reader,) = self._readers
            fastest = slowest = reader.offset
        else:
            offsets = [reader.offset for reader in self._readers]
            fastest, slowest = max(offsets), min(offsets)
        limit = self._history_bytes
        while self._chunks:
            end = self._start_offset + len(self._chunks[0])
            if self.kept_bytes <= limit or end > fastest:
                break
            if end > slowest and self.kept_bytes <= self._window_bytes:
                break
            self._chunks.popleft()
            self._start_offset = end
        self._space_freed.set()

    def _wake_readers(self) -> None:
        for reader in self._readers:
            reader.ready.set()


class AnswerReader:
    """Read position of one caller in an answer."""

    __slots__ = ("_buffer", "chunk_count", "offset", "ready")

    def __init__(self, buffer: AnswerBuffer) -> None:
        self._buffer = buffer
        # Chunks and bytes that have been read.
        self.chunk_count = 0
        self.offset = 0
        self.ready = Event()

    async def async_read(self) -> bytes:
        """Return the next bytes, or b"" at the end of the answer.

        If the answer ended with an error, raises it after the last bytes.
        """
        while True:
            data = self._buffer.take_unread(self)
            if data is not None:
                return data
            if self._buffer.is_at_end(self):
                if self._buffer.error is not None:
                    raise self._buffer.error
                return b""
            self.ready.clear()
            await self.ready.wait()

    def close(self) -> None:
        """Detach the reader from the buffer."""
        self._buffer.close_reader(self)


class EventSplitter:
    """Splits an event stream after its last complete event.

    The incomplete rest is held back. A broken stream thus ends after a
    complete event, and the error event that follows can't be appended to a
    partial one, such as a partial [DONE].
    """

    def __init__(self) -> None:
        self._partial_event = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        data = self._partial_event + chunk if self._partial_event else chunk
        if data.endswith(_EVENT_ENDS):
            self._partial_event = b""
            return data
        end = max(data.rfind(mark) + len(mark) for mark in _EVENT_ENDS)
        if not any(mark in data for mark in _EVENT_ENDS):
            end = 0
        if len(data) - end > MAX_PARTIAL_EVENT_BYTES:
            end = len(data)
        self._partial_event = data[end:]
        return data[:end]

    def finish(self) -> bytes:
        """Return the held-back rest when the stream ends normally."""
        return self._partial_event


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Token counts reported by the engine."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class AnswerMeter:
    """Measures the latencies of an answer and reads its token counts.

    Keeps the last chunks, which are parsed for the token usage, and the
    first kept_body_bytes, which are stored with the claim.
    """

    def __init__(self, kept_body_bytes: int = 0) -> None:
        self.first_chunk_s: float | None = None
        self.last_chunk_s = 0.0
        self.chunk_count = 0
        self._tail: deque[bytes] = deque(maxlen=_TAIL_CHUNKS)
        self._kept_body_bytes = kept_body_bytes
        self.kept_body = b""

    def record(self, chunk: bytes, now_s: float) -> None:
        """Record a chunk that arrived at now_s, in monotonic time."""
        if self.first_chunk_s is None:
            self.first_chunk_s = now_s
        self.last_chunk_s = now_s
        self.chunk_count += 1
        self._tail.append(chunk)
        room = self._kept_body_bytes - len(self.kept_body)
        if room > 0:
            self.kept_body += chunk[:room]

    @property
    def inter_token_s(self) -> float | None:
        """Return the mean time between chunks, None with fewer than two."""
        if self.chunk_count < 2 or self.first_chunk_s is None:
            return None
        return (self.last_chunk_s - self.first_chunk_s) / (
            self.chunk_count - 1
        )

    def read_tail(self) -> bytes:
        """Return the last chunks; for a short answer that is all of it."""
        return b"".join(self._tail)

    def read_usage(self, is_event_stream: bool) -> Usage:
        """Return the token usage from the last events or the JSON body."""
        tail = self.read_tail()
        if not is_event_stream:
            return _parse_usage(tail)
        for line in reversed(tail.splitlines()):
            if line.startswith(b"data:") and b'"usage"' in line:
                return _parse_usage(line[len(b"data:") :])
        return Usage()


def _parse_usage(document: bytes) -> Usage:
    try:
        usage = json.loads(document)["usage"]
        details = usage.get("prompt_tokens_details") or {}
        return Usage(
            prompt_tokens=_token_count(usage, "prompt_tokens"),
            cached_tokens=_token_count(details, "cached_tokens"),
            output_tokens=_token_count(usage, "completion_tokens"),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        # Answers of plain services have no usage.
        return Usage()


def _token_count(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    return value if isinstance(value, int) and value > 0 else 0
