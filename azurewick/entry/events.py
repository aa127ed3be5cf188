"""Splitter of server-sent events."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Cuts a stream of server-sent events at the ends of its events.

    last_event_id is the id of the last whole event, and events the number
    of whole events.
    """

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self.events = 0
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with this data."""
        data = self._rest + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        whole = data[: end + len(_EVENT_END)]
        self._rest = data[end + len(_EVENT_END) :]
        self.events += whole.count(_EVENT_END)
        start = max(
            0 if whole.startswith(_ID_FIELD) else -1,
            whole.rfind(b"\n" + _ID_FIELD) + 1,
        )
        if start >= 0 and whole[start:].startswith(_ID_FIELD):
            line = whole[start:].partition(b"\n")[0]
            value = line[len(_ID_FIELD) :].strip()
            self.last_event_id = value.decode("latin-1")
        return whole
