"""Queue of an agent: strict tier order, fair queueing within a tier."""

from __future__ import annotations

import heapq
from typing import Final

from azurewick.admission.models import QueueDecision
from azurewick.admission.models import QueuedRequest
from azurewick.admission.models import TakeDecision
from azurewick.const import LOWEST_TIER
from azurewick.errors import ErrorCode

DEFAULT_MAX_QUEUE: Final = 256
# Smallest cost of a request, so that one of unknown cost still counts towards
# its customer's share.
MIN_COST_S: Final = 0.001


class _CustomerState:
    """Requests of one customer in one tier, earliest deadline first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.count = 0
        self.work_s = 0.0
        # Virtual start time (start tag) of the customer's next request.
        self.start_tag_s = 0.0


class _TierState:
    """Requests of one tier, by customer."""

    def __init__(self) -> None:
        self.virtual_time_s = 0.0
        self.customers: dict[str, _CustomerState] = {}
        self.work_s = 0.0
        self.count = 0


class TierQueue:
    """Queue in tier order with start-time fair queueing of customers.

    Within a tier the customer that has used the least server time goes first.
    A request that can no longer meet its target is never returned for
    dispatch, so no prefill is spent on it.
    """

    def __init__(self, max_queue: int = DEFAULT_MAX_QUEUE) -> None:
        self._max_queue = max_queue
        self._tiers: dict[int, _TierState] = {}
        self._items: dict[str, QueuedRequest] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def work_s(self) -> float:
        """Return the server time, in s, that the queued requests need."""
        return sum(tier.work_s for tier in self._tiers.values())

    def expected_wait_s(self, customer: str, tier: int) -> float:
        """Return the expected wait, in seconds, of a customer's new request.

        It waits for all higher tiers, for the customer's own requests and for
        at most an equal share of each other customer in the tier.
        """
        higher_s = sum(
            other.work_s
            for number, other in self._tiers.items()
            if number < tier
        )
        tier_state = self._tiers.get(tier)
        if tier_state is None:
            return higher_s
        own_state = tier_state.customers.get(customer)
        own_s = own_state.work_s if own_state is not None else 0.0
        lead_s = (
            max(0.0, own_state.start_tag_s - tier_state.virtual_time_s)
            if own_state
            else 0.0
        )
        # How far the new request's start tag is ahead of the virtual time.
        start_offset_s = own_s + lead_s
        return (
            higher_s
            + own_s
            + sum(
                min(
                    other.work_s,
                    max(
                        0.0,
                        start_offset_s
                        - (other.start_tag_s - tier_state.virtual_time_s),
                    ),
                )
                for name, other in tier_state.customers.items()
                if name != customer
            )
        )

    def offer(
        self,
        item: QueuedRequest,
        now_s: float,
        remaining_prefill_s: float = 0.0,
    ) -> QueueDecision:
        """Queue a request, or refuse it when it can't meet its target.

        remaining_prefill_s is the time until the engine can begin another
        prefill.
        """
        wait_s = remaining_prefill_s + self.expected_wait_s(
            item.customer, item.tier
        )
        if (
            item.deadline_s is not None
            and now_s + wait_s + item.time_to_target_s > item.deadline_s
        ):
            return QueueDecision(
                accepted=False,
                reason=ErrorCode.TARGET_UNREACHABLE,
                retry_after_s=now_s
                + wait_s
                + item.time_to_target_s
                - item.deadline_s,
            )
        displaced: tuple[QueuedRequest, ...] = ()
        if len(self._items) >= self._max_queue:
            displaced_item = self._find_displaceable(item)
            if displaced_item is None:
                return QueueDecision(
                    accepted=False,
                    reason=ErrorCode.OVERLOADED,
                    retry_after_s=wait_s,
                )
            self.remove(displaced_item.request_id)
            displaced = (displaced_item,)
        self._push(item)
        return QueueDecision(accepted=True, displaced=displaced)

    def take(self, floor_tier: int, now_s: float) -> TakeDecision:
        """Remove and return the next request at or above the floor."""
        expired: list[QueuedRequest] = []
        for number in sorted(self._tiers):
            if number > floor_tier:
                break
            item = self._take_from_tier(number, now_s, expired)
            if item is not None:
                return TakeDecision(item=item, expired=tuple(expired))
        return TakeDecision(item=None, expired=tuple(expired))

    def displace_below(self, floor_tier: int) -> list[QueuedRequest]:
        """Remove and return the requests below the admission floor."""
        below = [
            item for item in self._items.values() if item.tier > floor_tier
        ]
        for item in below:
            self.remove(item.request_id)
        return below

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was queued."""
        item = self._items.pop(request_id, None)
        if item is None:
            return False
        # The heap entry stays until it is popped, and is skipped then.
        self._subtract(item)
        return True

    def _push(self, item: QueuedRequest) -> None:
        tier = self._tiers.setdefault(item.tier, _TierState())
        queue = tier.customers.setdefault(item.customer, _CustomerState())
        if queue.count == 0:
            queue.work_s = 0.0
            queue.start_tag_s = max(queue.start_tag_s, tier.virtual_time_s)
        deadline_s = (
            item.deadline_s if item.deadline_s is not None else float("inf")
        )
        self._sequence += 1
        heapq.heappush(queue.heap, (deadline_s, self._sequence, item))
        cost_s = _cost_s(item)
        queue.count += 1
        queue.work_s += cost_s
        tier.work_s += cost_s
        tier.count += 1
        self._items[item.request_id] = item

    def _subtract(self, item: QueuedRequest) -> None:
        tier = self._tiers[item.tier]
        queue = tier.customers[item.customer]
        cost_s = _cost_s(item)
        queue.count -= 1
        queue.work_s -= cost_s
        tier.work_s -= cost_s
        tier.count -= 1
        if tier.count == 0:
            # Discards accumulated rounding errors and unused customers.
            del self._tiers[item.tier]

    def _take_from_tier(
        self, tier_number: int, now_s: float, expired: list[QueuedRequest]
    ) -> QueuedRequest | None:
        while (tier := self._tiers.get(tier_number)) is not None:
            queue = min(
                (queue for queue in tier.customers.values() if queue.heap),
                key=lambda queue: queue.start_tag_s,
            )
            _, _, item = heapq.heappop(queue.heap)
            if self._items.get(item.request_id) is not item:
                continue
            self.remove(item.request_id)
            if (
                item.deadline_s is not None
                and now_s + item.time_to_target_s > item.deadline_s
            ):
                expired.append(item)
                continue
            tier.virtual_time_s = max(tier.virtual_time_s, queue.start_tag_s)
            queue.start_tag_s += _cost_s(item)
            return item
        return None

    def _find_displaceable(self, item: QueuedRequest) -> QueuedRequest | None:
        """Return the costliest request of the lowest tier to displace.

        None when no queued request is of a lower tier than the item.
        """
        lowest = max(self._tiers, default=LOWEST_TIER)
        if lowest <= item.tier or lowest not in self._tiers:
            return None
        return max(
            (other for other in self._items.values() if other.tier == lowest),
            key=_cost_s,
        )


def _cost_s(item: QueuedRequest) -> float:
    return max(item.cost_s, MIN_COST_S)
