"""Shares of the entry instances in the slots of backend servers.

Load: many instances before few slots, with reports that are some tenths of a
second old. All instances see the same free slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from itertools import accumulate
from math import floor
from zlib import crc32

# Part of its share that each peer finds free when it needs it. An instance
# that has borrowed more holds it until its requests end, and the engine
# would get more requests than slots.
KEPT_PART = 0.6
# Requests beyond its slots that an engine may get when an instance takes its
# share from one that has borrowed.
OVERCOMMIT_SLOTS = 1
# Instances that may borrow one free slot at the same time. All of them see
# it until the borrower's next report, and would fill the engine's queue.
BORROWERS_PER_SLOT = 2
# Sums of weights may miss a whole number by this.
ROUNDING = 1e-9


class SlotShares:
    """Shares of all instances in the servers' slots at one time.

    in_flight holds the requests of each instance by server, None for those
    that are silent. What is listed for the own index isn't read. turn
    numbers the periods for which borrowers are drawn. What all servers have
    in common is computed once, as each placement asks for each server.
    """

    def __init__(
        self,
        *,
        weights: Sequence[float],
        own_index: int,
        in_flight: Sequence[Mapping[str, int] | None],
        turn: int,
    ) -> None:
        self._own_index = own_index
        self._in_flight = in_flight
        self._turn = turn
        self._count = len(weights)
        # Sums of the weights before each index, and of all.
        self._sums = [0.0, *accumulate(weights)]
        self._largest = max(weights)
        self._silent = [
            index
            for index, counts in enumerate(in_flight)
            if counts is None and index != own_index
        ]
        self._used: Counter[str] = Counter()
        for index, counts in enumerate(in_flight):
            if counts is not None and index != own_index:
                self._used.update(counts)

    def available(self, total: int, backend: str, own_used: int = 0) -> int:
        """Return how many of a backend server's slots are ours to use.

        All that the others neither use nor may soon need, and at least our
        own share. The shares of all instances add up to the total. The
        server's name decides where the rounding starts, so that the
        remainders spread.
        """
        start = crc32(backend.encode()) % self._count
        in_flight = self._used[backend] + sum(
            self._share(index, start, total) for index in self._silent
        )
        reserved = in_flight + self._kept(start, total, backend)
        own = self._share(self._own_index, start, total)
        own_free = min(own, max(0, total + OVERCOMMIT_SLOTS - in_flight))
        free = total - reserved
        if free > own_free and not self._may_borrow(free - own_used, backend):
            return max(own_free, own_used)
        return max(own_free, free)

    def _share(self, index: int, start: int, total: int) -> int:
        """Return an instance's share when the rounding begins at start."""
        sums = self._sums
        # Instances before start come after the last one.
        offset = (sums[-1] if index < start else 0.0) - sums[start]
        before = total * (sums[index] + offset) + ROUNDING
        after = total * (sums[index + 1] + offset) + ROUNDING
        return floor(after) - floor(before)

    def _kept(self, start: int, total: int, backend: str) -> int:
        """Return the slots that others don't use and may soon need."""
        if floor(KEPT_PART * (total * self._largest + 1)) < 1:
            # The shares of many instances are too small to keep a part.
            return 0
        kept = 0
        for index, counts in enumerate(self._in_flight):
            if counts is None or index == self._own_index:
                continue
            part = floor(KEPT_PART * self._share(index, start, total))
            kept += max(0, part - counts.get(backend, 0))
        return kept

    def _may_borrow(self, free: int, backend: str) -> bool:
        """Return whether this instance's turn allows it to borrow a slot."""
        turn = f"{self._own_index}/{backend}/{self._turn}"
        drawn = crc32(turn.encode()) / 2**32
        return drawn * self._count < BORROWERS_PER_SLOT * free
