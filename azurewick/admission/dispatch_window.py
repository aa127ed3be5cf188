"""Limits on the requests that an agent hands to its engine at once."""

from __future__ import annotations

from typing import Final

from azurewick.const import HIGHEST_TIER

# An engine runs requests in order of arrival, and a long prefill delays all
# requests behind it. With at most one request in prefill, all others wait in
# the agent's queue, where a higher tier goes first. The engine keeps decoding
# during the round trip of less than a millisecond to fetch the next one.
MAX_PREFILLS: Final = 1
# Share of the batch limit reserved for the highest tier.
RESERVED_RATIO: Final = 0.1


class DispatchWindow:
    """Limit on the requests in an engine and on those still in prefill."""

    def __init__(self, max_prefills: int = MAX_PREFILLS) -> None:
        self._max_prefills = max_prefills

    def is_open(self, running: int, prefilling: int, limit: int) -> bool:
        """Return whether a request may be dispatched.

        running counts the dispatched requests that have not finished,
        prefilling those of them that have no first token yet, and limit is
        the batch limit.
        """
        return running < limit and prefilling < self._max_prefills

    def lowest_dispatchable_tier(
        self, running: int, limit: int, floor_tier: int
    ) -> int:
        """Return the lowest tier that may be dispatched at this batch size.

        The last slots of the batch are reserved for the highest tier, which
        would otherwise wait until a long answer of a lower tier ends.
        """
        if running >= limit * (1.0 - RESERVED_RATIO):
            return HIGHEST_TIER
        return floor_tier


def remaining_prefill_s(expected_s: float, elapsed_s: float) -> float:
    """Return the expected remaining time of a prefill in seconds.

    An overdue prefill is expected to take as long again as it is overdue, so
    that a slow server soon refuses work that it can't finish in time.
    """
    if elapsed_s <= expected_s:
        return expected_s - elapsed_s
    return elapsed_s - expected_s
