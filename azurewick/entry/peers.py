"""Reports of other entry instances, and the shares derived from them."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.cold_reports import RestartClaim
from azurewick.entry.departures import Departure
from azurewick.entry.evacuations import EvacuationList
from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.slot_shares import SlotShares
from azurewick.entry.speeds import SpeedSample
from azurewick.entry.version_moves import MoveReport
from azurewick.poison.culprits import Conviction
from azurewick.poison.culprits import Suspicion
from azurewick.replication.models import ConfigurationNotice
from azurewick.util.decaying_rate import DecayingRate

if TYPE_CHECKING:
    # Imported only where engine times are learned.
    from azurewick.entry.engine_times import TimeSums

# A peer without reports for this long counts as silent and is assumed to use
# its shares in full. Several reports are sent in this time, as datagrams may
# get lost.
SILENT_AFTER_S = 1.0
# With more instances than this, reports are sent less often: each instance
# sends them to all others, so that their number grows with the square.
LARGE_FLEET_INSTANCES = 30
# A peer without reports for this long counts as silent in a large fleet.
LARGE_FLEET_SILENT_AFTER_S = 2.0
# Fraction of the slots that is split evenly; the rest is split by demand. It
# leaves some slots to an instance whose callers have just arrived.
EVEN_SPLIT_FRACTION = 0.25
# The instances that may borrow a slot are drawn anew after this time, which
# is about the interval between two reports.
BORROW_PERIOD_S = 0.2
# Computed shares and sums of outcomes are reused for this long at most: demand
# and failures change over seconds.
CACHE_TTL_S = 0.05
# Added to the demand of each instance, so that the first few requests don't
# decide the shares.
BASE_WORK_PER_S = 0.5
# Time constant of the measured demand. The load balancer distributes callers
# by a hash, so that differences between instances persist.
DEMAND_TIME_CONSTANT_S = 5.0
# Number of instances assumed until the others are known.
INITIAL_INSTANCES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """Usage of an instance, sent to the others several times a second.

    incarnation identifies the run of the process, and a larger sequence is
    newer within it. is_leaving says that the instance stops and uses nothing
    any more. age_s is the time since its start. work_per_s is the nominal
    work a second that its callers ask for. in_flight counts its requests by
    backend server, outcomes the results of recent requests there, and speeds
    the measured slowdowns. Only some reports hold speeds, and in a large fleet
    outcomes; they are None in the others.
    quota_used is what it has used of each customer's quota since its start,
    and quota_levels what it counts as left of each. The levels are filled in
    only while a peer that has just started sets wants_levels. suspicions and
    convictions are about requests that crash servers, moves about the version
    moves in progress, and departures about servers that have left lately.
    processor_share tells how well the sender could be a broker of slots, 0 if
    it can't. has_lost_store says that the sender has, or had until a moment
    ago, an outage of the store in which entries of live servers may have
    expired.
    list_age_s is the time since the store has confirmed the sender's list of
    the servers, None before that. configuration is None before the sender has
    one. evacuations is None unless there are some or have lately been some.
    restarts is what it has seen of servers that may have restarted.
    one. capacity and engine_times are empty in reports without them.
    """

    name: str
    incarnation: int
    sequence: int
    is_leaving: bool = False
    wants_levels: bool = False
    age_s: float = 0.0
    work_per_s: float = 0.0
    in_flight: Mapping[str, int] = field(default_factory=dict)
    outcomes: Mapping[str, OutcomeCount] | None = field(default_factory=dict)
    speeds: Mapping[str, SpeedSample] = field(default_factory=dict)
    quota_used: Mapping[str, float] = field(default_factory=dict)
    quota_levels: Mapping[str, float] = field(default_factory=dict)
    suspicions: Sequence[Suspicion] = ()
    convictions: Sequence[Conviction] = ()
    moves: Sequence[MoveReport] = ()
    departures: Sequence[Departure] = ()
    has_lost_store: bool = False
    list_age_s: float | None = None
    configuration: ConfigurationNotice | None = None
    evacuations: EvacuationList | None = None
    restarts: Sequence[RestartClaim] = ()
    processor_share: float = 0.0
    capacity: CapacityReport = CapacityReport()
    engine_times: Mapping[str, TimeSums] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    """Latest report of a peer, with the time of its arrival."""

    report: PeerReport
    received_s: float
    outcomes: Mapping[str, OutcomeCount]
    speeds: Mapping[str, SpeedSample]


class PeerView:
    """Latest reports of the peers, and this instance's shares.

    What a silent peer uses isn't known: it may still serve although its
    reports don't arrive. It is assumed to use its shares, and limits itself
    to them when all its peers are silent.
    """

    def __init__(self, own_name: str) -> None:
        # Work that callers ask for, refused requests included.
        self.demand = DecayingRate(DEMAND_TIME_CONSTANT_S)
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._shares: SlotShares | None = None
        self._shares_computed_s = 0.0
        self._outcomes: Mapping[str, OutcomeCount] | None = None
        self._outcomes_computed_s = 0.0
        # Incarnations of the peers that have left, by name.
        self._left_incarnations: dict[str, int] = {}
        self._members: tuple[str, ...] = (
            own_name,
            *(f"?{index}" for index in range(1, INITIAL_INSTANCES)),
        )

    @property
    def instance_count(self) -> int:
        """Return the number of instances, this one included."""
        return len(self._members)

    @property
    def members(self) -> tuple[str, ...]:
        """Return the names of the live instances in order."""
        return self._members

    def has_left(self, name: str) -> bool:
        """Return whether an instance has said that it stops."""
        return name in self._left_incarnations

    def heard_share(self, now_s: float) -> float:
        """Return the share of the other instances that aren't silent."""
        others = [name for name in self._members if name != self._own_name]
        if not others:
            return 1.0
        silent = sum(self._is_silent(name, now_s) for name in others)
        return 1.0 - silent / len(others)

        """Return the names of the live instances, this one included."""
        return self._members

    @property
    def own_rank(self) -> tuple[int, int]:
        """Return this instance's place among the live ones, and their number.

        The place is the index in the order of the names.
        """
        return self._members.index(self._own_name), len(self._members)

    @property
    def is_large_fleet(self) -> bool:
        """Return whether reports are sent less often."""
        return self.instance_count > LARGE_FLEET_INSTANCES

    @property
    def _silent_after_s(self) -> float:
        return (
            LARGE_FLEET_SILENT_AFTER_S
            if self.is_large_fleet
            else SILENT_AFTER_S
        )

    def set_members(self, names: Collection[str]) -> None:
        """Set the names of the live instances."""
        present = {
            name for name in names if name not in self._left_incarnations
        }
        self._members = tuple(sorted({*present, self._own_name}))
        self._shares = None

    def record_report(
        self, report: PeerReport, now_s: float
    ) -> PeerReport | None:
        """Store a report; return the previous one of the same incarnation.

        Returns the report itself if it is the first one, so that a comparison
        shows no change. Returns None if the report is ignored because it is
        not the newest or its sender is leaving or has left.
        """
        if report.name == self._own_name:
            return None
        if report.is_leaving:
            self._remove_peer(report)
            return None
        left = self._left_incarnations.get(report.name)
        if left == report.incarnation:
            return None
        if left is not None:
            del self._left_incarnations[report.name]
            self.set_members((*self._members, report.name))
        known = self._peers.get(report.name)
        previous = report
        if known is not None and (
            known.report.incarnation == report.incarnation
        ):
            if report.sequence <= known.report.sequence:
                return None
            previous = known.report
        outcomes = report.outcomes
        if outcomes is None:
            outcomes = {} if known is None else known.outcomes
        speeds = report.speeds
        if not speeds and known is not None:
            speeds = known.speeds
        self._peers[report.name] = _Peer(report, now_s, outcomes, speeds)
        if not self.is_large_fleet:
            # With many instances the shares would be computed for each of
            # some hundred reports a second.
            self._shares = None
        return previous

    def reports(self, now_s: float) -> Iterator[PeerReport]:
        """Yield the latest reports of the peers that aren't silent."""
        for name, peer in self._peers.items():
            if not self._is_silent(name, now_s):
                yield peer.report

    def processor_shares(self, now_s: float) -> dict[str, float]:
        """Return the processor shares that the live peers report."""
        return {
            report.name: report.processor_share
            for report in self.reports(now_s)
        }

    def wants_levels(self, now_s: float) -> bool:
        """Return whether a peer has just started and asks for quota levels."""
        return any(
            peer.report.wants_levels
            and now_s - peer.received_s <= self._silent_after_s
            for peer in self._peers.values()
        )

    def slot_shares(self, now_s: float) -> SlotShares:
        """Return the shares of the servers' slots.

        They are reused until the next report, or in a large fleet beyond it,
        for CACHE_TTL_S at most.
        """
        if self._shares is None or not _is_fresh(
            self._shares_computed_s, now_s
        ):
            self._shares = self._build_shares(now_s)
            self._shares_computed_s = now_s
        return self._shares

    def outcomes(self, now_s: float) -> Mapping[str, OutcomeCount]:
        """Return the sums of the peers' outcomes by server."""
        if self._outcomes is None or not _is_fresh(
            self._outcomes_computed_s, now_s
        ):
            self._outcomes = self._sum_outcomes(now_s)
            self._outcomes_computed_s = now_s
        return self._outcomes

    def speeds(self, now_s: float) -> Mapping[str, SpeedSample]:
        """Return the sums of the peers' measured speeds by server."""
        sums: dict[str, SpeedSample] = {}
        for name, peer in self._peers.items():
            if self._is_silent(name, now_s):
                continue
            for server, sample in peer.speeds.items():
                known = sums.get(server)
                sums[server] = sample if known is None else known + sample
        return sums

    def list_age_s(self, now_s: float) -> float | None:
        """Return how old the most recent list of the servers of a peer is."""
        ages_s = [
            peer.report.list_age_s + now_s - peer.received_s
            for peer in self._peers.values()
            if peer.report.list_age_s is not None
        ]
        return min(ages_s, default=None)

    def most_have_lost_store(self, own: bool, now_s: float) -> bool:
        """Return whether more than half of the instances lost the store.

        own tells it of this instance. Silent peers don't count.
        """
        lost = [own]
        lost.extend(
            peer.report.has_lost_store
            for name, peer in self._peers.items()
            if not self._is_silent(name, now_s)
        )
        return 2 * sum(lost) > len(lost)

    def usable_quota_fraction(self, now_s: float) -> float:
        """Return the fraction of a quota that no silent peer may be using.

        The split is even, as both sides of a network partition have to
        compute the same one.
        """
        silent = sum(
            name != self._own_name and self._is_silent(name, now_s)
            for name in self._members
        )
        return 1.0 - silent / self.instance_count

    def _build_shares(self, now_s: float) -> SlotShares:
        even = [1.0 / self.instance_count] * self.instance_count
        return SlotShares(
            weights=even
            if self._has_silent_peer(now_s)
            else self._weights(now_s),
            own_index=self._members.index(self._own_name),
            borrow_period=int(now_s / BORROW_PERIOD_S),
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
            for server, count in peer.outcomes.items():
                known = sums.get(server)
                sums[server] = count if known is None else known + count
        return sums

    def _remove_peer(self, report: PeerReport) -> None:
        self._left_incarnations[report.name] = report.incarnation
        self._peers.pop(report.name, None)
        self.set_members(self._members)

    def _has_silent_peer(self, now_s: float) -> bool:
        """Return whether a peer is silent.

        The weights that it uses may then differ from ours.
        """
        return any(
            self._is_silent(name, now_s)
            for name in self._members
            if name != self._own_name
        )

    def _is_silent(self, name: str, now_s: float) -> bool:
        peer = self._peers.get(name)
        return peer is None or now_s - peer.received_s > self._silent_after_s

    def _weights(self, now_s: float) -> list[float]:
        demands = []
        for name in self._members:
            peer = self._peers.get(name)
            if name == self._own_name:
                work = self.demand.per_s(now_s)
            else:
                work = 0.0 if peer is None else peer.report.work_per_s
            demands.append(work + BASE_WORK_PER_S)
        total = sum(demands)
        even = EVEN_SPLIT_FRACTION / len(demands)
        return [
            even + (1 - EVEN_SPLIT_FRACTION) * demand / total
            for demand in demands
        ]


def _is_fresh(computed_s: float, now_s: float) -> bool:
    """Return whether a value computed at computed_s can be reused."""
    return 0 <= now_s - computed_s < CACHE_TTL_S
