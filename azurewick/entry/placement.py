"""Choice of the backend server for a request."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from logging import getLogger
from random import Random
from typing import Protocol

from azurewick.entry.backends import Backend
from azurewick.entry.outcomes import find_suspects
from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.peers import PeerView
from azurewick.entry.request_queue import Demand

_LOGGER = getLogger(__name__)

# Limit of requests at a server of a plain service, as a multiple of its
# slots. The server queues the rest, which costs less than a refusal.
PLAIN_SLOT_FACTOR = 2.0
# Cost added for a server in another region, on the scale of the load: the
# link between regions has little bandwidth and is billed by volume.
REGION_PENALTY = 0.35
# Cost added for another failure domain of the same region.
DOMAIN_PENALTY = 0.05
# Share of the time until the deadline that the expected run may take; output
# lengths are often underestimated.
RUN_TIME_SHARE = 0.7


class Placement(Protocol):
    """Policy for choosing the backend server of a request."""

    def choose(
        self,
        candidates: Sequence[Backend],
        demand: Demand,
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free slot, or None."""

    def capacity(self, candidates: Sequence[Backend], now_s: float) -> float:
        """Return the nominal work a second that this instance may place."""


class LeastLoadPlacement:
    """Chooses the server with the least load relative to its speed.

    Each instance uses the slots that its peers don't use, and at least its
    own share. Engines get no more requests than slots: they queue the rest
    in the order of arrival, so that urgent requests would wait behind
    others.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        regions: Mapping[str, str],
        random: Random,
        peers: PeerView,
    ) -> None:
        self._peers = peers
        self._failure_domain = failure_domain
        self._regions = regions
        self._region = regions.get(failure_domain, "")
        self._random = random
        # Servers that failed more than others at the last check.
        self._suspected: frozenset[str] = frozenset()

    def capacity(self, candidates: Sequence[Backend], now_s: float) -> float:
        """Return the nominal work a second that this instance may place."""
        return sum(
            limit / backend.slowdown
            for backend, limit in self._slot_limits(candidates, now_s)
        )

    def choose(
        self,
        candidates: Sequence[Backend],
        demand: Demand,
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free slot, or None.

        Servers that fail more requests than others come last. Of the rest,
        those that can meet the target come first, then those that can
        complete the answer before the deadline, then those with the lowest
        cost.
        """
        free = [
            (backend, limit)
            for backend, limit in self._slot_limits(candidates, now_s)
            if backend.name not in demand.excluded
            and backend.in_flight < limit
        ]
        if not free:
            return None
        mean_slowdown = sum(backend.slowdown for backend in candidates) / len(
            candidates
        )
        suspects = self._suspects(candidates, now_s)
        return min(
            free,
            key=lambda item: (
                item[0].name in suspects,
                _would_miss_target(item[0], demand, now_s),
                _may_miss_deadline(item[0], demand, now_s),
                self._cost(item[0], item[1], mean_slowdown),
                self._random.random(),
            ),
        )[0]

    def _slot_limits(
        self, candidates: Sequence[Backend], now_s: float
    ) -> list[tuple[Backend, int]]:
        """Return the available servers, each with its limit.

        The limit is the number of requests that this instance may have in
        flight there.
        """
        shares = self._peers.slot_shares(now_s)
        limits = []
        for backend in candidates:
            if not backend.is_available(now_s):
                continue
            total = backend.entry.slots
            if not backend.is_engine:
                total = round(total * PLAIN_SLOT_FACTOR)
            limits.append(
                (
                    backend,
                    shares.available(total, backend.name, backend.in_flight),
                )
            )
        return limits

    def _suspects(
        self, candidates: Sequence[Backend], now_s: float
    ) -> frozenset[str]:
        """Return the servers that fail more than others; log changes."""
        peers = self._peers.outcomes(now_s)
        no_outcomes = OutcomeCount()
        counts = {
            backend.name: backend.outcomes.count(now_s)
            + peers.get(backend.name, no_outcomes)
            for backend in candidates
        }
        suspects = find_suspects(counts)
        for name in (self._suspected & counts.keys()) ^ suspects:
            _LOGGER.info(
                "backend server %s",
                "suspected" if name in suspects else "trusted again",
                extra={
                    "backend_server": name,
                    "ended": round(counts[name].ended, 1),
                    "failed": round(counts[name].failed, 1),
                },
            )
        self._suspected = (self._suspected - counts.keys()) | suspects
        return suspects

    def _cost(
        self, backend: Backend, limit: int, mean_slowdown: float
    ) -> float:
        load = (backend.in_flight + 1) / limit
        return (
            load * backend.slowdown / mean_slowdown
            + self._distance_penalty(backend.entry.failure_domain)
        )

    def _distance_penalty(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        if self._regions.get(failure_domain, "") == self._region:
            return DOMAIN_PENALTY
        return REGION_PENALTY


def _would_miss_target(backend: Backend, demand: Demand, now_s: float) -> bool:
    """Return whether the server is expected to miss the target."""
    first_s = demand.work.first_token_s * backend.slowdown
    return now_s + first_s > demand.target_s


def _may_miss_deadline(backend: Backend, demand: Demand, now_s: float) -> bool:
    """Return whether the run may exceed the time until the deadline."""
    total_s = demand.work.total_s * backend.slowdown
    return total_s > RUN_TIME_SHARE * (demand.deadline_at_s - now_s)
