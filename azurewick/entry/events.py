"""Split streams of server-sent events."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Splits a stream of server-sent events at event boundaries.

    last_event_id is the id of the last complete event that has one, and
    event_count the number of complete events.
    """

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self.event_count = 0
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        """Add data; return the events that it completes."""
        data = self._pending + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._pending = data
            return b""
        complete = data[: end + len(_EVENT_END)]
        self._pending = data[end + len(_EVENT_END) :]
        self.event_count += complete.count(_EVENT_END)
        start = max(
            0 if complete.startswith(_ID_FIELD) else -1,
            complete.rfind(b"\n" + _ID_FIELD) + 1,
        )
        if start >= 0 and complete[start:].startswith(_ID_FIELD):
            line = complete[start:].partition(b"\n")[0]
            value = line[len(_ID_FIELD) :].strip()
            self.last_event_id = value.decode("latin-1")
        return complete
