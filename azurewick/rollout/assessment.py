"""Assessment of a version from the merged evidence of all gateways.

A fault counts against a version only if it shows on at least two of its
backend servers: the evidence without the worst server has to show it too, so
that one failing machine doesn't condemn the version. A version with a single
server is judged by that server: a rollback by mistake costs a new move,
while a bad version that stays costs requests. Broken streams count only
after MIN_CRASHES crashes without a repeated request, on two servers or on
the only one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.sequential_test import Alternative
from azurewick.rollout.sequential_test import SequentialTest

# Three crashes are what one poison request may cause at most.
MIN_CRASHES = 3
MIN_SERVERS = 2
ALL_ROUTES = "*"
# A route with less than this share of the class's requests is tested, but
# its acceptance isn't waited for: first in the test phases, then in the ramp,
# whose steps are short.
MIN_ROUTE_SHARE = 0.01
MIN_RAMP_ROUTE_SHARE = 0.05
# The old version's rates are those of this time, or of this many requests
# when they took longer.
OLD_RATE_WINDOW_S = 15.0
OLD_RATE_MIN_REQUESTS = 200
# Weight of a prior rate, in requests.
PRIOR_REQUESTS = 50


class Measure(StrEnum):
    """Kind of outcome that is tested."""

    FAILURES = "failures"
    SLOW = "slow"
    BROKEN = "broken"


# The floors are the rates of a good version before the old one's are known.
ALTERNATIVES = {
    Measure.FAILURES: Alternative(0.005, 0.04, 2.0),
    Measure.SLOW: Alternative(0.10, 0.20, 1.5),
    Measure.BROKEN: Alternative(0.005, 0.04, 2.0),
}
# A route is accepted against a larger fault than the whole version: a rare
# route would need too many requests for the smaller one.
ROUTE_ACCEPTANCE_ALTERNATIVES = {
    Measure.FAILURES: Alternative(0.005, 0.30, 2.0),
    Measure.SLOW: Alternative(0.10, 0.40, 1.5),
}


class Verdict(StrEnum):
    """What the evidence says about a version."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclass(frozen=True, kw_only=True, slots=True)
class Assessment:
    """Verdict with its reason and the requests seen since the restart."""

    verdict: Verdict
    reason: str = ""
    requests: int = 0


class OldRates:
    """Rates of the old version on one route over recent time."""

    def __init__(self) -> None:
        self.total = Counts()
        self._marks: deque[tuple[float, Counts]] = deque()

    def add(self, counts: Counts, now_s: float) -> None:
        """Add outcomes of the old version."""
        if not self._marks or now_s > self._marks[-1][0]:
            self._marks.append((now_s, self.total))
        self.total = self.total + counts
        while len(self._marks) > 1:
            mark_s, mark = self._marks[1]
            recent = self.total.requests - mark.requests
            if (
                now_s - mark_s < OLD_RATE_WINDOW_S
                or recent < OLD_RATE_MIN_REQUESTS
            ):
                return
            self._marks.popleft()

    def requests_per_s(self, now_s: float) -> float:
        """Return the recent rate of requests.

        The first counts are left out: they may be of a long time, as when a
        controller takes over.
        """
        if len(self._marks) < 2 or now_s <= self._marks[0][0]:
            return 0.0
        requests = self.total.requests - self._marks[1][1].requests
        return requests / (now_s - self._marks[0][0])

    def recent(self) -> Counts:
        """Return the counts of the recent time."""
        if not self._marks:
            return Counts()
        return self.total - self._marks[0][1]


class _Stream:
    """Test of one measure on one route."""

    def __init__(self, measure: Measure, route: str) -> None:
        self.measure = measure
        self.test = SequentialTest()
        self._alternative = ALTERNATIVES[measure]
        self._accepted = self._alternative
        if route != ALL_ROUTES:
            self._accepted = ROUTE_ACCEPTANCE_ALTERNATIVES.get(
                measure, self._alternative
            )
        self._weights = (0.0, 0.0)
        self._acceptance_weights = (0.0, 0.0)

    def set_old_rate(self, rate: float) -> None:
        """Set the rate of the old version, before the first update."""
        self._weights = self._alternative.weights(rate)
        self._acceptance_weights = self._accepted.weights(rate)

    def update(self, server: str, requests: int, hits: int) -> None:
        """Add outcomes of one server."""
        # Without a crash the test stays at zero, and a version is not
        # accepted by it.
        if self.measure is Measure.BROKEN and not hits and self.test.is_new:
            return
        misses = requests - hits
        hit, miss = self._weights
        accepted_hit, accepted_miss = self._acceptance_weights
        self.test.update(
            server,
            hits * hit + misses * miss,
            hits * accepted_hit + misses * accepted_miss,
        )


class MoveAssessor:
    """Assesses a version of a class from rows of cumulative counts.

    Rows may come in any order and more than once; only growth counts.
    """

    def __init__(self, request_class: str, version: str) -> None:
        self.request_class = request_class
        self.version = version
        self._known: dict[tuple[str, str, EvidenceKey], Counts] = {}
        self._old: dict[str, OldRates] = {ALL_ROUTES: OldRates()}
        self._streams: dict[str, list[_Stream]] = {}
        self._servers: set[str] = set()
        self._crashes: dict[str, dict[str, int]] = {}
        self._new = Counts()
        self._mark = Counts()
        # Routes whose streams have the newest rates of the old version.
        self._compared: set[str] = set()

    @property
    def new_counts(self) -> Counts:
        """Return the counts of the version since the first row."""
        return self._new

    @property
    def class_requests(self) -> int:
        """Return the counted requests of the class on all versions."""
        return self._new.requests + self._old[ALL_ROUTES].total.requests

    @property
    def has_failing_server(self) -> bool:
        """Return whether a fault shows on one server and on no other."""
        return any(
            stream.test.is_rejected(is_single=True)
            for stream in self._streams.get(ALL_ROUTES, ())
        )

    def update(self, rows: Iterable[EvidenceRow], now_s: float) -> None:
        """Add the growth of the rows."""
        changes: list[tuple[EvidenceKey, Counts]] = []
        for row in rows:
            key = row.key
            if key.request_class != self.request_class:
                continue
            name = (row.gateway, row.incarnation, key)
            change = row.counts - self._known.get(name, Counts())
            if not change.requests or self._is_older(change):
                continue
            self._known[name] = row.counts
            if key.version == self.version:
                changes.append((key, change))
                self._record_crashes(row)
            else:
                self._add_old(key.route, change, now_s)
        for key, change in changes:
            self._add_new(key, change)

    def requests_per_s(self, now_s: float) -> float:
        """Return the recent rate of the class's counted requests."""
        return self._old[ALL_ROUTES].requests_per_s(now_s)

    def rarest_route_share(self, min_share: float) -> float:
        """Return the least share of a route, of those above min_share."""
        total = max(1, self._old[ALL_ROUTES].total.requests)
        shares = (old.total.requests / total for old in self._old.values())
        return min(
            share for share in (1.0, *shares) if share >= MIN_ROUTE_SHARE
        )

    def assess(
        self, servers: int, *, min_route_share: float = MIN_ROUTE_SHARE
    ) -> Assessment:
        """Return the verdict for a version with so many servers in use.

        Routes with at least the given share have to be accepted as well.
        """
        reason = self._find_fault(servers)
        requests = self._new.requests - self._mark.requests
        if reason:
            return Assessment(
                verdict=Verdict.REJECTED, reason=reason, requests=requests
            )
        verdict = Verdict.OPEN
        if self._is_accepted(min_route_share):
            verdict = Verdict.ACCEPTED
        return Assessment(verdict=verdict, requests=requests)

    def restart_acceptance(self) -> None:
        """Begin new tests for acceptance, as at a new share."""
        self._mark = self._new
        for streams in self._streams.values():
            for stream in streams:
                stream.test.restart_acceptance()

    def _is_older(self, change: Counts) -> bool:
        # Only a crash that turns out to repeat a request takes counts back.
        return change.requests < 0 and change.broken >= 0

    def _record_crashes(self, row: EvidenceRow) -> None:
        seen = self._crashes.setdefault(row.key.backend_server, {})
        name = f"{row.gateway}/{row.incarnation}/{row.key.route}"
        seen[name] = row.counts.crashes

    def _add_old(self, route: str, change: Counts, now_s: float) -> None:
        self._compared.clear()
        self._old[ALL_ROUTES].add(change, now_s)
        self._old.setdefault(route, OldRates()).add(change, now_s)

    def _add_new(self, key: EvidenceKey, change: Counts) -> None:
        self._new = self._new + change
        self._servers.add(key.backend_server)
        for route in (ALL_ROUTES, key.route):
            streams = self._streams.get(route)
            if streams is None:
                streams = [_Stream(measure, route) for measure in Measure]
                self._streams[route] = streams
            if route not in self._compared:
                self._compare(route, streams)
            hits = (change.failures, change.slow, change.broken)
            for stream, number in zip(streams, hits, strict=True):
                stream.update(key.backend_server, change.requests, number)

    def _compare(self, route: str, streams: list[_Stream]) -> None:
        """Take over the present rates of the old version."""
        self._compared.add(route)
        counts = [self._old[ALL_ROUTES].recent()]
        if route != ALL_ROUTES and route in self._old:
            counts.append(self._old[route].recent())
        for stream in streams:
            stream.set_old_rate(_estimate_rate(stream.measure, counts))

    def _find_fault(self, servers: int) -> str:
        """Return the reason for a rejection, or an empty text."""
        is_single = servers == 1 and len(self._servers) <= 1
        faults = [
            (route, stream.measure)
            for route, streams in self._streams.items()
            for stream in streams
            if stream.test.is_rejected(is_single=is_single)
            and (
                stream.measure is not Measure.BROKEN
                or self._has_crashed(is_single)
            )
        ]
        if not faults:
            return ""
        measure = faults[0][1]
        count = getattr(self._new, measure.value)
        reason = f"{measure.value}: {count} of {self._new.requests} requests"
        routes = {route for route, _ in faults if route != ALL_ROUTES}
        # The streams are those of all routes together and of each route.
        if len(routes) == 1 and len(self._streams) > 2:
            reason += f", on {routes.pop()} alone"
        return reason

    def _has_crashed(self, is_single: bool) -> bool:
        # Several gateways see the same crash, so the largest count of one
        # gateway is the number that is certain.
        crashes = [max(seen.values()) for seen in self._crashes.values()]
        crashed = sum(1 for count in crashes if count > 0)
        if sum(crashes) < MIN_CRASHES:
            return False
        return is_single or crashed >= MIN_SERVERS

    def _is_accepted(self, min_route_share: float) -> bool:
        if not self._is_stream_accepted(ALL_ROUTES):
            return False
        total = self._old[ALL_ROUTES].total.requests
        return all(
            self._is_stream_accepted(route)
            for route, old in self._old.items()
            if old.total.requests >= min_route_share * total
        )

    def _is_stream_accepted(self, route: str) -> bool:
        streams = self._streams.get(route)
        return streams is not None and all(
            stream.test.is_accepted()
            for stream in streams
            if stream.measure is not Measure.BROKEN
        )


def _estimate_rate(measure: Measure, counts: Iterable[Counts]) -> float:
    """Return the old version's rate on a route.

    The rate over all routes is the prior of that on one route, and the floor
    of the measure the prior of the rate over all routes.
    """
    rate = ALTERNATIVES[measure].floor
    for item in counts:
        hits = getattr(item, measure.value) + rate * PRIOR_REQUESTS
        rate = hits / (item.requests + PRIOR_REQUESTS)
    return rate
