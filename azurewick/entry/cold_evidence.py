"""What tells that a run of a server is cold, and until when."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from azurewick.entry.cold_budget import SendWindow
from azurewick.entry.cold_reports import RestartClaim
from azurewick.entry.models import BackendEntry

NEVER_S = float("-inf")
# A server that was lost is taken for cold for this long while nothing is
# heard of it. The entry of one that is down expires earlier.
MAX_DOWN_S = 8.0
# A success shows that a server is back if its request was sent this long
# after the loss. Reports that say when it was may be some tenths of a second
# late, and answers of the previous run may still be read.
SUCCESS_MARGIN_S = 0.5
# An entry that comes this long after a loss was written after it: reads of
# the store may be 3 s old.
MAX_ENTRY_AGE_S = 4.0
# A crash and restart takes longer than this.
MIN_RESTART_S = 1.0
# Share of its slots that a server may use right after its start.
INITIAL_SLOT_SHARE = 1.0 / 3.0


class ColdReason(StrEnum):
    """Why a server is taken for cold."""

    ENTRY = "its entry says so"
    NEW_RUN = "the run is new or was missing"
    LOST = "a connection was refused or lost"
    ANSWERED = "it answers again after a loss"
    EVACUATION = "its domain was evacuated"
    PEER = "a peer knows a newer run"


@dataclass(kw_only=True, slots=True)
class ServerEvidence:
    """Evidence on a listed run of a server; times are monotonic.

    cold_until_s is what its entry says. presumed_from_s is when the run began
    to be presumed cold for its service's cold_s. failed_s is the time of the
    latest loss that any instance reports, and success_s that of the first
    success after it; own_failed_s and own_success_s are this instance's. An
    entry that was written after cleared_s replaces earlier losses. answered_s
    is the time of the latest answer here, contact_from_s that of the first one
    without a longer gap than MIN_RESTART_S up to now, and learned_from_peer
    tells who noticed the loss.
    """

    entry: BackendEntry
    cold_until_s: float = NEVER_S
    presumed_from_s: float = NEVER_S
    presumed_reason: ColdReason = ColdReason.NEW_RUN
    failed_s: float = NEVER_S
    success_s: float = NEVER_S
    own_failed_s: float = NEVER_S
    own_success_s: float = NEVER_S
    cleared_s: float = NEVER_S
    answered_s: float = NEVER_S
    contact_from_s: float = NEVER_S
    learned_from_peer: bool = False
    sends: SendWindow = field(default_factory=SendWindow)

    @property
    def is_lost(self) -> bool:
        """Return whether no success is known after the latest loss."""
        return self.failed_s > max(
            self.cleared_s, self.success_s - SUCCESS_MARGIN_S
        )

    def find_end(self, cold_s: float) -> tuple[float, ColdReason]:
        """Return until when the server is taken for cold, and why."""
        ends = [
            (self.cold_until_s, ColdReason.ENTRY),
            (self.presumed_from_s + cold_s, self.presumed_reason),
        ]
        if self.is_lost:
            ends.append((self.failed_s + MAX_DOWN_S + cold_s, ColdReason.LOST))
        elif self.failed_s > self.cleared_s:
            ends.append((self.success_s + cold_s, ColdReason.ANSWERED))
        return max(ends, key=lambda end: end[0])

    def presume(self, from_s: float, reason: ColdReason) -> None:
        """Presume that the server is cold since a time."""
        if from_s > self.presumed_from_s:
            self.presumed_from_s = from_s
            self.presumed_reason = reason

    def record_entry(self, entry: BackendEntry, now_s: float) -> None:
        """Take over a later entry of the same run."""
        if entry.revision <= self.entry.revision:
            # A stale list, or one in which only other entries have changed.
            return
        self.entry = entry
        self.cold_until_s = now_s + entry.cold_left_s
        self.cleared_s = now_s - MAX_ENTRY_AGE_S
        if (
            self.presumed_reason is ColdReason.NEW_RUN
            or self.presumed_from_s <= self.cleared_s
        ):
            self.presumed_from_s = NEVER_S

    def record_failure(self, now_s: float) -> None:
        """Record that this instance's connection was refused or lost."""
        self.failed_s = self.own_failed_s = now_s
        self.learned_from_peer = False

    def record_success(self, sent_s: float, now_s: float) -> bool:
        """Record an answer; return whether it is the first after a loss."""
        if now_s - self.answered_s > MIN_RESTART_S:
            self.contact_from_s = now_s
        self.answered_s = now_s
        if not self.is_lost or sent_s < self.failed_s + SUCCESS_MARGIN_S:
            return False
        self.success_s = self.own_success_s = now_s
        return True

    def is_proven_warm(self, cold_s: float, now_s: float) -> bool:
        """Return whether answers here leave no room for a restart."""
        return (
            now_s - self.answered_s <= MIN_RESTART_S
            and self.answered_s - self.contact_from_s >= cold_s
        )

    def record_claim(self, claim: RestartClaim, now_s: float) -> None:
        """Take over what a peer has seen of the same run."""
        if claim.failed_age_s is not None:
            failed_s = now_s - claim.failed_age_s
            if failed_s > self.failed_s:
                self.failed_s = failed_s
                self.learned_from_peer = True
        if claim.answered_age_s is not None:
            self.success_s = max(self.success_s, now_s - claim.answered_age_s)

    def build_claim(
        self, now_s: float, *, reports_start: bool
    ) -> RestartClaim | None:
        """Return what this instance has seen itself, if anything.

        Others' claims aren't passed on: each hop would make them look newer.
        """
        failed_s = self.own_failed_s
        if failed_s <= self.cleared_s:
            failed_s = NEVER_S
        started_s = NEVER_S
        if reports_start:
            started_s = self.presumed_from_s
        if failed_s == self.own_success_s == started_s == NEVER_S:
            return None
        return RestartClaim(
            run=self.entry.run_name,
            failed_age_s=_age_s(failed_s, now_s),
            answered_age_s=_age_s(self.own_success_s, now_s),
            started_age_s=_age_s(started_s, now_s),
        )


def _age_s(time_s: float, now_s: float) -> float | None:
    return None if time_s == NEVER_S else now_s - time_s
