"""Prediction of how long a request waits for a backend server."""

from __future__ import annotations

from math import floor
from math import inf
from math import log2

from azurewick.util.decaying_rate import DecayingRate

# Time constant of the arrival rates; bursts last a few seconds.
RATE_TIME_CONSTANT_S = 1.5


class ArrivalRates:
    """Rates at which work arrives, by urgency; recent arrivals weigh most.

    A rate is in seconds of work per second. Urgencies are grouped into
    powers of two, which bounds the number of rates kept.
    """

    def __init__(self) -> None:
        self._rates: dict[int, DecayingRate] = {}

    def add(self, urgency: float, work_s: float, now_s: float) -> None:
        """Count the work of a request that arrived."""
        rate = self._rates.setdefault(
            _urgency_bucket(urgency), DecayingRate(RATE_TIME_CONSTANT_S)
        )
        rate.add(work_s, now_s)

    def more_urgent_per_s(self, urgency: float, now_s: float) -> float:
        """Return the arrival rate of work that is more urgent."""
        bucket = _urgency_bucket(urgency)
        return sum(
            rate.per_s(now_s)
            for rate_bucket, rate in self._rates.items()
            if rate_bucket > bucket
        )


def _urgency_bucket(urgency: float) -> int:
    return floor(log2(urgency))


def predict_wait_s(
    work_ahead_s: float, capacity: float, more_urgent_per_s: float
) -> float:
    """Return the predicted wait of a request in seconds.

    work_ahead_s is the work that is already queued and goes first,
    more_urgent_per_s the rate at which further such work arrives, and
    capacity the rate at which the servers do work; both rates are in seconds
    of work per second. The wait is infinite when more urgent work takes the
    whole capacity.
    """
    if work_ahead_s <= 0:
        return 0.0
    free_capacity = capacity - more_urgent_per_s
    return inf if free_capacity <= 0 else work_ahead_s / free_capacity
