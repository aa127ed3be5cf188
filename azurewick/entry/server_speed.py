"""Present speed of a server, from the answers of the last seconds."""

from __future__ import annotations

from math import exp

from azurewick.entry.load_curve import clip_log
from azurewick.util.decaying_rate import DecayingRate

# Time constant of the speed, and the weight of the speed that was averaged
# over a longer time, as a number of answers.
SPEED_TIME_CONSTANT_S = 2.0
SLOW_AVERAGE_COUNT = 2.0
# Weight of a time to the first output beside that of a whole answer. It is
# known much earlier, but depends on the prompts of other requests.
FIRST_WEIGHT = 0.5
# Weight of the newest time in the long averages, and the number of first
# outputs from which on their average is used.
AVERAGE_WEIGHT = 0.01
MIN_FIRST_OUTPUTS = 10


class MovingAverage:
    """Moving average that starts as a plain mean."""

    __slots__ = ("_weight", "count", "value")

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self.count = 0
        self.value = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        weight = max(self._weight, 1.0 / self.count)
        self.value += weight * (value - self.value)


class ServerSpeed:
    """Recent slowdown of a server, on the logarithmic scale."""

    def __init__(self) -> None:
        self._count = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._sum = DecayingRate(SPEED_TIME_CONSTANT_S)
        self._answers = MovingAverage(AVERAGE_WEIGHT)
        self._firsts = MovingAverage(AVERAGE_WEIGHT)

    def add(self, slowdown: float, now_s: float) -> None:
        """Add the slowdown of a whole answer."""
        value = clip_log(slowdown)
        self._answers.add(value)
        self._count.add(1.0, now_s)
        self._sum.add(value, now_s)

    def add_first(self, slowdown: float, now_s: float) -> None:
        """Add the slowdown of a first output, by its deviation.

        First outputs and whole answers differ in what they are relative to.
        """
        value = clip_log(slowdown)
        if self._firsts.count >= MIN_FIRST_OUTPUTS and self._answers.count:
            deviation = value - self._firsts.value
            self._count.add(FIRST_WEIGHT, now_s)
            self._sum.add(
                FIRST_WEIGHT * (self._answers.value + deviation), now_s
            )
        self._firsts.add(value)

    def slowdown(self, average: float, now_s: float) -> float:
        """Return the present slowdown; average is that of a longer time."""
        count = self._count.per_s(now_s) * SPEED_TIME_CONSTANT_S
        total = self._sum.per_s(now_s) * SPEED_TIME_CONSTANT_S
        return exp(
            (SLOW_AVERAGE_COUNT * clip_log(average) + total)
            / (SLOW_AVERAGE_COUNT + count)
        )
