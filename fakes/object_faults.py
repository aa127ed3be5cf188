"""Faults and rate limits of the object API stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from time import monotonic

OUTAGE_NONE = "none"
OUTAGE_REFUSE = "refuse"
OUTAGE_UNAVAILABLE = "unavailable"


@dataclass(frozen=True, kw_only=True)
class ObjectApiFaults:
    """Faults of the object API.

    outage is none, refuse (the port is closed and open connections are cut)
    or unavailable (503). outage_s ends it after a time; refuse can't be
    ended over HTTP without it. lose_answers is the number of writes that
    take effect without an answer, delay_s the time before each call.
    """

    outage: str = OUTAGE_NONE
    outage_s: float | None = None
    lose_answers: int = 0
    delay_s: float = 0.0


class CallBucket:
    """Token bucket over calls, with a burst of one second."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._calls = rate_per_s
        self._updated_s = monotonic()

    def take(self) -> float:
        """Take one call and return 0, or the time until one may pass."""
        now_s = monotonic()
        gained = (now_s - self._updated_s) * self._rate_per_s
        self._calls = min(self._rate_per_s, self._calls + gained)
        self._updated_s = now_s
        if self._calls >= 1.0:
            self._calls -= 1.0
            return 0.0
        return (1.0 - self._calls) / self._rate_per_s
