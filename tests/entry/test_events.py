"""Tests of the splitting of server-sent events."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies

from azurewick.entry.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\n\nid: 3\nx-weight-versions: 4\ndata\n\n"


class EventSplitterTest(TestCase):
    """Guards against events that are split, lost or counted twice."""

    @given(strategies.lists(strategies.integers(1, 9), max_size=40))
    def test_any_chunk_sizes_give_the_same_stream(self, sizes):
        splitter = EventSplitter()
        data, out = STREAM, b""
        for size in [*sizes, len(STREAM)]:
            out += splitter.feed(data[:size])
            data = data[size:]
        self.assertEqual(STREAM, out)
        self.assertEqual(b"", splitter.pending)
        self.assertEqual("3", splitter.last_event_id)
        self.assertEqual(3, splitter.event_count)

    def test_incomplete_event_is_held_back(self):
        splitter = EventSplitter()
        self.assertEqual(b"id: 1\n\n", splitter.feed(b"id: 1\n\nid: 2\nda"))
        self.assertEqual(b"id: 2\nda", splitter.pending)
        self.assertEqual("1", splitter.last_event_id)
