"""Limits on the requests that are sent to a server, beside its slots."""

from __future__ import annotations

from typing import Protocol

from azurewick.entry.backends import Backend
from azurewick.entry.models import BackendEntry


class SendLimits(Protocol):
    """Limits on the requests that a server may get."""

    def try_send(self, entry: BackendEntry, now_s: float) -> bool:
        """Count a request that is about to be sent, if it may be sent."""

    def retry_after_s(self, entry: BackendEntry, now_s: float) -> float | None:
        """Return after which time a sent request no longer counts.

        Returns None for a server without a limit.
        """

    def record_failure(self, entry: BackendEntry, now_s: float) -> None:
        """Record that a connection was refused, or lost before an answer."""

    def record_success(
        self, entry: BackendEntry, sent_s: float, now_s: float
    ) -> None:
        """Record that a request that was sent at sent_s has an answer."""

    def usable_slots(
        self,
        backend: Backend,
        total: int,
        now_s: float,
        *,
        ignores_sent: bool = False,
    ) -> int:
        """Return how many of the total slots may be used, 0 for none.

        ignores_sent asks for what may be used on average, rather than now.
        """

    def is_last_resort(self, backend: Backend, now_s: float) -> bool:
        """Return whether any other server is to be chosen instead."""


class NoSendLimits:
    """Baseline: servers take as many requests as they have slots."""

    def try_send(self, entry: BackendEntry, now_s: float) -> bool:
        """Return True."""
        return True

    def retry_after_s(self, entry: BackendEntry, now_s: float) -> float | None:
        """Return None."""
        return None

    def record_failure(self, entry: BackendEntry, now_s: float) -> None:
        """Ignore the failure."""

    def record_success(
        self, entry: BackendEntry, sent_s: float, now_s: float
    ) -> None:
        """Ignore the success."""

    def usable_slots(
        self,
        backend: Backend,
        total: int,
        now_s: float,
        *,
        ignores_sent: bool = False,
    ) -> int:
        """Return all slots."""
        return total

    def is_last_resort(self, backend: Backend, now_s: float) -> bool:
        """Return False."""
        return False
