"""Adaptive limit on the requests that an engine runs at once."""

from __future__ import annotations

import math
from typing import Final

# Ratios of the inter-token target. The limit grows while the mean inter-token
# time is below the first ratio and shrinks, to reach the third, above the
# second. The gap between the first two prevents oscillation. The margin up to
# the target is for answers that are interrupted by more prefills than average.
GROWTH_THRESHOLD: Final = 0.8
SHRINK_THRESHOLD: Final = 0.9
SHRINK_TARGET: Final = 0.85
# The limit grows only if the peak number of running requests reached this
# ratio of it. It is below 1 because the last slots are reserved for the
# highest tier.
SATURATION_RATIO: Final = 0.85
# The target is an average over a whole answer, so a single long prefill, which
# slows the decode steps for a second or two, must not shrink the batch.
TIME_CONSTANT_S: Final = 4.0
ADJUST_INTERVAL_S: Final = 1.0
# Largest relative change of the limit in one adjustment.
MAX_SHRINK_RATIO: Final = 0.15
MAX_GROWTH_RATIO: Final = 0.1


class BatchLimit:
    """Largest concurrency at which the inter-token target is still met."""

    def __init__(
        self, *, initial: int = 8, minimum: int = 1, maximum: int = 64
    ) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self._limit = float(min(maximum, max(minimum, initial)))
        self._mean_inter_token_s: float | None = None
        self._peak_running = 0
        self._last_adjusted_s: float | None = None
        self._last_recorded_s: float | None = None

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""
        return int(self._limit)

    def record_step(
        self,
        running: int,
        inter_token_s: float,
        target_s: float | None,
        now_s: float,
    ) -> None:
        """Record a decode step and adjust the limit once per interval.

        running is the number of running requests and inter_token_s the time
        between tokens. target_s is the tightest inter-token target of the
        running classes; None lets the limit grow to its maximum.
        """
        if running < 1 or inter_token_s <= 0.0:
            return
        if self._mean_inter_token_s is None:
            self._mean_inter_token_s = inter_token_s
        elapsed_s = now_s - (self._last_recorded_s or now_s)
        self._last_recorded_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._mean_inter_token_s += weight * (
            inter_token_s - self._mean_inter_token_s
        )
        self._peak_running = max(self._peak_running, running)
        if self._last_adjusted_s is None:
            self._last_adjusted_s = now_s
        if now_s - self._last_adjusted_s < ADJUST_INTERVAL_S:
            return
        self._last_adjusted_s = now_s
        self._adjust(target_s)
        self._peak_running = 0

    def _adjust(self, target_s: float | None) -> None:
        mean_s = self._mean_inter_token_s or 0.0
        if target_s is not None and mean_s > SHRINK_THRESHOLD * target_s:
            # Only the requests that ran slowed the steps, so the decrease
            # starts from the peak if that is below the limit.
            used_limit = min(self._limit, float(self._peak_running))
            target_limit = max(
                used_limit * SHRINK_TARGET * target_s / mean_s,
                self._limit * (1.0 - MAX_SHRINK_RATIO),
            )
            self._limit = max(
                float(self._minimum), min(self._limit, target_limit)
            )
        elif self._peak_running >= int(SATURATION_RATIO * self._limit) and (
            target_s is None or mean_s < GROWTH_THRESHOLD * target_s
        ):
            growth = max(1.0, MAX_GROWTH_RATIO * self._limit)
            self._limit = min(float(self._maximum), self._limit + growth)
