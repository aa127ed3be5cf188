"""Detect backend servers that fail more requests than others.

A server may fail or hang a part of its requests while its health check
passes. With many entry instances, each one sends a server too few requests to
notice this by itself, so the outcomes of all instances are added up.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median

from azurewick.util.decaying_rate import DecayingRate

# Counts of outcomes decay with this time constant, so that a suspected server
# is tried again later.
OUTCOME_TIME_CONSTANT_S = 3.0
# Failures over all instances until a server is suspected; fewer may be caused
# by the requests.
MIN_SUSPECT_FAILURES = 3.0
# A suspected server fails more than this share of its requests, and more than
# this multiple of the median share of the service's servers.
MIN_SUSPECT_FAILED_SHARE = 0.2
SUSPECT_MEDIAN_FACTOR = 3.0
# When more than this share of a service's servers would be suspected, none is:
# the cause is elsewhere.
MAX_SUSPECT_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeCount:
    """Number of requests that ended at a server, and how many failed."""

    ended: float = 0.0
    failed: float = 0.0

    def __add__(self, other: OutcomeCount) -> OutcomeCount:
        return OutcomeCount(
            ended=self.ended + other.ended, failed=self.failed + other.failed
        )

    @property
    def failed_share(self) -> float:
        """Return the share of the requests that failed."""
        return self.failed / self.ended if self.ended > 0 else 0.0


class RecentOutcomes:
    """Outcomes at one server, weighted by their age."""

    __slots__ = ("_ended", "_failed")

    def __init__(self) -> None:
        self._ended = DecayingRate(OUTCOME_TIME_CONSTANT_S)
        self._failed = DecayingRate(OUTCOME_TIME_CONSTANT_S)

    def add(self, now_s: float, *, failed: bool) -> None:
        """Count one outcome."""
        self._ended.add(1.0, now_s)
        if failed:
            self._failed.add(1.0, now_s)

    def count(self, now_s: float) -> OutcomeCount:
        """Return the decayed counts."""
        return OutcomeCount(
            ended=self._ended.per_s(now_s) * OUTCOME_TIME_CONSTANT_S,
            failed=self._failed.per_s(now_s) * OUTCOME_TIME_CONSTANT_S,
        )


def find_suspects(counts: Mapping[str, OutcomeCount]) -> frozenset[str]:
    """Return the servers of a service that fail more than the others.

    counts holds the outcomes over all instances by server.
    """
    median_share = median(
        [count.failed_share for count in counts.values()] or [0.0]
    )
    limit = max(MIN_SUSPECT_FAILED_SHARE, SUSPECT_MEDIAN_FACTOR * median_share)
    suspects = frozenset(
        name
        for name, count in counts.items()
        if count.failed >= MIN_SUSPECT_FAILURES and count.failed_share > limit
    )
    if len(suspects) > MAX_SUSPECT_SHARE * len(counts):
        return frozenset()
    return suspects
