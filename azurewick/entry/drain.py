"""Drain of an entry instance before it stops."""

from __future__ import annotations

# The balancer stops to send after two missed checks, one a second.
NOTICE_S = 2.6
# Time before the platform's kill at which the process ends by itself: the
# servers are closed and this instance's entry is removed.
KILL_MARGIN_S = 1.0
# Callers that come before the balancer has noticed are served in any case:
# most of their requests end in time.
SERVES_ALL_S = 2.9
# A busy server takes up to this multiple of the learned time, and this much
# more.
RUN_MARGIN_FACTOR = 1.5
RUN_MARGIN_S = 0.3


class Drain:
    """Times of a drain; grace_s lies between SIGTERM and the kill."""

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._started_s: float | None = None
        self._is_closed = False

    @property
    def is_active(self) -> bool:
        """Return whether the instance is shutting down."""
        return self._started_s is not None

    def start(self, now_s: float) -> None:
        """Start to drain."""
        self._started_s = now_s

    def close(self) -> None:
        """Take no further requests; the servers close after the last one."""
        self._is_closed = True

    def notice_ends_s(self) -> float:
        """Return when the balancer has stopped to send."""
        assert self._started_s is not None
        return self._started_s + NOTICE_S

    def stops_s(self) -> float:
        """Return when the process has to end."""
        assert self._started_s is not None
        return self._started_s + self.grace_s - KILL_MARGIN_S

    def takes(self, now_s: float, longest_run_s: float) -> bool:
        """Return whether a request that comes now ends before the stop.

        The balancer goes on sending to a draining instance when no other
        one of its failure domain is ready.
        """
        if self._started_s is None:
            return True
        if self._is_closed:
            return False
        if now_s < self._started_s + SERVES_ALL_S:
            return True
        run_s = longest_run_s * RUN_MARGIN_FACTOR + RUN_MARGIN_S
        return now_s + run_s < self.stops_s()
