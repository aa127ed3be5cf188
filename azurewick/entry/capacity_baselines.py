"""Simple policies for the capacity of servers, to compare others with."""

from __future__ import annotations

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import AnnouncedCapacity
from azurewick.entry.capacity_policy import usual_limit

# An answer that takes this multiple of the shortest one lowers the limit.
DELAY_FACTOR = 2.0
# The shortest time is forgotten by this factor with each answer.
SHORTEST_GROWTH = 1.01
DECREASE_FACTOR = 0.8
# A limit is lowered once in this time at most.
DECREASE_INTERVAL_S = 1.0


class DelayCapacity(AnnouncedCapacity):
    """Additive increase and multiplicative decrease by the delay."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}
        self._shortest: dict[str, float] = {}
        self._decreased_s: dict[str, float] = {}

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        return max(1, int(self._known(backend)))

    def record(
        self, backend: Backend, load: float, slowdown: float, now_s: float
    ) -> None:
        """Record the answer to a request; load is ignored."""
        name = backend.name
        limit = self._known(backend)
        shortest = SHORTEST_GROWTH * self._shortest.get(name, slowdown)
        shortest = min(shortest, slowdown)
        self._shortest[name] = shortest
        if slowdown <= DELAY_FACTOR * shortest:
            limit += 1.0 / limit
        elif now_s - self._decreased_s.get(name, 0.0) > DECREASE_INTERVAL_S:
            limit *= DECREASE_FACTOR
            self._decreased_s[name] = now_s
        self._limits[name] = min(usual_limit(backend), max(1.0, limit))

    def _known(self, backend: Backend) -> float:
        return self._limits.get(backend.name, float(usual_limit(backend)))


class UnlimitedCapacity(AnnouncedCapacity):
    """As many requests as a server's queue takes."""

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        return 10 * backend.entry.slots
