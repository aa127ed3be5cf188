"""Planning of a version move: its next share, verdict and notice."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from math import ceil
from math import floor
from math import inf

from azurewick.rollout.assessment import ALTERNATIVES
from azurewick.rollout.assessment import Assessment
from azurewick.rollout.assessment import Measure
from azurewick.rollout.assessment import MIN_RAMP_ROUTE_SHARE
from azurewick.rollout.assessment import MIN_ROUTE_SHARE
from azurewick.rollout.assessment import MIN_SERVERS
from azurewick.rollout.assessment import MoveAssessor
from azurewick.rollout.assessment import ROUTE_ACCEPTANCE_ALTERNATIVES
from azurewick.rollout.assessment import Verdict
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.models import MAX_UNACCEPTED_SHARE
from azurewick.rollout.models import MIN_SHARE
from azurewick.rollout.models import MovePhase
from azurewick.rollout.models import MoveState
from azurewick.rollout.models import VersionMove
from azurewick.rollout.sequential_test import ACCEPTANCE_BOUND
from azurewick.rollout.sequential_test import AlternativeHypothesis

RAMP_SHARES = (0.10, 0.25, 0.50, 1.0)
# The first share of the ramp loads MIN_SERVERS servers of the new version as
# much as those of the old one, so that a version which is bad under load shows
# it early. This limits the share in small fleets.
MAX_FIRST_RAMP_SHARE = 0.4
# Requests of the START phase; a version that fails most requests is detected
# within these, before its share grows.
START_REQUESTS = 30
# The START phase lasts at most this fraction of the time of the move.
MAX_START_FRACTION = 0.1
# Shortest duration of a step of the ramp.
MIN_STEP_S = 5.0
# Evidence takes up to two sync intervals of 2 s to reach the controller, and
# the new share takes one more to reach the gateways.
CONTROL_DELAY_S = 6.0
# The ramp starts when the remaining time is this many times its expected
# duration.
RAMP_TIME_FACTOR = 1.5


def _requests_to_accept(
    alternatives: dict[Measure, AlternativeHypothesis],
) -> int:
    _, good_ratio = alternatives[Measure.FAILURES].log_likelihood_ratios(0.0)
    return ceil(ACCEPTANCE_BOUND / good_ratio)


# Requests without a failure after which a version, or a route, is accepted.
REQUESTS_TO_ACCEPT = _requests_to_accept(ALTERNATIVES)
ROUTE_REQUESTS_TO_ACCEPT = _requests_to_accept(ROUTE_ACCEPTANCE_ALTERNATIVES)


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetSize:
    """Number of live backend servers of the new and the old version."""

    new_servers: int
    old_servers: int
    old_version: str = ""


def _min_route_share(phase: MovePhase) -> float:
    if phase is MovePhase.RAMP:
        return MIN_RAMP_ROUTE_SHARE
    return MIN_ROUTE_SHARE


def ramp_shares(fleet: FleetSize) -> tuple[float, ...]:
    """Return the ascending shares of the ramp for a fleet."""
    first = MIN_SERVERS / max(1, fleet.old_servers)
    first = min(max(first, RAMP_SHARES[0]), MAX_FIRST_RAMP_SHARE)
    # The tolerance keeps a share of exactly twice the first one despite
    # rounding errors.
    later = (s for s in RAMP_SHARES if s >= 2 * first - 1e-9)
    return (first, *later)


def _servers_for_share(share: float, fleet: FleetSize) -> int:
    # The tolerance avoids an extra server when rounding errors put the share
    # slightly above a whole number of servers.
    return max(MIN_SERVERS, ceil(share * fleet.old_servers - 1e-9))


class MovePlanner:
    """Advances one move by the evidence and the remaining time.

    A new planner for a move in progress, as after a change of the controller,
    continues in the stored phase and collects new evidence for it.
    """

    def __init__(self, move: VersionMove) -> None:
        self.assessor = MoveAssessor(move.request_class, move.version)
        self._servers_in_test = move.servers
        self._first_decision_s = inf
        self._has_evidence = False

    def update(self, rows: Iterable[EvidenceRow], now_s: float) -> None:
        """Add evidence.

        The first counts are left out of the acceptance of the current step,
        as they may come from earlier steps under another controller.
        """
        self.assessor.update(rows, now_s)
        if not self._has_evidence and self.assessor.class_requests > 0:
            self._has_evidence = True
            self.assessor.restart_acceptance()

    def decide(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> VersionMove:
        """Return the move after this step, equal to move if unchanged.

        now_s is wall-clock time.
        """
        if not move.is_progressing:
            return move
        self._first_decision_s = min(self._first_decision_s, now_s)
        if move.started_s <= 0:
            return self._start(move, fleet, now_s)
        self._servers_in_test = min(move.servers, fleet.new_servers) or (
            fleet.new_servers
        )
        assessment = self.assessor.assess(
            self._servers_in_test, min_route_share=_min_route_share(move.phase)
        )
        if assessment.verdict is Verdict.REJECTED:
            return self.roll_back(move, assessment.reason)
        advanced = self._advance(move, fleet, assessment, now_s)
        if advanced is not move:
            self.assessor.restart_acceptance()
            advanced = replace(advanced, evidence=self._evidence_counts())
        notice = self._notice(advanced, fleet, now_s)
        # Compares only the text before the colon: the figures after it change
        # at each step and are not worth a store write each time.
        if notice.partition(":")[0] == advanced.notice.partition(":")[0]:
            return advanced
        return replace(advanced, notice=notice)

    def recheck(self, decided: VersionMove) -> VersionMove:
        """Return an unwritten decision, or a rollback if now rejected."""
        assessment = self.assessor.assess(self._servers_in_test)
        if not decided.is_progressing or (
            assessment.verdict is not Verdict.REJECTED
        ):
            return decided
        return self.roll_back(decided, assessment.reason)

    def roll_back(self, move: VersionMove, reason: str) -> VersionMove:
        """Return the move in state ROLLED_BACK with the given reason."""
        return replace(
            move,
            state=MoveState.ROLLED_BACK,
            share=0.0,
            reason=reason,
            evidence=self._evidence_counts(),
        )

    def remaining_s(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> float:
        """Return the shortest time in which the move can be completed.

        It is infinite without requests from which evidence could come.
        """
        shares = ramp_shares(fleet)
        if move.phase is MovePhase.RAMP:
            shares = tuple(s for s in shares if s >= move.share)
        needed_s = sum(self._ramp_step_s(s, fleet, now_s) for s in shares)
        if move.phase in (MovePhase.START, MovePhase.LOAD):
            needed_s += self._load_phase_s(fleet, now_s)
        return needed_s

    def _start(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> VersionMove:
        if fleet.new_servers == 0:
            notice = f"no live server of version {move.version}"
            return replace(move, notice=notice)
        return replace(
            move,
            share=MIN_SHARE,
            servers=MIN_SERVERS,
            phase=MovePhase.START,
            started_s=now_s,
            phase_since_s=now_s,
            previous_version=move.previous_version or fleet.old_version,
            notice="",
        )

    def _advance(
        self,
        move: VersionMove,
        fleet: FleetSize,
        assessment: Assessment,
        now_s: float,
    ) -> VersionMove:
        is_accepted = assessment.verdict is Verdict.ACCEPTED
        if move.phase is MovePhase.START:
            if self._is_start_complete(move, fleet, assessment, now_s):
                return self._enter_load(move, fleet, now_s)
        elif move.phase is MovePhase.LOAD:
            if is_accepted:
                return self._leave_load(move, fleet, now_s)
        elif move.phase is MovePhase.SOAK:
            if self._is_ramp_due(move, fleet, now_s):
                return self._enter_ramp(move, fleet, now_s)
        elif is_accepted and now_s - move.phase_since_s >= MIN_STEP_S:
            return self._enter_ramp(move, fleet, now_s)
        return move

    def _is_start_complete(
        self,
        move: VersionMove,
        fleet: FleetSize,
        assessment: Assessment,
        now_s: float,
    ) -> bool:
        if assessment.requests >= START_REQUESTS:
            return True
        duration_s = move.by_time_s - move.started_s
        if now_s - move.started_s > MAX_START_FRACTION * duration_s:
            return True
        needed_s = self.remaining_s(move, fleet, now_s)
        return needed_s < inf and self._is_time_short(move, needed_s, now_s)

    def _enter_load(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> VersionMove:
        share = self._load_share(fleet)
        return replace(
            move,
            phase=MovePhase.LOAD,
            share=share,
            servers=_servers_for_share(share, fleet),
            phase_since_s=now_s,
        )

    def _leave_load(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> VersionMove:
        soaking = replace(
            move,
            phase=MovePhase.SOAK,
            share=MIN_SHARE,
            servers=MIN_SERVERS,
            phase_since_s=now_s,
        )
        if self._is_ramp_due(soaking, fleet, now_s):
            return self._enter_ramp(move, fleet, now_s)
        return soaking

    def _enter_ramp(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> VersionMove:
        if move.share >= 1.0:
            return replace(move, state=MoveState.DONE, notice="")
        share = min(s for s in ramp_shares(fleet) if s > move.share)
        if share > self._capacity_share(fleet):
            return move
        servers = 0 if share >= 1.0 else _servers_for_share(share, fleet)
        return replace(
            move,
            phase=MovePhase.RAMP,
            share=share,
            servers=servers,
            phase_since_s=now_s,
        )

    def _is_ramp_due(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> bool:
        return self._is_time_short(
            move, self.remaining_s(move, fleet, now_s), now_s
        )

    def _is_time_short(
        self, move: VersionMove, needed_s: float, now_s: float
    ) -> bool:
        return move.by_time_s - now_s <= RAMP_TIME_FACTOR * needed_s

    def _notice(
        self, move: VersionMove, fleet: FleetSize, now_s: float
    ) -> str:
        if not move.is_progressing:
            return move.notice
        if fleet.new_servers == 0:
            return f"no live server of version {move.version}"
        capacity = self._capacity_share(fleet)
        if capacity < 1.0:
            return (
                f"too few servers: {fleet.new_servers} of version"
                f" {move.version} can take {capacity:.0%} of the requests"
            )
        left_s = move.by_time_s - now_s
        needed_s = self.remaining_s(move, fleet, now_s)
        if move.phase is MovePhase.RAMP and move.share >= 1.0:
            needed_s = 0.0
        if needed_s <= left_s or self._is_rate_unknown(now_s):
            return ""
        needed = "more requests" if needed_s == inf else f"{needed_s:.0f} s"
        return (
            f"the time can't be met: {max(left_s, 0):.0f} s are left, the"
            f" move needs {needed}"
        )

    def _is_rate_unknown(self, now_s: float) -> bool:
        """Return whether it is too early to know the request rate."""
        return now_s - self._first_decision_s < 2 * CONTROL_DELAY_S

    def _capacity_share(self, fleet: FleetSize) -> float:
        needed_servers = max(fleet.new_servers, fleet.old_servers, 1)
        return fleet.new_servers / needed_servers

    def _load_share(self, fleet: FleetSize) -> float:
        """Return the share of the LOAD phase.

        It loads a whole number of servers as much as the old ones, unless
        the fleet is too small for that within MAX_UNACCEPTED_SHARE.
        """
        servers = floor(MAX_UNACCEPTED_SHARE * fleet.old_servers)
        if servers < MIN_SERVERS:
            return MAX_UNACCEPTED_SHARE
        return servers / fleet.old_servers

    def _load_phase_s(self, fleet: FleetSize, now_s: float) -> float:
        requests = self._requests_to_accept(MovePhase.LOAD)
        return self._phase_duration_s(
            requests, self._load_share(fleet), fleet, now_s
        )

    def _ramp_step_s(
        self, share: float, fleet: FleetSize, now_s: float
    ) -> float:
        requests = self._requests_to_accept(MovePhase.RAMP)
        return self._phase_duration_s(requests, share, fleet, now_s)

    def _requests_to_accept(self, phase: MovePhase) -> float:
        route_share = self.assessor.rarest_route_share(_min_route_share(phase))
        return max(REQUESTS_TO_ACCEPT, ROUTE_REQUESTS_TO_ACCEPT / route_share)

    def _phase_duration_s(
        self, requests: float, share: float, fleet: FleetSize, now_s: float
    ) -> float:
        rate_per_s = share * self.assessor.requests_per_s(now_s)
        if rate_per_s <= 0:
            return inf
        if self.assessor.has_failing_server:
            servers = _servers_for_share(share, fleet)
            requests *= servers / (servers - 1)
        return max(MIN_STEP_S, requests / rate_per_s) + CONTROL_DELAY_S

    def _evidence_counts(self) -> dict[str, int]:
        counts = self.assessor.new_counts
        return {
            "requests": counts.requests,
            "failures": counts.failures,
            "slow": counts.slow,
            "broken": counts.broken,
            "crashes": counts.crashes,
        }
