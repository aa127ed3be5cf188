"""Digest: loads, evidence, cuts and poison fingerprints of the cluster.

Nodes pass digest entries on to each other. Merging two values of an entry
keeps the larger one, by an ordering that all nodes share. It is commutative
and idempotent, so that all nodes get the same result in whatever order and
however often they receive the entries.
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

# Most entries that a node publishes each second, of about 30 bytes each after
# compression. It keeps a node with five neighbours within its limit of
# 21 KB/s. With 600 agents and 330 gateways each entry is published every 12 s.
PUBLISHED_ENTRIES_PER_S = 80.0
MIN_PUBLISH_PERIOD_S = 2.0
MAX_LOAD_AGE_S = 60.0
# Copies of one report that arrive on different paths differ in age by their
# times in transit. Within this difference they count as the same report.
SAME_REPORT_TOLERANCE_S = 1.0


class EntryKind(StrEnum):
    """Kinds of digest entries."""

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
_KINDS_BY_VALUE = {kind.value: kind for kind in EntryKind}
URGENT_KINDS = frozenset({EntryKind.CUT, EntryKind.POISON})


@dataclass(slots=True)
class _Entry:
    """Digest entry with its value and publication.

    time_s is local time: that of the reading for loads, of the expiry for
    poison and of the latest merge for evidence and cuts. position is 0 until
    the entry is published.
    """

    kind: EntryKind
    value: Any
    time_s: float
    position: int = 0
    published_s: float = float("-inf")
    source: str = ""


class Digest:
    """Digest entries by key, in the order of their latest publication."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, ...], _Entry] = {}
        # Evidence, cuts and poison, and the number of changes to them. Their
        # readers must not have to go through all loads.
        self._non_load_entries: dict[tuple[str, ...], _Entry] = {}
        self.non_load_changes = 0
        self._pending: set[tuple[str, ...]] = set()
        self._counts: Counter[EntryKind] = Counter()
        self.position = 0
        # Position of the latest entry that is sent without waiting for the
        # next Sync round.
        self.urgent_position = 0

    def merge(self, part: DigestPart, source: str, now_s: float) -> None:
        """Merge entries of this node or of one that sent them."""
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

        The second value is the position to continue from. Entries whose
        current value came from the excluded source are left out.
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

    def non_load_entries(self, now_s: float) -> DigestPart:
        """Return the evidence, cuts and poison that have not expired."""
        return _build_part(
            [
                entry
                for entry in self._non_load_entries.values()
                if not _is_expired(entry, now_s)
            ],
            now_s,
        )

    def remove_stale(
        self, now_s: float, moved_classes: Collection[str] | None = None
    ) -> None:
        """Drop expired entries and those that no version move needs.

        Evidence and cuts of classes outside moved_classes are dropped. None
        keeps those of all classes.
        """
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
        kind: EntryKind = _KINDS_BY_VALUE[key[0]]
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
                self._non_load_entries[key] = entry
            is_urgent = kind in URGENT_KINDS or _is_draining(value)
        else:
            merged, merged_s = _merge(entry, value, time_s)
            if merged == entry.value and (
                kind is not EntryKind.LOAD
                or merged_s - entry.time_s < SAME_REPORT_TOLERANCE_S
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
            self.non_load_changes += 1
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
        """Return the least time between two publications of one entry."""
        return max(
            MIN_PUBLISH_PERIOD_S, len(self._entries) / PUBLISHED_ENTRIES_PER_S
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
        self._non_load_entries.pop(key, None)
        self._counts[entry.kind] -= 1
        self._pending.discard(key)


def _merge(entry: _Entry, value: Any, time_s: float) -> tuple[Any, float]:
    """Return the merge of two values of the same key, and its time."""
    old = entry.value
    if entry.kind is EntryKind.LOAD:
        if (time_s, repr(value)) > (entry.time_s, repr(old)):
            return value, time_s
        return old, entry.time_s
    if entry.kind is EntryKind.EVIDENCE:
        # The counts of one gateway incarnation never fall, so the larger ones
        # are newer.
        merged = value if _count_values(value) >= _count_values(old) else old
        return merged, max(entry.time_s, time_s)
    if entry.kind is EntryKind.CUT:
        return replace(old, reason=max(old.reason, value.reason)), time_s
    crashes = max(old.crashes, value.crashes)
    return replace(old, crashes=crashes), max(entry.time_s, time_s)


def _count_values(count: EvidenceCount) -> tuple[int, ...]:
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


def _current_value(entry: _Entry, now_s: float) -> Any:
    if entry.kind is EntryKind.LOAD:
        return with_age(entry.value, max(0.0, now_s - entry.time_s))
    if entry.kind is EntryKind.POISON:
        return replace(entry.value, remaining_s=entry.time_s - now_s)
    return entry.value


def _build_part(entries: list[_Entry], now_s: float) -> DigestPart:
    def values(kind: EntryKind) -> Iterator[Any]:
        return (
            _current_value(entry, now_s)
            for entry in entries
            if entry.kind is kind
        )

    loads: tuple[LoadReport, ...] = tuple(values(EntryKind.LOAD))
    evidence: tuple[EvidenceCount, ...] = tuple(values(EntryKind.EVIDENCE))
    cuts: tuple[CutNotice, ...] = tuple(values(EntryKind.CUT))
    poison: tuple[PoisonNotice, ...] = tuple(values(EntryKind.POISON))
    return DigestPart(loads=loads, evidence=evidence, cuts=cuts, poison=poison)
