"""Tests of the account of callers' connections, without a network."""

from __future__ import annotations

from dataclasses import dataclass
from unittest import TestCase

from azurewick.helpers.caller_memory import CallerLimits
from azurewick.helpers.caller_memory import CallerMemory
from azurewick.helpers.caller_memory import CloseCause
from azurewick.helpers.unread_answer import UnreadAnswer


@dataclass(eq=False)
class Holder:
    """Connection with the time of its last answer."""

    progress_s: float


class CallerMemoryTest(TestCase):
    """Guards against connections that together take all memory."""

    def setUp(self):
        self.memory = CallerMemory(CallerLimits(memory_bytes=100))

    def hold(self, held_bytes, progress_s=0.0):
        holder = Holder(progress_s)
        self.memory.update(holder, held_bytes)
        return holder

    def test_none_is_closed_within_the_limit(self):
        self.hold(60)
        self.hold(40)
        self.assertEqual([], self.memory.choose_closed(9.0))

    def test_one_that_holds_most_for_longest_is_closed_first(self):
        self.hold(50, progress_s=9.0)
        stalled = self.hold(40)
        self.hold(30, progress_s=1.0)
        self.assertEqual([stalled], self.memory.choose_closed(10.0))

    def test_only_connection_may_exceed_the_limit(self):
        self.hold(500)
        self.assertEqual([], self.memory.choose_closed(9.0))

    def test_released_bytes_are_counted_once(self):
        holder = self.hold(90)
        self.memory.update(holder, 20)
        self.memory.remove(holder)
        self.memory.remove(holder)
        self.assertEqual(0, self.memory.held_bytes)

    def test_flood_of_closed_connections_gives_one_line_and_all_counts(self):
        causes = []
        self.memory.on_close = causes.append
        with self.assertLogs("azurewick.helpers.caller_memory") as logs:
            for now_s in range(30):
                self.memory.record_close(CloseCause.MEMORY, now_s)
        self.assertEqual(1, len(logs.records))
        self.assertEqual([CloseCause.MEMORY] * 30, causes)


class UnreadAnswerTest(TestCase):
    """Guards against callers on slow links that lose their answers."""

    def test_only_an_answer_of_which_nothing_is_taken_stalls(self):
        for sizes, may_grow, expected_s in (
            ((500, 500, 500), False, 2.0),
            ((500, 499, 498), False, 0.0),
            ((500, 500, 499), False, 0.0),
            ((500, 0, 500), False, 0.0),
            ((500, 500, 600), True, 0.0),
        ):
            with self.subTest(sizes=sizes):
                unread = UnreadAnswer()
                for now_s, size in enumerate((1000, *sizes), 70):
                    stalled_s = unread.stalled_s(
                        size, now_s, may_grow=may_grow
                    )
                self.assertEqual(expected_s, stalled_s)
