"""What placement knows about each server: its speed, and whether it fails."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from logging import getLogger

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import AnnouncedCapacity
from azurewick.entry.capacity_policy import CapacityPolicy
from azurewick.entry.outcomes import find_suspects
from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.peers import PeerView
from azurewick.entry.speeds import SpeedSample

_LOGGER = getLogger(__name__)

# Ratings are computed again after this time; failures and speeds change over
# seconds, and a placement asks for all servers.
RATING_TTL_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Ratings:
    """Ratings of a service's servers by name.

    first_slowdowns are those of first tokens. suspects are the servers that
    fail more than the others.
    """

    slowdowns: Mapping[str, float]
    first_slowdowns: Mapping[str, float]
    mean_slowdown: float
    suspects: frozenset[str]


class ServerRater:
    """Rates servers by the measurements of all instances."""

    def __init__(
        self, peers: PeerView, capacity: CapacityPolicy | None = None
    ) -> None:
        self._peers = peers
        self._capacity = capacity or AnnouncedCapacity()
        # Latest ratings by the names of the servers, with their time.
        self._cache: dict[tuple[str, ...], tuple[Ratings, float]] = {}
        # Servers that failed more than others at the last check.
        self._suspected: frozenset[str] = frozenset()

    def rate(self, backends: Sequence[Backend], now_s: float) -> Ratings:
        """Return the ratings of a service's servers."""
        names = tuple(backend.name for backend in backends)
        known = self._cache.get(names)
        if known is not None and 0 <= now_s - known[1] < RATING_TTL_S:
            return known[0]
        self._cache = {
            key: value
            for key, value in self._cache.items()
            if 0 <= now_s - value[1] < RATING_TTL_S
        }
        ratings = self._compute(backends, now_s)
        self._cache[names] = (ratings, now_s)
        return ratings

    def _compute(self, backends: Sequence[Backend], now_s: float) -> Ratings:
        peer_speeds = self._peers.speeds(now_s)
        no_sample = SpeedSample()
        samples = {
            backend.name: backend.speeds.sample(now_s)
            + peer_speeds.get(backend.name, no_sample)
            for backend in backends
        }
        slowdowns = {
            backend.name: self._capacity.slowdown(
                backend,
                samples[backend.name].mean_slowdown(backend.slowdown),
                now_s,
            )
            for backend in backends
        }
        return Ratings(
            slowdowns=slowdowns,
            first_slowdowns={
                backend.name: samples[backend.name].first_slowdown(
                    slowdowns[backend.name]
                )
                for backend in backends
            },
            mean_slowdown=sum(slowdowns.values()) / max(1, len(slowdowns)),
            suspects=self._find_suspects(backends, now_s),
        )

    def _find_suspects(
        self, backends: Sequence[Backend], now_s: float
    ) -> frozenset[str]:
        """Return the servers that fail more than others; log changes."""
        peers = self._peers.outcomes(now_s)
        no_outcomes = OutcomeCount()
        counts = {
            backend.name: backend.outcomes.count(now_s)
            + peers.get(backend.name, no_outcomes)
            for backend in backends
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
