"""Detector of poison requests: requests that crash backend servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import Final

# Crashes after which a request is refused. Two could be a coincidence; three
# still cost only few backend servers.
POISON_CRASH_THRESHOLD: Final = 3
POISON_CRASH_RETENTION_S: Final = 900.0
# About 300 bytes each: 20,000 take 6 MB of the 32 MB that control data may
# use. A crash adds at most one batch, so they cover several hundred crashes.
MAX_FINGERPRINTS: Final = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Crash of a backend server while a fingerprint was in flight.

    source is the server and incarnation the run of it that crashed.
    remaining_s is the time until the crash expires; a peer that receives it
    at now_s on its own clock records it with the time
    now_s + remaining_s - POISON_CRASH_RETENTION_S.
    """

    fingerprint: str
    source: str
    incarnation: str
    remaining_s: float


@dataclass(slots=True)
class _CrashHistory:
    """Crash times of one fingerprint by (source, incarnation)."""

    crashes: dict[tuple[str, str], float] = field(default_factory=dict)

    def count(self, now_s: float) -> int:
        return sum(
            now_s - crashed_s < POISON_CRASH_RETENTION_S
            for crashed_s in self.crashes.values()
        )


class PoisonDetector:
    """Count the crashes at which a request's fingerprint was in flight.

    An incarnation identifies one run of a backend server, which ends with at
    most one crash. Reports of one crash by several gateways carry the same
    incarnation and therefore count once.
    """

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        # In order of the last crash, the oldest first.
        self._histories: OrderedDict[str, _CrashHistory] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histories)

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Record a crash for the fingerprints that were in flight."""
        for fingerprint in fingerprints:
            history = self._histories.setdefault(fingerprint, _CrashHistory())
            crashes = history.crashes
            crashes.setdefault((source, incarnation), now_s)
            while len(crashes) > POISON_CRASH_THRESHOLD:
                del crashes[min(crashes, key=crashes.__getitem__)]
            self._histories.move_to_end(fingerprint)
        self._evict(now_s)

    def record_success(self, fingerprint: str) -> None:
        """Remove the crashes of a fingerprint whose request has finished."""
        self._histories.pop(fingerprint, None)

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Return the number of unexpired crashes of a fingerprint."""
        history = self._histories.get(fingerprint)
        return 0 if history is None else history.count(now_s)

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether requests with a fingerprint must be refused."""
        return self.crash_count(fingerprint, now_s) >= POISON_CRASH_THRESHOLD

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint was in flight at an unexpired crash."""
        return self.crash_count(fingerprint, now_s) > 0

    def export_crashes(self, now_s: float, limit: int) -> list[Crash]:
        """Return at most limit crashes, the latest fingerprints first."""
        crashes = (
            Crash(
                fingerprint=fingerprint,
                source=source,
                incarnation=incarnation,
                remaining_s=crashed_s + POISON_CRASH_RETENTION_S - now_s,
            )
            for fingerprint, history in reversed(self._histories.items())
            for (source, incarnation), crashed_s in history.crashes.items()
            if now_s - crashed_s < POISON_CRASH_RETENTION_S
        )
        return list(islice(crashes, limit))

    def _evict(self, now_s: float) -> None:
        while self._histories:
            history = next(iter(self._histories.values()))
            if (
                len(self._histories) <= self._max_fingerprints
                and history.count(now_s) > 0
            ):
                return
            self._histories.popitem(last=False)
