"""Failures of backend servers as all entry instances see them.

Load: servers that fail or hang a part of their requests while they seem
healthy. With many instances, each one sends a server too few requests to
notice it by itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median

from azurewick.util.decaying_rate import DecayingRate

# Outcomes are forgotten with this time constant, after which a suspected
# server is tried again.
OUTCOME_TIME_CONSTANT_S = 3.0
# Failures of all instances until a server is suspected; fewer may be the
# requests' own.
SUSPECT_FAILURES = 3.0
# Smallest part of its requests that a suspected server fails, and the
# multiple of what the service's servers usually fail.
SUSPECT_SHARE = 0.2
SUSPECT_FACTOR = 3.0
# When more than this part of a service fails, the cause is elsewhere.
SUSPECT_LARGEST_PART = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeCount:
    """Requests that ended at a server, and those that it failed."""

    ended: float = 0.0
    failed: float = 0.0

    def __add__(self, other: OutcomeCount) -> OutcomeCount:
        return OutcomeCount(
            ended=self.ended + other.ended, failed=self.failed + other.failed
        )

    @property
    def failed_share(self) -> float:
        """Return the part that failed."""
        return self.failed / self.ended if self.ended > 0 else 0.0


class RecentOutcomes:
    """Outcomes at one server, the newest of which weigh most."""

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

    counts holds the outcomes at each of its servers over all instances.
    """
    usual = median([one.failed_share for one in counts.values()] or [0.0])
    limit = max(SUSPECT_SHARE, SUSPECT_FACTOR * usual)
    suspects = frozenset(
        name
        for name, one in counts.items()
        if one.failed >= SUSPECT_FAILURES and one.failed_share > limit
    )
    if len(suspects) > SUSPECT_LARGEST_PART * len(counts):
        return frozenset()
    return suspects
