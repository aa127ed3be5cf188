"""Plays bursts on a pool of engines and checks what callers get.

Load: long drafts, answers and short tags arrive at 1.8 times of what the
engines do, as after a power cut, when all callers return at once.
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
class Kind:
    """Kind of request: share of the arrivals, worth and times."""

    name: str
    share: float
    tier: int
    worth: float
    target_s: float
    work_s: float


KINDS = (
    Kind("draft", 0.23, 0, 7.5, 0.6, 1.7),
    Kind("answer", 0.32, 1, 2.1, 0.4, 1.3),
    Kind("tag", 0.45, 2, 0.3, 0.5, 0.15),
)


class Policy(Protocol):
    """Order of the queue and decision to wait."""

    def admits(self, demand: Demand, now_s: float) -> bool:
        """Return whether a request may wait."""

    def add(self, payload: Kind, demand: Demand, now_s: float) -> None:
        """Let a request wait."""

    def pop(self, now_s: float) -> tuple[Kind, Demand] | None:
        """Return the next request to dispatch."""


class FirstComeFirstServed:
    """Baseline: the queue that an operator would pick instead."""

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


class ValueOverWork:
    """Policy of the dispatcher."""

    def __init__(self):
        self._queue = RequestQueue()
        self._rates = ArrivalRates()

    def admits(self, demand, now_s):
        urgency = demand.urgency(now_s)
        wait_s = predict_wait_s(
            self._queue.work_ahead_s(urgency),
            SLOTS,
            self._rates.above(urgency, now_s),
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


def play(policy: Policy, seed: int) -> dict[str, float]:
    """Return the share of its worth that each kind earns, and in all."""
    random = Random(seed)
    mean_s = sum(kind.share * kind.work_s for kind in KINDS)
    per_s = LOAD * SLOTS / mean_s
    earned = dict.fromkeys((kind.name for kind in KINDS), 0.0)
    owed = dict.fromkeys(earned, 0.0)
    ends: list[float] = []
    now_s = 0.0
    while now_s < DURATION_S:
        now_s += random.expovariate(per_s)
        while ends and ends[0] <= now_s:
            freed_s = heapq.heappop(ends)
            _dispatch(policy, freed_s, ends, earned)
        kind = random.choices(KINDS, [one.share for one in KINDS])[0]
        owed[kind.name] += kind.worth
        demand = build_demand(
            rank=(0, kind.tier),
            work=WorkEstimate(first_s=0.1, total_s=kind.work_s),
            target_s=now_s + kind.target_s,
        )
        if policy.admits(demand, now_s):
            policy.add(kind, demand, now_s)
        if len(ends) < SLOTS:
            _dispatch(policy, now_s, ends, earned)
    shares = {name: earned[name] / owed[name] for name in owed}
    shares["all"] = sum(earned.values()) / sum(owed.values())
    return shares


def _dispatch(policy, now_s, ends, earned):
    found = policy.pop(now_s)
    if found is None:
        return
    kind, demand = found
    heapq.heappush(ends, now_s + kind.work_s)
    on_time = demand.is_on_time(now_s)
    earned[kind.name] += kind.worth * (1.0 if on_time else 0.3)


class OverloadTest(TestCase):
    """Guards against a queue that answers everything just too late."""

    def test_drafts_are_served_and_no_kind_starves(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                shares = play(ValueOverWork(), seed)
                baseline = play(FirstComeFirstServed(), seed)
                self.assertGreater(shares["all"], 1.3 * baseline["all"])
                self.assertGreater(shares["draft"], 0.8)
                self.assertGreater(shares["tag"], 0.25)
