"""Verdict on a new version by the answers to a small share of the requests.

Old and new version serve the same routes at the same time, so that the load,
faults of the network and the callers affect both. The routes are compared one
by one: they differ in how often they fail and how long they take. The numbers
are those of all entry instances together.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from enum import StrEnum
from math import exp
from math import log
from math import sqrt
from typing import Final

# A version is rejected when failures or slow answers exceed what the old
# version predicts by this many standard deviations, and by MIN_EXCESS.
REJECTION_DEVIATIONS: Final = 4.5
MIN_EXCESS: Final = 3.5
# Assumed outcomes of the old version before there are any.
PRIOR_ANSWERS: Final = 20.0
PRIOR_BAD: Final = 0.4
# An answer is slow when it takes this many times what the old version takes.
SLOW_FACTOR: Final = 3.0
# A version is rejected when it takes on average this many times as long.
SLOW_MEAN_FACTOR: Final = 2.0
SLOW_MEAN_DEVIATIONS: Final = 3.5
# Standard deviations of the logarithm of the time of an answer, relative to
# its expected time: between the servers of a version, and between answers.
SERVER_SPREAD: Final = 0.65
ANSWER_SPREAD: Final = 0.6
# Answers until a version can be accepted, in all and on a usual route. A route
# with a smaller share of the requests isn't waited for.
MIN_ACCEPTED_ANSWERS: Final = 12
MIN_ROUTE_ANSWERS: Final = 3
USUAL_ROUTE_SHARE: Final = 0.08


class CanaryVerdict(StrEnum):
    """Verdict on a version; OPEN needs more answers."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclass(kw_only=True, slots=True)
class VersionCounts:
    """Answers of one version on one route.

    firsts and totals are the numbers of measured times to the first output
    and to the end. log_first_sum and log_total_sum add up the logarithms of
    these times relative to the expected ones, and slow_firsts and slow_totals
    count those that are slow.
    """

    sent: float = 0.0
    ended: float = 0.0
    failed: float = 0.0
    firsts: float = 0.0
    log_first_sum: float = 0.0
    slow_firsts: float = 0.0
    totals: float = 0.0
    log_total_sum: float = 0.0
    slow_totals: float = 0.0

    def add(self, other: VersionCounts) -> None:
        """Add the numbers of another instance."""
        for item in fields(self):
            value = getattr(self, item.name) + getattr(other, item.name)
            setattr(self, item.name, value)

    def mean_log_first(self) -> float:
        """Return the mean logarithm of the relative time to first output."""
        return self.log_first_sum / self.firsts if self.firsts else 0.0

    def mean_log_total(self) -> float:
        """Return the mean logarithm of the relative time to the end."""
        return self.log_total_sum / self.totals if self.totals else 0.0


@dataclass(kw_only=True, slots=True)
class RouteEvidence:
    """Answers of the old and of the new version on one route."""

    old: VersionCounts = field(default_factory=VersionCounts)
    new: VersionCounts = field(default_factory=VersionCounts)


Evidence = Mapping[str, RouteEvidence]


@dataclass(frozen=True, kw_only=True, slots=True)
class CanaryAssessment:
    """Verdict with its reason and the answers of the new version."""

    verdict: CanaryVerdict
    reason: str = ""
    answers: int = 0


def merge_evidence(parts: list[Evidence]) -> dict[str, RouteEvidence]:
    """Return the sum of the evidence of several instances."""
    merged: dict[str, RouteEvidence] = {}
    for part in parts:
        for route, counts in part.items():
            total = merged.setdefault(route, RouteEvidence())
            total.old.add(counts.old)
            total.new.add(counts.new)
    return merged


def assess_canary(
    evidence: Evidence, *, new_servers: int, old_servers: int
) -> CanaryAssessment:
    """Return the verdict on the new version.

    new_servers and old_servers are the numbers of servers of the versions.
    """
    answers = int(sum(route.new.ended for route in evidence.values()))
    reason = _find_fault(evidence, new_servers, old_servers)
    if reason:
        return CanaryAssessment(
            verdict=CanaryVerdict.REJECTED, reason=reason, answers=answers
        )
    return CanaryAssessment(
        verdict=(
            CanaryVerdict.ACCEPTED
            if _is_sufficient(evidence, answers)
            else CanaryVerdict.OPEN
        ),
        answers=answers,
    )


def _find_fault(evidence: Evidence, new_servers: int, old_servers: int) -> str:
    """Return why the version is bad; empty if it isn't known to be."""
    scopes: dict[str, list[RouteEvidence]] = {
        f"route {name}": [route] for name, route in evidence.items()
    }
    scopes["all routes"] = list(evidence.values())
    for scope, routes in scopes.items():
        for measure, ended in (
            ("failed", "ended"),
            ("slow_firsts", "firsts"),
            ("slow_totals", "totals"),
        ):
            count = sum(getattr(route.new, measure) for route in routes)
            if _is_excess(routes, measure, ended):
                name = measure.replace("_", " ")
                return f"{count:.0f} answers {name} on {scope}"
        for name in ("first", "total"):
            factor = _slowdown(routes, name, new_servers, old_servers)
            if factor is not None:
                return f"{factor:.1f} times slower ({name}) on {scope}"
    return ""


def _is_excess(routes: list[RouteEvidence], measure: str, ended: str) -> bool:
    """Return whether the new version has more bad answers than the old."""
    bad = expected = variance = 0.0
    for route in routes:
        answers = getattr(route.new, ended)
        rate = (getattr(route.old, measure) + PRIOR_BAD) / (
            getattr(route.old, ended) + PRIOR_ANSWERS
        )
        rate = min(rate, 1.0)
        bad += getattr(route.new, measure)
        expected += answers * rate
        variance += answers * rate * (1 - rate)
    excess = bad - expected
    return excess >= MIN_EXCESS and excess > REJECTION_DEVIATIONS * sqrt(
        variance
    )


def _slowdown(
    routes: list[RouteEvidence], name: str, new_servers: int, old_servers: int
) -> float | None:
    """Return how many times slower the new version is, None if it isn't."""
    weighted = new_answers = old_answers = 0.0
    for route in routes:
        new = getattr(route.new, f"{name}s")
        old = getattr(route.old, f"{name}s")
        if not new or not old:
            continue
        difference = (
            getattr(route.new, f"mean_log_{name}")()
            - getattr(route.old, f"mean_log_{name}")()
        )
        weighted += new * difference
        new_answers += new
        old_answers += old
    if not new_answers:
        return None
    mean = weighted / new_answers
    deviation = sqrt(
        SERVER_SPREAD**2 / max(1.0, min(new_servers, new_answers))
        + SERVER_SPREAD**2 / max(1.0, min(old_servers, old_answers))
        + ANSWER_SPREAD**2 / new_answers
        + ANSWER_SPREAD**2 / old_answers
    )
    if mean < max(log(SLOW_MEAN_FACTOR), SLOW_MEAN_DEVIATIONS * deviation):
        return None
    return exp(mean)


def _is_sufficient(evidence: Evidence, answers: int) -> bool:
    """Return whether the version has answered enough to be accepted."""
    sent = sum(route.old.sent + route.new.sent for route in evidence.values())
    if answers < min(MIN_ACCEPTED_ANSWERS, max(1.0, sent / 2)):
        return False
    return all(
        route.new.ended >= MIN_ROUTE_ANSWERS
        for route in evidence.values()
        if route.old.sent + route.new.sent >= USUAL_ROUTE_SHARE * sent
    )
