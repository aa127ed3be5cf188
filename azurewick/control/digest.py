"""Merged loads, evidence, cuts and poison fingerprints of the cluster.

Merging takes the larger value of each entry, in an order that each node
shares, so that the result doesn't depend on the order or number of merges.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum
from typing import Any

from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.control.models import PoisonNotice
from azurewick.control.models import with_age
from azurewick.models import LoadReport

# Entries that a node passes on each second at most, about 30 bytes each
# after compression. This holds a node with five neighbours within its
# 21 KB/s; with 600 agents and 330 gateways each entry travels every 12 s.
PUBLISHED_ENTRIES_PER_S = 80.0
MINIMUM_PERIOD_S = 2.0
MAX_LOAD_AGE_S = 60.0
# The same report on two paths differs by the times in transit.
SAME_REPORT_S = 1.0


class EntryKind(StrEnum):
    """Kinds of entries."""

    LOAD = "load"
    EVIDENCE = "evidence"
    CUT = "cut"
    POISON = "poison"


MAX_ENTRIES = {
    EntryKind.LOAD: 2048,
    EntryKind.EVIDENCE: 8192,
    EntryKind.CUT: 256,
    EntryKind.POISON: 4096,
}
ALL_KINDS = frozenset(EntryKind)
_KIND_OF = {kind.value: kind for kind in EntryKind}
URGENT_KINDS = frozenset({EntryKind.CUT, EntryKind.POISON})


@dataclass(slots=True)
class _Entry:
    """Value with the local time it refers to: reading or expiry."""

    kind: EntryKind
    value: Any
    time_s: float
    position: int = 0
    published_s: float = float("-inf")
    source: str = ""


class Digest:
    """Entries by key, in the order in which they were last published."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, ...], _Entry] = {}
        # Entries other than loads, and the number of their changes: a reader
        # of evidence, cuts and poison must not go through all loads.
        self._shared: dict[tuple[str, ...], _Entry] = {}
        self.shared_changes = 0
        self._pending: set[tuple[str, ...]] = set()
        self._counts: Counter[EntryKind] = Counter()
        self.position = 0
        # Position of the last entry that shouldn't wait for the next Sync.
        self.urgent_position = 0

    def merge(self, part: DigestPart, source: str, now_s: float) -> None:
        """Merge entries that a node sent, or local ones."""
        for report in part.loads:
            time_s = now_s - max(0.0, report.age_s)
            value: Any = with_age(report, 0.0)
            key: tuple[str, ...] = (EntryKind.LOAD, report.backend_server)
            self._put(key, value, time_s, source, now_s)
        for count in part.evidence:
            key = (
                EntryKind.EVIDENCE,
                count.gateway,
                count.incarnation,
                count.request_class,
                count.version,
                count.route,
                count.backend_server,
            )
            self._put(key, count, now_s, source, now_s)
        for cut in part.cuts:
            key = (EntryKind.CUT, cut.request_class, cut.version, cut.move_id)
            self._put(key, cut, now_s, source, now_s)
        for notice in part.poison:
            key = (
                EntryKind.POISON,
                notice.fingerprint,
                notice.source,
                notice.incarnation,
            )
            time_s = now_s + notice.remaining_s
            value = replace(notice, remaining_s=0.0)
            self._put(key, value, time_s, source, now_s)

    def collect(
        self,
        after: int,
        *,
        excluded_source: str,
        limit: int,
        now_s: float,
        kinds: Collection[EntryKind] = ALL_KINDS,
    ) -> tuple[DigestPart, int]:
        """Return the entries published after a position, oldest first.

        The second value is the position to go on from. Entries that came
        from the excluded source are left out.
        """
        self._publish_pending(now_s)
        found: list[_Entry] = []
        position = self.position
        for entry in self._published_after(after):
            if entry.kind not in kinds or entry.source == excluded_source:
                continue
            if _is_expired(entry, now_s):
                continue
            if len(found) == limit:
                position = found[-1].position if found else after
                break
            found.append(entry)
        return _build_part(found, now_s), position

    def all_entries(self, now_s: float) -> DigestPart:
        """Return all entries that have not expired."""
        return _build_part(
            [
                entry
                for entry in self._entries.values()
                if not _is_expired(entry, now_s)
            ],
            now_s,
        )

    def shared_entries(self, now_s: float) -> DigestPart:
        """Return the evidence, cuts and poison that have not expired."""
        return _build_part(
            [
                entry
                for entry in self._shared.values()
                if not _is_expired(entry, now_s)
            ],
            now_s,
        )

    def forget(
        self, now_s: float, moved_classes: Collection[str] | None = None
    ) -> None:
        """Drop expired entries, and those of classes without a move."""
        for key, entry in list(self._entries.items()):
            is_unused = (
                moved_classes is not None
                and isinstance(entry.value, EvidenceCount | CutNotice)
                and entry.value.request_class not in moved_classes
            )
            if is_unused or _is_expired(entry, now_s):
                self._drop(key)

    def _put(
        self,
        key: tuple[str, ...],
        value: Any,
        time_s: float,
        source: str,
        now_s: float,
    ) -> None:
        kind: EntryKind = _KIND_OF[key[0]]
        new = _Entry(kind=kind, value=value, time_s=time_s)
        if _is_expired(new, now_s):
            return
        entry = self._entries.get(key)
        if entry is not None and _is_expired(entry, now_s):
            self._drop(key)
            entry = None
        if entry is None:
            if self._counts[kind] >= MAX_ENTRIES[kind]:
                self._drop_oldest(kind)
            entry = new
            self._entries[key] = entry
            self._counts[kind] += 1
            if kind is not EntryKind.LOAD:
                self._shared[key] = entry
            is_urgent = kind in URGENT_KINDS or _is_draining(value)
        else:
            merged, merged_s = _merge(entry, value, time_s)
            if merged == entry.value and (
                kind is not EntryKind.LOAD
                or merged_s - entry.time_s < SAME_REPORT_S
            ):
                entry.time_s = merged_s
                return
            is_urgent = kind in URGENT_KINDS or _is_draining(
                merged
            ) != _is_draining(entry.value)
            entry.value = merged
            entry.time_s = merged_s
        entry.source = source
        if kind is not EntryKind.LOAD:
            self.shared_changes += 1
        if is_urgent:
            self._publish(key, entry, now_s)
            self.urgent_position = entry.position
        else:
            self._pending.add(key)

    def _published_after(self, after: int) -> list[_Entry]:
        found: list[_Entry] = []
        for entry in reversed(self._entries.values()):
            if entry.position and entry.position <= after:
                break
            if entry.position:
                found.append(entry)
        found.reverse()
        return found

    @property
    def publish_period_s(self) -> float:
        """Return the time between two publications of one entry."""
        return max(
            MINIMUM_PERIOD_S, len(self._entries) / PUBLISHED_ENTRIES_PER_S
        )

    def _publish_pending(self, now_s: float) -> None:
        period_s = self.publish_period_s
        for key in sorted(self._pending):
            entry = self._entries[key]
            if now_s - entry.published_s >= period_s:
                self._publish(key, entry, now_s)

    def _publish(
        self, key: tuple[str, ...], entry: _Entry, now_s: float
    ) -> None:
        self.position += 1
        entry.position = self.position
        entry.published_s = now_s
        del self._entries[key]
        self._entries[key] = entry
        self._pending.discard(key)

    def _drop_oldest(self, kind: EntryKind) -> None:
        self._drop(
            next(
                key
                for key, entry in self._entries.items()
                if entry.kind is kind
            )
        )

    def _drop(self, key: tuple[str, ...]) -> None:
        entry = self._entries.pop(key)
        self._shared.pop(key, None)
        self._counts[entry.kind] -= 1
        self._pending.discard(key)


def _merge(entry: _Entry, value: Any, time_s: float) -> tuple[Any, float]:
    """Return the larger of two values of the same key, and its time."""
    old = entry.value
    if entry.kind is EntryKind.LOAD:
        if (time_s, repr(value)) > (entry.time_s, repr(old)):
            return value, time_s
        return old, entry.time_s
    if entry.kind is EntryKind.EVIDENCE:
        # The counts of one source only grow, so the larger ones are newer.
        merged = value if _counts(value) >= _counts(old) else old
        return merged, max(entry.time_s, time_s)
    if entry.kind is EntryKind.CUT:
        return replace(old, reason=max(old.reason, value.reason)), time_s
    crashes = max(old.crashes, value.crashes)
    return replace(old, crashes=crashes), max(entry.time_s, time_s)


def _counts(count: EvidenceCount) -> tuple[int, ...]:
    return (
        count.requests,
        count.failures,
        count.slow,
        count.broken,
        count.crashes,
    )


def _is_draining(value: Any) -> bool:
    return isinstance(value, LoadReport) and value.draining


def _is_expired(entry: _Entry, now_s: float) -> bool:
    if entry.kind is EntryKind.LOAD:
        return now_s - entry.time_s > MAX_LOAD_AGE_S
    return entry.kind is EntryKind.POISON and entry.time_s <= now_s


def _value_now(entry: _Entry, now_s: float) -> Any:
    if entry.kind is EntryKind.LOAD:
        return with_age(entry.value, max(0.0, now_s - entry.time_s))
    if entry.kind is EntryKind.POISON:
        return replace(entry.value, remaining_s=entry.time_s - now_s)
    return entry.value


def _build_part(entries: list[_Entry], now_s: float) -> DigestPart:
    def values(kind: EntryKind) -> Iterator[Any]:
        return (
            _value_now(entry, now_s) for entry in entries if entry.kind is kind
        )

    loads: tuple[LoadReport, ...] = tuple(values(EntryKind.LOAD))
    evidence: tuple[EvidenceCount, ...] = tuple(values(EntryKind.EVIDENCE))
    cuts: tuple[CutNotice, ...] = tuple(values(EntryKind.CUT))
    poison: tuple[PoisonNotice, ...] = tuple(values(EntryKind.POISON))
    return DigestPart(loads=loads, evidence=evidence, cuts=cuts, poison=poison)
