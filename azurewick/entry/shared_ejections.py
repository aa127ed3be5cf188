"""Servers that one instance has given up, as their broker sees them."""

from __future__ import annotations

from collections.abc import Sequence
from logging import getLogger
from math import inf

from azurewick.entry.backends import Backend
from azurewick.entry.broker_messages import Release

_LOGGER = getLogger(__name__)

# Bound of the time for which one instance's failure keeps the others from a
# server. It is the first ejection's time of an instance itself.
MAX_SHARED_EJECTION_S = 1.0


class SharedEjections:
    """Servers at which a broker grants no slots for a time.

    An asker has failed there, and would so protect the others from a server
    that doesn't answer.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def add(self, release: Release, now_s: float) -> None:
        """Record a release whose asker uses the server no more for a time."""
        unavailable_s = min(MAX_SHARED_EJECTION_S, release.unavailable_s)
        if now_s >= self._until_s.get(release.server, -inf):
            _LOGGER.info(
                "no slots are granted at a server that an asker gave up",
                extra={
                    "backend_server": release.server,
                    "asker": release.key.asker,
                    "for_s": round(unavailable_s, 2),
                },
            )
        self._until_s[release.server] = now_s + unavailable_s

    def filter(
        self, backends: Sequence[Backend], now_s: float
    ) -> Sequence[Backend]:
        """Return the servers that aren't ejected."""
        if not self._until_s:
            return backends
        self._until_s = {
            name: until_s
            for name, until_s in self._until_s.items()
            if now_s < until_s
        }
        return [
            backend
            for backend in backends
            if backend.name not in self._until_s
        ]
