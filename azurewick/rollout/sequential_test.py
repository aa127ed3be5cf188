"""Sequential tests of a new version against the old one."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

# A version is rejected wrongly at most once in this many of its requests,
# for each route and kind of outcome that is tested (Lorden's bound for the
# cumulative sum test). A move has far fewer requests.
REQUESTS_PER_FALSE_REJECTION = 1e8
# The evidence without the worst server has to show the fault as well. The
# weaker bound is enough because both tests have to agree.
REQUESTS_PER_FALSE_REJECTION_OF_REST = 1e5
# Probability that a version as bad as the alternative is accepted at a step.
FALSE_ACCEPTANCE_RATE = 1e-3

REJECTION_BOUND = log(REQUESTS_PER_FALSE_REJECTION)
REST_REJECTION_BOUND = log(REQUESTS_PER_FALSE_REJECTION_OF_REST)
ACCEPTANCE_BOUND = log(FALSE_ACCEPTANCE_RATE)


@dataclass(frozen=True, slots=True)
class Alternative:
    """Rate at which a version counts as bad, from the old version's rate."""

    floor: float
    margin: float
    ratio: float

    def rates(self, old_rate: float) -> tuple[float, float]:
        """Return the rates of a good and of a bad version."""
        good = min(max(old_rate, self.floor), 0.9)
        bad = min(max(good + self.margin, good * self.ratio), 0.95)
        return good, bad


class SequentialTest:
    """Sequential probability ratio test over yes/no outcomes.

    Rejection uses the cumulative sum form, which restarts at zero, so that
    a long good time doesn't delay the finding of a version that turns bad.
    Acceptance uses Wald's form since the last restart.
    """

    __slots__ = ("rejection", "acceptance")

    def __init__(self) -> None:
        self.rejection = 0.0
        self.acceptance = 0.0

    def copy(self) -> SequentialTest:
        """Return a test with the same evidence."""
        copy = SequentialTest()
        copy.rejection = self.rejection
        copy.acceptance = self.acceptance
        return copy

    def update(
        self,
        requests: int,
        hits: int,
        rates: tuple[float, float],
        acceptance_rates: tuple[float, float] | None = None,
    ) -> None:
        """Add outcomes; rates are those of a good and a bad version.

        acceptance_rates replace them in the test for acceptance.
        """
        change = _log_ratio(requests, hits, rates)
        self.rejection = max(0.0, self.rejection + change)
        if acceptance_rates is not None:
            change = _log_ratio(requests, hits, acceptance_rates)
        self.acceptance += change


def _log_ratio(requests: int, hits: int, rates: tuple[float, float]) -> float:
    good, bad = rates
    ratio = hits * log(bad / good)
    return ratio + (requests - hits) * log((1 - bad) / (1 - good))
