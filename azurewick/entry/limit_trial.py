"""Trials of another limit, where the load alone doesn't vary enough.

On a full server the load equals the limit, so that nothing is learned of how
the latency depends on it. The limit is changed for some seconds, and the
latencies before and after are compared.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import sqrt
from statistics import fmean
from statistics import variance

# Length of a trial, and the time after its start from which answers count:
# requests that were sent before end first.
TRIAL_S = 6.0
SETTLE_S = 1.5
# Answers of this time before a trial are compared.
BEFORE_S = 5.0
# Answers needed on each side.
MIN_ANSWERS = 6
# Smallest change of the logarithm of the load that a trial has to cause.
MIN_LOAD_CHANGE = 0.03
# Bound of the answers that are kept.
MAX_ANSWERS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class TrialResult:
    """Growth of the latency with the load, as Bend has it."""

    slope: float
    error: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Number of answers, their means and the variance of the slowdown.

    Load and slowdown are on the logarithmic scale.
    """

    count: int
    load: float
    slowdown: float
    variance: float


class RecentAnswers:
    """Loads and slowdowns of the last answers, on the logarithmic scale."""

    def __init__(self) -> None:
        self._answers: deque[tuple[float, float, float]] = deque(
            maxlen=MAX_ANSWERS
        )

    def add(self, log_load: float, log_slowdown: float, now_s: float) -> None:
        """Add an answer."""
        self._answers.append((now_s, log_load, log_slowdown))

    def since(self, start_s: float) -> Answers | None:
        """Return the answers after a time, None if they are few."""
        recent = [item for item in self._answers if item[0] > start_s]
        if len(recent) < MIN_ANSWERS:
            return None
        slowdowns = [slowdown for _, _, slowdown in recent]
        return Answers(
            count=len(recent),
            load=fmean(load for _, load, _ in recent),
            slowdown=fmean(slowdowns),
            variance=variance(slowdowns),
        )


def compare_answers(before: Answers, after: Answers) -> TrialResult | None:
    """Compare answers before a trial and in it.

    Returns None if the load is the same.
    """
    change = after.load - before.load
    if abs(change) <= MIN_LOAD_CHANGE:
        return None
    noise = sqrt(before.variance / before.count + after.variance / after.count)
    return TrialResult(
        slope=(after.slowdown - before.slowdown) / change,
        error=noise / abs(change),
    )
