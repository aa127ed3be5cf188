"""How long watches of the store may wait, by whether it answers."""

from __future__ import annotations

# A watch of a store in trouble may never get an answer, so that its time-out
# bounds the delay of a change: a change of the configuration has to be in
# force 2.5 s after the store has confirmed it.
TROUBLED_WATCH_S = 2.0
# Calls to the store are billed. The time stays below the 20 s for which the
# store keeps its history.
CALM_WATCH_S = 12.0
# The store counts as calm when no call has failed for this long.
CALM_AFTER_S = 10.0


class StoreHealth:
    """Whether calls to the store failed lately."""

    def __init__(self) -> None:
        self._trouble_s: float | None = None

    def record_trouble(self, now_s: float) -> bool:
        """Record a failed call; return whether the store was calm before."""
        was_calm = self.is_calm(now_s)
        self._trouble_s = now_s
        return was_calm

    def is_calm(self, now_s: float) -> bool:
        """Return whether no call has failed within CALM_AFTER_S."""
        return (
            self._trouble_s is None or now_s - self._trouble_s >= CALM_AFTER_S
        )

    def watch_timeout_s(self, now_s: float) -> float:
        """Return the time-out of a watch that begins now, in seconds."""
        return CALM_WATCH_S if self.is_calm(now_s) else TROUBLED_WATCH_S
