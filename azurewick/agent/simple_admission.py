"""Smallest admission that follows the tier rule: the agent's default."""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.admission.models import QueuedRequest
from azurewick.const import HIGHEST_TIER
from azurewick.const import LOWEST_TIER
from azurewick.const import PERMIT_DURATION_S
from azurewick.errors import ErrorCode


@dataclass(frozen=True, kw_only=True, slots=True)
class SimpleQueueDecision:
    """Answer to a new request."""

    accepted: bool
    reason: ErrorCode | None = None
    displaced: tuple[QueuedRequest, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SimpleTakeDecision:
    """Answer to a call for work."""

    item: QueuedRequest | None
    expired: tuple[QueuedRequest, ...] = ()


class SimpleTierQueue:
    """Bounded queue by tier, in order of arrival within a tier."""

    def __init__(self, max_queue: int) -> None:
        self._max_queue = max_queue
        self._items: dict[str, QueuedRequest] = {}

    def offer(self, item: QueuedRequest, now_s: float) -> SimpleQueueDecision:
        """Add a request; a lower tier makes room for a higher one."""
        displaced: tuple[QueuedRequest, ...] = ()
        if len(self._items) >= self._max_queue:
            last = max(
                reversed(self._items.values()), key=lambda queued: queued.tier
            )
            if last.tier <= item.tier:
                return SimpleQueueDecision(
                    accepted=False, reason=ErrorCode.OVERLOADED
                )
            del self._items[last.request_id]
            displaced = (last,)
        self._items[item.request_id] = item
        return SimpleQueueDecision(accepted=True, displaced=displaced)

    def take(self, floor_tier: int, now_s: float) -> SimpleTakeDecision:
        """Remove and return the next request at or above the floor."""
        expired = tuple(
            item
            for item in self._items.values()
            if item.deadline_s is not None and item.deadline_s <= now_s
        )
        for item in expired:
            del self._items[item.request_id]
        best = min(
            self._items.values(), key=lambda item: item.tier, default=None
        )
        if best is None or best.tier > floor_tier:
            return SimpleTakeDecision(item=None, expired=expired)
        del self._items[best.request_id]
        return SimpleTakeDecision(item=best, expired=expired)

    def displace_below(self, floor_tier: int) -> list[QueuedRequest]:
        """Remove and return the requests below the floor."""
        displaced = [
            item for item in self._items.values() if item.tier > floor_tier
        ]
        for item in displaced:
            del self._items[item.request_id]
        return displaced

    def remove(self, request_id: str) -> bool:
        """Remove one request and return whether it was in the queue."""
        return self._items.pop(request_id, None) is not None


class SimpleFloor:
    """Most restrictive unexpired floor, and the permit for lower tiers."""

    def __init__(self) -> None:
        self._expiry_by_tier: dict[int, float] = {}
        self._permit_until_s = 0.0

    def set_floor(self, floor_tier: int, hold_s: float, now_s: float) -> None:
        """Set or renew a floor for hold_s."""
        self._expiry_by_tier[floor_tier] = max(
            now_s + hold_s, self._expiry_by_tier.get(floor_tier, 0.0)
        )

    def record_contact(self, now_s: float) -> None:
        """Renew the permit."""
        self._permit_until_s = now_s + PERMIT_DURATION_S

    def current(self, now_s: float) -> int:
        """Return the lowest tier that may be dispatched."""
        if now_s >= self._permit_until_s:
            return HIGHEST_TIER
        self._expiry_by_tier = {
            tier: expiry_s
            for tier, expiry_s in self._expiry_by_tier.items()
            if expiry_s > now_s
        }
        return min(self._expiry_by_tier, default=LOWEST_TIER)


class FixedLimit:
    """Concurrency limit that doesn't learn."""

    def __init__(self, limit: int) -> None:
        self._limit = limit

    def record_step(
        self,
        running: int,
        inter_token_s: float,
        target_s: float | None,
        now_s: float,
    ) -> None:
        """Ignore the step."""

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limit
