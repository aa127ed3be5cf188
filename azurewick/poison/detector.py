"""Detector of requests that crash backend servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import Final

# A request refused after its third crash costs few backend servers; two
# could be a coincidence.
CRASHES_UNTIL_POISON: Final = 3
FORGET_AFTER_S: Final = 900.0
# About 300 bytes each: 20,000 are 6 MB of the control budget of 32 MB. A
# crash adds at most a batch, so they cover several hundred crashes.
MAX_FINGERPRINTS: Final = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Crash of a source at which a fingerprint was in flight.

    remaining_s is the time until it is forgotten. A peer records it at its
    own time now_s as of now_s + remaining_s - FORGET_AFTER_S.
    """

    fingerprint: str
    source: str
    incarnation: str
    remaining_s: float


@dataclass(slots=True)
class _Record:
    """Crashes of one fingerprint: (source, incarnation) to time."""

    crashes: dict[tuple[str, str], float] = field(default_factory=dict)

    def count(self, now_s: float) -> int:
        return sum(
            now_s - crashed_s < FORGET_AFTER_S
            for crashed_s in self.crashes.values()
        )


class PoisonDetector:
    """Counts the crashes at which a request's fingerprint was in flight.

    An incarnation names one run of a backend server: each crash of a source
    needs an incarnation of its own, and reports of one crash by several
    gateways carry the same one, so that they count once.
    """

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        # The oldest change comes first.
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Note the fingerprints in flight at a crash."""
        for fingerprint in fingerprints:
            record = self._records.setdefault(fingerprint, _Record())
            crashes = record.crashes
            crashes.setdefault((source, incarnation), now_s)
            while len(crashes) > CRASHES_UNTIL_POISON:
                del crashes[min(crashes, key=crashes.__getitem__)]
            self._records.move_to_end(fingerprint)
        self._remove_old(now_s)

    def record_success(self, fingerprint: str) -> None:
        """Clear the suspicion of a fingerprint that finished."""
        self._records.pop(fingerprint, None)

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Return the crashes of a fingerprint that are not forgotten."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.count(now_s)

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether to refuse a fingerprint."""
        return self.crash_count(fingerprint, now_s) >= CRASHES_UNTIL_POISON

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint was in flight at a crash."""
        return self.crash_count(fingerprint, now_s) > 0

    def export(self, now_s: float, limit: int) -> list[Crash]:
        """Return the crashes of the last changed fingerprints for peers."""
        crashes = (
            Crash(
                fingerprint=fingerprint,
                source=source,
                incarnation=incarnation,
                remaining_s=crashed_s + FORGET_AFTER_S - now_s,
            )
            for fingerprint, record in reversed(self._records.items())
            for (source, incarnation), crashed_s in record.crashes.items()
            if now_s - crashed_s < FORGET_AFTER_S
        )
        return list(islice(crashes, limit))

    def _remove_old(self, now_s: float) -> None:
        while self._records:
            record = next(iter(self._records.values()))
            if (
                len(self._records) <= self._max_fingerprints
                and record.count(now_s) > 0
            ):
                return
            self._records.popitem(last=False)
