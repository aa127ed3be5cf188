"""Shares of the entry instances in the slots of backend servers.

Many instances use few slots, and their reports are some tenths of a second
old. Without shares, all instances would use the same free slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from itertools import accumulate
from math import floor
from zlib import crc32

# Fraction of its share that is kept free for each peer. An instance that
# borrows slots holds them until its requests end; a peer that then uses its
# share would send the engine more requests than it has slots.
RESERVED_FRACTION = 0.6
# Requests beyond its slots that an engine may get when an instance uses its
# share while another one has borrowed from it.
OVERCOMMIT_SLOTS = 1
# Instances that may borrow one free slot at the same time, on average. All
# instances see it as free until the borrower's next report, and would fill
# the engine's queue.
BORROWERS_PER_SLOT = 2
# Tolerance for rounding errors in sums of weights.
ROUNDING_TOLERANCE = 1e-9


class SlotShares:
    """Shares of all instances in the servers' slots at one time.

    in_flight holds the requests of each instance by server, None for those
    that are silent; the entry at own_index is ignored. borrow_period is the
    number of the period for which borrowers are drawn. Values that don't
    depend on the server are computed once, as each placement asks for each
    server.
    """

    def __init__(
        self,
        *,
        weights: Sequence[float],
        own_index: int,
        in_flight: Sequence[Mapping[str, int] | None],
        borrow_period: int,
    ) -> None:
        self._own_index = own_index
        self._in_flight = in_flight
        self._borrow_period = borrow_period
        self._instance_count = len(weights)
        # Sum of the weights before each index; the last item is the total.
        self._cumulative_weights = [0.0, *accumulate(weights)]
        self._largest_weight = max(weights)
        self._silent_indexes = [
            index
            for index, counts in enumerate(in_flight)
            if counts is None and index != own_index
        ]
        self._peers_in_flight: Counter[str] = Counter()
        for index, counts in enumerate(in_flight):
            if counts is not None and index != own_index:
                self._peers_in_flight.update(counts)

    @property
    def has_silent(self) -> bool:
        """Return whether a peer is silent."""
        return bool(self._silent_indexes)

    def silent_share(self, total: int, backend: str) -> int:
        """Return the slots that silent peers may be using."""
        start = crc32(backend.encode()) % self._instance_count
        return sum(
            self._share(index, start, total) for index in self._silent_indexes
        )

    def used(self, total: int, backend: str, own_used: int) -> int:
        """Return what counts against available(): this instance's requests."""
        return own_used

    def unused(self, total: int, backend: str) -> int:
        """Return how many of a server's slots the peers neither use nor need.

        The slots that this instance uses itself count as unused.
        """
        return total - self._in_flight_of_peers(total, backend)

    def available(self, total: int, backend: str, own_used: int = 0) -> int:
        """Return how many of a backend server's slots this instance may use.

        That is its own share, or all that the peers neither use nor have
        reserved if that is more and this instance may borrow. total is the
        number of the server's slots, and own_used those that this instance
        uses already. Slots of its share that peers have borrowed aren't
        available until they are free again, except for OVERCOMMIT_SLOTS.

        The shares of all instances add up to total. The server's name
        decides at which instance the rounding starts, so that the remainders
        are spread over the instances.
        """
        start = crc32(backend.encode()) % self._instance_count
        in_flight = self._in_flight_of_peers(total, backend)
        unavailable = in_flight + self._reserved(start, total, backend)
        own_share = self._share(self._own_index, start, total)
        own_free = min(own_share, max(0, total + OVERCOMMIT_SLOTS - in_flight))
        free = total - unavailable
        if free > own_free and not self._may_borrow(free - own_used, backend):
            return max(own_free, own_used)
        return max(own_free, free)

    def _in_flight_of_peers(self, total: int, backend: str) -> int:
        """Return the peers' requests; silent ones may use their shares."""
        return self._peers_in_flight[backend] + self.silent_share(
            total, backend
        )

    def _share(self, index: int, start: int, total: int) -> int:
        """Return an instance's share in slots; start begins the rounding."""
        sums = self._cumulative_weights
        # Instances before start are summed up after the last one.
        offset = (sums[-1] if index < start else 0.0) - sums[start]
        before = total * (sums[index] + offset) + ROUNDING_TOLERANCE
        after = total * (sums[index + 1] + offset) + ROUNDING_TOLERANCE
        return floor(after) - floor(before)

    def _reserved(self, start: int, total: int, backend: str) -> int:
        """Return the unused slots that are reserved for the peers."""
        if floor(RESERVED_FRACTION * (total * self._largest_weight + 1)) < 1:
            # With many instances the shares are too small to reserve a slot.
            return 0
        reserved = 0
        for index, counts in enumerate(self._in_flight):
            if counts is None or index == self._own_index:
                continue
            part = floor(RESERVED_FRACTION * self._share(index, start, total))
            reserved += max(0, part - counts.get(backend, 0))
        return reserved

    def _may_borrow(self, free: int, backend: str) -> bool:
        """Return whether this instance is drawn to borrow in this period."""
        draw_key = f"{self._own_index}/{backend}/{self._borrow_period}"
        drawn = crc32(draw_key.encode()) / 2**32
        return drawn * self._instance_count < BORROWERS_PER_SLOT * free
