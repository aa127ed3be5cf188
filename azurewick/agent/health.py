"""Health and crashes of the backend server, from probes and streams."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from azurewick.const import PROBE_FAILURES_UNTIL_LEAVING

# Streams that break within this time of each other break together.
CRASH_WINDOW_S: Final = 1.0
MAX_RECENT: Final = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Crash of the backend server with the fingerprints in flight.

    run counts the runs of the backend server that the agent has seen.
    """

    run: int
    fingerprints: frozenset[str]


class BackendHealth:
    """Decides whether the backend server is up and when it crashed.

    It crashed when every stream in flight broke within the window, or when
    it refused a connection while requests were in flight or had just broken.
    """

    def __init__(self) -> None:
        self.is_healthy = False
        self.run = 0
        self._failed_probes = 0
        self._in_flight: dict[str, str] = {}
        self._broken: deque[tuple[float, str]] = deque(maxlen=MAX_RECENT)

    def record_start(self, request_id: str, fingerprint: str) -> None:
        """Record that a request is in flight."""
        self._in_flight[request_id] = fingerprint

    def record_end(self, request_id: str) -> None:
        """Record that a request ended without a broken connection."""
        self._in_flight.pop(request_id, None)

    def record_broken(self, request_id: str, now_s: float) -> Crash | None:
        """Record a connection that the backend server broke."""
        fingerprint = self._in_flight.pop(request_id, None)
        if fingerprint is not None:
            self._broken.append((now_s, fingerprint))
        return self._crash(now_s) if not self._in_flight else None

    def record_refused(self, now_s: float) -> Crash | None:
        """Record a refused connection."""
        self.is_healthy = False
        return self._crash(now_s)

    def record_probe(self, healthy: bool) -> None:
        """Record the answer of a probe."""
        if healthy:
            self._failed_probes = 0
            self.is_healthy = True
            return
        self._failed_probes += 1
        if self._failed_probes >= PROBE_FAILURES_UNTIL_LEAVING:
            self.is_healthy = False

    def _crash(self, now_s: float) -> Crash | None:
        suspects = set(self._in_flight.values())
        suspects.update(
            fingerprint
            for broken_s, fingerprint in self._broken
            if broken_s + CRASH_WINDOW_S >= now_s
        )
        if not suspects:
            return None
        # The requests stay known to their streams, which will break too;
        # they must not count for this crash a second time.
        self._in_flight.clear()
        self._broken.clear()
        self.run += 1
        return Crash(run=self.run, fingerprints=frozenset(suspects - {""}))
