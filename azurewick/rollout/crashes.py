"""Grouping of broken streams by backend server crash."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from azurewick.rollout.counts import EvidenceKey

# Streams of one server that break within this time after the first one belong
# to the same crash.
CRASH_WINDOW_S = 2.0
# Time for which the fingerprints of requests in a crash are kept.
CRASH_RETENTION_S = 900.0


@dataclass(slots=True)
class Crash:
    """Crash of a backend server.

    counted_keys holds the evidence key of each request that was counted as
    broken by this crash, so that the counts can be subtracted again.
    """

    id: str
    started_s: float
    has_repeated_request: bool = False
    counted_keys: list[EvidenceKey] = field(default_factory=list)


class CrashGrouper:
    """Groups broken streams by crash and detects repeated requests.

    A request that was already in an earlier crash is the likely cause of
    both (a poison request), so its crash says nothing about the version.
    is_suspect takes a fingerprint and the time in seconds and returns
    whether another gateway saw a crash with that request.
    """

    def __init__(self, is_suspect: Callable[[str, float], bool]) -> None:
        self._is_suspect = is_suspect
        self._crashes: dict[str, Crash] = {}
        self._last_crashes: dict[str, tuple[str, float]] = {}

    def record(self, server: str, fingerprint: str, now_s: float) -> Crash:
        """Return the crash that a broken stream belongs to."""
        crash = self._crashes.get(server)
        if crash is None or now_s - crash.started_s > CRASH_WINDOW_S:
            crash = Crash(f"{server}@{now_s}", now_s)
            self._crashes[server] = crash
        self._evict_expired(now_s)
        if fingerprint and self._is_repeated_request(
            crash, fingerprint, now_s
        ):
            crash.has_repeated_request = True
        return crash

    def _is_repeated_request(
        self, crash: Crash, fingerprint: str, now_s: float
    ) -> bool:
        previous = self._last_crashes.pop(fingerprint, None)
        self._last_crashes[fingerprint] = (crash.id, now_s)
        if previous is not None:
            return previous[0] != crash.id
        return self._is_suspect(fingerprint, now_s)

    def _evict_expired(self, now_s: float) -> None:
        # Entries are ordered by the time of their last crash.
        for fingerprint, (_, seen_s) in list(self._last_crashes.items()):
            if now_s - seen_s <= CRASH_RETENTION_S:
                return
            del self._last_crashes[fingerprint]
