"""Interfaces that the agent expects of the admission and poison packages."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from azurewick.admission.models import QueuedRequest
from azurewick.errors import ErrorCode


class QueueDecision(Protocol):
    """Answer of a queue to a new request."""

    @property
    def accepted(self) -> bool:
        """Return whether the request waits in the queue now."""

    @property
    def reason(self) -> ErrorCode | None:
        """Return why the request was refused."""

    @property
    def retry_after_s(self) -> float | None:
        """Return the time until the queue has drained enough."""

    @property
    def displaced(self) -> tuple[QueuedRequest, ...]:
        """Return the requests that had to make room."""


class TakeDecision(Protocol):
    """Answer of a queue to the dispatcher's call for work."""

    @property
    def item(self) -> QueuedRequest | None:
        """Return the request to dispatch next."""

    @property
    def expired(self) -> tuple[QueuedRequest, ...]:
        """Return the requests that can't meet their deadline any more."""


class RequestQueue(Protocol):
    """Queue in tier order (azurewick.admission.tier_queue)."""

    def offer(
        self, item: QueuedRequest, now_s: float, busy_s: float = 0.0
    ) -> QueueDecision:
        """Add a request or refuse it; busy_s goes before every wait."""

    def take(self, floor_tier: int, now_s: float) -> TakeDecision:
        """Remove and return the next request at or above the floor."""

    def displace_below(self, floor_tier: int) -> list[QueuedRequest]:
        """Remove and return the requests below the floor."""

    def remove(self, request_id: str) -> bool:
        """Remove one request and return whether it was in the queue."""


class Floor(Protocol):
    """Admission floor (azurewick.admission.floor)."""

    def set_floor(
        self, floor_tier: int, hold_s: float, now_s: float
    ) -> object:
        """Set or renew a floor."""

    def record_contact(self, now_s: float) -> object:
        """Renew the permit to dispatch lower tiers."""

    def current(self, now_s: float) -> int:
        """Return the lowest tier that may be dispatched."""


class ConcurrencyLimit(Protocol):
    """Learned concurrency (azurewick.admission.batch_limit)."""

    def record_step(
        self,
        running: int,
        inter_token_s: float,
        target_s: float | None,
        now_s: float,
    ) -> None:
        """Learn from the time between two tokens."""

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""


class CrashListener(Protocol):
    """Receiver of crashes (azurewick.poison.detector)."""

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Count a crash against each fingerprint that was in flight."""

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint has to be refused."""
