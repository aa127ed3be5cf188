"""Bytes of an answer between the agent and the callers."""

from __future__ import annotations

from asyncio import Event
from collections import deque
from dataclasses import dataclass
import json
from typing import Any

from azurewick.errors import AzurewickError

CONTENT_TYPE_EVENTS = "text/event-stream"
# Bytes that the fastest reader may be behind the agent. It covers a burst of
# several hundred token chunks; beyond it the agent's connection is paused.
WINDOW_BYTES = 65_536
# Bytes kept for callers that join a running request: about 3,000 token
# chunks.
HISTORY_BYTES = 262_144
# An event that doesn't end within this size is passed on in parts.
MAX_HELD_BYTES = 65_536
# The usage is in the last chunk, which is followed by [DONE] at most.
_TAIL_CHUNKS = 8
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Head of an answer; replayed when it is stored from an earlier run."""

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
    """The bytes a reader needs next are no longer kept."""


class AnswerBuffer:
    """Passes chunks from one writer to the readers in bounded memory.

    The writer waits while the fastest reader is more than the window behind.
    A reader that joins starts at the first byte. One that falls back behind
    the kept history is cut off, so that it can't slow the other readers.
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
        # Stream offsets in bytes of the first kept byte and of the end.
        self._start = 0
        self._end = 0
        self._chunk_count = 0
        self._readers: set[AnswerReader] = set()
        self._drained = Event()
        self._closed = False
        self.error: AzurewickError | None = None

    @property
    def kept_bytes(self) -> int:
        """Return the size of the chunks in memory."""
        return self._end - self._start

    @property
    def is_closed(self) -> bool:
        """Return whether the answer has ended."""
        return self._closed

    @property
    def can_join(self) -> bool:
        """Return whether a new reader would get the whole answer."""
        return self._start == 0

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
        """Stop to keep chunks for a reader."""
        self._readers.discard(reader)
        self._trim()

    async def async_append(self, chunk: bytes) -> None:
        """Add a chunk; wait while the window is full."""
        if chunk:
            self._chunks.append(chunk)
            self._end += len(chunk)
            self._chunk_count += 1
            self._trim()
            self._wake_readers()
        while self._unread() > self._window_bytes:
            self._drained.clear()
            await self._drained.wait()

    def close(self, error: AzurewickError | None = None) -> None:
        """End the answer, with an error when it is not whole."""
        self._closed = True
        self.error = error
        self._wake_readers()

    def take(self, reader: AnswerReader) -> bytes | None:
        """Return all bytes a reader hasn't had; None when there are none.

        Raises ReaderTooSlowError when they are no longer kept.
        """
        if reader.offset < self._start:
            raise ReaderTooSlowError
        if reader.offset == self._end:
            return None
        unread = self._chunk_count - reader.chunk_count
        parts = [self._chunks[-index] for index in range(unread, 0, -1)]
        reader.offset = self._end
        reader.chunk_count = self._chunk_count
        self._trim()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def is_at_end(self, reader: AnswerReader) -> bool:
        """Return whether a reader has had the whole answer."""
        return self._closed and reader.offset == self._end

    def _unread(self) -> int:
        if not self._readers:
            return 0
        return self._end - max(reader.offset for reader in self._readers)

    def _trim(self) -> None:
        if not self._readers:
            fastest = slowest = self._end
        elif len(self._readers) == 1:
            (reader,) = self._readers
            fastest = slowest = reader.offset
        else:
            offsets = [reader.offset for reader in self._readers]
            fastest, slowest = max(offsets), min(offsets)
        limit = self._history_bytes
        while self._chunks:
            end = self._start + len(self._chunks[0])
            if self.kept_bytes <= limit or end > fastest:
                break
            if end > slowest and self.kept_bytes <= self._window_bytes:
                break
            self._chunks.popleft()
            self._start = end
        self._drained.set()

    def _wake_readers(self) -> None:
        for reader in self._readers:
            reader.ready.set()


class AnswerReader:
    """Position of one caller in an answer."""

    __slots__ = ("_buffer", "chunk_count", "offset", "ready")

    def __init__(self, buffer: AnswerBuffer) -> None:
        self._buffer = buffer
        self.chunk_count = 0
        self.offset = 0
        self.ready = Event()

    async def async_read(self) -> bytes:
        """Return the next bytes, empty at the end.

        Raises AzurewickError when the answer is broken, after its bytes.
        """
        while True:
            data = self._buffer.take(self)
            if data is not None:
                return data
            if self._buffer.is_at_end(self):
                if self._buffer.error is not None:
                    raise self._buffer.error
                return b""
            self.ready.clear()
            await self.ready.wait()

    def close(self) -> None:
        """Free the reader."""
        self._buffer.close_reader(self)


class EventSplitter:
    """Holds back the incomplete end of an event stream.

    A broken stream then ends with a whole event, and the error event that
    follows can't complete a partial one, such as a partial [DONE].
    """

    def __init__(self) -> None:
        self._held = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        data = self._held + chunk if self._held else chunk
        if data.endswith(_EVENT_ENDS):
            self._held = b""
            return data
        end = max(data.rfind(mark) + len(mark) for mark in _EVENT_ENDS)
        if not any(mark in data for mark in _EVENT_ENDS):
            end = 0
        if len(data) - end > MAX_HELD_BYTES:
            end = len(data)
        self._held = data[end:]
        return data[:end]

    def finish(self) -> bytes:
        """Return what is held at the regular end of the stream."""
        return self._held


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Token counts as the engine gives them."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class AnswerMeter:
    """Times and token counts of an answer.

    Only the last chunks are kept, and only they are parsed.
    """

    def __init__(self, history_bytes: int = 0) -> None:
        self.first_chunk_s: float | None = None
        self.last_chunk_s = 0.0
        self.chunks = 0
        self._tail: deque[bytes] = deque(maxlen=_TAIL_CHUNKS)
        self._history_bytes = history_bytes
        self.history = b""

    def record(self, chunk: bytes, now_s: float) -> None:
        """Count a chunk; keep the answer's beginning for its claim."""
        if self.first_chunk_s is None:
            self.first_chunk_s = now_s
        self.last_chunk_s = now_s
        self.chunks += 1
        self._tail.append(chunk)
        room = self._history_bytes - len(self.history)
        if room > 0:
            self.history += chunk[:room]

    @property
    def inter_token_s(self) -> float | None:
        """Return the mean time between chunks, None below two chunks."""
        if self.chunks < 2 or self.first_chunk_s is None:
            return None
        return (self.last_chunk_s - self.first_chunk_s) / (self.chunks - 1)

    def read_tail(self) -> bytes:
        """Return the last chunks, the whole of a short answer."""
        return b"".join(self._tail)

    def read_usage(self, is_event_stream: bool) -> Usage:
        """Return the usage in the last event or the JSON answer."""
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
            prompt_tokens=_count(usage, "prompt_tokens"),
            cached_tokens=_count(details, "cached_tokens"),
            output_tokens=_count(usage, "completion_tokens"),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        # Plain services answer in their own form.
        return Usage()


def _count(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    return value if isinstance(value, int) and value > 0 else 0
