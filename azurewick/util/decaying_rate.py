"""Rate of events of which the newest weigh most."""

from __future__ import annotations

from math import exp


class DecayingRate:
    """Amount a second, weighed by its age with a time constant."""

    __slots__ = ("_sum", "_time_constant_s", "_updated_s")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount."""
        self._sum = self._decayed(now_s) + amount
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the amount a second."""
        return self._decayed(now_s) / self._time_constant_s

    def _decayed(self, now_s: float) -> float:
        passed_s = max(0.0, now_s - self._updated_s)
        return self._sum * exp(-passed_s / self._time_constant_s)
