"""Limit on log lines about faults that are read again and again."""

from __future__ import annotations

from collections.abc import Hashable

INTERVAL_S = 60.0
MAX_LINES = 20


class LogLimit:
    """Allows one line for each key and MAX_LINES lines in an interval."""

    def __init__(self) -> None:
        self._keys: set[Hashable] = set()
        self._started_s = float("-inf")

    def allows(self, key: Hashable, now_s: float) -> bool:
        """Return whether a line about key may be logged at now_s."""
        if now_s - self._started_s >= INTERVAL_S:
            self._keys.clear()
            self._started_s = now_s
        if key in self._keys or len(self._keys) >= MAX_LINES:
            return False
        self._keys.add(key)
        return True
