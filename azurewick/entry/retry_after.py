"""Retry-After of refused requests, with jitter."""

from __future__ import annotations

from random import Random

# Callers that are refused at the same time retry at random between one and
# this many times the predicted wait, so that they don't all return at once.
JITTER_FACTOR = 1.6
# Maximum Retry-After as a share of the time until the caller's deadline.
# Callers wait no longer than this.
MAX_DEADLINE_SHARE = 1 / 3
# Maximum for callers that state no deadline.
MAX_RETRY_AFTER_S = 5.0
MIN_RETRY_AFTER_S = 0.02


def jittered_retry_after_s(
    wait_s: float, deadline_s: float | None, random: Random
) -> float:
    """Return the Retry-After of one caller, in seconds.

    wait_s is the predicted wait, infinite while more urgent work takes the
    whole capacity. deadline_s is the time that the caller has left.
    """
    max_retry_after_s = (
        MAX_RETRY_AFTER_S
        if deadline_s is None
        else deadline_s * MAX_DEADLINE_SHARE
    )
    if wait_s * JITTER_FACTOR >= max_retry_after_s:
        # Draw from the upper half, so that the retries still spread.
        return max(
            MIN_RETRY_AFTER_S, max_retry_after_s * random.uniform(0.5, 1.0)
        )
    return max(MIN_RETRY_AFTER_S, wait_s * random.uniform(1.0, JITTER_FACTOR))
