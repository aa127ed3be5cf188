"""Queue of an agent: tiers in order, fair shares inside a tier."""

from __future__ import annotations

import heapq
from typing import Final

from azurewick.admission.models import QueueDecision
from azurewick.admission.models import QueuedRequest
from azurewick.admission.models import TakeDecision
from azurewick.const import LOWEST_TIER
from azurewick.errors import ErrorCode

DEFAULT_MAX_QUEUE: Final = 256
# A request without a known cost still counts for its customer's share.
MIN_COST_S: Final = 0.001


class _CustomerQueue:
    """Requests of one customer in one tier, earliest deadline first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.count = 0
        self.work_s = 0.0
        # Virtual time at which the customer's next request starts.
        self.start_s = 0.0


class _Tier:
    """Requests of one tier, by customer."""

    def __init__(self) -> None:
        self.virtual_s = 0.0
        self.customers: dict[str, _CustomerQueue] = {}
        self.work_s = 0.0
        self.count = 0


class TierQueue:
    """Queue in tier order with start-time fair queueing of customers.

    Inside a tier the customer that has had the least of the server's time
    goes first. A request that can no longer meet its target is never
    returned for dispatch, so no prefill is spent on it.
    """

    def __init__(self, max_queue: int = DEFAULT_MAX_QUEUE) -> None:
        self._max_queue = max_queue
        self._tiers: dict[int, _Tier] = {}
        self._items: dict[str, QueuedRequest] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def work_s(self) -> float:
        """Return the server time that the queued requests need."""
        return sum(tier.work_s for tier in self._tiers.values())

    def wait_s(self, customer: str, tier: int) -> float:
        """Return the expected wait of a new request of a customer.

        Before it come all higher tiers, the customer's own requests, and
        of each other customer of the tier at most an equal share.
        """
        higher_s = sum(
            other.work_s
            for number, other in self._tiers.items()
            if number < tier
        )
        same = self._tiers.get(tier)
        if same is None:
            return higher_s
        own = same.customers.get(customer)
        own_s = own.work_s if own is not None else 0.0
        lead_s = max(0.0, own.start_s - same.virtual_s) if own else 0.0
        share_s = own_s + lead_s
        return (
            higher_s
            + own_s
            + sum(
                min(
                    other.work_s,
                    max(0.0, share_s - (other.start_s - same.virtual_s)),
                )
                for name, other in same.customers.items()
                if name != customer
            )
        )

    def offer(
        self, item: QueuedRequest, now_s: float, busy_s: float = 0.0
    ) -> QueueDecision:
        """Queue a request, or refuse it when it can't meet its target.

        busy_s is the time until the engine can begin another prefill.
        """
        wait_s = busy_s + self.wait_s(item.customer, item.tier)
        if (
            item.deadline_s is not None
            and now_s + wait_s + item.target_s > item.deadline_s
        ):
            return QueueDecision(
                accepted=False,
                reason=ErrorCode.TARGET_UNREACHABLE,
                retry_after_s=now_s + wait_s + item.target_s - item.deadline_s,
            )
        displaced: tuple[QueuedRequest, ...] = ()
        if len(self._items) >= self._max_queue:
            victim = self._find_victim(item)
            if victim is None:
                return QueueDecision(
                    accepted=False,
                    reason=ErrorCode.OVERLOADED,
                    retry_after_s=wait_s,
                )
            self.remove(victim.request_id)
            displaced = (victim,)
        self._push(item)
        return QueueDecision(accepted=True, displaced=displaced)

    def take(self, floor_tier: int, now_s: float) -> TakeDecision:
        """Return the next request whose tier the floor allows."""
        expired: list[QueuedRequest] = []
        for number in sorted(self._tiers):
            if number > floor_tier:
                break
            item = self._take_from(number, now_s, expired)
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
        # The heap entry stays and is skipped when it comes up.
        self._subtract(item)
        return True

    def _push(self, item: QueuedRequest) -> None:
        tier = self._tiers.setdefault(item.tier, _Tier())
        queue = tier.customers.setdefault(item.customer, _CustomerQueue())
        if queue.count == 0:
            queue.work_s = 0.0
            queue.start_s = max(queue.start_s, tier.virtual_s)
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
            # Rounding errors don't add up, and memory stays bounded.
            del self._tiers[item.tier]

    def _take_from(
        self, number: int, now_s: float, expired: list[QueuedRequest]
    ) -> QueuedRequest | None:
        while (tier := self._tiers.get(number)) is not None:
            queue = min(
                (queue for queue in tier.customers.values() if queue.heap),
                key=lambda queue: queue.start_s,
            )
            _, _, item = heapq.heappop(queue.heap)
            if self._items.get(item.request_id) is not item:
                continue
            self.remove(item.request_id)
            if (
                item.deadline_s is not None
                and now_s + item.target_s > item.deadline_s
            ):
                expired.append(item)
                continue
            tier.virtual_s = max(tier.virtual_s, queue.start_s)
            queue.start_s += _cost_s(item)
            return item
        return None

    def _find_victim(self, item: QueuedRequest) -> QueuedRequest | None:
        """Return the queued request that gives way to a higher tier."""
        lowest = max(self._tiers, default=LOWEST_TIER)
        if lowest <= item.tier or lowest not in self._tiers:
            return None
        return max(
            (other for other in self._items.values() if other.tier == lowest),
            key=_cost_s,
        )


def _cost_s(item: QueuedRequest) -> float:
    return max(item.cost_s, MIN_COST_S)
