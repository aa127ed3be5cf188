"""Simulation of an overload at a pool of engines.

Long drafts, answers and short tags arrive at 1.8 times the capacity of the
engines, as after a power cut, when all callers retry at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass
import heapq
from random import Random
from typing import Protocol
from unittest import TestCase

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_demand

SLOTS = 22
LOAD = 1.8
DURATION_S = 10.0


@dataclass(frozen=True)
class RequestKind:
    """Kind of request.

    share is its share of the arrivals and value the value of an answer that
    meets the target.
    """

    name: str
    share: float
    tier: int
    value: float
    target_s: float
    work_s: float


KINDS = (
    RequestKind("draft", 0.23, 0, 7.5, 0.6, 1.7),
    RequestKind("answer", 0.32, 1, 2.1, 0.4, 1.3),
    RequestKind("tag", 0.45, 2, 0.3, 0.5, 0.15),
)


class Policy(Protocol):
    """Policy for the admission to the queue and its order."""

    def admits(self, demand: Demand, now_s: float) -> bool:
        """Return whether a request is admitted to the queue."""

    def add(self, payload: RequestKind, demand: Demand, now_s: float) -> None:
        """Add a request to the queue."""

    def pop(self, now_s: float) -> tuple[RequestKind, Demand] | None:
        """Return the next request to dispatch."""


class FifoPolicy:
    """Baseline: first come, first served, with a timeout."""

    def __init__(self):
        self._queue = []

    def admits(self, demand, now_s):
        return True

    def add(self, payload, demand, now_s):
        self._queue.append((payload, demand))

    def pop(self, now_s):
        while self._queue:
            payload, demand = self._queue.pop(0)
            if now_s < demand.target_s + 2.0:
                return payload, demand
        return None


class UrgencyPolicy:
    """Policy of the dispatcher: admission by predicted wait, by urgency."""

    def __init__(self):
        self._queue = RequestQueue()
        self._rates = ArrivalRates()

    def admits(self, demand, now_s):
        urgency = demand.urgency(now_s)
        wait_s = predict_wait_s(
            self._queue.work_ahead_s(urgency),
            SLOTS,
            self._rates.more_urgent_per_s(urgency, now_s),
        )
        self._rates.add(urgency, demand.work.total_s, now_s)
        return wait_s <= demand.target_s - now_s

    def add(self, payload, demand, now_s):
        self._queue.add(
            Waiter(
                payload=payload,
                demand=demand,
                urgency=demand.urgency(now_s),
                arrived_s=now_s,
            )
        )

    def pop(self, now_s):
        for waiter in self._queue.in_order():
            self._queue.remove(waiter)
            if waiter.demand.is_on_time(now_s):
                return waiter.payload, waiter.demand
        return None


def simulate(policy: Policy, seed: int) -> dict[str, float]:
    """Return the share of the offered value that was earned.

    The shares are by kind of request, and "all" over all kinds.
    """
    random = Random(seed)
    mean_s = sum(kind.share * kind.work_s for kind in KINDS)
    per_s = LOAD * SLOTS / mean_s
    earned_value = dict.fromkeys((kind.name for kind in KINDS), 0.0)
    offered_value = dict.fromkeys(earned_value, 0.0)
    ends: list[float] = []
    now_s = 0.0
    while now_s < DURATION_S:
        now_s += random.expovariate(per_s)
        while ends and ends[0] <= now_s:
            freed_s = heapq.heappop(ends)
            _dispatch(policy, freed_s, ends, earned_value)
        kind = random.choices(KINDS, [one.share for one in KINDS])[0]
        offered_value[kind.name] += kind.value
        demand = build_demand(
            rank=(0, kind.tier),
            work=WorkEstimate(first_token_s=0.1, total_s=kind.work_s),
            target_s=now_s + kind.target_s,
        )
        if policy.admits(demand, now_s):
            policy.add(kind, demand, now_s)
        if len(ends) < SLOTS:
            _dispatch(policy, now_s, ends, earned_value)
    shares = {
        name: earned_value[name] / offered_value[name]
        for name in offered_value
    }
    shares["all"] = sum(earned_value.values()) / sum(offered_value.values())
    return shares


def _dispatch(policy, now_s, ends, earned_value):
    found = policy.pop(now_s)
    if found is None:
        return
    kind, demand = found
    heapq.heappush(ends, now_s + kind.work_s)
    on_time = demand.is_on_time(now_s)
    earned_value[kind.name] += kind.value * (1.0 if on_time else 0.3)


class OverloadTest(TestCase):
    """Guards against a queue that answers most requests after the target.

    Under lasting overload, a first-come, first-served queue grows until
    every request in it is late.
    """

    def test_drafts_are_served_and_no_kind_starves(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                shares = simulate(UrgencyPolicy(), seed)
                baseline = simulate(FifoPolicy(), seed)
                self.assertGreater(shares["all"], 1.3 * baseline["all"])
                self.assertGreater(shares["draft"], 0.8)
                self.assertGreater(shares["tag"], 0.25)
