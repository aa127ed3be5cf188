"""Time after which a refused caller should come back."""

from __future__ import annotations

from random import Random

# Callers that are refused together return spread over this multiple of the
# predicted wait, so that they don't make the next wave.
RETRY_SPREAD = 1.6
# Callers wait at most a third of the time that they have left.
LONGEST_SHARE = 1 / 3
# For callers that don't say how long they wait.
LONGEST_S = 5.0
SHORTEST_S = 0.02


def spread_retry_s(
    wait_s: float, deadline_s: float | None, random: Random
) -> float:
    """Return the Retry-After of one caller, in seconds.

    wait_s is the predicted wait, infinite while more urgent work takes all
    capacity. deadline_s is how long the caller still waits.
    """
    longest_s = LONGEST_S if deadline_s is None else deadline_s * LONGEST_SHARE
    if wait_s * RETRY_SPREAD >= longest_s:
        # Half of the span keeps the returns apart.
        return max(SHORTEST_S, longest_s * random.uniform(0.5, 1.0))
    return max(SHORTEST_S, wait_s * random.uniform(1.0, RETRY_SPREAD))
