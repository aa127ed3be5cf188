"""Latency of a server as a function of the number of its requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp
from math import log
from math import sqrt

# Time constant of the means from which deviations are taken. A server's own
# speed may change within seconds; a longer time would take that for an effect
# of the load.
MEAN_TIME_CONSTANT_S = 4.0
# Time constant of the sums of products of deviations.
CURVE_TIME_CONSTANT_S = 30.0
# Residuals of fewer samples than this say nothing about the noise.
MIN_DEGREES = 10.0
# Lower bound of the noise of a sample, on the logarithmic scale.
MIN_NOISE = 0.08
# By how many standard errors another bend than the expected one has to explain
# the samples better.
MIN_GAIN_ERRORS = 3.0
# Bound of the correlation of the noise of successive samples.
MAX_CORRELATION = 0.95
# Bounds of the logarithm of a slowdown, and of its deviation from the mean.
# Larger deviations come from changes of the server's own speed.
MAX_LOG_SLOWDOWN = 3.5
MAX_DEVIATION = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class Bend:
    """Bend of the curve at a load.

    slope is the growth of the latency above it on a double logarithmic scale:
    0 while the server isn't crowded, 1 if more requests yield no more
    throughput. error is its standard error.
    """

    load: float
    slope: float
    error: float


class _Knee:
    """Sums for a curve that bends at a load."""

    __slots__ = ("load", "load_load", "load_slowdown", "log_load", "mean")

    def __init__(self, load: float) -> None:
        self.load = load
        self.log_load = log(load)
        self.mean = 0.0
        self.load_load = 0.0
        self.load_slowdown = 0.0

    def add(
        self, log_load: float, deviation: float, weight: float, share: float
    ) -> None:
        """Add a sample; weight and share are those of Welford's method."""
        value = max(0.0, log_load - self.log_load)
        difference = value - self.mean
        self.load_load += share * difference**2
        self.load_slowdown += share * difference * deviation
        self.mean += difference / weight

    @property
    def explained(self) -> float:
        """Return the part of the squared deviations that is explained."""
        if self.load_slowdown <= 0:
            return 0.0
        return self.load_slowdown**2 / self.load_load


class LoadCurve:
    """Regression of the latency on the load, relative to recent means.

    The model is: logarithm of the slowdown = speed of the server + slope *
    max(0, logarithm of load / knee), where the speed changes over seconds. It
    is fitted for several knees at once.
    """

    def __init__(self, knees: Iterable[float]) -> None:
        self._knees = [_Knee(max(1.0, load)) for load in knees]
        self._mean = 0.0
        self._mean_weight = 0.0
        self._squares = 0.0
        self._degrees = 0.0
        self._updated_s = 0.0
        # The bend that was found last, to tell noise from effects of the
        # load, the last residual and the sum of products of two in a row.
        self._found: tuple[_Knee, float] | None = None
        self._last_residual = 0.0
        self._residual_products = 0.0
        self._residual_squares = 0.0

    def add(self, load: float, log_slowdown: float, now_s: float) -> None:
        """Add the slowdown of a request that ran at a load."""
        self._decay(now_s)
        log_load = log(max(1.0, load))
        share = self._mean_weight / (self._mean_weight + 1.0)
        weight = self._mean_weight + 1.0
        difference = log_slowdown - self._mean
        deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, difference))
        residual = deviation
        if self._found is not None:
            knee, slope = self._found
            value = max(0.0, log_load - knee.log_load)
            residual -= slope * (value - knee.mean)
        self._residual_products += residual * self._last_residual
        self._residual_squares += residual**2
        self._last_residual = residual
        for knee in self._knees:
            knee.add(log_load, deviation, weight, share)
        self._mean += difference / weight
        self._mean_weight = weight
        self._squares += share * deviation**2
        self._degrees += share

    def sharpest_bend(self, expected: float | None) -> Bend | None:
        """Return the bend that explains the samples best, if any does.

        expected is the load at which the curve bends if the server behaves as
        announced. Another one has to explain significantly more.
        """
        best = max(self._knees, key=lambda knee: knee.explained)
        bend = self._bend(best) if best.explained else None
        self._found = None if bend is None else (best, bend.slope)
        if bend is None or expected is None:
            return bend
        usual = self._nearest(expected)
        noise = bend.error * sqrt(best.load_load)
        if best.explained - usual.explained < (MIN_GAIN_ERRORS * noise) ** 2:
            return self._bend(usual)
        return bend

    def bend_near(self, load: float) -> Bend | None:
        """Return the bend at the knee that is nearest to a load."""
        return self._bend(self._nearest(load))

    def _nearest(self, load: float) -> _Knee:
        return min(self._knees, key=lambda knee: abs(knee.load - load))

    def _bend(self, knee: _Knee) -> Bend | None:
        if self._degrees < MIN_DEGREES or knee.load_load <= 0:
            return None
        slope = knee.load_slowdown / knee.load_load
        residual = max(0.0, self._squares - slope * knee.load_slowdown)
        noise = max(MIN_NOISE, sqrt(residual / (self._degrees - 1.0)))
        return Bend(
            load=knee.load,
            slope=slope,
            error=noise * self._noise_factor() / sqrt(knee.load_load),
        )

    def _noise_factor(self) -> float:
        """Return by how much errors grow as the noise is correlated.

        A change of a server's own speed affects many samples in a row, which
        together tell no more than a few independent ones.
        """
        if self._residual_squares <= 0:
            return 1.0
        correlation = self._residual_products / self._residual_squares
        correlation = min(MAX_CORRELATION, max(0.0, correlation))
        return sqrt((1.0 + correlation) / (1.0 - correlation))

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self._mean_weight *= exp(-passed_s / MEAN_TIME_CONSTANT_S)
        factor = exp(-passed_s / CURVE_TIME_CONSTANT_S)
        self._squares *= factor
        self._degrees *= factor
        self._residual_products *= factor
        self._residual_squares *= factor
        for knee in self._knees:
            knee.load_load *= factor
            knee.load_slowdown *= factor


def clip_log(slowdown: float) -> float:
    """Return the logarithm of a slowdown within its bounds."""
    if slowdown <= 0:
        return -MAX_LOG_SLOWDOWN
    return min(MAX_LOG_SLOWDOWN, max(-MAX_LOG_SLOWDOWN, log(slowdown)))
