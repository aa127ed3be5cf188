"""Shares of the entry instances in the requests that a cold server gets.

Each instance computes its own share from the names of the live instances, so
that the shares hold without messages and across network partitions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b
from math import floor

# Window of the sliding count, in which all instances together may send the
# rate of a cold server.
WINDOW_S = 1.0
# Share of the limit that the instances plan to use. The rest is for those that
# disagree about the others: two sides of a network partition may each use
# nearly the whole budget.
PLANNED_LIMIT_SHARE = 0.55
# Interval between two requests of an instance that isn't settled: the others
# may not count it yet.
UNSETTLED_INTERVAL_S = 4.0
# Part of the interval in which it may send that request. Instances that have
# restarted together and wait for a server would otherwise all send at once.
UNSETTLED_SLOTS = 16
# Instances that aren't settled and know the others may send this multiple of
# the rate of a cold server at the most, as shares of one request in
# UNSETTLED_INTERVAL_S. It stays within half of the budget.
UNSETTLED_SENDERS_FACTOR = 2.0
# Time from the first list of the instances with this one in it until its
# share is used. The others read the list every 3.6 s at the most, and what
# they read may be 3 s old.
SETTLE_S = 8.0
# An instance that vanishes from the list without a farewell counts for this
# much longer: it may only be cut off, and still use its share.
VANISHED_COUNTS_S = 120.0
# Mixes the hashes of an instance and of a run; 2**64 by the golden ratio, odd.
# A hash of each pair would hold up the event loop when hundreds of servers
# become cold at once.
MIX_FACTOR = 0x9E3779B97F4A7C15
WEIGHT_MASK = 2**64 - 1
# Cached shares are dropped when there are more; restarts add runs.
MAX_CACHED_RUNS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdTolerance:
    """By how much all instances together may exceed a cold server's rate."""

    overage: float
    allowance: float

    def budget_per_s(self, per_s: float) -> float:
        """Return the rate that the instances share."""
        limit = per_s * self.overage + self.allowance
        return min(per_s, PLANNED_LIMIT_SHARE * limit)


@dataclass(frozen=True, kw_only=True, slots=True)
class Allowance:
    """Number of requests that an instance may send in a window."""

    count: int
    window_s: float = WINDOW_S


class SendWindow:
    """Times of the requests that this instance has sent to a server."""

    __slots__ = ("_times_s",)

    def __init__(self) -> None:
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        """Record a request that is sent now."""
        times_s = self._times_s
        times_s.append(now_s)
        # An allowance with a longer window is one request: the last time is
        # all that it needs.
        while times_s[0] <= now_s - WINDOW_S:
            times_s.popleft()

    def is_recent(self, now_s: float) -> bool:
        """Return whether a request was sent within the longest window."""
        return bool(self._times_s) and (
            now_s - self._times_s[-1] < UNSETTLED_INTERVAL_S
        )

    def left(self, allowance: Allowance, now_s: float) -> int:
        """Return how many requests may be sent now."""
        start_s = now_s - allowance.window_s
        sent = sum(time_s > start_s for time_s in self._times_s)
        return max(0, allowance.count - sent)


class ColdShares:
    """This instance's share in the requests to each cold server."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._members: frozenset[str] = frozenset({own_name})
        # Until when instances that have vanished count, by name.
        self._vanished_until_s: dict[str, float] = {}
        self._settled_from_s: float | None = None
        self._weights = [_weigh(own_name)]
        self._ranks: dict[str, int] = {}

    @property
    def instance_count(self) -> int:
        """Return the number of instances that may use their shares."""
        return len(self._members | self._vanished_until_s.keys())

    def set_members(
        self,
        names: Collection[str],
        registered_s: float | None,
        has_left: Callable[[str], bool],
        now_s: float,
    ) -> None:
        """Set the names of the live instances.

        registered_s is the time at which the list first had this instance,
        None until then. has_left tells which ones have said that they stop.
        """
        if registered_s is None:
            # The names stand for instances that aren't known yet.
            return
        self._settled_from_s = registered_s + SETTLE_S
        before = self._members | self._vanished_until_s.keys()
        members = frozenset({*names, self._own_name})
        for name in self._members - members:
            self._vanished_until_s[name] = now_s + VANISHED_COUNTS_S
        self._vanished_until_s = {
            name: until_s
            for name, until_s in self._vanished_until_s.items()
            if now_s < until_s and name not in members and not has_left(name)
        }
        self._members = members
        counted = self._members | self._vanished_until_s.keys()
        if before != counted:
            self._weights = [_weigh(name) for name in counted]
            self._ranks.clear()

    def is_settled(self, now_s: float) -> bool:
        """Return whether the other instances count this one."""
        return self._settled_from_s is not None and (
            now_s >= self._settled_from_s
        )

    def allowance(self, run: str, per_s: float, now_s: float) -> Allowance:
        """Return what this instance may send to a cold run of a server.

        per_s is the rate of requests that it takes from all instances.
        """
        if per_s <= 0:
            return Allowance(count=0)
        if not self.is_settled(now_s):
            return self._unsettled_allowance(run, per_s, now_s)
        share = floor(per_s / self.instance_count)
        if share >= 1:
            return Allowance(count=share)
        if per_s < 1:
            return Allowance(
                count=int(self.rank(run) < 1), window_s=1.0 / per_s
            )
        return Allowance(count=int(self.rank(run) < floor(per_s)))

    def rank(self, run: str) -> int:
        """Return how many instances come before this one for a run.

        All instances compute the same order, by rendezvous hashing.
        """
        rank = self._ranks.get(run)
        if rank is None:
            run_weight = _weigh(run)
            own = (
                (_weigh(self._own_name) ^ run_weight) * MIX_FACTOR
            ) & WEIGHT_MASK
            rank = sum(
                ((weight ^ run_weight) * MIX_FACTOR) & WEIGHT_MASK > own
                for weight in self._weights
            )
            if len(self._ranks) >= MAX_CACHED_RUNS:
                self._ranks.clear()
            self._ranks[run] = rank
        return rank

    def _unsettled_allowance(
        self, run: str, per_s: float, now_s: float
    ) -> Allowance:
        interval_s = max(UNSETTLED_INTERVAL_S, 1.0 / per_s)
        slot = int(now_s / interval_s * UNSETTLED_SLOTS) % UNSETTLED_SLOTS
        own_slot = _weigh(f"{self._own_name}|{run}") % UNSETTLED_SLOTS
        may_send = slot == own_slot
        if self._settled_from_s is not None:
            senders = max(1, floor(UNSETTLED_SENDERS_FACTOR * per_s))
            may_send = may_send and self.rank(run) < senders
        return Allowance(count=int(may_send), window_s=interval_s)


def _weigh(name: str) -> int:
    digest = blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
