"""Drain of an entry instance before it stops."""

from __future__ import annotations

# Time until the load balancer stops sending: it drops an instance after two
# failed health checks, one a second.
BALANCER_NOTICE_S = 2.6
# Time between the end of the drain and the platform's SIGKILL. Callers get
# their answers at its start; the removal of this instance's entry from a
# silent store takes longest.
KILL_MARGIN_S = 0.8
# Time after the start of the drain in which all requests are accepted. The
# load balancer may not have noticed the drain yet, and most of these requests
# end in time.
ACCEPT_ALL_S = 2.9
# Margin over the estimated run time, for busy servers.
RUN_TIME_FACTOR = 1.5
# Margin over the run time, for the answer's way to the caller.
RUN_TIME_MARGIN_S = 0.3


class Drain:
    """State and deadlines of the drain of an instance.

    grace_s is the time between SIGTERM and SIGKILL.
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._started_s: float | None = None
        self._stop_at_s = float("inf")
        self._is_closed = False

    @property
    def is_active(self) -> bool:
        """Return whether the instance is shutting down."""
        return self._is_closed or self._started_s is not None

    def start(self, now_s: float) -> None:
        """Start the drain; a later change of grace_s has no effect."""
        self._started_s = now_s
        self._stop_at_s = now_s + self.grace_s - KILL_MARGIN_S

    def close(self) -> None:
        """Accept no further requests; the servers are about to close."""
        self._is_closed = True

    def balancer_notice_ends_s(self) -> float:
        """Return when the load balancer should have stopped sending."""
        assert self._started_s is not None
        return self._started_s + BALANCER_NOTICE_S

    def stop_deadline_s(self) -> float:
        """Return when the instance has to stop, infinity before a drain."""
        return self._stop_at_s

    def accepts(
        self, now_s: float, max_run_s: float, *, limit_s: float | None = None
    ) -> bool:
        """Return whether to send a request to a server now.

        max_run_s is the estimate of its longest run; it has to end before
        the stop. limit_s is set for a request that can't be ended early: the
        time after which it ends in any case, which replaces the estimate.
        The load balancer keeps sending to a draining instance when no other
        one of its failure domain is ready.
        """
        if self._is_closed:
            return False
        if self._started_s is None:
            return True
        if now_s < self._started_s + ACCEPT_ALL_S:
            return True
        run_s = max_run_s * RUN_TIME_FACTOR if limit_s is None else limit_s
        return now_s + run_s + RUN_TIME_MARGIN_S < self.stop_deadline_s()
