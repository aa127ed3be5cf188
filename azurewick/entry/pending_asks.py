"""Requests of an asker that wait for a grant, and those that have one."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import heapq
from math import inf
from typing import Protocol

from azurewick.entry.backends import Backend
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import RequestKey
from azurewick.entry.request_queue import Demand


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantResult:
    """End of an ask: a server, a refusal, or neither for the own shares."""

    backend: Backend | None = None
    refused_wait_s: float | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class PendingAsk:
    """Request that waits for a grant.

    groups are those that can still be asked. ask_by_s is when the request's
    time to wait ends, due_s the time of the next check, asked_s when it was
    first sent to this broker, and ack_by_s the time until which an
    acknowledgement counts. wait_s is the predicted wait.
    """

    key: RequestKey
    demand: Demand
    groups: list[Group]
    ask_by_s: float
    on_result: Callable[[GrantResult], None]
    group: Group | None = None
    broker: str = ""
    excluded: list[str] = field(default_factory=list)
    is_acknowledged: bool = False
    asked_s: float = 0.0
    ack_by_s: float = 0.0
    due_s: float = 0.0
    wait_s: float = 0.0
    refused_wait_s: float | None = None
    has_failed_over: bool = False
    may_wait: bool = True
    on_queued: Callable[[float], None] = lambda now_s: None

    def excluded_servers(
        self,
        serving: Sequence[Backend],
        withheld: frozenset[str],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the servers that can't be used, the most important first.

        withheld are those that may get nothing of this instance for a time.
        """
        names = [
            *self.excluded,
            *sorted(self.demand.excluded),
            *(item.name for item in serving if not item.is_available(now_s)),
            *(item.name for item in serving if item.name in withheld),
        ]
        return tuple(dict.fromkeys(names))

    def find_usable(
        self,
        server: str,
        serving: Sequence[Backend],
        withheld: frozenset[str],
        now_s: float,
    ) -> Backend | None:
        """Return a granted server unless it can't take the request."""
        if server in self.demand.excluded or server in withheld:
            return None
        for backend in serving:
            if backend.name == server and backend.is_available(now_s):
                return backend
        return None


class Brokers(Protocol):
    """Brokers of the groups."""

    def broker(self, group: Group, now_s: float) -> str | None:
        """Return the broker of a group; None without a candidate."""

    def suspect(self, name: str, now_s: float) -> None:
        """Elect other instances for a time."""

    def trust(self, name: str) -> None:
        """Record that a broker answers."""


class AskedEngines(Protocol):
    """Engines as the asker knows them."""

    def serving(self, service: str, demand: Demand) -> Sequence[Backend]:
        """Return the engines of a service that may get a request."""

    def withheld(self, now_s: float) -> frozenset[str]:
        """Return the servers that may get nothing for a time."""

    def is_own_region(self, group: Group) -> bool:
        """Return whether a group is in the own region."""


class PlannedChecks:
    """Times of the checks of all asks, for which one timer is enough."""

    def __init__(self, set_timer: Callable[[float], None]) -> None:
        self._set_timer = set_timer
        self._checks: list[tuple[float, int]] = []
        self._timer_at_s = inf

    def add(self, due_s: float, number: int) -> None:
        """Plan a check; call arm() afterwards."""
        heapq.heappush(self._checks, (due_s, number))

    def arm(self, now_s: float) -> None:
        """Set the timer for the earliest check unless it is set already."""
        if self._checks and self._checks[0][0] < self._timer_at_s:
            self._timer_at_s = self._checks[0][0]
            self._set_timer(max(0.0, self._timer_at_s - now_s))

    def pop_due(self, now_s: float) -> Iterator[tuple[float, int]]:
        """Remove and yield the checks that are due."""
        self._timer_at_s = inf
        while self._checks and self._checks[0][0] <= now_s:
            yield heapq.heappop(self._checks)


class HeldGrants:
    """Granted slots that are in use, with the brokers that granted them."""

    def __init__(self) -> None:
        # Brokers by server and number, and servers by number.
        self._brokers: dict[str, dict[int, str]] = {}
        self._servers: dict[int, str] = {}

    def add(self, number: int, server: str, broker: str) -> None:
        """Add a granted slot."""
        self._brokers.setdefault(server, {})[number] = broker
        self._servers[number] = server

    def broker(self, number: int) -> str | None:
        """Return the broker of a grant, None if it isn't in use."""
        server = self._servers.get(number)
        return None if server is None else self._brokers[server][number]

    def pop(self, server: str) -> tuple[int, str] | None:
        """Remove a grant of a server; return its number and broker.

        Which of the grants of a server it is doesn't matter.
        """
        brokers = self._brokers.get(server)
        if not brokers:
            return None
        number = next(iter(brokers))
        broker = brokers.pop(number)
        del self._servers[number]
        if not brokers:
            del self._brokers[server]
        return number, broker
