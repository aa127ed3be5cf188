"""Assessment of a version from the merged evidence of all gateways.

A version is rejected only if a fault shows on at least two of its backend
servers: the evidence without the worst server has to show it too, so that one
failing machine doesn't reject the version. A version with a single server is
assessed by that server: a mistaken rollback costs a new move, while a bad
version that stays costs requests. Broken streams lead to a rejection only
after MIN_CRASHES crashes without a repeated request, on two servers or on the
only one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.sequential_test import AlternativeHypothesis
from azurewick.rollout.sequential_test import SequentialTest

# One poison request may cause up to three crashes.
MIN_CRASHES = 3
# A fault has to show on this many servers, unless the version has only one.
MIN_SERVERS = 2
# Key of the counts and tests over all routes together.
ALL_ROUTES = "*"
# Routes with less than this share of the class's requests can reject a
# version, but the version is accepted without waiting for them. The limit is
# higher in the RAMP phase, whose steps are short.
MIN_ROUTE_SHARE = 0.01
MIN_RAMP_ROUTE_SHARE = 0.05
# The rates of the old version are measured over at least this time and at
# least this many requests.
OLD_RATE_WINDOW_S = 15.0
OLD_RATE_MIN_REQUESTS = 200
# Weight of the prior in the estimate of a rate, in requests.
PRIOR_REQUESTS = 50


class Measure(StrEnum):
    """Kind of bad outcome that is tested; the values are fields of Counts."""

    FAILURES = "failures"
    SLOW = "slow"
    BROKEN = "broken"


# The first argument is the smallest rate assumed for a good version. It is
# also the estimate of the old version's rate until that is known.
ALTERNATIVES = {
    Measure.FAILURES: AlternativeHypothesis(0.005, 0.04, 2.0),
    Measure.SLOW: AlternativeHypothesis(0.10, 0.20, 1.5),
    Measure.BROKEN: AlternativeHypothesis(0.005, 0.04, 2.0),
}
# Acceptance of a single route rules out larger faults only: to rule out a
# small one, a rare route would need too many requests.
ROUTE_ACCEPTANCE_ALTERNATIVES = {
    Measure.FAILURES: AlternativeHypothesis(0.005, 0.30, 2.0),
    Measure.SLOW: AlternativeHypothesis(0.10, 0.40, 1.5),
}


class Verdict(StrEnum):
    """Result of the assessment; OPEN means that more evidence is needed."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclass(frozen=True, kw_only=True, slots=True)
class Assessment:
    """Verdict on a version.

    reason is set for a rejection. requests are those counted for the version
    since the last restart of the acceptance tests.
    """

    verdict: Verdict
    reason: str = ""
    requests: int = 0


class OldVersionRates:
    """Counts of the old version on one route, in total and recent."""

    def __init__(self) -> None:
        self.total = Counts()
        # Times with the total before the outcomes added at that time.
        self._snapshots: deque[tuple[float, Counts]] = deque()

    def add(self, counts: Counts, now_s: float) -> None:
        """Add outcomes of the old version."""
        if not self._snapshots or now_s > self._snapshots[-1][0]:
            self._snapshots.append((now_s, self.total))
        self.total = self.total + counts
        while len(self._snapshots) > 1:
            snapshot_s, snapshot = self._snapshots[1]
            recent = self.total.requests - snapshot.requests
            if (
                now_s - snapshot_s < OLD_RATE_WINDOW_S
                or recent < OLD_RATE_MIN_REQUESTS
            ):
                return
            self._snapshots.popleft()

    def requests_per_s(self, now_s: float) -> float:
        """Return the recent request rate, or 0 if it is not known yet.

        The counts added at the start of the window are left out: they belong
        to the time before it, which is long when a controller takes over.
        """
        if len(self._snapshots) < 2 or now_s <= self._snapshots[0][0]:
            return 0.0
        requests = self.total.requests - self._snapshots[1][1].requests
        return requests / (now_s - self._snapshots[0][0])

    def recent(self) -> Counts:
        """Return the counts of the recent time window."""
        if not self._snapshots:
            return Counts()
        return self.total - self._snapshots[0][1]


class _RouteTest:
    """Sequential test of one measure on one route."""

    def __init__(self, measure: Measure, route: str) -> None:
        self.measure = measure
        self.sequential_test = SequentialTest()
        self._alternative = ALTERNATIVES[measure]
        self._acceptance_alternative = self._alternative
        if route != ALL_ROUTES:
            self._acceptance_alternative = ROUTE_ACCEPTANCE_ALTERNATIVES.get(
                measure, self._alternative
            )
        self._rejection_ratios = (0.0, 0.0)
        self._acceptance_ratios = (0.0, 0.0)

    def set_old_rate(self, rate: float) -> None:
        """Set the old version's rate; needed before the first update."""
        self._rejection_ratios = self._alternative.log_likelihood_ratios(rate)
        self._acceptance_ratios = (
            self._acceptance_alternative.log_likelihood_ratios(rate)
        )

    def update(self, server: str, requests: int, bad_requests: int) -> None:
        """Add outcomes of one server."""
        # Skips the update as long as there was no broken stream: the
        # rejection sum would stay at zero, and this measure is not used for
        # acceptance.
        if (
            self.measure is Measure.BROKEN
            and not bad_requests
            and self.sequential_test.is_empty
        ):
            return
        good_requests = requests - bad_requests
        bad_ratio, good_ratio = self._rejection_ratios
        acceptance_bad_ratio, acceptance_good_ratio = self._acceptance_ratios
        self.sequential_test.update(
            server,
            bad_requests * bad_ratio + good_requests * good_ratio,
            bad_requests * acceptance_bad_ratio
            + good_requests * acceptance_good_ratio,
        )


class MoveAssessor:
    """Assesses a version of a class from rows of cumulative counts.

    Rows may arrive in any order and more than once. Only the change since
    the last row of the same gateway and key is added.
    """

    def __init__(self, request_class: str, version: str) -> None:
        self.request_class = request_class
        self.version = version
        self._last_counts: dict[tuple[str, str, EvidenceKey], Counts] = {}
        self._old_rates: dict[str, OldVersionRates] = {
            ALL_ROUTES: OldVersionRates()
        }
        self._route_tests: dict[str, list[_RouteTest]] = {}
        self._seen_servers: set[str] = set()
        self._crash_counts: dict[str, dict[str, int]] = {}
        self._new_counts = Counts()
        self._counts_at_restart = Counts()
        # Routes whose tests use the latest rates of the old version.
        self._routes_up_to_date: set[str] = set()

    @property
    def new_counts(self) -> Counts:
        """Return the counts of the new version over all gateways."""
        return self._new_counts

    @property
    def class_requests(self) -> int:
        """Return the requests of the class counted on all versions."""
        return (
            self._new_counts.requests
            + self._old_rates[ALL_ROUTES].total.requests
        )

    @property
    def has_failing_server(self) -> bool:
        """Return whether a fault shows in the tests over all routes.

        While the version is not rejected, the fault is on one server only.
        """
        return any(
            route_test.sequential_test.is_rejected(has_single_server=True)
            for route_test in self._route_tests.get(ALL_ROUTES, ())
        )

    def update(self, rows: Iterable[EvidenceRow], now_s: float) -> None:
        """Add the changes of the rows since their last counts."""
        changes: list[tuple[EvidenceKey, Counts]] = []
        for row in rows:
            key = row.key
            if key.request_class != self.request_class:
                continue
            source = (row.gateway, row.incarnation, key)
            change = row.counts - self._last_counts.get(source, Counts())
            if not change.requests or self._is_stale(change):
                continue
            self._last_counts[source] = row.counts
            if key.version == self.version:
                changes.append((key, change))
                self._record_crashes(row)
            else:
                self._add_old(key.route, change, now_s)
        for key, change in changes:
            self._add_new(key, change)

    def requests_per_s(self, now_s: float) -> float:
        """Return the recent request rate of the old version of the class."""
        return self._old_rates[ALL_ROUTES].requests_per_s(now_s)

    def rarest_route_share(self, min_share: float) -> float:
        """Return the least share of a route, of those from min_share on."""
        total = max(1, self._old_rates[ALL_ROUTES].total.requests)
        shares = (
            old.total.requests / total for old in self._old_rates.values()
        )
        return min(share for share in (1.0, *shares) if share >= min_share)

    def assess(
        self, server_count: int, *, min_route_share: float = MIN_ROUTE_SHARE
    ) -> Assessment:
        """Return the verdict on a version with server_count servers in use.

        For an acceptance, each route with at least min_route_share of the
        requests has to be accepted as well.
        """
        reason = self._find_fault(server_count)
        requests = self._new_counts.requests - self._counts_at_restart.requests
        if reason:
            return Assessment(
                verdict=Verdict.REJECTED, reason=reason, requests=requests
            )
        verdict = Verdict.OPEN
        if self._is_accepted(min_route_share):
            verdict = Verdict.ACCEPTED
        return Assessment(verdict=verdict, requests=requests)

    def restart_acceptance(self) -> None:
        """Start new acceptance tests, as after a change of the share."""
        self._counts_at_restart = self._new_counts
        for route_tests in self._route_tests.values():
            for route_test in route_tests:
                route_test.sequential_test.restart_acceptance()

    def _is_stale(self, change: Counts) -> bool:
        # Counts decrease only when a crash turns out to contain a repeated
        # request, which also reduces broken; other decreases are old rows.
        return change.requests < 0 and change.broken >= 0

    def _record_crashes(self, row: EvidenceRow) -> None:
        counts_by_source = self._crash_counts.setdefault(
            row.key.backend_server, {}
        )
        source = f"{row.gateway}/{row.incarnation}/{row.key.route}"
        counts_by_source[source] = row.counts.crashes

    def _add_old(self, route: str, change: Counts, now_s: float) -> None:
        self._routes_up_to_date.clear()
        self._old_rates[ALL_ROUTES].add(change, now_s)
        self._old_rates.setdefault(route, OldVersionRates()).add(change, now_s)

    def _add_new(self, key: EvidenceKey, change: Counts) -> None:
        self._new_counts = self._new_counts + change
        self._seen_servers.add(key.backend_server)
        for route in (ALL_ROUTES, key.route):
            route_tests = self._route_tests.get(route)
            if route_tests is None:
                route_tests = [
                    _RouteTest(measure, route) for measure in Measure
                ]
                self._route_tests[route] = route_tests
            if route not in self._routes_up_to_date:
                self._refresh_old_rates(route, route_tests)
            bad_counts = (change.failures, change.slow, change.broken)
            for route_test, bad_requests in zip(
                route_tests, bad_counts, strict=True
            ):
                route_test.update(
                    key.backend_server, change.requests, bad_requests
                )

    def _refresh_old_rates(
        self, route: str, route_tests: list[_RouteTest]
    ) -> None:
        """Set the recent rates of the old version in the tests of a route."""
        self._routes_up_to_date.add(route)
        counts = [self._old_rates[ALL_ROUTES].recent()]
        if route != ALL_ROUTES and route in self._old_rates:
            counts.append(self._old_rates[route].recent())
        for route_test in route_tests:
            route_test.set_old_rate(_estimate_rate(route_test.measure, counts))

    def _find_fault(self, server_count: int) -> str:
        """Return the reason for a rejection, or an empty string."""
        has_single_server = server_count == 1 and len(self._seen_servers) <= 1
        faults = [
            (route, route_test.measure)
            for route, route_tests in self._route_tests.items()
            for route_test in route_tests
            if route_test.sequential_test.is_rejected(
                has_single_server=has_single_server
            )
            and (
                route_test.measure is not Measure.BROKEN
                or self._has_enough_crashes(has_single_server)
            )
        ]
        if not faults:
            return ""
        measure = faults[0][1]
        count = getattr(self._new_counts, measure.value)
        reason = (
            f"{measure.value}: {count} of {self._new_counts.requests} requests"
        )
        routes = {route for route, _ in faults if route != ALL_ROUTES}
        # The tests are those over all routes and those of each route, so more
        # than two entries mean several routes.
        if len(routes) == 1 and len(self._route_tests) > 2:
            reason += f", on {routes.pop()} alone"
        return reason

    def _has_enough_crashes(self, has_single_server: bool) -> bool:
        # Several gateways may report the same crash, so only the largest
        # count of a single gateway is certain.
        crashes = [max(seen.values()) for seen in self._crash_counts.values()]
        crashed = sum(1 for count in crashes if count > 0)
        if sum(crashes) < MIN_CRASHES:
            return False
        return has_single_server or crashed >= MIN_SERVERS

    def _is_accepted(self, min_route_share: float) -> bool:
        if not self._is_route_accepted(ALL_ROUTES):
            return False
        total = self._old_rates[ALL_ROUTES].total.requests
        return all(
            self._is_route_accepted(route)
            for route, old in self._old_rates.items()
            if old.total.requests >= min_route_share * total
        )

    def _is_route_accepted(self, route: str) -> bool:
        route_tests = self._route_tests.get(route)
        return route_tests is not None and all(
            route_test.sequential_test.is_accepted()
            for route_test in route_tests
            if route_test.measure is not Measure.BROKEN
        )


def _estimate_rate(measure: Measure, counts: Iterable[Counts]) -> float:
    """Return the old version's rate from its counts, widest scope first.

    The smallest good rate of the measure is the prior for the rate over all
    routes, which in turn is the prior for the rate on one route.
    """
    rate = ALTERNATIVES[measure].min_good_rate
    for item in counts:
        weighted_count = getattr(item, measure.value) + rate * PRIOR_REQUESTS
        rate = weighted_count / (item.requests + PRIOR_REQUESTS)
    return rate
