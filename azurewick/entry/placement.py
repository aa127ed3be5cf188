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

# Plain services queue a few requests beyond their slots, which costs less
# than a refusal.
PLAIN_SHARE_MARGIN = 2.0
# Load that a server in another region must be below one in this region to
# get the request; the link between regions is narrow and billed by volume.
REGION_PENALTY = 0.35
# Same for another failure domain of the region.
DOMAIN_PENALTY = 0.05
# Part of the time left that the expected run may take; lengths are often
# underestimated.
RUN_TIME_SHARE = 0.7


class Placement(Protocol):
    """Policy that places requests."""

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
    """Places at the server with the least load for its speed.

    Each instance uses the slots that its peers leave, and at least its
    share. Engines admit requests in the order of arrival: beyond their
    slots, urgent requests would wait behind others.
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
        # Servers that went last when they were last looked at.
        self._suspected: frozenset[str] = frozenset()

    def capacity(self, candidates: Sequence[Backend], now_s: float) -> float:
        """Return the nominal work a second that this instance may place."""
        return sum(
            limit / backend.slowdown
            for backend, limit in self._limits(candidates, now_s)
        )

    def choose(
        self,
        candidates: Sequence[Backend],
        demand: Demand,
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free slot, or None.

        Servers that fail more requests than others go last. Of the rest,
        those that can meet the target go first, then those that can end the
        answer before the caller leaves.
        """
        free = [
            (backend, limit)
            for backend, limit in self._limits(candidates, now_s)
            if backend.name not in demand.excluded
            and backend.in_flight < limit
        ]
        if not free:
            return None
        mean_slowdown = sum(one.slowdown for one in candidates) / len(
            candidates
        )
        suspects = self._suspects(candidates, now_s)
        return min(
            free,
            key=lambda item: (
                item[0].name in suspects,
                _is_late(item[0], demand, now_s),
                _is_cut(item[0], demand, now_s),
                self._cost(item[0], item[1], mean_slowdown),
                self._random.random(),
            ),
        )[0]

    def _limits(
        self, candidates: Sequence[Backend], now_s: float
    ) -> list[tuple[Backend, int]]:
        """Return the available servers, each with its limit.

        That is how many requests this instance may have there.
        """
        shares = self._peers.slot_shares(now_s)
        limits = []
        for backend in candidates:
            if not backend.is_available(now_s):
                continue
            total = backend.entry.slots
            if not backend.is_engine:
                total = round(total * PLAIN_SHARE_MARGIN)
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
        """Return the candidates that fail more than others; log changes."""
        peers = self._peers.outcomes(now_s)
        nothing = OutcomeCount()
        counts = {
            one.name: one.outcomes.count(now_s) + peers.get(one.name, nothing)
            for one in candidates
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
        return load * backend.slowdown / mean_slowdown + self._distance(
            backend.entry.failure_domain
        )

    def _distance(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        if self._regions.get(failure_domain, "") == self._region:
            return DOMAIN_PENALTY
        return REGION_PENALTY


def _is_late(backend: Backend, demand: Demand, now_s: float) -> bool:
    """Return whether a server would miss a target that others may meet."""
    first_s = demand.work.first_s * backend.slowdown
    return now_s + first_s > demand.target_s


def _is_cut(backend: Backend, demand: Demand, now_s: float) -> bool:
    """Return whether the answer would hardly end in time."""
    total_s = demand.work.total_s * backend.slowdown
    return total_s > RUN_TIME_SHARE * (demand.ends_s - now_s)
