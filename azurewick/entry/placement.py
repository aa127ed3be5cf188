"""Choice of the backend server for a request."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from copy import copy
from math import ceil
from random import Random
from typing import NamedTuple
from typing import Protocol

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import AnnouncedCapacity
from azurewick.entry.capacity_policy import CapacityPolicy
from azurewick.entry.peers import PeerView
from azurewick.entry.prompt_affinity import choose_homes
from azurewick.entry.ratings import Ratings
from azurewick.entry.ratings import ServerRater
from azurewick.entry.request_queue import Demand
from azurewick.entry.send_limits import NoSendLimits
from azurewick.entry.send_limits import SendLimits

# Cost added for a server in another region, on the scale of the load: the
# link between regions has little bandwidth and is billed by volume.
REGION_PENALTY = 0.35
# Cost added for another failure domain of the same region.
DOMAIN_PENALTY = 0.05
# Share of the time until the deadline that the expected run may take; output
# lengths are often underestimated.
RUN_TIME_SHARE = 0.7
# Resolution at which the lateness of first outputs is compared: servers that
# are about equally late differ by their load.
LATENESS_STEP_S = 0.1
# Shared parts with fewer tokens don't affect the choice.
MIN_SHARED_TOKENS = 128
# Number of shared tokens from which on the engine that keeps them may cost
# AFFINITY_ALLOWANCE more than the cheapest one, and that amount.
FULL_SHARED_TOKENS = 1500
AFFINITY_ALLOWANCE = 0.6
# Unused slots of an engine that an instance may use although it isn't drawn to
# borrow: the reports of other instances are old, and they may take some too.
OPEN_SLOTS = 2
# The same for an engine that keeps a prompt, as a share of its slots. It is
# higher as all instances choose the same engine for a part.
HOME_UNUSED_SHARE = 0.5


class Cost(NamedTuple):
    """Cost of a server for a request; the earlier parts weigh more.

    is_suspect is set when it fails more than others. late_steps is by how
    much the first output may be late, in units of LATENESS_STEP_S.
    """

    is_suspect: bool
    late_steps: int
    may_miss_deadline: bool
    load: float


class Placement(Protocol):
    """Policy for choosing the backend server of a request."""

    def choose(
        self,
        candidates: Sequence[Backend],
        demand: Demand,
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free slot, or None."""

    def capacity(self, candidates: Sequence[Backend], now_s: float) -> float:
        """Return the nominal work a second that this instance may place."""


class SlotView(Protocol):
    """What placement knows about the slots of the servers.

    total is the number of a server's slots, own_used the number of this
    instance's requests there.
    """

    def used(self, total: int, backend: str, own_used: int) -> int:
        """Return the number of requests that count against the limits."""

    def available(self, total: int, backend: str, own_used: int = 0) -> int:
        """Return the limit of the requests that count."""

    def unused(self, total: int, backend: str) -> int:
        """Return the limit if only what is in use is subtracted."""


class SlotSource(Protocol):
    """Provides the view of the slots at a time."""

    def slot_shares(self, now_s: float) -> SlotView:
        """Return the view of the slots."""


class LeastLoadPlacement:
    """Chooses the server with the least load relative to its speed.

    Each instance uses the slots that its peers don't use, and at least its
    own share. Engines get no more requests than slots: they queue the rest
    in the order of arrival, so that urgent requests would wait behind
    others. Requests that share a part of their prompt go to the same engine
    unless it is much more loaded or slower than others.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        regions: Mapping[str, str],
        random: Random,
        peers: PeerView,
        send_limits: SendLimits | None = None,
        capacity: CapacityPolicy | None = None,
    ) -> None:
        self._send_limits = send_limits or NoSendLimits()
        self._capacity = capacity or AnnouncedCapacity()
        self._slots: SlotSource = peers
        self._failure_domain = failure_domain
        self._regions = regions
        self._region = regions.get(failure_domain, "")
        self._random = random
        self._rater = ServerRater(peers, self._capacity)

    def with_slots(self, slots: SlotSource) -> LeastLoadPlacement:
        """Return a placement with another view of the slots.

        A broker places by the counts of the whole fleet instead of the shares
        of its own instance. The limits on what its instance may send don't
        hold for others, which exclude the servers that they may not use.
        """
        placement = copy(self)
        placement._slots = slots
        placement._send_limits = NoSendLimits()
        return placement

    def capacity(self, candidates: Sequence[Backend], now_s: float) -> float:
        """Return the nominal work a second that this instance may place."""
        slowdowns = self._rater.rate(candidates, now_s).slowdowns
        return sum(
            limit / slowdowns[backend.name]
            for backend, limit in self._slot_limits(
                candidates, now_s, ignores_sent=True
            )
        )

    def choose(
        self,
        candidates: Sequence[Backend],
        demand: Demand,
        now_s: float,
    ) -> Backend | None:
        """Return a server with a free slot, or None.

        Servers that fail more requests than others come last. Of the rest,
        those that can meet the target come first, then those that can
        complete the answer before the deadline, then those with the lowest
        cost.
        """
        usable = [
            (backend, limit)
            for backend, limit in self._slot_limits(candidates, now_s)
            if backend.name not in demand.excluded
        ]
        free = [
            (backend, limit)
            for backend, limit in usable
            if self._used(backend, now_s) < limit
        ]
        if not free:
            return None
        ordinary = self._without_last_resorts(free, now_s)
        if ordinary and len(ordinary) < len(free):
            free = ordinary
            usable = self._without_last_resorts(usable, now_s)
        ratings = self._rater.rate(candidates, now_s)
        cost, cheapest = self._find_cheapest(free, demand, ratings, now_s)
        if cost.late_steps:
            # Prompts that need a fast engine are few.
            free += self._find_open(usable, now_s)
            cost, cheapest = self._find_cheapest(free, demand, ratings, now_s)
        home = self._find_home(usable, cost, demand, ratings, now_s)
        return home or cheapest

    def _without_last_resorts(
        self, servers: Sequence[tuple[Backend, int]], now_s: float
    ) -> list[tuple[Backend, int]]:
        return [
            (backend, limit)
            for backend, limit in servers
            if not self._send_limits.is_last_resort(backend, now_s)
        ]

    def _find_cheapest(
        self,
        servers: Sequence[tuple[Backend, int]],
        demand: Demand,
        ratings: Ratings,
        now_s: float,
    ) -> tuple[Cost, Backend]:
        """Return the server with the lowest cost, and the cost."""
        cost, _, cheapest = min(
            (
                self._cost(backend, limit, demand, ratings, now_s),
                self._random.random(),
                backend,
            )
            for backend, limit in servers
        )
        return cost, cheapest

    def _slot_limits(
        self,
        candidates: Sequence[Backend],
        now_s: float,
        *,
        ignores_sent: bool = False,
    ) -> list[tuple[Backend, int]]:
        """Return the available servers, each with its limit.

        The limit is the number of requests that this instance may have in
        flight there.
        """
        shares = self._slots.slot_shares(now_s)
        limits = []
        for backend in candidates:
            if not backend.is_available(now_s):
                continue
            total = self._send_limits.usable_slots(
                backend,
                self._capacity.limit(backend, now_s),
                now_s,
                ignores_sent=ignores_sent,
            )
            if not total:
                continue
            limits.append(
                (
                    backend,
                    shares.available(total, backend.name, backend.in_flight),
                )
            )
        return limits

    def _find_open(
        self, usable: Sequence[tuple[Backend, int]], now_s: float
    ) -> list[tuple[Backend, int]]:
        """Return the engines with several unused slots.

        This instance may use them although it isn't drawn to borrow there.
        """
        shares = self._slots.slot_shares(now_s)
        found = []
        for backend, _ in usable:
            if backend.is_engine:
                total = self._capacity.limit(backend, now_s)
                unused = shares.unused(total, backend.name)
                if unused - self._used(backend, now_s) >= OPEN_SLOTS:
                    found.append((backend, unused))
        return found

    def _find_home(
        self,
        usable: Sequence[tuple[Backend, int]],
        lowest_cost: Cost,
        demand: Demand,
        ratings: Ratings,
        now_s: float,
    ) -> Backend | None:
        """Return an engine that keeps the shared part of the prompt.

        Returns None unless it has unused slots and costs little more than
        the cheapest server.
        """
        part = demand.shared_part
        if part is None or part.tokens < MIN_SHARED_TOKENS:
            return None
        near = {
            backend.name: (backend, limit)
            for backend, limit in self._find_open(usable, now_s)
            if self._is_near(backend)
            and limit - self._used(backend, now_s)
            >= HOME_UNUSED_SHARE * backend.entry.slots
        }
        allowance = AFFINITY_ALLOWANCE * min(
            1.0, part.tokens / FULL_SHARED_TOKENS
        )
        homes = choose_homes(
            part.name,
            (
                backend.name
                for backend, _ in usable
                if backend.is_engine and self._is_near(backend)
            ),
        )
        for name in homes:
            if name not in near:
                continue
            backend, limit = near[name]
            cost = self._cost(backend, limit, demand, ratings, now_s)
            if (
                cost[:3] <= lowest_cost[:3]
                and cost.load <= lowest_cost.load + allowance
            ):
                return backend
        return None

    def _used(self, backend: Backend, now_s: float) -> int:
        """Return the number of requests that count against the limit."""
        return self._slots.slot_shares(now_s).used(
            self._capacity.limit(backend, now_s),
            backend.name,
            backend.in_flight,
        )

    def _is_near(self, backend: Backend) -> bool:
        domain = backend.entry.failure_domain
        return self._regions.get(domain, "") == self._region

    def _cost(
        self,
        backend: Backend,
        limit: int,
        demand: Demand,
        ratings: Ratings,
        now_s: float,
    ) -> Cost:
        """Return the cost of a server."""
        slowdown = ratings.slowdowns[backend.name]
        load = (self._used(backend, now_s) + 1) / limit
        return Cost(
            is_suspect=backend.name in ratings.suspects,
            late_steps=_lateness_steps(
                demand, ratings.first_slowdowns[backend.name], now_s
            ),
            may_miss_deadline=_may_miss_deadline(demand, slowdown, now_s),
            load=load * slowdown / ratings.mean_slowdown
            + self._distance_penalty(backend.entry.failure_domain),
        )

    def _distance_penalty(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return 0.0
        if self._regions.get(failure_domain, "") == self._region:
            return DOMAIN_PENALTY
        return REGION_PENALTY


def _lateness_steps(demand: Demand, slowdown: float, now_s: float) -> int:
    """Return by how much the first output may miss the target.

    In units of LATENESS_STEP_S, 0 for a target that has passed already.
    """
    if now_s >= demand.target_s:
        return 0
    first_s = demand.work.first_token_s * slowdown
    lateness_s = max(0.0, now_s + first_s - demand.target_s)
    return ceil(lateness_s / LATENESS_STEP_S)


def _may_miss_deadline(demand: Demand, slowdown: float, now_s: float) -> bool:
    """Return whether the run may exceed the time until the deadline."""
    total_s = demand.work.total_s * slowdown
    return total_s > RUN_TIME_SHARE * (demand.deadline_at_s - now_s)
