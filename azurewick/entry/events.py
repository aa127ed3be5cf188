"""Split streams of server-sent events."""

from __future__ import annotations

from collections.abc import Sequence
import re

# An event ends with an empty line.
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_ID_FIELD = b"id"
_COMMENT = b":"
_MAX_ID_CHARS = 128
_DIGITS = re.compile(r"([0-9]+)")

# Maximum size of an event, with the comments and empty lines before it; those
# of model engines hold a few tokens.
MAX_EVENT_BYTES = 65_536


class EventTooLargeError(ValueError):
    """A stream goes on for long without completing an event."""


class EventOrderError(ValueError):
    """An event doesn't come after the one before it."""


class StreamPosition:
    """Position of a caller in a stream of events with rising ids.

    last_event_id is the id of the last event that has one. is_exact says
    whether it is also the last event that the caller has, so that the stream
    can go on right after it. Ids are compared by the numbers in them, and
    can't be compared if they differ in their other text.
    """

    def __init__(self, last_event_id: str | None) -> None:
        self.last_event_id = last_event_id
        self.is_exact = True

    def advance(self, event_ids: Sequence[str | None]) -> None:
        """Move on by events, of which None stands for one without an id.

        Raises EventOrderError, and doesn't move, when an id isn't above the
        one before it.
        """
        last_id, is_exact = self.last_event_id, self.is_exact
        for event_id in event_ids:
            is_exact = False
            if event_id is None or not _is_usable(event_id):
                continue
            texts, numbers = _split_id(event_id)
            last_texts, last_numbers = texts, None
            if last_id is not None:
                last_texts, last_numbers = _split_id(last_id)
            is_exact = texts == last_texts
            if is_exact and last_numbers is not None:
                if numbers <= last_numbers:
                    raise EventOrderError(
                        f"event {event_id} comes after event {last_id}"
                    )
            last_id = event_id
        self.last_event_id, self.is_exact = last_id, is_exact


class EventSplitter:
    """Splits a stream of server-sent events at event boundaries.

    event_count is the number of complete events, and new_event_ids has the
    ids of those that the last data has completed, None for one without an
    id. A block of comments alone, as servers send it to keep a connection
    open, is no event.
    """

    def __init__(self) -> None:
        self.event_count = 0
        self.new_event_ids: list[str | None] = []
        self._pending = bytearray()
        # Size of the data after the last event.
        self._bytes_since_event = 0

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add data; return the events that it completes.

        Raises EventTooLargeError when over MAX_EVENT_BYTES complete no event.
        """
        # Earlier data was searched when it arrived, except for an event end
        # that the new data completes.
        search_start = max(0, len(self._pending) - 2)
        self._pending += data
        self._bytes_since_event += len(data)
        self.new_event_ids = []
        complete = b""
        end = _find_last_end(self._pending, search_start)
        if end >= 0:
            complete = bytes(self._pending[:end])
            del self._pending[:end]
            self.new_event_ids = _parse_event_ids(complete)
        if self.new_event_ids:
            self.event_count += len(self.new_event_ids)
            self._bytes_since_event = len(self._pending)
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"no event ends within {MAX_EVENT_BYTES} bytes"
            )
        return complete


def _find_last_end(data: bytearray, start: int) -> int:
    """Return the index after the last complete event, -1 without one."""
    found = -1
    for mark in _EVENT_ENDS:
        index = data.rfind(mark, start)
        if index >= 0:
            found = max(found, index + len(mark))
    return found


def _parse_event_ids(complete: bytes) -> list[str | None]:
    """Return the id of each event, None for one without an id."""
    event_ids = []
    for block in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
        is_event = False
        event_id = None
        for line in block.split(b"\n"):
            if not line or line.startswith(_COMMENT):
                continue
            is_event = True
            name, _, value = line.partition(b":")
            if name == _ID_FIELD:
                event_id = value.strip().decode("latin-1")
        if is_event:
            event_ids.append(event_id)
    return event_ids


def _is_usable(event_id: str) -> bool:
    """Return whether an id can be sent in a header."""
    return (
        0 < len(event_id) <= _MAX_ID_CHARS
        and event_id.isascii()
        and event_id.isprintable()
    )


def _split_id(event_id: str) -> tuple[list[str], list[int]]:
    """Return the texts of an id and the numbers between them."""
    parts = _DIGITS.split(event_id[:_MAX_ID_CHARS])
    return parts[::2], [int(part) for part in parts[1::2]]
