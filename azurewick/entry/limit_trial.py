"""Trials of another limit, where the load alone doesn't vary enough.

On a full server the load equals the limit, so that nothing is learned of how
the latency depends on it. The limit is changed for some seconds, and the
latencies before and after are compared.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
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
# Bound of the answers that are kept.
MAX_ANSWERS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class TrialResult:
    """Growth of the latency with the load, as Bend has it.

    load_change is that of the logarithm of the load.
    """

    slope: float
    error: float
    load_change: float


class RecentAnswers:
    """Loads and slowdowns of the last answers, on the logarithmic scale."""

    def __init__(self) -> None:
        self._answers: deque[tuple[float, float, float]] = deque(
            maxlen=MAX_ANSWERS
        )

    def add(self, log_load: float, log_slowdown: float, now_s: float) -> None:
        """Add an answer."""
        self._answers.append((now_s, log_load, log_slowdown))

    def means(self, now_s: float) -> tuple[float, float] | None:
        """Return the means of load and slowdown, None with few answers."""
        answers = self._between(now_s - BEFORE_S, now_s)
        if len(answers) < MIN_ANSWERS:
            return None
        return (
            fmean(load for load, _ in answers),
            fmean(slowdown for _, slowdown in answers),
        )

    def compare(self, started_s: float, now_s: float) -> TrialResult | None:
        """Compare answers before a trial and in it, None with few answers."""
        before = self._between(started_s - BEFORE_S, started_s)
        after = self._between(started_s + SETTLE_S, now_s)
        if min(len(before), len(after)) < MIN_ANSWERS:
            return None
        change = fmean(load for load, _ in after) - fmean(
            load for load, _ in before
        )
        latencies = [
            [slowdown for _, slowdown in part] for part in (before, after)
        ]
        difference = fmean(latencies[1]) - fmean(latencies[0])
        noise = sqrt(sum(variance(part) / len(part) for part in latencies))
        if not change:
            return TrialResult(slope=0.0, error=inf, load_change=0.0)
        return TrialResult(
            slope=difference / change,
            error=noise / abs(change),
            load_change=change,
        )

    def _between(
        self, start_s: float, end_s: float
    ) -> list[tuple[float, float]]:
        return [
            (load, slowdown)
            for ended_s, load, slowdown in self._answers
            if start_s < ended_s <= end_s
        ]
