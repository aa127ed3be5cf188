"""Model of entry instances that share engines, in virtual time.

Each instance decides with the code of the product on what its peers have
last reported. Engines admit in the order of arrival. Callers that are
refused come back once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import heapq
from itertools import count
from random import Random

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import wait_budget_s
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers

LATE_VALUE = 0.3
SECOND_REFUSAL_COST = 0.3


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Kind of request: share of the arrivals, worth and times."""

    name: str
    share: float
    tier: int
    worth: float
    target_s: float
    first_s: float
    run_s: float
    patience_s: float


KINDS = (
    Kind(
        name="draft",
        share=0.23,
        tier=0,
        worth=7.5,
        target_s=0.85,
        first_s=0.11,
        run_s=1.7,
        patience_s=15.0,
    ),
    Kind(
        name="answer",
        share=0.32,
        tier=1,
        worth=2.1,
        target_s=0.52,
        first_s=0.07,
        run_s=1.2,
        patience_s=12.0,
    ),
    Kind(
        name="tag",
        share=0.45,
        tier=2,
        worth=0.3,
        target_s=0.52,
        first_s=0.08,
        run_s=0.17,
        patience_s=3.0,
    ),
)


@dataclass(frozen=True, kw_only=True)
class Load:
    """Instances before engines; load is the part of what they can do."""

    instances: int
    engines: int
    slots: int = 11
    load: float = 1.8
    unevenness: float = 0.5
    report_interval_s: float = 0.2
    duration_s: float = 12.0


@dataclass(eq=False)
class Request:
    """Request of one caller, with what became of it."""

    kind: Kind
    demand: Demand
    sent_s: float


@dataclass
class Engine:
    """Engine with the requests that run and wait there."""

    slots: int
    slowdown: float
    running: int = 0
    waiting: deque[tuple[int, Request]] = field(default_factory=deque)


@dataclass
class Outcome:
    """What callers got: worth earned and owed, and waits at engines."""

    earned: float = 0.0
    owed: float = 0.0
    late: int = 0
    served: int = 0
    refused: int = 0
    refused_again: int = 0
    engine_waits_s: list[float] = field(default_factory=list)
    served_by_instance: dict[int, int] = field(default_factory=dict)
    asked_by_instance: dict[int, int] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Return the worth earned of the worth owed."""
        return self.earned / self.owed


class Instance:
    """One instance: its view of the peers, its queue and its placement."""

    def __init__(self, index: int, load: Load, random: Random) -> None:
        names = [f"e{number}" for number in range(load.instances)]
        self.peers: PeerView = build_peers(names[index], *names)
        self.name = names[index]
        self.queue: RequestQueue[Request] = RequestQueue()
        self.rates = ArrivalRates()
        self.sequence = 0
        self.placement = LeastLoadPlacement(
            failure_domain="north",
            regions={"north": "home"},
            peers=self.peers,
            random=random,
        )
        self.backends: list[Backend] = []

    def report(self, now_s: float) -> PeerReport:
        """Return what this instance tells the others."""
        self.sequence += 1
        return PeerReport(
            name=self.name,
            incarnation=1,
            sequence=self.sequence,
            work=self.peers.demand.per_s(now_s),
            in_flight={
                one.name: one.in_flight
                for one in self.backends
                if one.in_flight
            },
        )


class SharingModel:
    """Plays a load and returns what callers got."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._events: list[tuple[float, int, object]] = []
        self._order = count()
        self.outcome = Outcome()
        speeds = (0.6, 1.0, 2.0)
        self._engines = [
            Engine(slots=load.slots, slowdown=speeds[index % len(speeds)])
            for index in range(load.engines)
        ]
        self._instances = [
            Instance(index, load, self._random)
            for index in range(load.instances)
        ]
        for instance in self._instances:
            instance.backends = [
                Backend(
                    entry=build_entry(f"s{index}", slots=load.slots),
                    slowdown=engine.slowdown,
                )
                for index, engine in enumerate(self._engines)
            ]

    def play(self) -> Outcome:
        """Return the outcome of the whole load."""
        self._plan_arrivals()
        for instance in self._instances:
            first_s = self._random.random() * self._load.report_interval_s
            self._at(
                first_s, lambda now_s, one=instance: self._tell(one, now_s)
            )
        ends_s = self._load.duration_s + 20.0
        while self._events and self._events[0][0] < ends_s:
            now_s, _, run = heapq.heappop(self._events)
            run(now_s)
        return self.outcome

    def _at(self, time_s, run) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), run))

    def _plan_arrivals(self) -> None:
        load = self._load
        mean_s = sum(kind.share * kind.run_s for kind in KINDS)
        capacity = sum(one.slots / one.slowdown for one in self._engines)
        per_s = load.load * capacity / mean_s
        weights = [
            self._random.uniform(1 - load.unevenness, 1 + load.unevenness)
            for _ in self._instances
        ]
        now_s = 1.0
        while now_s < load.duration_s:
            now_s += self._random.expovariate(per_s)
            index = self._random.choices(range(load.instances), weights)[0]
            kind = self._random.choices(KINDS, [one.share for one in KINDS])[0]
            run_s = kind.run_s * self._random.lognormvariate(-0.18, 0.6)
            demand = Demand(
                rank=(0, kind.tier),
                work=WorkEstimate(
                    first_s=kind.first_s, total_s=kind.first_s + run_s
                ),
                target_s=now_s + kind.target_s,
                ends_s=now_s + kind.patience_s,
            )
            request = Request(kind, demand, now_s)
            self.outcome.owed += kind.worth
            asked = self.outcome.asked_by_instance
            asked[index] = asked.get(index, 0) + 1
            self._at(
                now_s,
                lambda at_s, one=index, what=request: self._arrive(
                    one, what, at_s
                ),
            )

    def _tell(self, sender: Instance, now_s: float) -> None:
        report = sender.report(now_s)
        for index, instance in enumerate(self._instances):
            if instance is not sender:
                instance.peers.take(report, now_s)
                self._fill(index, now_s)
        self._at(
            now_s + self._load.report_interval_s,
            lambda at_s: self._tell(sender, at_s),
        )

    def _arrive(self, index: int, request: Request, now_s: float) -> None:
        instance = self._instances[index]
        demand = request.demand
        urgency = demand.urgency(now_s)
        budget_s = wait_budget_s(demand, now_s)
        work_ahead_s = instance.queue.work_ahead_s(urgency)
        wait_s = predict_wait_s(
            work_ahead_s,
            instance.placement.capacity(instance.backends, now_s),
            instance.rates.above(urgency, now_s),
        )
        instance.rates.add(urgency, demand.work.total_s, now_s)
        instance.peers.demand.add(demand.work.total_s, now_s)
        if wait_s > budget_s:
            self._refuse(request, now_s)
            return
        waiter = Waiter(
            payload=request, demand=demand, urgency=urgency, arrived_s=now_s
        )
        instance.queue.add(waiter)
        self._at(
            now_s + budget_s,
            lambda at_s: self._expire(instance, waiter, at_s),
        )
        self._fill(index, now_s)

    def _expire(self, instance, waiter, now_s: float) -> None:
        if waiter in instance.queue.in_order():
            instance.queue.remove(waiter)
            self._refuse(waiter.payload, now_s)

    def _refuse(self, request: Request, now_s: float) -> None:
        outcome = self.outcome
        if request.demand.has_returned:
            outcome.refused_again += 1
            outcome.earned -= SECOND_REFUSAL_COST * request.kind.worth
            return
        outcome.refused += 1
        left_s = request.demand.ends_s - now_s
        again_s = now_s + left_s / 3 * self._random.uniform(0.5, 1.0)
        again = replace(
            request, demand=replace(request.demand, has_returned=True)
        )
        index = self._random.randrange(len(self._instances))
        self._at(again_s, lambda at_s: self._arrive(index, again, at_s))

    def _fill(self, index: int, now_s: float) -> None:
        instance = self._instances[index]
        if not len(instance.queue):
            return
        for waiter in instance.queue.in_order():
            backend = instance.placement.choose(
                instance.backends, waiter.demand, now_s
            )
            if backend is None:
                return
            backend.in_flight += 1
            instance.queue.remove(waiter)
            number = int(backend.name[1:])
            engine = self._engines[number]
            request = replace(waiter.payload, sent_s=now_s)
            if engine.running < engine.slots:
                self._start(number, index, request, now_s)
            else:
                engine.waiting.append((index, request))

    def _start(
        self, number: int, index: int, request: Request, now_s: float
    ) -> None:
        engine = self._engines[number]
        engine.running += 1
        outcome = self.outcome
        outcome.engine_waits_s.append(now_s - request.sent_s)
        work = request.demand.work
        on_time = (
            now_s + work.first_s * engine.slowdown <= request.demand.target_s
        )
        outcome.served += 1
        outcome.late += not on_time
        served = outcome.served_by_instance
        served[index] = served.get(index, 0) + 1
        outcome.earned += request.kind.worth * (1.0 if on_time else LATE_VALUE)
        self._at(
            now_s + work.total_s * engine.slowdown,
            lambda at_s: self._end(number, index, at_s),
        )

    def _end(self, number: int, index: int, now_s: float) -> None:
        engine = self._engines[number]
        engine.running -= 1
        if engine.waiting:
            owner, request = engine.waiting.popleft()
            self._start(number, owner, request, now_s)
        self._instances[index].backends[number].in_flight -= 1
        self._fill(index, now_s)
