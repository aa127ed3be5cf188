"""Decision whether a request may wait for a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from math import floor
from math import inf
from math import log2

# Time constant of the arrival rates. Bursts last some seconds.
RATE_TIME_CONSTANT_S = 1.5


@dataclass(slots=True)
class _DecayingSum:
    value: float
    updated_s: float

    def at(self, now_s: float) -> float:
        passed_s = max(0.0, now_s - self.updated_s)
        return self.value * exp(-passed_s / RATE_TIME_CONSTANT_S)


class ArrivalRates:
    """Work that arrives a second; recent arrivals weigh most.

    Urgencies are counted by powers of two, which bounds the state.
    """

    def __init__(self) -> None:
        self._sums: dict[int, _DecayingSum] = {}

    def add(self, urgency: float, work_s: float, now_s: float) -> None:
        """Count the work of one arrival."""
        key = _bucket(urgency)
        known = self._sums.get(key)
        before = 0.0 if known is None else known.at(now_s)
        self._sums[key] = _DecayingSum(before + work_s, now_s)

    def above(self, urgency: float, now_s: float) -> float:
        """Return the work a second that goes before an urgency."""
        key = _bucket(urgency)
        return (
            sum(
                total.at(now_s)
                for other, total in self._sums.items()
                if other > key
            )
            / RATE_TIME_CONSTANT_S
        )


def _bucket(urgency: float) -> int:
    return floor(log2(urgency))


def predict_wait_s(
    work_ahead_s: float, capacity: float, urgent_work_per_s: float
) -> float:
    """Return how long a request waits behind the work ahead of it.

    capacity is the work a second that the servers do, and urgent_work_per_s
    the work that arrives meanwhile and goes first. Infinite if that is more
    than the capacity.
    """
    if work_ahead_s <= 0:
        return 0.0
    free = capacity - urgent_work_per_s
    return inf if free <= 0 else work_ahead_s / free
