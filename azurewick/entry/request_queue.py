"""Order in which waiting requests are dispatched."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

from azurewick.entry.models import PromptPart
from azurewick.entry.work import WorkEstimate

_Payload = TypeVar("_Payload")

# Tiers of the customer and of the route; 0 is the highest.
Rank = tuple[int, int]

# Ratio of the values of a tier and the next lower one.
CUSTOMER_TIER_FACTOR = 6.0
ROUTE_TIER_FACTOR = 4.0
# Factor on the value of a request that can't meet its target any more.
LATE_VALUE_FACTOR = 0.3
# The same for a request whose caller was refused before. It is higher, as a
# second refusal would end the request.
LATE_RETRY_VALUE_FACTOR = 0.6
# The same for the rest of a stream that has begun. Without it, what has run
# and what the caller has received is lost.
STARTED_VALUE_FACTOR = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a request needs from a backend server.

    target_s is the time by which its first output is due and deadline_at_s its
    deadline, both on the monotonic clock. is_caller_retry is set for a retry
    by a caller that was refused before, and is_started for the rest of a
    stream that another server has begun. shared_part is the part of its
    prompt that other requests have in common with it. excluded names servers
    that must not get the request. on_new_version is set for a request that
    tries the new version of its service. customer is the name of the caller's
    customer, empty without one. Only servers in home_regions may get the
    request, all may if it is None; find_home_regions looks them up again, as
    the configuration may change while the request waits.
    """

    rank: Rank
    work: WorkEstimate
    target_s: float
    deadline_at_s: float
    is_caller_retry: bool = False
    is_started: bool = False
    shared_part: PromptPart | None = None
    excluded: frozenset[str] = field(default=frozenset())
    on_new_version: bool = False
    customer: str = ""
    home_regions: frozenset[str] | None = None
    find_home_regions: Callable[[], frozenset[str] | None] | None = field(
        default=None, compare=False
    )

    def current_home_regions(self) -> frozenset[str] | None:
        """Return the home regions by the configuration in force."""
        if self.find_home_regions is None:
            return self.home_regions
        return self.find_home_regions()

    def is_on_time(self, now_s: float) -> bool:
        """Return whether the target can still be met."""
        return now_s + self.work.first_token_s <= self.target_s

    def urgency(self, now_s: float) -> float:
        """Return the value of the request per second of its cost.

        Serving requests by value per cost (Smith's rule) yields the highest
        total value under overload. A strict order of the tiers would starve
        short requests of a low tier behind long ones of the next tier.
        """
        customer_tier, route_tier = self.rank
        value = self.work.value * CUSTOMER_TIER_FACTOR**-customer_tier
        value *= ROUTE_TIER_FACTOR**-route_tier
        if self.is_started:
            value *= STARTED_VALUE_FACTOR
        elif not self.is_on_time(now_s):
            value *= (
                LATE_RETRY_VALUE_FACTOR
                if self.is_caller_retry
                else LATE_VALUE_FACTOR
            )
        return value / self.work.cost_s


@dataclass(eq=False, kw_only=True, slots=True)
class Waiter(Generic[_Payload]):
    """Request that waits for a backend server.

    payload is opaque to the queue. urgency is the demand's at arrival.
    """

    payload: _Payload
    demand: Demand
    urgency: float
    arrived_s: float


class RequestQueue(Generic[_Payload]):
    """Requests that wait for a server, the most urgent one first."""

    def __init__(self) -> None:
        self._waiters: set[Waiter[_Payload]] = set()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter[_Payload]) -> None:
        """Add a waiter."""
        self._waiters.add(waiter)

    def remove(self, waiter: Waiter[_Payload]) -> None:
        """Remove a waiter if it is still in the queue."""
        self._waiters.discard(waiter)

    def work_ahead_s(
        self, urgency: float, home_regions: frozenset[str] | None = None
    ) -> float:
        """Return the work of the waiters that go before a new request.

        Those that share no home region with it don't.
        """
        return sum(
            waiter.demand.work.total_s
            for waiter in self._waiters
            if waiter.urgency >= urgency
            and _have_common_region(home_regions, waiter.demand)
        )

    def has_other_home_regions(
        self, home_regions: frozenset[str] | None
    ) -> bool:
        """Return whether a waiter may use other servers than a request."""
        return any(
            waiter.demand.current_home_regions() != home_regions
            for waiter in self._waiters
        )

    def in_order(self) -> list[Waiter[_Payload]]:
        """Return the waiters by urgency, then by arrival."""
        return sorted(
            self._waiters,
            key=lambda waiter: (-waiter.urgency, waiter.arrived_s),
        )


def _have_common_region(
    home_regions: frozenset[str] | None, demand: Demand
) -> bool:
    if home_regions is None:
        return True
    other = demand.current_home_regions()
    return other is None or not home_regions.isdisjoint(other)
