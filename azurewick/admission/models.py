"""Data classes of admission."""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.errors import ErrorCode


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuedRequest:
    """Request that waits at an agent.

    deadline_s is the time by which the class target's start budget ends;
    None sets no deadline. target_s is the time from the dispatch until
    that target is met, and cost_s the share of the server's time that the
    whole request takes.
    """

    request_id: str
    customer: str
    request_class: str
    tier: int
    deadline_s: float | None = None
    target_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueDecision:
    """Whether a request was queued.

    reason is set when it was not; displaced are requests of lower tiers
    that left the queue to make room. retry_after_s is the time until the
    queue has drained enough for the refused request.
    """

    accepted: bool
    reason: ErrorCode | None = None
    displaced: tuple[QueuedRequest, ...] = ()
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeDecision:
    """Next request to dispatch, and those that can't meet their target."""

    item: QueuedRequest | None
    expired: tuple[QueuedRequest, ...] = ()
