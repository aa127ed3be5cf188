"""Exponentially decaying rate."""

from __future__ import annotations

from math import exp


class DecayingRate:
    """Amount per second, with weights that decay exponentially with age."""

    __slots__ = ("_sum", "_time_constant_s", "_updated_s")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at a time."""
        self._sum = self._decayed(now_s) + amount
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the weighted amount per second."""
        return self._decayed(now_s) / self._time_constant_s

    def _decayed(self, now_s: float) -> float:
        passed_s = max(0.0, now_s - self._updated_s)
        return self._sum * exp(-passed_s / self._time_constant_s)
