"""Event loop in virtual time."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import Any


class VirtualClock:
    """Runs callbacks in the order of their virtual times.

    Callbacks of the same time run in the order in which they were added.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []

    def call_at(
        self, time_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback for a time, or for now if that has passed."""
        self._sequence += 1
        heapq.heappush(
            self._events,
            (max(time_s, self.now_s), self._sequence, callback, args),
        )

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback, *args)

    def run(self, until_s: float) -> None:
        """Run all callbacks up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now_s = until_s
