"""Protocols that the admission and poison packages implement."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from azurewick.admission.models import QueuedRequest
from azurewick.errors import ErrorCode


class QueueDecision(Protocol):
    """Decision of a queue on a new request."""

    @property
    def accepted(self) -> bool:
        """Return whether the request was queued."""

    @property
    def reason(self) -> ErrorCode | None:
        """Return why the request was refused."""

    @property
    def retry_after_s(self) -> float | None:
        """Return the time after which the queue is expected to have room."""

    @property
    def displaced(self) -> tuple[QueuedRequest, ...]:
        """Return the lower-tier requests that were removed to make room."""


class TakeDecision(Protocol):
    """Next request to dispatch, and the requests that expired."""

    @property
    def item(self) -> QueuedRequest | None:
        """Return the request to dispatch next, None if there is none."""

    @property
    def expired(self) -> tuple[QueuedRequest, ...]:
        """Return the requests that can't meet their deadline any more."""


class RequestQueue(Protocol):
    """Queue in tier order (azurewick.admission.tier_queue)."""

    def offer(
        self,
        item: QueuedRequest,
        now_s: float,
        remaining_prefill_s: float = 0.0,
    ) -> QueueDecision:
        """Add a request or refuse it.

        remaining_prefill_s is the time for which running prefills still
        occupy the server; it is added to the expected wait.
        """

    def take(self, floor_tier: int, now_s: float) -> TakeDecision:
        """Remove and return the next request at or above the floor."""

    def displace_below(self, floor_tier: int) -> list[QueuedRequest]:
        """Remove and return the requests of tiers below the floor."""

    def remove(self, request_id: str) -> bool:
        """Remove one request and return whether it was in the queue."""


class Floor(Protocol):
    """Lowest tier that is dispatched (azurewick.admission.floor)."""

    def set_floor(
        self, floor_tier: int, duration_s: float, now_s: float
    ) -> object:
        """Set a floor, or renew it, for duration_s."""

    def record_contact(self, now_s: float) -> object:
        """Record a contact with a gateway.

        It renews the permit, without which only the highest tier is
        dispatched.
        """

    def current(self, now_s: float) -> int:
        """Return the lowest tier that may be dispatched."""


class ConcurrencyLimit(Protocol):
    """Limit on concurrent requests (azurewick.admission.batch_limit)."""

    def record_step(
        self,
        running: int,
        inter_token_s: float,
        target_s: float | None,
        now_s: float,
    ) -> None:
        """Adapt the limit to a measured time between two tokens.

        target_s is the smallest inter-token target of the running requests.
        """

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""


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
        """Return whether requests with the fingerprint are refused."""
