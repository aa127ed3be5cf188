"""Version moves: which version serves a request, and what becomes of a move.

A move is judged by all instances: each one counts what it sent to the old and
to the new version and tells the others. Each one draws its own conclusion,
and a rejection is passed on at once. The status in the store is written by the
first instance that gets to it, under the condition that nobody else has.

Whatever the verdict, the instances together send the new version no more than
the allowed share of the service's requests until the move completes, so that
a wrong or late verdict can't expose callers to a bad version.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from logging import getLogger
from math import exp
from math import log
from random import Random

from azurewick.entry.backends import Backend
from azurewick.entry.models import MoveState
from azurewick.entry.models import Route
from azurewick.entry.models import VersionMove
from azurewick.entry.state import FleetState
from azurewick.rollout.canary import assess_canary
from azurewick.rollout.canary import CanaryAssessment
from azurewick.rollout.canary import CanaryVerdict
from azurewick.rollout.canary import Evidence
from azurewick.rollout.canary import merge_evidence
from azurewick.rollout.canary import RouteEvidence
from azurewick.rollout.canary import SLOW_FACTOR
from azurewick.rollout.canary import VersionCounts

_LOGGER = getLogger(__name__)

# Fraction of the allowed exposure that is used. The rest covers instances that
# start again and have forgotten what they sent.
EXPOSURE_FRACTION = 0.8
# Share of the requests that try the new version until it has been judged and
# afterwards. The rest of the allowed exposure is left for the switch.
JUDGING_SHARE = 0.12
TRIAL_SHARE = 0.03
# A move is completed this long before its time is over: the store may be slow,
# and the order may have arrived late.
COMPLETION_MARGIN_S = 2.0
MAX_MARGIN_SHARE = 0.25
# Before the completion ends the old servers, requests that would still run
# then, and can't be resumed, go to the new version for this long.
SWITCH_S = 6.0
# Margin over the estimated run of a request.
RUN_FACTOR = 1.5
# Instances write the status one after the other, in the order of their names.
WRITE_TURN_S = 0.35
MAX_WRITE_TURNS = 8
# Shortest time between two assessments of a move: each one adds up the
# evidence of all instances, and with many of them reports come all the time.
ASSESSMENT_INTERVAL_S = 0.2
# Lower bound of a measured time relative to the expected one.
MIN_RELATIVE_TIME = 0.02
# Answers of the old version that tell which ones are slow.
MIN_OLD_ANSWERS = 5
# An instance that is younger than this when it sees an order doesn't use the
# allowance: it may have used it before it started again.
SETTLED_AFTER_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ExposureLimits:
    """How many of a service's requests a bad version may get.

    All instances together may send it the fraction share of the requests
    since the order, and allowance more.
    """

    share: float = 0.1
    allowance: float = 50.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveReport:
    """What an instance tells its peers about a move.

    age_s is the time since it saw the order.
    """

    service: str
    target_version: str
    age_s: float
    is_rejected: bool
    evidence: Evidence


@dataclass(kw_only=True, slots=True)
class _Move:
    """State of a move in progress.

    has_allowance is set if this instance may use its part of the allowance.
    own is its evidence, peers that of the runs of other instances.
    """

    service: str
    target_version: str
    duration_s: float
    ordered_s: float
    has_allowance: bool
    own: dict[str, RouteEvidence] = field(default_factory=dict)
    peers: dict[tuple[str, int], Evidence] = field(default_factory=dict)
    rejected_s: float | None = None
    assessment: CanaryAssessment = CanaryAssessment(verdict=CanaryVerdict.OPEN)
    assessed_s: float = float("-inf")
    # Lost connections count once for each run of a server.
    lost_runs: set[str] = field(default_factory=set)

    @property
    def completes_s(self) -> float:
        """Return when the move is to be completed."""
        margin_s = min(COMPLETION_MARGIN_S, MAX_MARGIN_SHARE * self.duration_s)
        return self.ordered_s + self.duration_s - margin_s

    def own_sent(self) -> tuple[float, float]:
        """Return the requests sent to the new and to both versions."""
        new = sum(route.new.sent for route in self.own.values())
        old = sum(route.old.sent for route in self.own.values())
        return new, new + old


class VersionMoves:
    """Chooses versions and decides on moves, in one entry instance.

    instance_rank returns the place of this instance among the live ones and
    their number.
    """

    def __init__(
        self,
        state: FleetState,
        limits: ExposureLimits,
        instance_rank: Callable[[], tuple[int, int]],
        random: Random,
        started_s: float,
    ) -> None:
        self.limits = limits
        self._state = state
        self._instance_rank = instance_rank
        self._random = random
        self._started_s = started_s
        self._moves: dict[str, _Move] = {}

    def update(self, now_s: float) -> None:
        """Take up new orders and drop those that have ended."""
        current: dict[str, _Move] = {}
        for service, order in self._state.moves.items():
            if order.state in (MoveState.COMPLETE, MoveState.REVERTED):
                continue
            known = self._moves.get(service)
            if known is None or known.target_version != order.target_version:
                known = _Move(
                    service=service,
                    target_version=order.target_version,
                    duration_s=order.duration_s,
                    ordered_s=now_s,
                    has_allowance=now_s - self._started_s >= SETTLED_AFTER_S,
                )
            known.duration_s = order.duration_s
            current[service] = known
        self._moves = current

    def serving(
        self, service: str, *, on_new_version: bool = False
    ) -> list[Backend]:
        """Return the servers that may serve a request.

        on_new_version asks for the new version of a move in progress.
        """
        servers = self._state.servers_of(service)
        order = self._state.moves.get(service)
        if order is None:
            return servers
        is_new = order.state is MoveState.COMPLETE or (
            on_new_version and self._is_open(service)
        )
        return [
            server
            for server in servers
            if (server.entry.version == order.target_version) is is_new
        ]

    def choose_new_version(
        self, route: Route, service: str, run_s: float, now_s: float
    ) -> bool:
        """Return whether a request goes to the new version of its service.

        run_s is the expected time of its run, in seconds.
        """
        move = self._moves.get(service)
        if move is None or not self._is_open(service):
            return False
        if not any(
            server.is_available(now_s)
            for server in self.serving(service, on_new_version=True)
        ):
            return False
        sent_new, sent = move.own_sent()
        if sent_new + 1 > self._allowed(move, sent + 1):
            return False
        if self._is_kept_by_switch(move, route, run_s, now_s):
            return True
        share = (
            TRIAL_SHARE
            if move.assessment.verdict is CanaryVerdict.ACCEPTED
            else JUDGING_SHARE
        )
        return self._random.random() < share

    def record_sent(self, route: Route, backend: Backend) -> None:
        """Count a request that is sent to a server."""
        counts = self._counts(route, backend)
        if counts is not None:
            counts.sent += 1

    def record_end(
        self,
        route: Route,
        backend: Backend,
        now_s: float,
        *,
        failed: bool,
        lost_run: str | None = None,
    ) -> None:
        """Count an answer, or a failure without one.

        lost_run names the run of a server whose connection was lost. All
        requests there fail when it crashes, which says one thing about the
        version.
        """
        counts = self._counts(route, backend)
        if counts is None:
            return
        move = self._moves[backend.entry.service]
        if lost_run is not None:
            if lost_run in move.lost_runs:
                return
            move.lost_runs.add(lost_run)
        counts.ended += 1
        counts.failed += failed
        if failed and self._is_new(move, backend):
            self._assess(move, now_s)

    def record_first(
        self, route: Route, backend: Backend, relative_s: float, now_s: float
    ) -> None:
        """Count the time to a first output, relative to the expected one."""
        counts = self._counts(route, backend)
        if counts is None:
            return
        move = self._moves[backend.entry.service]
        old = move.own[route.name].old
        value = log(max(MIN_RELATIVE_TIME, relative_s))
        counts.firsts += 1
        counts.log_first_sum += value
        if (
            old.firsts >= MIN_OLD_ANSWERS
            and exp(value - old.mean_log_first()) > SLOW_FACTOR
        ):
            counts.slow_firsts += 1
        if self._is_new(move, backend):
            self._assess(move, now_s)

    def record_total(
        self, route: Route, backend: Backend, relative_s: float, now_s: float
    ) -> None:
        """Count the time of a whole answer, relative to the expected one."""
        counts = self._counts(route, backend)
        if counts is None:
            return
        move = self._moves[backend.entry.service]
        old = move.own[route.name].old
        value = log(max(MIN_RELATIVE_TIME, relative_s))
        counts.totals += 1
        counts.log_total_sum += value
        if (
            old.totals >= MIN_OLD_ANSWERS
            and exp(value - old.mean_log_total()) > SLOW_FACTOR
        ):
            counts.slow_totals += 1
        if self._is_new(move, backend):
            self._assess(move, now_s)

    def reports(self, now_s: float) -> list[MoveReport]:
        """Return what the peers need to know of the moves in progress."""
        return [
            MoveReport(
                service=move.service,
                target_version=move.target_version,
                age_s=now_s - move.ordered_s,
                is_rejected=move.rejected_s is not None,
                evidence=move.own,
            )
            for move in self._moves.values()
        ]

    def record_peer(
        self,
        name: str,
        incarnation: int,
        reports: Sequence[MoveReport],
        now_s: float,
    ) -> None:
        """Add what a peer has told about moves in progress."""
        for report in reports:
            move = self._moves.get(report.service)
            if move is None or move.target_version != report.target_version:
                continue
            move.ordered_s = min(move.ordered_s, now_s - report.age_s)
            move.peers[name, incarnation] = report.evidence
            if report.is_rejected:
                self._reject(move, f"rejected by {name}", now_s)
            else:
                self._assess(move, now_s)

    def due_status(self, service: str, now_s: float) -> MoveState | None:
        """Return the status that this instance is to write now, or None."""
        move = self._moves.get(service)
        if move is None:
            return None
        self._assess(move, now_s)
        turn_s = WRITE_TURN_S * min(MAX_WRITE_TURNS, self._instance_rank()[0])
        if move.rejected_s is not None:
            state, since_s = MoveState.REVERTED, move.rejected_s
        elif now_s >= move.completes_s:
            if move.assessment.verdict is not CanaryVerdict.ACCEPTED:
                return None
            state, since_s = MoveState.COMPLETE, move.completes_s
        else:
            order = self._state.moves[service]
            if order.state is MoveState.IN_PROGRESS:
                return None
            state, since_s = MoveState.IN_PROGRESS, move.ordered_s
        return state if now_s >= since_s + turn_s else None

    def order(self, service: str) -> VersionMove | None:
        """Return the order of a move as the store has it."""
        return self._state.moves.get(service)

    def services(self) -> list[str]:
        """Return the services with a move in progress."""
        return list(self._moves)

    def describe(self, service: str) -> Mapping[str, object]:
        """Return the inputs of the decision on a move, for the log."""
        move = self._moves[service]
        evidence = self._merged(move).values()
        return {
            "service": service,
            "target_version": move.target_version,
            "reason": move.assessment.reason,
            "answers": move.assessment.answers,
            "sent_new": sum(route.new.sent for route in evidence),
            "sent_old": sum(route.old.sent for route in evidence),
        }

    def _is_open(self, service: str) -> bool:
        """Return whether the new version may get requests."""
        move = self._moves.get(service)
        return move is not None and move.rejected_s is None

    def _allowed(self, move: _Move, sent: float) -> float:
        """Return how many requests this instance may send to a new version."""
        allowance = 0.0
        if move.has_allowance:
            allowance = self.limits.allowance / self._instance_rank()[1]
        return EXPOSURE_FRACTION * (self.limits.share * sent + allowance)

    def _is_kept_by_switch(
        self, move: _Move, route: Route, run_s: float, now_s: float
    ) -> bool:
        """Return whether a request would end with the old servers."""
        if (
            move.assessment.verdict is not CanaryVerdict.ACCEPTED
            or now_s < move.completes_s - SWITCH_S
        ):
            return False
        return (
            not (route.is_resumable or route.is_repeatable)
            and now_s + RUN_FACTOR * run_s > move.completes_s
        )

    def _counts(self, route: Route, backend: Backend) -> VersionCounts | None:
        move = self._moves.get(backend.entry.service)
        if move is None:
            return None
        evidence = move.own.setdefault(route.name, RouteEvidence())
        return evidence.new if self._is_new(move, backend) else evidence.old

    def _is_new(self, move: _Move, backend: Backend) -> bool:
        return backend.entry.version == move.target_version

    def _merged(self, move: _Move) -> dict[str, RouteEvidence]:
        return merge_evidence([move.own, *move.peers.values()])

    def _assess(self, move: _Move, now_s: float) -> None:
        """Assess a move, unless that was done just now."""
        if (
            move.rejected_s is not None
            or now_s - move.assessed_s < ASSESSMENT_INTERVAL_S
        ):
            return
        move.assessed_s = now_s
        servers = self._state.servers_of(move.service)
        new = sum(self._is_new(move, server) for server in servers)
        assessment = assess_canary(
            self._merged(move),
            new_servers=new,
            old_servers=len(servers) - new,
        )
        if assessment.verdict is CanaryVerdict.REJECTED:
            self._reject(move, assessment.reason, now_s, assessment)
        else:
            move.assessment = assessment

    def _reject(
        self,
        move: _Move,
        reason: str,
        now_s: float,
        assessment: CanaryAssessment | None = None,
    ) -> None:
        if move.rejected_s is not None:
            return
        move.rejected_s = now_s
        move.assessment = assessment or CanaryAssessment(
            verdict=CanaryVerdict.REJECTED,
            reason=reason,
            answers=move.assessment.answers,
        )
        _LOGGER.warning(
            "new version rejected, it gets no further requests",
            extra=dict(self.describe(move.service)),
        )
