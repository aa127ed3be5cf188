"""Data classes of admission control."""

from __future__ import annotations

from dataclasses import dataclass

from azurewick.errors import ErrorCode


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuedRequest:
    """Request that waits in an agent's queue.

    deadline_s is the time by which the class target must be met; None sets
    no deadline. time_to_target_s is the expected time from the dispatch to the
    event that the target limits, the first token or the end of the answer.
    cost_s is the server time that the whole request is expected to take.
    """

    request_id: str
    customer: str
    request_class: str
    tier: int
    deadline_s: float | None = None
    time_to_target_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueDecision:
    """Whether a request was queued.

    reason is set when it was refused; displaced are the requests of lower
    tiers that were removed from the queue to make room. retry_after_s is the
    expected time until the queue is short enough for the refused request.
    """

    accepted: bool
    reason: ErrorCode | None = None
    displaced: tuple[QueuedRequest, ...] = ()
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeDecision:
    """Next request to dispatch, and those removed from the queue before it.

    item is None when no request may be dispatched. expired are the requests
    that can't meet their target any more.
    """

    item: QueuedRequest | None
    expired: tuple[QueuedRequest, ...] = ()
