"""What an entry instance knows about the other ones."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.slot_shares import SlotShares
from azurewick.util.decaying_rate import DecayingRate

# A peer that is silent for this long is taken to use its shares in full.
# Datagrams come several times in this time and get lost now and then.
SILENT_AFTER_S = 1.0
# Part of everything that is split evenly, so that an instance whose callers
# have just come isn't left with nothing.
EVEN_PART = 0.25
# Time after which others may borrow: about that between two reports.
TURN_S = 0.2
# Placements use the same shares and outcomes for this long at most: demand
# and failures change over seconds.
VALID_S = 0.05
# Work a second that is added to each instance's demand, so that the first
# few requests don't decide the shares.
PRIOR_WORK = 0.5
# Time constant of the measured demand. The balancer spreads callers by a
# hash, so that the differences between instances last.
DEMAND_TIME_CONSTANT_S = 5.0
# Instances assumed until the others are known.
INITIAL_INSTANCES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """What an instance tells the others, several times a second.

    is_leaving says that it stops and uses nothing any more, and age_s how
    long it has run. in_flight counts its requests by backend server, and
    outcomes how those of the last seconds ended there. quota_used is what
    it has taken of each customer's quota since its start, which incarnation
    names. quota_levels is what it believes to be left of each, filled in
    while a peer that has just started sets wants_levels. work is the nominal
    work a second that its callers ask for. A larger sequence is newer.
    """

    name: str
    incarnation: int
    sequence: int
    is_leaving: bool = False
    wants_levels: bool = False
    age_s: float = 0.0
    work: float = 0.0
    in_flight: Mapping[str, int] = field(default_factory=dict)
    outcomes: Mapping[str, OutcomeCount] = field(default_factory=dict)
    quota_used: Mapping[str, float] = field(default_factory=dict)
    quota_levels: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    report: PeerReport
    heard_s: float


class PeerView:
    """Reports of the peers and this instance's shares.

    What a silent peer uses isn't known: it may be cut off and still serve.
    It is taken to use its shares, as it does itself when all its peers are
    silent.
    """

    def __init__(self, own_name: str) -> None:
        # Work that callers ask for, refused requests included.
        self.demand = DecayingRate(DEMAND_TIME_CONSTANT_S)
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._shares: SlotShares | None = None
        self._shares_s = 0.0
        self._outcomes: Mapping[str, OutcomeCount] | None = None
        self._outcomes_s = 0.0
        # Incarnations of the peers that have left.
        self._left: dict[str, int] = {}
        self._members: tuple[str, ...] = (
            own_name,
            *(f"?{index}" for index in range(1, INITIAL_INSTANCES)),
        )

    @property
    def count(self) -> int:
        """Return the number of instances, this one included."""
        return len(self._members)

    def set_members(self, names: Collection[str]) -> None:
        """Take the names of the live instances."""
        present = {name for name in names if name not in self._left}
        self._members = tuple(sorted({*present, self._own_name}))
        self._shares = None

    def take(self, report: PeerReport, now_s: float) -> PeerReport | None:
        """Take a report; return the one before it of the same run.

        Returns the report itself if there was none, so that nothing has
        changed since, and None for a report that is not the newest.
        """
        if report.name == self._own_name:
            return None
        if report.is_leaving:
            self._leave(report)
            return None
        left = self._left.get(report.name)
        if left == report.incarnation:
            return None
        if left is not None:
            del self._left[report.name]
            self.set_members((*self._members, report.name))
        known = self._peers.get(report.name)
        before_or_same = report
        if known is not None and (
            known.report.incarnation == report.incarnation
        ):
            if report.sequence <= known.report.sequence:
                return None
            before_or_same = known.report
        self._peers[report.name] = _Peer(report, now_s)
        self._shares = None
        return before_or_same

    def wants_levels(self, now_s: float) -> bool:
        """Return whether a peer has just started and asks for levels."""
        return any(
            peer.report.wants_levels and now_s - peer.heard_s <= SILENT_AFTER_S
            for peer in self._peers.values()
        )

    def slot_shares(self, now_s: float) -> SlotShares:
        """Return the shares in the servers' slots as of now.

        They hold until the next report, and for a short time.
        """
        if self._shares is None or not _is_valid(self._shares_s, now_s):
            self._shares = self._build_shares(now_s)
            self._shares_s = now_s
        return self._shares

    def outcomes(self, now_s: float) -> Mapping[str, OutcomeCount]:
        """Return what the peers have seen at each server."""
        if self._outcomes is None or not _is_valid(self._outcomes_s, now_s):
            self._outcomes = self._sum_outcomes(now_s)
            self._outcomes_s = now_s
        return self._outcomes

    def shared_fraction(self, now_s: float) -> float:
        """Return the part of a quota that no silent peer may be using.

        The split is even: both sides of a cut have to come to the same one.
        """
        silent = sum(
            name != self._own_name and self._is_silent(name, now_s)
            for name in self._members
        )
        return 1.0 - silent / self.count

    def _build_shares(self, now_s: float) -> SlotShares:
        even = [1.0 / self.count] * self.count
        return SlotShares(
            weights=even if self._has_silent(now_s) else self._weights(now_s),
            own_index=self._members.index(self._own_name),
            turn=int(now_s / TURN_S),
            in_flight=[
                None
                if self._is_silent(name, now_s)
                else self._peers[name].report.in_flight
                for name in self._members
            ],
        )

    def _sum_outcomes(self, now_s: float) -> Mapping[str, OutcomeCount]:
        sums: dict[str, OutcomeCount] = {}
        for name, peer in self._peers.items():
            if self._is_silent(name, now_s):
                continue
            for server, one in peer.report.outcomes.items():
                known = sums.get(server)
                sums[server] = one if known is None else known + one
        return sums

    def _leave(self, report: PeerReport) -> None:
        self._left[report.name] = report.incarnation
        self._peers.pop(report.name, None)
        self.set_members(self._members)

    def _has_silent(self, now_s: float) -> bool:
        """Return whether the weights of a peer may differ from ours."""
        return any(
            self._is_silent(name, now_s)
            for name in self._members
            if name != self._own_name
        )

    def _is_silent(self, name: str, now_s: float) -> bool:
        peer = self._peers.get(name)
        return peer is None or now_s - peer.heard_s > SILENT_AFTER_S

    def _weights(self, now_s: float) -> list[float]:
        demands = []
        for name in self._members:
            peer = self._peers.get(name)
            if name == self._own_name:
                work = self.demand.per_s(now_s)
            else:
                work = 0.0 if peer is None else peer.report.work
            demands.append(work + PRIOR_WORK)
        total = sum(demands)
        even = EVEN_PART / len(demands)
        return [even + (1 - EVEN_PART) * one / total for one in demands]


def _is_valid(computed_s: float, now_s: float) -> bool:
    """Return whether what was computed at a time is still used."""
    return 0 <= now_s - computed_s < VALID_S
