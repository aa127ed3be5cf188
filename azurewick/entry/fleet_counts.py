"""Requests of all instances at each engine, as a broker counts them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from azurewick.entry.broker_messages import RequestKey
from azurewick.entry.peers import PeerReport
from azurewick.entry.slot_shares import SlotShares

# A report that arrives later than this after a grant counts the grant: the
# grant has reached the asker, also one whose event loop is 10 ms late, and
# the report has come back. The second value is for other regions.
SETTLE_S = 0.05
REMOTE_SETTLE_S = 0.1


class UsageReports(Protocol):
    """Latest reports of the instances."""

    def slot_shares(self, now_s: float) -> SlotShares:
        """Return the shares of the servers' slots."""

    def reports(self, now_s: float) -> Iterable[PeerReport]:
        """Return the latest reports of the peers that aren't silent."""


@dataclass(slots=True)
class _AskerCounts:
    """Requests of one asker.

    grants holds the server and the time of each grant. unexplained counts, by
    server, the reported requests that aren't in grants: those without a grant
    and those that another broker has granted. missing counts the grants that
    the latest report should count but doesn't: a grant or a release was lost,
    or a release is on its way. Which one of several it is isn't known yet.
    """

    incarnation: int
    grants: dict[int, tuple[str, float]] = field(default_factory=dict)
    unexplained: Counter[str] = field(default_factory=Counter)
    missing: Counter[str] = field(default_factory=Counter)


class FleetCounts:
    """Number of requests at each engine; a SlotView for placement.

    Of each instance, what its latest report says is in flight counts,
    corrected by the grants and releases since. So a lost release is found
    with the next report, and a new broker starts from the reports. Silent
    instances count with their shares. The broker's own requests are the
    in_flight of its backends.
    """

    def __init__(self, peers: UsageReports) -> None:
        self._peers = peers
        self._askers: dict[str, _AskerCounts] = {}
        self._totals: Counter[str] = Counter()
        self._shares: SlotShares | None = None

    def start(self, now_s: float) -> None:
        """Start from the latest reports."""
        self._askers.clear()
        self._totals.clear()
        for report in self._peers.reports(now_s):
            self.record_report(report, now_s, SETTLE_S)
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Drop what silent instances had; their shares count instead."""
        live = {report.name for report in self._peers.reports(now_s)}
        for name in self._askers.keys() - live:
            self.remove_asker(name)
        shares = self._peers.slot_shares(now_s)
        self._shares = shares if shares.has_silent else None

    def granted_server(self, key: RequestKey) -> str | None:
        """Return the server of a grant that hasn't been returned."""
        asker = self._askers.get(key.asker)
        if asker is None or asker.incarnation != key.incarnation:
            return None
        grant = asker.grants.get(key.number)
        return None if grant is None else grant[0]

    def renew_grant(self, key: RequestKey, now_s: float) -> str | None:
        """Return the server of a grant that is to be sent again.

        It counts as granted now: a report that is on its way doesn't count
        it yet. Returns None if the latest report shows that a grant is
        missing: it is this one, and its slot has been freed.
        """
        server = self.granted_server(key)
        if server is None:
            return None
        asker = self._askers[key.asker]
        if asker.missing[server] > 0:
            del asker.grants[key.number]
            asker.missing[server] -= 1
            return None
        asker.grants[key.number] = (server, now_s)
        return server

    def add_grant(self, key: RequestKey, server: str, now_s: float) -> None:
        """Count a granted slot."""
        self._asker(key).grants[key.number] = (server, now_s)
        self._totals[server] += 1

    def release(self, key: RequestKey, server: str) -> bool:
        """Count a returned slot; return whether it was in use.

        A slot that another broker has granted is known from the reports only.
        """
        asker = self._askers.get(key.asker)
        if asker is None or asker.incarnation != key.incarnation:
            return False
        grant = asker.grants.pop(key.number, None)
        if grant is not None:
            if asker.missing[grant[0]] > 0:
                # The report was faster than the release.
                asker.missing[grant[0]] -= 1
                return False
            self._totals[grant[0]] -= 1
            return True
        if asker.unexplained[server] > 0:
            asker.unexplained[server] -= 1
            self._totals[server] -= 1
            return True
        return False

    def record_report(
        self, report: PeerReport, now_s: float, settle_s: float
    ) -> bool:
        """Correct the counts of an instance; return whether slots got free.

        Grants that two reports in a row should count but don't are dropped,
        the oldest first.
        """
        asker = self._asker(RequestKey(report.name, report.incarnation, 0))
        granted: dict[str, list[int]] = {}
        for number, (server, _) in asker.grants.items():
            granted.setdefault(server, []).append(number)
        is_freed = False
        reported = report.in_flight
        for server in {*reported, *granted, *asker.unexplained}:
            numbers = granted.get(server, [])
            count = int(reported.get(server, 0))
            settled = [
                number
                for number in numbers
                if now_s - asker.grants[number][1] > settle_s
            ]
            missing = max(0, len(settled) - count)
            dropped = settled[: min(missing, asker.missing[server])]
            for number in dropped:
                del asker.grants[number]
            held = len(numbers) - len(dropped)
            missing -= len(dropped)
            unexplained = max(0, count - held)
            before = len(numbers) - asker.missing[server]
            change = held - missing + unexplained
            change -= before + asker.unexplained[server]
            self._totals[server] += change
            asker.missing[server] = missing
            asker.unexplained[server] = unexplained
            if not unexplained:
                del asker.unexplained[server]
            if not missing:
                del asker.missing[server]
            is_freed = is_freed or change < 0
        return is_freed

    def remove_asker(self, name: str) -> None:
        """Drop all counts of an instance that has left or is silent."""
        asker = self._askers.pop(name, None)
        if asker is None:
            return
        self._totals.subtract(server for server, _ in asker.grants.values())
        self._totals.subtract(asker.unexplained)
        self._totals.update(asker.missing)

    def unused(self, total: int, backend: str) -> int:
        """Return how many slots may be granted; used() counts against it."""
        return total

    def available(self, total: int, backend: str, own_used: int = 0) -> int:
        """Return how many slots may be granted; used() counts against it."""
        return total

    def used(self, total: int, backend: str, own_used: int) -> int:
        """Return the number of requests at an engine."""
        silent = 0
        if self._shares is not None:
            silent = self._shares.silent_share(total, backend)
        return own_used + self._totals[backend] + silent

    def snapshot(self) -> Mapping[str, int]:
        """Return the number of the peers' requests by server."""
        return dict(self._totals)

    def _asker(self, key: RequestKey) -> _AskerCounts:
        """Return an asker's counts, new ones if its process is another."""
        asker = self._askers.get(key.asker)
        if asker is None or asker.incarnation != key.incarnation:
            self.remove_asker(key.asker)
            asker = _AskerCounts(key.incarnation)
            self._askers[key.asker] = asker
        return asker
