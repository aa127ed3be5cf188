"""Whether an agent may hand its engine one more request."""

from __future__ import annotations

from typing import Final

from azurewick.const import HIGHEST_TIER

# An engine admits in order of arrival, and a long prefill delays all
# requests behind it. With one request before its first token, all others
# stay in the tier queue, where a higher tier overtakes them; the engine
# decodes on during the round trip of less than a millisecond.
MAX_PREFILLS: Final = 1
# Part of the batch that only the highest tier may fill.
RESERVED_PART: Final = 0.1


class DispatchWindow:
    """Limit on requests in the engine, and on those before first token."""

    def __init__(self, max_prefills: int = MAX_PREFILLS) -> None:
        self._max_prefills = max_prefills

    def is_open(self, running: int, prefilling: int, limit: int) -> bool:
        """Return whether a request may be dispatched.

        running counts the dispatched requests that have not finished,
        prefilling those of them that have no first token yet, and limit is
        the batch limit.
        """
        return running < limit and prefilling < self._max_prefills

    def open_floor(self, running: int, limit: int, floor_tier: int) -> int:
        """Return the lowest tier that may take a place in the batch.

        The last places are kept for the highest tier, which otherwise
        waits until a long answer of a lower tier ends.
        """
        if running >= limit * (1.0 - RESERVED_PART):
            return HIGHEST_TIER
        return floor_tier


def remaining_s(expected_s: float, elapsed_s: float) -> float:
    """Return the expected rest of a prefill.

    One that takes longer than expected is expected to take as long again
    as it has been late, so that a straggler refuses work at once.
    """
    if elapsed_s <= expected_s:
        return expected_s - elapsed_s
    return elapsed_s - expected_s
