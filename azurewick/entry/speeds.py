"""Speeds of backend servers, measured by all instances together.

With many instances each one sends a server a request in many seconds, so that
it can't measure the server's speed by itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.util.decaying_rate import DecayingRate

# Time constant of the measurements. Servers turn slow within seconds, and the
# lengths of single requests make a measurement noisy.
SPEED_TIME_CONSTANT_S = 8.0
# Weight of an instance's own average beside the sum of the measurements.
OWN_AVERAGE_COUNT = 2.0
# The same for first tokens, as their nominal time.
OWN_AVERAGE_FIRST_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class SpeedSample:
    """Sums of the measurements at a server.

    count is their number and slowdown_sum the sum of the slowdowns of whole
    answers. first_s and nominal_first_s are sums of the times to the first
    token, as measured and at the nominal engine: prompts are delayed by
    those of other requests, and large ones most.
    """

    count: float = 0.0
    slowdown_sum: float = 0.0
    first_s: float = 0.0
    nominal_first_s: float = 0.0

    def __add__(self, other: SpeedSample) -> SpeedSample:
        return SpeedSample(
            count=self.count + other.count,
            slowdown_sum=self.slowdown_sum + other.slowdown_sum,
            first_s=self.first_s + other.first_s,
            nominal_first_s=self.nominal_first_s + other.nominal_first_s,
        )

    def mean_slowdown(self, own_average: float) -> float:
        """Return the mean slowdown, own_average without measurements."""
        return (OWN_AVERAGE_COUNT * own_average + self.slowdown_sum) / (
            OWN_AVERAGE_COUNT + self.count
        )

    def first_slowdown(self, own_average: float) -> float:
        """Return the slowdown of first tokens, as mean_slowdown."""
        return (OWN_AVERAGE_FIRST_S * own_average + self.first_s) / (
            OWN_AVERAGE_FIRST_S + self.nominal_first_s
        )


class RecentSpeeds:
    """Measurements at one server, weighted by their age."""

    __slots__ = ("_count", "_first_s", "_nominal_first_s", "_slowdown_sum")

    def __init__(self) -> None:
        self._count = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._slowdown_sum = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._first_s = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._nominal_first_s = DecayingRate(SPEED_TIME_CONSTANT_S)

    def add(self, slowdown: float, now_s: float) -> None:
        """Add the slowdown of a whole answer."""
        self._count.add(1.0, now_s)
        self._slowdown_sum.add(slowdown, now_s)

    def add_first(
        self, first_s: float, nominal_first_s: float, now_s: float
    ) -> None:
        """Add the time to a first token and that at the nominal engine."""
        self._first_s.add(first_s, now_s)
        self._nominal_first_s.add(nominal_first_s, now_s)

    def sample(self, now_s: float) -> SpeedSample:
        """Return the decayed sums."""
        return SpeedSample(
            count=_decayed_sum(self._count, now_s),
            slowdown_sum=_decayed_sum(self._slowdown_sum, now_s),
            first_s=_decayed_sum(self._first_s, now_s),
            nominal_first_s=_decayed_sum(self._nominal_first_s, now_s),
        )


def _decayed_sum(rate: DecayingRate, now_s: float) -> float:
    return rate.per_s(now_s) * SPEED_TIME_CONSTANT_S
