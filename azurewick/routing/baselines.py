"""Simple routers, the baselines of the benchmarks."""

from __future__ import annotations

from collections.abc import Sequence
import random

from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.models import OfferResult


class _OutstandingRouter:
    """Base of routers that use only this gateway's outstanding offers."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._servers: list[BackendServer] = []
        self._outstanding: dict[str, int] = {}

    def update_servers(self, servers: Sequence[BackendServer]) -> None:
        """Replace the servers that may be chosen."""
        self._servers = sorted(servers, key=lambda server: server.name)
        self._outstanding = {
            server.name: self._outstanding.get(server.name, 0)
            for server in servers
        }

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Ignore a load report."""

    def choose(
        self,
        offer: Offer,
        *,
        excluded: frozenset[str],
        version: str | None,
        now_s: float,
    ) -> str | None:
        """Return the name of a server, or None when none may be chosen."""
        names = [
            server.name
            for server in self._servers
            if server.name not in excluded
            and version in (None, server.version)
        ]
        return self._pick(names) if names else None

    def expected_cached_tokens(self, offer: Offer, name: str) -> int:
        """Return 0, as the prefix caches are not tracked."""
        return 0

    def record_sent(self, offer: Offer, name: str, now_s: float) -> None:
        """Add an outstanding offer."""
        if name in self._outstanding:
            self._outstanding[name] += 1

    def record_result(
        self, offer: Offer, name: str, result: OfferResult, now_s: float
    ) -> None:
        """Remove an outstanding offer."""
        if self._outstanding.get(name):
            self._outstanding[name] -= 1

    def _pick(self, names: list[str]) -> str:
        raise NotImplementedError


class RoundRobinRouter(_OutstandingRouter):
    """Choose the servers in turn, starting with a random one."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self._next = self._random.randrange(1 << 16)

    def _pick(self, names: list[str]) -> str:
        self._next += 1
        return names[self._next % len(names)]


class LeastOutstandingRouter(_OutstandingRouter):
    """Choose the server with the fewest outstanding offers."""

    def _pick(self, names: list[str]) -> str:
        fewest = min(self._outstanding[name] for name in names)
        return self._random.choice(
            [name for name in names if self._outstanding[name] == fewest]
        )


class TwoChoicesRouter(_OutstandingRouter):
    """Choose the less loaded of two random servers, by outstanding offers."""

    def _pick(self, names: list[str]) -> str:
        pair = self._random.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self._outstanding[name])
