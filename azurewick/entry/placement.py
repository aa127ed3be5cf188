"""Choice of the backend server for a request."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random
from typing import Protocol

from azurewick.entry.backends import Backend

# Share until the number of instances is known.
INITIAL_SHARE = 0.25
# Part of a server's places by which an instance may exceed its share: the
# callers spread unevenly over the instances.
SHARE_MARGIN = 1.25
# Load that a server in another region must be below one in this region to
# get the request; the link between regions is narrow and billed by volume.
REGION_PENALTY = 0.35
# Same for another failure domain of the region.
DOMAIN_PENALTY = 0.05
# A server's time counts as at most this many times the mean.
SLOWEST_FACTOR = 6.0


class Placement(Protocol):
    """Policy that places requests."""

    def choose(
        self,
        candidates: Sequence[Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free place, or None."""


class LeastLoadPlacement:
    """Places at the server with the least load for its speed.

    share is the part of each server's places that this instance may use.
    Entry instances don't see each other's requests, so each keeps to its
    share of the places.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        regions: Mapping[str, str],
        random: Random,
        share: float = INITIAL_SHARE,
    ) -> None:
        self.share = share
        self._failure_domain = failure_domain
        self._regions = regions
        self._region = regions.get(failure_domain, "")
        self._random = random

    def limit(self, backend: Backend) -> int:
        """Return how many requests this instance may have at a server."""
        return max(1, round(backend.entry.slots * self.share * SHARE_MARGIN))

    def choose(
        self,
        candidates: Sequence[Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free place, or None."""
        free = [
            backend
            for backend in candidates
            if backend.is_available(now_s)
            and backend.name not in excluded
            and backend.in_flight < self.limit(backend)
        ]
        if not free:
            return None
        mean_s = _mean_answer_s(candidates)
        return min(
            free,
            key=lambda backend: (
                self._cost(backend, mean_s),
                self._random.random(),
            ),
        )

    def _cost(self, backend: Backend, mean_s: float) -> float:
        load = (backend.in_flight + 1) / self.limit(backend)
        factor = 1.0
        if backend.answer_s is not None and mean_s > 0:
            factor = min(
                SLOWEST_FACTOR,
                max(1 / SLOWEST_FACTOR, backend.answer_s / mean_s),
            )
        return load * factor + self._distance(backend.entry.failure_domain)

    def _distance(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        if self._regions.get(failure_domain, "") == self._region:
            return DOMAIN_PENALTY
        return REGION_PENALTY


def _mean_answer_s(candidates: Sequence[Backend]) -> float:
    known = [one.answer_s for one in candidates if one.answer_s is not None]
    return sum(known) / len(known) if known else 0.0
