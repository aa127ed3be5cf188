"""Health of the backend server and detection of its crashes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from azurewick.const import PROBE_FAILURES_UNTIL_LEAVING

# Connections that break within this time count as one crash.
CRASH_WINDOW_S: Final = 1.0
MAX_RECENTLY_BROKEN: Final = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Crash of the backend server.

    number counts the crashes that this agent has seen, from 1. fingerprints
    are those of the requests in flight at the crash.
    """

    number: int
    fingerprints: frozenset[str]


class BackendHealth:
    """Decides whether the backend server is up and when it crashed.

    It has crashed when the connections of all requests in flight broke
    within CRASH_WINDOW_S, or when it refused a connection while requests
    were in flight or had broken within CRASH_WINDOW_S. It is unhealthy after
    a refused connection or several failed probes in a row.
    """

    def __init__(self) -> None:
        self.is_healthy = False
        self.crash_count = 0
        self._failed_probes = 0
        self._in_flight: dict[str, str] = {}
        self._recently_broken: deque[tuple[float, str]] = deque(
            maxlen=MAX_RECENTLY_BROKEN
        )

    def record_start(self, request_id: str, fingerprint: str) -> None:
        """Record that a request is in flight."""
        self._in_flight[request_id] = fingerprint

    def record_end(self, request_id: str) -> None:
        """Record that a request ended without a broken connection."""
        self._in_flight.pop(request_id, None)

    def record_broken_connection(
        self, request_id: str, now_s: float
    ) -> Crash | None:
        """Record a broken connection; return the crash if it shows one."""
        fingerprint = self._in_flight.pop(request_id, None)
        if fingerprint is not None:
            self._recently_broken.append((now_s, fingerprint))
        return self._detect_crash(now_s) if not self._in_flight else None

    def record_refused_connection(self, now_s: float) -> Crash | None:
        """Record a refused connection; return the crash if it shows one."""
        self.is_healthy = False
        return self._detect_crash(now_s)

    def record_probe(self, healthy: bool) -> None:
        """Record whether a probe found the backend server healthy."""
        if healthy:
            self._failed_probes = 0
            self.is_healthy = True
            return
        self._failed_probes += 1
        if self._failed_probes >= PROBE_FAILURES_UNTIL_LEAVING:
            self.is_healthy = False

    def _detect_crash(self, now_s: float) -> Crash | None:
        suspects = set(self._in_flight.values())
        suspects.update(
            fingerprint
            for broken_s, fingerprint in self._recently_broken
            if broken_s + CRASH_WINDOW_S >= now_s
        )
        if not suspects:
            return None
        # The connections of these requests may still break. Clearing them
        # here keeps that from being counted as a second crash.
        self._in_flight.clear()
        self._recently_broken.clear()
        self.crash_count += 1
        return Crash(
            number=self.crash_count, fingerprints=frozenset(suspects - {""})
        )
