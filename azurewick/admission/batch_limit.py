"""Learned number of requests that an engine runs at once."""

from __future__ import annotations

import math
from typing import Final

# The limit grows below the first part of the target and shrinks above the
# second; the gap keeps it from alternating. The rest of the target is for
# answers that happen to see more prefill than the average.
GROW_BELOW: Final = 0.8
SHRINK_AT: Final = 0.9
SHRINK_TO: Final = 0.85
# The limit counts as used at this part of it: the last places are kept for
# the highest tier.
USED_PART: Final = 0.85
# The target is an average over an answer. A single long prefill slows the
# steps for a second or two and must not shrink the batch.
TIME_CONSTANT_S: Final = 4.0
ADJUST_INTERVAL_S: Final = 1.0
# Largest part by which one adjustment changes the limit.
MAX_SHRINK: Final = 0.15
MAX_GROWTH: Final = 0.1


class BatchLimit:
    """Concurrency limit at which the inter-token target still holds."""

    def __init__(
        self, *, initial: int = 8, minimum: int = 1, maximum: int = 64
    ) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self._limit = float(min(maximum, max(minimum, initial)))
        self._inter_token_s: float | None = None
        self._peak_running = 0
        self._adjusted_s: float | None = None
        self._recorded_s: float | None = None

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
        """Record the time between tokens at a number of running requests.

        target_s is the tightest inter-token target of the running classes;
        None lets the limit grow to its maximum.
        """
        if running < 1 or inter_token_s <= 0.0:
            return
        if self._inter_token_s is None:
            self._inter_token_s = inter_token_s
        elapsed_s = now_s - (self._recorded_s or now_s)
        self._recorded_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._inter_token_s += weight * (inter_token_s - self._inter_token_s)
        self._peak_running = max(self._peak_running, running)
        if self._adjusted_s is None:
            self._adjusted_s = now_s
        if now_s - self._adjusted_s < ADJUST_INTERVAL_S:
            return
        self._adjusted_s = now_s
        self._adjust(target_s)
        self._peak_running = 0

    def _adjust(self, target_s: float | None) -> None:
        measured_s = self._inter_token_s or 0.0
        if target_s is not None and measured_s > SHRINK_AT * target_s:
            # Only the part of the limit that was used slowed the steps.
            used = min(self._limit, float(self._peak_running))
            wanted = max(
                used * SHRINK_TO * target_s / measured_s,
                self._limit * (1.0 - MAX_SHRINK),
            )
            self._limit = max(float(self._minimum), min(self._limit, wanted))
        elif self._peak_running >= int(USED_PART * self._limit) and (
            target_s is None or measured_s < GROW_BELOW * target_s
        ):
            growth = max(1.0, MAX_GROWTH * self._limit)
            self._limit = min(float(self._maximum), self._limit + growth)
