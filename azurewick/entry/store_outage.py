"""Outages of the store, after which entries of live servers may be missing."""

from __future__ import annotations

# Servers whose entries expired during an outage of the store are listed
# again within two seconds of its return.
EXPIRED_SERVER_GRACE_S = 2.2
# Entries expire after some seconds without a heartbeat. A lost answer or a
# stall of this process removes none: either several calls in a row fail, or
# none is answered for a time in which some usually are.
MIN_OUTAGE_S = 1.0
MIN_FAILED_CALLS = 3
LONG_OUTAGE_S = 2.0


class StoreOutage:
    """Whether no call reaches the store, and when it returned.

    An outage lasts from the first call that gets no answer to the first
    answered one, of whatever kind.
    """

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._failed_calls = 0
        self._answered_s = float("-inf")
        self._grace_until_s = float("-inf")

    def record_failure(self, now_s: float, unanswered_s: float = 0.0) -> None:
        """Record a failed call that got no answer for a time, in seconds."""
        since_s = max(self._answered_s, now_s - unanswered_s)
        if self._since_s is None or since_s < self._since_s:
            self._since_s = since_s
        self._failed_calls += 1

    def record_answer(self, now_s: float) -> None:
        """Record an answer of the store; it ends the outage."""
        if self._is_outage(now_s):
            self._grace_until_s = now_s + EXPIRED_SERVER_GRACE_S
        self._since_s = None
        self._failed_calls = 0
        self._answered_s = now_s

    def grace_until_s(self, now_s: float) -> float | None:
        """Return until when servers without an entry are kept, if at all."""
        return self._grace_until_s if now_s < self._grace_until_s else None

    def is_recent(self, now_s: float) -> bool:
        """Return whether there is an outage, or entries may be missing."""
        return self._is_outage(now_s) or now_s < self._grace_until_s

    def _is_outage(self, now_s: float) -> bool:
        if self._since_s is None:
            return False
        lasted_s = now_s - self._since_s
        return lasted_s >= LONG_OUTAGE_S or (
            lasted_s >= MIN_OUTAGE_S and self._failed_calls >= MIN_FAILED_CALLS
        )
