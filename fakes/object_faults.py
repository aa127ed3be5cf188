"""Faults and rate limits of the object API stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from time import monotonic

OUTAGE_NONE = "none"
OUTAGE_REFUSE = "refuse"
OUTAGE_UNAVAILABLE = "unavailable"


@dataclass(frozen=True, kw_only=True)
class ObjectApiFaults:
    """Faults injected into the object API.

    outage is "none", "refuse" (the port is closed and open connections are
    cut) or "unavailable" (each call gets a 503). outage_s is the time after
    which the outage ends; without it, a "refuse" outage can't be ended over
    HTTP. The next lose_answers writes take effect without a response.
    delay_s is added before each call is handled.
    """

    outage: str = OUTAGE_NONE
    outage_s: float | None = None
    lose_answers: int = 0
    delay_s: float = 0.0


class CallBucket:
    """Token bucket that limits calls; a burst is the calls of one second."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._available_calls = rate_per_s
        self._updated_s = monotonic()

    def take(self) -> float:
        """Take one call from the bucket.

        Returns 0.0 when the call may proceed, otherwise the time in seconds
        until the next call may.
        """
        now_s = monotonic()
        refilled_calls = (now_s - self._updated_s) * self._rate_per_s
        self._available_calls = min(
            self._rate_per_s, self._available_calls + refilled_calls
        )
        self._updated_s = now_s
        if self._available_calls >= 1.0:
            self._available_calls -= 1.0
            return 0.0
        return (1.0 - self._available_calls) / self._rate_per_s
