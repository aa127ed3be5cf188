"""Backend servers as one entry instance sees them."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from azurewick.entry.models import BackendEntry
from azurewick.entry.outcomes import RecentOutcomes
from azurewick.entry.speeds import RecentSpeeds

# An ejected server gets no requests for this long; the time doubles with
# each further ejection until a request succeeds.
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# A server may be ejected so often that a power of two doesn't fit a float.
MAX_DOUBLINGS = 10
# Consecutive failures until a server is ejected. A single failure may be
# caused by the request; an unreachable server is ejected at once.
FAILURES_UNTIL_EJECTED = 3
# Weight of the newest measurement in the moving average of the slowdown.
SLOWDOWN_SMOOTHING = 0.2
# Bounds of a measured slowdown: a single outlier must not exclude a server.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 30.0


@dataclass(kw_only=True, slots=True)
class Backend:
    """Backend server with what this instance has learned about it.

    consecutive_failures and ejections are counted since the last success.
    slowdown is the moving average of the ratio of its answer times to those
    of the nominal server; a slow server has a slowdown above 1. is_listed is
    unset while the server is kept without an entry. has_left is set once
    this run of the server gets no new work any more, is_evacuated while its
    failure domain is evacuated. The server wants no requests of this instance
    until paused_until_s. sent_in_flight counts those of the requests in flight
    that have been sent.
    """

    entry: BackendEntry
    is_listed: bool = True
    has_left: bool = False
    is_evacuated: bool = False
    in_flight: int = 0
    sent_in_flight: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    paused_until_s: float = 0.0
    slowdown: float = 1.0
    outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)
    speeds: RecentSpeeds = field(default_factory=RecentSpeeds)

    @property
    def name(self) -> str:
        """Return the name of the server."""
        return self.entry.name

    @property
    def is_engine(self) -> bool:
        """Return whether the server is a model engine."""
        return self.entry.is_engine

    @property
    def unsent(self) -> int:
        """Return the number of assigned requests that aren't sent yet."""
        return max(0, self.in_flight - self.sent_in_flight)

    def is_available(self, now_s: float) -> bool:
        """Return whether the server may get new work."""
        return self.accepts_work(now_s) and now_s >= self.ejected_until_s

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the server itself wants, and may get, new work."""
        return (
            not self.is_leaving
            and not self.is_evacuated
            and now_s >= self.paused_until_s
        )

    def unavailable_s(self, now_s: float) -> float:
        """Return for how long it is ejected or wants no requests."""
        until_s = max(self.ejected_until_s, self.paused_until_s)
        return max(0.0, until_s - now_s)

    @property
    def is_leaving(self) -> bool:
        """Return whether this run of the server leaves or has left."""
        return self.has_left or self.entry.is_draining

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record for how long the server wants no requests."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def record_success(self, now_s: float) -> None:
        """Count a success; it resets the consecutive failures."""
        self.outcomes.add(now_s, failed=False)
        self.consecutive_failures = 0
        self.ejections = 0

    def record_slowdown(
        self, took_s: float, nominal_s: float, now_s: float
    ) -> None:
        """Update the slowdown with the time of an answer.

        nominal_s is the time that the nominal server would have taken.
        """
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, took_s / nominal_s))
        self.slowdown += SLOWDOWN_SMOOTHING * (slowdown - self.slowdown)
        self.speeds.add(slowdown, now_s)

    def record_failure(self, now_s: float, *, is_unreachable: bool) -> bool:
        """Count a failure; return whether it ejects the server."""
        self.outcomes.add(now_s, failed=True)
        self.consecutive_failures += 1
        if (
            not is_unreachable
            and self.consecutive_failures < FAILURES_UNTIL_EJECTED
        ):
            return False
        if now_s < self.ejected_until_s:
            return False
        ejection_s = min(
            MAX_EJECTION_S,
            INITIAL_EJECTION_S * 2 ** min(self.ejections, MAX_DOUBLINGS),
        )
        self.ejections += 1
        self.ejected_until_s = now_s + ejection_s
        self.consecutive_failures = FAILURES_UNTIL_EJECTED - 1
        return True


class BackendRegistry:
    """Backend servers by name and by service."""

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}

    def __len__(self) -> int:
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._backends.values())

    def find(self, name: str) -> Backend | None:
        """Return the server with a name."""
        return self._backends.get(name)

    def of_service(self, service: str) -> list[Backend]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def update(
        self, entries: Iterable[BackendEntry], *, kept: Collection[str] = ()
    ) -> None:
        """Replace the servers by a complete list.

        Servers that are missing in it are kept if their names are in kept.
        """
        listed = {entry.name: entry for entry in entries}
        backends: dict[str, Backend] = {}
        for name, backend in self._backends.items():
            if name not in listed and name in kept:
                backend.is_listed = False
                backends[name] = backend
        for name, entry in listed.items():
            backends[name] = self._merge(self._backends.get(name), entry)
        for name, backend in self._backends.items():
            if backends.get(name) is not backend:
                # Requests that were assigned to it are not sent any more.
                backend.has_left = True
        self._backends = backends
        self._by_service = {}
        for backend in backends.values():
            self._by_service.setdefault(backend.entry.service, []).append(
                backend
            )

    @staticmethod
    def _merge(known: Backend | None, entry: BackendEntry) -> Backend:
        if known is None or (
            known.entry.started_ms != entry.started_ms
            or known.entry.address != entry.address
        ):
            return Backend(entry=entry)
        known.entry = replace(entry)
        known.is_listed = True
        return known
