"""Decision whether a request may wait for a backend server."""

from __future__ import annotations

from math import floor
from math import inf
from math import log2

from azurewick.util.decaying_rate import DecayingRate

# Time constant of the arrival rates. Bursts last some seconds.
RATE_TIME_CONSTANT_S = 1.5


class ArrivalRates:
    """Work that arrives a second; recent arrivals weigh most.

    Urgencies are counted by powers of two, which bounds the state.
    """

    def __init__(self) -> None:
        self._rates: dict[int, DecayingRate] = {}

    def add(self, urgency: float, work_s: float, now_s: float) -> None:
        """Count the work of one arrival."""
        rate = self._rates.setdefault(
            _bucket(urgency), DecayingRate(RATE_TIME_CONSTANT_S)
        )
        rate.add(work_s, now_s)

    def above(self, urgency: float, now_s: float) -> float:
        """Return the work a second that goes before an urgency."""
        key = _bucket(urgency)
        return sum(
            rate.per_s(now_s)
            for other, rate in self._rates.items()
            if other > key
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
