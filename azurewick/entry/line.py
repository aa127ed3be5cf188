"""Order in which waiting requests are dispatched."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

_Payload = TypeVar("_Payload")

# Tier of the customer, then that of the route; the lowest goes first.
Rank = tuple[int, int]


@dataclass(eq=False, kw_only=True, slots=True)
class Waiter(Generic[_Payload]):
    """Request that waits for a backend server.

    on_time_until_s is the latest dispatch at which the target can still be
    met, and waits_until_s the time at which it is refused.
    """

    payload: _Payload
    rank: Rank
    arrived_s: float
    on_time_until_s: float
    waits_until_s: float
    excluded: frozenset[str] = field(default=frozenset())

    def is_on_time(self, now_s: float) -> bool:
        """Return whether the target can still be met."""
        return now_s <= self.on_time_until_s


class WaitingLine(Generic[_Payload]):
    """Requests that wait for a server, the most urgent one first.

    Requests that can still meet their target go before late ones: a queue
    that serves the oldest first answers everything just too late after a
    burst. Lower ranks go first within both groups.
    """

    def __init__(self) -> None:
        self._waiters: set[Waiter[_Payload]] = set()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter[_Payload]) -> None:
        """Add a waiter."""
        self._waiters.add(waiter)

    def remove(self, waiter: Waiter[_Payload]) -> None:
        """Remove a waiter that may have left already."""
        self._waiters.discard(waiter)

    def in_order(self, now_s: float) -> list[Waiter[_Payload]]:
        """Return the waiters, the next one to dispatch first."""
        return sorted(
            self._waiters,
            key=lambda waiter: (
                not waiter.is_on_time(now_s),
                waiter.rank,
                waiter.arrived_s,
            ),
        )
