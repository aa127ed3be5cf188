"""Grouping of broken streams into crashes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from azurewick.rollout.counts import EvidenceKey

# Broken streams of one server within this time belong to one crash.
CRASH_WINDOW_S = 2.0
CRASH_MEMORY_S = 900.0


@dataclass(slots=True)
class Crash:
    """Crash of a server; keys holds one entry for each counted request."""

    id: str
    begun_s: float
    is_repeated: bool = False
    keys: list[EvidenceKey] = field(default_factory=list)


class CrashGrouper:
    """Groups broken streams into crashes and finds repeated requests.

    A crash with a request that was in an earlier crash is repeated: the
    request is the likely cause. is_suspect tells whether a fingerprint was
    in a crash that another gateway saw.
    """

    def __init__(self, is_suspect: Callable[[str, float], bool]) -> None:
        self._is_suspect = is_suspect
        self._crashes: dict[str, Crash] = {}
        self._seen: dict[str, tuple[str, float]] = {}

    def record(self, server: str, fingerprint: str, now_s: float) -> Crash:
        """Return the crash that a broken stream belongs to."""
        crash = self._crashes.get(server)
        if crash is None or now_s - crash.begun_s > CRASH_WINDOW_S:
            crash = Crash(f"{server}@{now_s}", now_s)
            self._crashes[server] = crash
        self._forget(now_s)
        if fingerprint and self._is_repeated(crash, fingerprint, now_s):
            crash.is_repeated = True
        return crash

    def _is_repeated(
        self, crash: Crash, fingerprint: str, now_s: float
    ) -> bool:
        earlier = self._seen.pop(fingerprint, None)
        self._seen[fingerprint] = (crash.id, now_s)
        if earlier is not None:
            return earlier[0] != crash.id
        return self._is_suspect(fingerprint, now_s)

    def _forget(self, now_s: float) -> None:
        # The entries are in the order of their last crash.
        for fingerprint, (_, seen_s) in list(self._seen.items()):
            if now_s - seen_s <= CRASH_MEMORY_S:
                return
            del self._seen[fingerprint]
